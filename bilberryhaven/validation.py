"""Checks trees against typed models and reports all faults at once."""

import dataclasses
import enum
import typing

import msgspec

__all__ = ['Fault', 'convert']

MAX_VALUE_LENGTH = 60
_DROP = object()


@dataclasses.dataclass(kw_only=True, frozen=True)
class Fault:
    """One thing that isn't allowed.

    Attributes:
        path: Where it is, such as ``zones[1].name``.
        message: The value and what is allowed.
    """

    path: str
    message: str

    def __str__(self):
        return f'{self.path}: {self.message}' if self.path else self.message


def convert(tree, kind):
    """Return ``tree`` as a ``kind``, and the faults of what was left out.

    Args:
        tree: Mappings, lists and plain values.
        kind: A ``msgspec.Struct`` class.

    Returns:
        The (value, faults) pair. Fields with faults have their defaults;
        the value is None if that can't be.
    """
    faults = []
    cleaned = _clean(tree, kind, '', faults)
    if cleaned is _DROP:
        return None, faults
    try:
        return msgspec.convert(cleaned, type=kind), faults
    except msgspec.ValidationError as error:
        if not faults:
            faults.append(Fault(path='', message=str(error)))
        return None, faults


def _clean(value, kind, path, faults):
    base = kind
    if typing.get_origin(kind) is typing.Annotated:
        base = typing.get_args(kind)[0]
    origin = typing.get_origin(base)
    if isinstance(base, type) and issubclass(base, msgspec.Struct):
        return _clean_struct(value, base, path, faults)
    if origin is list and isinstance(value, list):
        return _clean_list(value, base, path, faults)
    if origin is dict and isinstance(value, dict):
        return _clean_dict(value, base, path, faults)
    return _clean_leaf(value, kind, path, faults)


def _clean_struct(value, kind, path, faults):
    if not isinstance(value, dict):
        _add(faults, path, value, 'expected a mapping')
        return _DROP
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    cleaned = {}
    for key, item in value.items():
        if key not in fields:
            message = _describe_unknown(key, list(fields))
            faults.append(Fault(path=_join(path, key), message=message))
            continue
        made = _clean(item, hints[key], _join(path, key), faults)
        if made is not _DROP:
            cleaned[key] = made
    missing = False
    for name, field in fields.items():
        if field.required and name not in value:
            message = 'this key is needed'
            faults.append(Fault(path=_join(path, name), message=message))
        missing = missing or (field.required and name not in cleaned)
    return _DROP if missing else cleaned


def _clean_list(value, kind, path, faults):
    item_kind = typing.get_args(kind)[0]
    made = [
        _clean(item, item_kind, f'{path}[{index}]', faults)
        for index, item in enumerate(value)
    ]
    return [item for item in made if item is not _DROP]


def _clean_dict(value, kind, path, faults):
    key_kind, item_kind = typing.get_args(kind)
    cleaned = {}
    for key, item in value.items():
        where = _join(path, key)
        good_key = _clean_leaf(key, key_kind, where, faults)
        made = _clean(item, item_kind, where, faults)
        if _DROP not in (good_key, made):
            cleaned[key] = made
    return cleaned


def _clean_leaf(value, kind, path, faults):
    try:
        msgspec.convert(value, type=kind)
    except msgspec.ValidationError as error:
        _add(faults, path, value, _describe_allowed(kind, error))
        return _DROP
    return value


def _describe_allowed(kind, error):
    if typing.get_origin(kind) is typing.Literal:
        return f'allowed are {", ".join(typing.get_args(kind))}'
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return f'allowed are {", ".join(kind)}'
    text = str(error).replace('`', '')
    return text[0].lower() + text[1:]


def _describe_unknown(key, known):
    import difflib

    near = difflib.get_close_matches(str(key), known, n=1)
    if near:
        return f'unknown key; did you mean {near[0]!r}?'
    return f'unknown key; known are {", ".join(known)}'


def _add(faults, path, value, allowed):
    text = repr(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = f'{text[:MAX_VALUE_LENGTH]}...'
    faults.append(Fault(path=path, message=f'{text} is refused: {allowed}'))


def _join(path, key):
    return f'{path}.{key}' if path else str(key)
