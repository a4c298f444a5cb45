"""The border at which data from elsewhere is decoded.

Each decoder of bytes that this process didn't write itself runs inside a
``Guard``: whatever is odd about the data becomes one coded error, and is
logged with a bound. The types below bound the numbers and texts in it, so
that what was accepted can be encoded, added, slept or dialled later.
"""

import ipaddress
import re
import typing

import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import util

__all__ = [
    'Amount',
    'Count',
    'Duration',
    'Guard',
    'Integer',
    'Milliseconds',
    'Number',
    'Text',
    'UnixTime',
    'check_printable',
    'parse_peer',
    'parse_number',
    'prune_json',
]

MAX_INTEGER = 2**63 - 1
# Integers that every JSON parser reads exactly.
MAX_NUMBER = 2**53
MAX_COUNT = 10**9
MAX_AMOUNT = 10**12
# 31 years; a sum of a thousand still is a valid timedelta.
MAX_MILLISECONDS = 10**12
MAX_UNIX_MS = 4_102_444_800_000  # the year 2100
MAX_TEXT_CHARS = 1_000
# Nothing that is read here is nested deeper than a few levels.
MAX_DEPTH = 32

Integer = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_INTEGER - 1, le=MAX_INTEGER)
]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
# What is left of something may be negative once its time is over.
Milliseconds = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]
Duration = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
UnixTime = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]

_PRINTABLE = re.compile(r'[!-~]{1,200}')
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_ODD = (
    msgspec.MsgspecError,
    ArithmeticError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)

_log = log.BoundedLog(
    logger=log.get_logger('border'), clock=clocks.SystemClock()
)


class Guard:
    """Context in which data is decoded; it can be entered any number of times.

    Args:
        what: What is decoded, for messages.
        step: Name of the step, for errors.
        kind: Class of the error, or a function with the same arguments.
        catches: Further classes of exceptions that odd data causes.
        logs: Whether odd data is logged; false if the caller does so.

    Raises:
        BilberryhavenError: ``kind``, or a ``BadInputError`` that was raised
            inside, if ``kind`` is that class.
    """

    __slots__ = ('_catches', '_kind', '_logs', '_step', '_what')

    def __init__(
        self,
        *,
        what,
        step,
        kind=errors.BadInputError,
        catches=(),
        logs=True,
    ):
        self._what = what
        self._step = step
        self._kind = kind
        self._catches = (*_ODD, errors.BadInputError, *catches)
        self._logs = logs

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback):
        if error is None or not isinstance(error, self._catches):
            return False
        raised = self._convert(error)
        if self._logs:
            _log.warning(
                self._step,
                f'odd {self._what}: {raised.message}',
                code=raised.code,
                step=self._step,
                peer=raised.peer,
            )
        if raised is error:
            return False
        raise raised from error

    def _convert(self, error):
        if isinstance(error, errors.BilberryhavenError):
            if self._kind is errors.BadInputError:
                return error
            text = error.message
        elif isinstance(error, KeyError):
            text = f'{error} is missing'
        else:
            text = f'{error}' or type(error).__name__
        return self._kind(
            f'invalid {self._what}: {util.shorten(text)}', step=self._step
        )


def parse_peer(text):
    """Return the (host, port) pair of an address that can be dialled.

    Raises:
        OptionError: It is no numeric IP address with a port from 1.
    """
    host, port = util.parse_address(text)
    try:
        ip = ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        ip = None
    if ip is None or ip.is_unspecified or port == 0:
        raise errors.OptionError(
            f'{util.shorten(repr(text))} is no address of a process; expected '
            'IP:PORT, such as 127.0.0.1:7000',
            step='parse address',
        )
    return host, port


def parse_number(text, *, maximum=MAX_NUMBER):
    """Return the number in a header, or None if there is none.

    Args:
        text: Text of the header.
        maximum: The number that larger ones are reduced to.
    """
    if not text.isascii() or not text.isdigit():
        return None
    digits = text.lstrip('0')
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits or '0'), maximum)


def check_printable(text, *, what):
    """Check that a text can be sent in a header or a path.

    Args:
        text: The text.
        what: What it is, for the error.

    Raises:
        BadInputError: It is empty, long, or contains other characters than
            printable ASCII ones.
    """
    if not _PRINTABLE.fullmatch(text):
        raise errors.BadInputError(
            f'{what} {util.shorten(repr(text))} is not 1 to 200 printable '
            'ASCII characters',
            step=f'read {what}',
        )


def prune_json(data, *, depth=MAX_DEPTH):
    """Return JSON text whose arrays and objects below a depth are null.

    One entry of a list that is nested too deeply for the decoder would make
    the other entries unreadable.

    Args:
        data: The text in bytes; it may be invalid.
        depth: Number of levels that are kept.
    """
    kept = []
    level = start = 0
    for token in _TOKEN.finditer(data):
        mark = token[0]
        if mark in (b'[', b'{'):
            level += 1
            if level == depth + 1:
                kept += [data[start : token.start()], b'null']
        elif mark in (b']', b'}'):
            if level == depth + 1:
                start = token.end()
            level -= 1
    if level <= depth:
        kept.append(data[start:])
    return b''.join(kept)
