"""Conversion between typed messages and Cap'n Proto bytes."""

import dataclasses
import functools
import math
import pathlib
import typing

import capnp

from bilberryhaven import border
from bilberryhaven.wire import message

__all__ = ['decode', 'encode']

SCHEMA = pathlib.Path(__file__).with_name('schema.capnp')
WORD_BYTES = 8
# Words that may be read for each word of a message: each is read once, but
# pointers to the same one, and elements of no size, would multiply them.
MAX_READS_PER_WORD = 2

_GUARD = border.Guard(
    what='message', step='decode message', catches=(capnp.KjException,)
)


@functools.lru_cache(maxsize=1)
def _load_schema():
    capnp.remove_import_hook()
    return capnp.load(str(SCHEMA))


def _to_camel_case(name):
    head, *rest = name.split('_')
    return head + ''.join(part.title() for part in rest)


def _list_fields(cls):
    hints = typing.get_type_hints(cls)
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        (item,) = typing.get_args(hint) or (None,)
        yield field.name, _to_camel_case(field.name), hint, item


@functools.cache
def _build_writer(cls):
    plain, structs, lists = [], [], []
    for name, camel, hint, item in _list_fields(cls):
        if dataclasses.is_dataclass(hint):
            structs.append((name, camel, _build_writer(hint)))
        elif dataclasses.is_dataclass(item):
            lists.append((name, camel, _build_writer(item)))
        else:
            plain.append((name, camel))

    def write(source, builder):
        for name, camel in plain:
            setattr(builder, camel, getattr(source, name))
        for name, camel, write_part in structs:
            write_part(getattr(source, name), builder.init(camel))
        for name, camel, write_part in lists:
            items = getattr(source, name)
            if items:
                builders = builder.init(camel, len(items))
                for index, part in enumerate(items):
                    write_part(part, builders[index])

    return write


@functools.cache
def _build_reader(cls):
    converters = []
    for name, camel, hint, item in _list_fields(cls):
        if dataclasses.is_dataclass(hint):
            convert = _build_reader(hint)
        elif dataclasses.is_dataclass(item):
            convert = functools.partial(_read_list, _build_reader(item))
        elif item is not None:
            convert = list
        elif hint is float:
            convert = _read_finite
        else:
            convert = None
        converters.append((name, camel, convert))

    def read(source):
        values = {}
        for name, camel, convert in converters:
            value = getattr(source, camel)
            values[name] = convert(value) if convert else value
        return cls(**values)

    return read


def _read_finite(value):
    if not math.isfinite(value):
        raise ValueError(f'{value} is no finite number')
    return value


def _read_list(read, items):
    return [read(item) for item in items]


@functools.lru_cache(maxsize=1)
def _index_fields():
    return {cls: name for name, cls in message.get_messages().items()}


def encode(msg):
    """Return a typed message encoded as bytes."""
    envelope = _load_schema().Envelope.new_message()
    field = _index_fields()[type(msg)]
    _build_writer(type(msg))(msg, envelope.init(field))
    return envelope.to_bytes()


def decode(data):
    """Return the typed message encoded in ``data``.

    Raises:
        BadInputError: The bytes do not encode a known message.
    """
    schema = _load_schema()
    with (
        _GUARD,
        schema.Envelope.from_bytes(
            data,
            traversal_limit_in_words=MAX_READS_PER_WORD
            * (len(data) // WORD_BYTES + 1),
        ) as envelope,
    ):
        field = str(envelope.which())
        cls = message.get_messages()[field]
        return _build_reader(cls)(getattr(envelope, field))
