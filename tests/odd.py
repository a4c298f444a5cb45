"""Odd data for tests: valid documents with one value that isn't."""

import json

from hypothesis import strategies as st
import msgspec

DEEP = 10_000
PLACE = '@odd@'
# Values as JSON text: nested, large, of another type, or unreadable.
JSON_VALUES = (
    b'[' * DEEP + b']' * DEEP,
    b'{"a":' * DEEP + b'1' + b'}' * DEEP,
    b'[' * DEEP,
    b'9223372036854775808',
    b'18446744073709551616',
    b'-9223372036854775809',
    b'1' + b'0' * 30,
    b'1' + b'0' * 400,
    b'1' + b'0' * 5_000,
    b'1e308',
    b'-1e308',
    b'1e400',
    b'NaN',
    b'1.5',
    b'-1',
    b'0',
    b'4102444800001',
    b'null',
    b'true',
    b'""',
    b'"x"',
    b'"\xff\xfe"',
    b'"\\ud800"',
    b'"\\u0000\\r\\n"',
    b'"' + b'x' * 70_000 + b'"',
    b'[]',
    b'{}',
    b'[[1]]',
    b'[null]',
    b'"127.0.0.1:99999"',
    b'"127.0.0.1:0"',
    b'"127.0.0.1:-1"',
    b'"127.0.0.1:' + b'9' * 5_000 + b'"',
    b'"127.0.0.1:\xc2\xb2"',
    b'"nowhere:1"',
    b'"0.0.0.0:1"',
    b'":1"',
)
# The same as MessagePack.
MSGPACK_VALUES = (
    b'\x91' * DEEP + b'\xc0',
    b'\x81\xa1a' * DEEP + b'\xc0',
    b'\xcf' + b'\xff' * 8,
    b'\xcf\x7f' + b'\xff' * 7,
    b'\xd3\x80' + b'\x00' * 7,
    b'\xcb\x7f\xf0' + b'\x00' * 6,  # infinity
    b'\xcb\x7f\xf8' + b'\x00' * 6,  # not a number
    b'\xa2\xff\xfe',
    b'\xc4\x02\xff\xfe',
    b'\xc0',
    b'\xc3',
    b'\xa0',
    b'\x90',
    b'\x80',
    b'\xdd\xff\xff\xff\xff',
    b'\xd4\x01\x00',
)


def list_paths(tree, prefix=()):
    """Return the paths of all values in a tree of dicts and lists."""
    items = []
    if isinstance(tree, dict):
        items = list(tree.items())
    elif isinstance(tree, list):
        items = list(enumerate(tree))
    paths = []
    for key, value in items:
        paths.append((*prefix, key))
        paths += list_paths(value, (*prefix, key))
    return paths


def replace(tree, path, value):
    """Return a copy of a tree with another value at a path."""
    if not path:
        return value
    copied = dict(tree) if isinstance(tree, dict) else list(tree)
    copied[path[0]] = replace(copied[path[0]], path[1:], value)
    return copied


def remove(tree, path):
    """Return a copy of a tree without the value at a path."""
    copied = dict(tree) if isinstance(tree, dict) else list(tree)
    if len(path) == 1:
        del copied[path[0]]
    else:
        copied[path[0]] = remove(copied[path[0]], path[1:])
    return copied


def _damage(data):
    """Draw bytes that were cut off or changed on their way."""
    cut = st.integers(0, len(data) - 1).map(lambda n: data[:n])
    changed = st.tuples(
        st.integers(0, len(data) - 1), st.integers(0, 255)
    ).map(
        lambda pair: data[: pair[0]] + bytes([pair[1]]) + data[pair[0] + 1 :]
    )
    return cut | changed


def _draw_documents(tree, values, write):
    whole = write(tree, {})
    paths = st.sampled_from(list_paths(tree))
    odd = st.sampled_from(values)
    replaced = st.tuples(paths, odd).map(
        lambda pair: write(replace(tree, pair[0], PLACE), {PLACE: pair[1]})
    )
    removed = paths.map(lambda path: write(remove(tree, path), {}))
    return replaced | removed | odd | _damage(whole)


def draw_json(tree):
    """Return a strategy of bytes: a JSON document with one odd value."""
    extended = {**tree, 'unknown': 0} if isinstance(tree, dict) else tree

    def write(value, odd):
        text = json.dumps(value).encode()
        for place, raw in odd.items():
            text = text.replace(json.dumps(place).encode(), raw)
        return text

    numbers = st.integers(-(2**70), 2**70).map(lambda n: str(n).encode())
    paths = st.sampled_from(list_paths(extended))
    drawn = st.tuples(paths, numbers).map(
        lambda pair: write(replace(extended, pair[0], PLACE), {PLACE: pair[1]})
    )
    return _draw_documents(extended, JSON_VALUES, write) | drawn


def draw_msgpack(tree):
    """Return a strategy of bytes: a MessagePack document with an odd value."""

    def write(value, odd):
        def convert(item):
            if item == PLACE:
                return msgspec.Raw(odd[PLACE])
            if isinstance(item, dict):
                return {key: convert(entry) for key, entry in item.items()}
            if isinstance(item, list):
                return [convert(entry) for entry in item]
            return item

        return msgspec.msgpack.encode(convert(value))

    return _draw_documents(tree, MSGPACK_VALUES, write)
