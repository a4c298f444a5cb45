"""Progress of runs, measured from the listings of their backend servers.

The load that it answers: servers that turn slow while tasks run on them. The
rate of progress covers the last seconds only, so that it follows the server,
and is the same for a run that resumes from a checkpoint.
"""

import dataclasses
import datetime

from bilberryhaven import clock as clocks

__all__ = ['ProgressTable', 'RunProgress']

# The rate is a mean over the last one to two windows.
WINDOW = clocks.seconds(1)
# Least time over which a rate is measured.
MIN_SPAN = clocks.seconds(0.4)
FULL_PERCENT = 100
# Progress is listed in whole percent, so half of one is added on average.
HALF_PERCENT = 0.5
# Runs on other servers that tell whether all servers stand still.
MIN_OTHERS = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class RunProgress:
    """Progress of one run.

    Attributes:
        first_at: Monotonic time of its first listing.
        seen_at: Monotonic time of its newest listing.
        percent: Its progress as of then.
        changed_at: Monotonic time at which its progress last changed.
        first_percent: Its progress in the first listing.
        from_at: Start of the span over which the rate is measured.
        from_percent: Its progress at that time.
        next_at: Start of the next span.
        next_percent: Its progress at that time.
    """

    first_at: datetime.timedelta
    seen_at: datetime.timedelta
    percent: float
    changed_at: datetime.timedelta
    first_percent: float
    from_at: datetime.timedelta
    from_percent: float
    next_at: datetime.timedelta
    next_percent: float

    @property
    def age_s(self):
        """Time between the first and the newest listing in seconds."""
        return (self.seen_at - self.first_at).total_seconds()

    @property
    def rate(self):
        """Progress in percent per second, or None if it isn't known yet."""
        span = self.seen_at - self.from_at
        if span < MIN_SPAN:
            return None
        gained = self.percent - self.from_percent + HALF_PERCENT
        return gained / span.total_seconds()

    @property
    def total_s(self):
        """Run time of the whole task at this rate, or None."""
        rate = self.rate
        return FULL_PERCENT / rate if rate else None

    @property
    def remaining_s(self):
        """Remaining time at this rate in seconds, or None."""
        rate = self.rate
        return (FULL_PERCENT - self.percent) / rate if rate else None

    @property
    def stalled_s(self):
        """Time without any progress in seconds."""
        return (self.seen_at - self.changed_at).total_seconds()

    @property
    def seconds_per_percent(self):
        """Mean time that one percent has taken so far, or None."""
        gained = self.percent - self.first_percent
        if gained <= 0:
            return None
        return (self.changed_at - self.first_at).total_seconds() / gained

    def update(self, percent, now):
        """Take a newer listing into account."""
        if now - self.next_at >= WINDOW:
            self.from_at, self.from_percent = self.next_at, self.next_percent
            self.next_at, self.next_percent = now, percent
        if percent != self.percent:
            self.changed_at = now
        self.percent = percent
        self.seen_at = now


class ProgressTable:
    """``RunProgress`` by run, in the leader's memory only.

    A new leader measures a rate as soon as it has seen two listings.
    """

    def __init__(self):
        self._servers = {}

    def clear(self):
        """Remove all records."""
        self._servers.clear()

    def remove(self, backend):
        """Remove the records of one backend server."""
        self._servers.pop(backend, None)

    def find(self, backend, ref):
        """Return the ``RunProgress`` of a run, or None if it isn't listed."""
        return self._servers.get(backend, {}).get(ref)

    def is_still_elsewhere(self, backend, since):
        """Return whether nothing makes progress on the other servers either.

        Args:
            backend: Key of the backend server.
            since: Monotonic time since which they had to make progress.
        """
        others = [
            row
            for key, rows in self._servers.items()
            for row in rows.values()
            if key != backend and row.percent < FULL_PERCENT
        ]
        return len(others) >= MIN_OTHERS and all(
            row.changed_at < since for row in others
        )

    def observe(self, backend, present, now):
        """Take the newest listing of a server into account.

        Args:
            backend: Key of the backend server.
            present: ``Presence`` by run.
            now: Monotonic time.

        Returns:
            The ``RunProgress`` by run.
        """
        known = self._servers.get(backend, {})
        rows = {}
        for ref, seen in present.items():
            percent = seen.running.percent
            row = known.get(ref)
            if row is None:
                row = _begin(percent, now)
            else:
                row.update(percent, now)
            rows[ref] = row
        self._servers[backend] = rows
        return rows


def _begin(percent, now):
    return RunProgress(
        first_at=now,
        seen_at=now,
        percent=percent,
        changed_at=now,
        first_percent=percent,
        from_at=now,
        from_percent=percent,
        next_at=now,
        next_percent=percent,
    )
