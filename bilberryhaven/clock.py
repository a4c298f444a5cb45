"""Clock interface, with a system clock and a manual clock for tests."""

import abc
import datetime
import time

__all__ = ['Clock', 'ManualClock', 'SystemClock', 'seconds']


def seconds(value):
    """Return a duration of ``value`` seconds."""
    return datetime.timedelta(seconds=value)


class Clock(abc.ABC):
    """Source of time; all other code reads the time from a clock."""

    @abc.abstractmethod
    def monotonic(self):
        """Return the time since an arbitrary fixed origin, a timedelta."""

    @abc.abstractmethod
    def wall(self):
        """Return the current time as an aware UTC datetime."""


class SystemClock(Clock):
    """Clocks of the operating system."""

    def monotonic(self):
        """Return the monotonic time, including time spent suspended."""
        # A lease also expires while the machine is suspended.
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME)
        return datetime.timedelta(seconds=elapsed)

    def wall(self):
        """Return the system's wall time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)


class ManualClock(Clock):
    """Clock that advances only on request.

    Args:
        start: Wall time at the origin.
        rate: Speed relative to true time; 1.001 gains 1 ms per second.
    """

    def __init__(self, *, start=None, rate=1.0):
        utc = datetime.timezone.utc
        self._start = start or datetime.datetime(2026, 1, 1, tzinfo=utc)
        self._rate = rate
        self._elapsed = datetime.timedelta()

    def advance(self, duration):
        """Advance the clock by ``duration`` of true time."""
        self._elapsed += duration * self._rate

    def step_wall(self, duration):
        """Set the wall time ahead by ``duration``, or back if negative."""
        self._start += duration

    def monotonic(self):
        """Return the time advanced so far."""
        return self._elapsed

    def wall(self):
        """Return the start time plus the time advanced so far."""
        return self._start + self._elapsed
