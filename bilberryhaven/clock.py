"""Clock interface, with the system's clock and one that tests advance."""

import abc
import datetime
import time

__all__ = ['Clock', 'ManualClock', 'SystemClock', 'seconds']


def seconds(value):
    """Return a duration of ``value`` seconds."""
    return datetime.timedelta(seconds=value)


class Clock(abc.ABC):
    """The only source of time; nothing else reads it."""

    @abc.abstractmethod
    def monotonic(self):
        """Return the time since an arbitrary fixed origin, a timedelta."""

    @abc.abstractmethod
    def wall(self):
        """Return the current time as an aware UTC datetime."""


class SystemClock(Clock):
    """The machine's clocks."""

    def monotonic(self):
        """Return the machine's monotonic time, suspended time included."""
        # A lease also runs out while the machine is suspended.
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME)
        return datetime.timedelta(seconds=elapsed)

    def wall(self):
        """Return the machine's wall time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)


class ManualClock(Clock):
    """A clock that moves only when told to.

    Args:
        start: Wall time at the origin.
        rate: Speed relative to true time; 1.001 gains a millisecond a second.
    """

    def __init__(self, *, start=None, rate=1.0):
        utc = datetime.timezone.utc
        self._start = start or datetime.datetime(2026, 1, 1, tzinfo=utc)
        self._rate = rate
        self._elapsed = datetime.timedelta()

    def advance(self, duration):
        """Move the clock by ``duration`` of true time."""
        self._elapsed += duration * self._rate

    def monotonic(self):
        """Return the time advanced so far."""
        return self._elapsed

    def wall(self):
        """Return the start time plus the time advanced so far."""
        return self._start + self._elapsed
