"""Commands: the only way to change the tables, one module a group.

A command is proposed by the leader, committed by a quorum and then applied
by each replica, so ``apply`` depends on nothing but the state and the
command's own fields.
"""

import functools
import importlib
import pkgutil
import typing

import msgspec

from bilberryhaven import errors

__all__ = ['Command', 'apply', 'decode', 'encode', 'list_commands']


class Command(msgspec.Struct, kw_only=True, frozen=True, tag_field='type'):
    """Base of all commands; a subclass is known by its class name."""

    def apply(self, state):
        """Change ``state`` and return the answer to the proposer.

        Raises:
            BilberryhavenError: The command is refused; the state is as
                before.
        """
        raise NotImplementedError


def list_commands():
    """Return all command classes that have no subclass of their own."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
    return list(_list_leaves(Command))


def _list_leaves(cls):
    if not cls.__subclasses__():
        yield cls
    for sub in cls.__subclasses__():
        yield from _list_leaves(sub)


@functools.lru_cache(maxsize=1)
def _build_decoder():
    union = typing.Union[tuple(list_commands())]  # noqa: UP007
    return msgspec.msgpack.Decoder(union)


def encode(command):
    """Return the bytes of ``command`` for the log and the wire."""
    return msgspec.msgpack.encode(command)


def decode(data):
    """Return the command in ``data``.

    Raises:
        BadInputError: The bytes hold no known command.
    """
    try:
        return _build_decoder().decode(data)
    except msgspec.MsgspecError as error:
        raise errors.BadInputError(
            f'no command: {error}', step='decode command'
        ) from error


def apply(state, command):
    """Apply ``command`` and return its result, an error if refused."""
    try:
        return command.apply(state)
    except errors.BilberryhavenError as error:
        return error
