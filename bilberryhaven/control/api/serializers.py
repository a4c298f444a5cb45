"""Conversion of table rows to JSON values."""

import base64
import contextlib

import msgspec

from bilberryhaven import border
from bilberryhaven import errors

__all__ = [
    'serialize_bytes',
    'serialize_instance',
    'serialize_job',
    'serialize_row',
]

# Bytes that are no JSON are shown in another way.
_GUARD = border.Guard(what='value', step='serialize', logs=False)


def serialize_row(row):
    """Return a row as a JSON value."""
    return msgspec.to_builtins(row)


def serialize_instance(row, load=None):
    """Return an instance with its effective labels and latest load."""
    fields = msgspec.to_builtins(row)
    fields['set_labels'] = fields.pop('labels')
    fields['labels'] = row.merge_labels()
    fields['load'] = None if load is None else msgspec.to_builtins(load)
    return fields


def serialize_job(row):
    """Return a job with its payload and result as JSON values."""
    fields = msgspec.to_builtins(row, builtin_types=(bytes,))
    fields['payload'] = serialize_bytes(row.payload)
    fields['result'] = serialize_bytes(row.result)
    fields['checkpoint_bytes'] = len(fields.pop('checkpoint'))
    return fields


def serialize_bytes(data):
    """Return ``data`` decoded as JSON, else as text, else in base64."""
    with contextlib.suppress(errors.BadInputError), _GUARD:
        return msgspec.json.decode(data)
    try:
        return data.decode()
    except UnicodeDecodeError:
        return {'base64': base64.b64encode(data).decode()}
