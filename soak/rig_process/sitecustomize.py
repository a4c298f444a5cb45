"""Clocks and links of a process of the rig, loaded before its program.

The rig puts this folder on the module path of the processes that it starts.
The program stays as it is: the interpreter loads this module first. The
environment says what changes:

- ``RIG_CLOCK_BASE_S``: added to the steady clocks, fixed for the process.
- ``RIG_CLOCK_STEP``: a file; while it exists, its number of seconds is added
  to the time of day.
- ``RIG_SUSPENDED``: a file with the seconds that the process was suspended,
  which the steady clock doesn't count, while that of the boot time does.
- ``RIG_LINKS``: a file with two addresses a line. Connections to the first
  one are made to the second one, a proxy of the rig.
"""

import datetime
import os
import socket
import time

# The file is read at most this often.
READ_INTERVAL_S = 0.02
NS_PER_S = 1_000_000_000

_datetime = datetime.datetime
_connect = socket.socket.connect
_monotonic = time.monotonic


class Step:
    """Seconds by which a clock is off.

    Args:
        path: File with the number; 0 while there is none.
        monotonic: Steady clock of the host.
    """

    def __init__(self, path, *, monotonic=_monotonic):
        self._path = path
        self._monotonic = monotonic
        self._read_at = None
        self._seconds = 0.0

    def read(self):
        """Return the seconds."""
        now = self._monotonic()
        if self._read_at is None or now >= self._read_at + READ_INTERVAL_S:
            self._read_at = now
            self._seconds = self._load()
        return self._seconds

    def _load(self):
        try:
            with open(self._path) as file:
                return float(file.read())
        except (OSError, ValueError):
            return 0.0


def find_proxy(path, address):
    """Return the address to connect to in the place of (host, port)."""
    try:
        with open(path) as file:
            links = dict(line.split() for line in file)
    except OSError:
        return address
    host, _, port = links.get('{}:{}'.format(*address), '').rpartition(':')
    return (host, int(port)) if host else address


def _shift(module, name, seconds, *, unit=1):
    """Add ``seconds()`` to what a function of a module returns."""
    function = getattr(module, name)
    setattr(
        module, name, lambda: function() + type(function())(seconds() * unit)
    )


def _install_clocks(base_s, step, suspended):
    def find_steady_shift():
        return base_s - suspended.read()

    shifts = {
        time.CLOCK_BOOTTIME: lambda: base_s,
        time.CLOCK_MONOTONIC: find_steady_shift,
        time.CLOCK_REALTIME: step.read,
    }
    read, read_ns = time.clock_gettime, time.clock_gettime_ns

    def find_shift(clock):
        return shifts[clock]() if clock in shifts else 0

    time.clock_gettime = lambda clock: read(clock) + find_shift(clock)
    time.clock_gettime_ns = lambda clock: (
        read_ns(clock) + int(find_shift(clock) * NS_PER_S)
    )
    for name, seconds in (
        ('monotonic', find_steady_shift),
        ('time', step.read),
    ):
        _shift(time, name, seconds)
        _shift(time, f'{name}_ns', seconds, unit=NS_PER_S)
    datetime.datetime = _build_datetime(step)


def _build_datetime(step):
    class Type(type(_datetime)):
        def __instancecheck__(cls, instance):
            return isinstance(instance, _datetime)

    class Datetime(_datetime, metaclass=Type):
        @classmethod
        def now(cls, tz=None):
            seconds = datetime.timedelta(seconds=step.read())
            return _datetime.now(tz) + seconds

        @classmethod
        def utcnow(cls):
            return _datetime.utcnow() + datetime.timedelta(seconds=step.read())

    return Datetime


def _install_links(path):
    def connect(sock, address):
        if sock.family == socket.AF_INET:
            address = find_proxy(path, address)
        return _connect(sock, address)

    socket.socket.connect = connect


if 'RIG_CLOCK_STEP' in os.environ:
    _install_clocks(
        float(os.environ.get('RIG_CLOCK_BASE_S', '0')),
        Step(os.environ['RIG_CLOCK_STEP']),
        Step(os.environ['RIG_SUSPENDED']),
    )
if 'RIG_LINKS' in os.environ:
    _install_links(os.environ['RIG_LINKS'])
