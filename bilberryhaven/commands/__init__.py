"""Commands: the only way to change the tables, one module per group.

A command is proposed by the leader, committed by a quorum and then applied
by each replica. ``apply`` must therefore be deterministic: it depends only on
the state and the command's own fields.
"""

import functools
import importlib
import pkgutil
import typing

import msgspec

from bilberryhaven import border
from bilberryhaven import errors

__all__ = ['Command', 'apply', 'decode', 'encode', 'list_commands']


class Command(msgspec.Struct, kw_only=True, frozen=True, tag_field='type'):
    """Base class of commands; the class name of a subclass is its tag."""

    def apply(self, state):
        """Change ``state`` and return the answer for the proposer.

        Raises:
            BilberryhavenError: The command is refused; the state is
                unchanged.
        """
        raise NotImplementedError


def list_commands():
    """Return all command classes that have no subclasses."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
    return list(_list_leaves(Command))


def _list_leaves(cls):
    if not cls.__subclasses__():
        yield cls
    for sub in cls.__subclasses__():
        yield from _list_leaves(sub)


_GUARD = border.Guard(what='command', step='decode command')


@functools.lru_cache(maxsize=1)
def _build_decoder():
    union = typing.Union[tuple(list_commands())]  # noqa: UP007
    return msgspec.msgpack.Decoder(union)


def encode(command):
    """Return ``command`` encoded for the log and the wire."""
    return msgspec.msgpack.encode(command)


def decode(data):
    """Return the command encoded in ``data``.

    Raises:
        BadInputError: The bytes do not encode a known command.
    """
    with _GUARD:
        return _build_decoder().decode(data)


def apply(state, command):
    """Apply ``command`` and return its result, or the error if refused."""
    try:
        return command.apply(state)
    except errors.BilberryhavenError as error:
        return error
