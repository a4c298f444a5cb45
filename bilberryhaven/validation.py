"""Validates trees against typed models, reporting all violations at once."""

import dataclasses
import enum
import typing

import msgspec

__all__ = ['Violation', 'convert']

MAX_VALUE_LENGTH = 60
_INVALID = object()


@dataclasses.dataclass(kw_only=True, frozen=True)
class Violation:
    """One value or key that is not allowed.

    Attributes:
        path: Location in the tree, such as ``zones[1].name``.
        message: The value and what is allowed.
    """

    path: str
    message: str

    def __str__(self):
        return f'{self.path}: {self.message}' if self.path else self.message


def convert(tree, expected_type):
    """Convert ``tree`` to a ``expected_type``, omitting invalid fields.

    Args:
        tree: Mappings, lists and scalar values.
        expected_type: A ``msgspec.Struct`` class.

    Returns:
        The (value, violations) pair. Invalid fields have their defaults; the
        value is None if the tree can't be converted, such as when a required
        field is invalid.
    """
    violations = []
    cleaned = _clean(tree, expected_type, '', violations)
    if cleaned is _INVALID:
        return None, violations
    try:
        return msgspec.convert(cleaned, type=expected_type), violations
    except msgspec.ValidationError as error:
        if not violations:
            violations.append(Violation(path='', message=str(error)))
        return None, violations


def _clean(value, expected_type, path, violations):
    unwrapped_type = expected_type
    if typing.get_origin(expected_type) is typing.Annotated:
        unwrapped_type = typing.get_args(expected_type)[0]
    origin = typing.get_origin(unwrapped_type)
    if isinstance(unwrapped_type, type) and issubclass(
        unwrapped_type, msgspec.Struct
    ):
        return _clean_struct(value, unwrapped_type, path, violations)
    if origin is list and isinstance(value, list):
        return _clean_list(value, unwrapped_type, path, violations)
    if origin is dict and isinstance(value, dict):
        return _clean_dict(value, unwrapped_type, path, violations)
    return _clean_leaf(value, expected_type, path, violations)


def _clean_struct(value, expected_type, path, violations):
    if not isinstance(value, dict):
        _add_violation(violations, path, value, 'expected a mapping')
        return _INVALID
    hints = typing.get_type_hints(expected_type, include_extras=True)
    fields = {
        field.name: field for field in msgspec.structs.fields(expected_type)
    }
    cleaned = {}
    for key, item in value.items():
        if key not in fields:
            message = _describe_unknown(key, list(fields))
            violations.append(
                Violation(path=_join_path(path, key), message=message)
            )
            continue
        converted = _clean(item, hints[key], _join_path(path, key), violations)
        if converted is not _INVALID:
            cleaned[key] = converted
    missing = False
    for name, field in fields.items():
        if field.required and name not in value:
            message = 'required key is missing'
            violations.append(
                Violation(path=_join_path(path, name), message=message)
            )
        missing = missing or (field.required and name not in cleaned)
    return _INVALID if missing else cleaned


def _clean_list(value, expected_type, path, violations):
    item_type = typing.get_args(expected_type)[0]
    converted = [
        _clean(item, item_type, f'{path}[{index}]', violations)
        for index, item in enumerate(value)
    ]
    return [item for item in converted if item is not _INVALID]


def _clean_dict(value, expected_type, path, violations):
    key_type, item_type = typing.get_args(expected_type)
    cleaned = {}
    for key, item in value.items():
        item_path = _join_path(path, key)
        converted_key = _clean_leaf(key, key_type, item_path, violations)
        converted = _clean(item, item_type, item_path, violations)
        if _INVALID not in (converted_key, converted):
            cleaned[key] = converted
    return cleaned


def _clean_leaf(value, expected_type, path, violations):
    try:
        msgspec.convert(value, type=expected_type)
    except msgspec.ValidationError as error:
        _add_violation(
            violations, path, value, _describe_allowed(expected_type, error)
        )
        return _INVALID
    return value


def _describe_allowed(expected_type, error):
    if typing.get_origin(expected_type) is typing.Literal:
        return f'expected one of {", ".join(typing.get_args(expected_type))}'
    if isinstance(expected_type, type) and issubclass(
        expected_type, enum.Enum
    ):
        return f'expected one of {", ".join(expected_type)}'
    text = str(error).replace('`', '')
    return text[0].lower() + text[1:]


def _describe_unknown(key, known):
    import difflib

    close_matches = difflib.get_close_matches(str(key), known, n=1)
    if close_matches:
        return f'unknown key; did you mean {close_matches[0]!r}?'
    return f'unknown key; expected one of {", ".join(known)}'


def _add_violation(violations, path, value, allowed):
    text = repr(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = f'{text[:MAX_VALUE_LENGTH]}...'
    violations.append(
        Violation(path=path, message=f'{text} is invalid: {allowed}')
    )


def _join_path(path, key):
    return f'{path}.{key}' if path else str(key)
