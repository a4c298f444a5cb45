"""Pacing of best-effort tasks beside tasks that serve users."""

import dataclasses
import datetime

__all__ = ['FULL', 'Pacer']

FULL = 100
# Percentage at which a task starts that may disturb those beside it.
CAREFUL = 20
# Share of the target at which best-effort tasks are slowed down, so that the
# tail stays below the target itself.
SLOW_AT = 0.85
# Share of the target below which they may work more again.
RELAX_AT = 0.7
# Additive increase, multiplicative decrease.
INCREASE = 20
DECREASE = 0.4
# Below this percentage a task is stopped altogether.
LEAST = 8
# A tail is measured over half a second, so a change shows in whole only then.
SETTLE = datetime.timedelta(seconds=0.55)
# How long a run that was slowed down waits before it is let work more; twice
# as long after each further time.
FIRST_BACKOFF = datetime.timedelta(seconds=1)
MAX_BACKOFF = datetime.timedelta(seconds=4)
# Step by which such a run is let work more again, one run at a time.
RETRY_INCREASE = 25
# A run that has been paused for this long would do better elsewhere.
PAUSED_LONG = datetime.timedelta(seconds=1)
# A run that was let work more within this time is blamed for a higher tail.
BLAME = datetime.timedelta(seconds=1.3)


@dataclasses.dataclass(kw_only=True, slots=True)
class Pace:
    """Percentage at which one run may work.

    Attributes:
        percent: The percentage.
        raised_at: When it was raised last, monotonic.
        backoff: How long it waits after it was slowed down; 0 if it never
            was.
        lowered_at: When it was slowed down last, monotonic.
    """

    percent: int
    raised_at: datetime.timedelta
    backoff: datetime.timedelta = datetime.timedelta()
    lowered_at: datetime.timedelta = datetime.timedelta()


class Pacer:
    """Percentages at which a backend server's best-effort runs may work."""

    def __init__(self):
        self._paces = {}
        self._changed_at = None
        self.worst = 0.0

    def add(self, run, percent, now):
        """Begin to pace a run."""
        self._paces[run] = Pace(percent=percent, raised_at=now)

    def remove(self, run):
        """Forget a run."""
        self._paces.pop(run, None)

    def get_percent(self, run):
        """Return at which percentage a run may work."""
        pace = self._paces.get(run)
        return pace.percent if pace else FULL

    @property
    def share(self):
        """Mean percentage over all runs."""
        if not self._paces:
            return FULL
        total = sum(pace.percent for pace in self._paces.values())
        return total // len(self._paces)

    def update(self, tails, pressing, now):
        """Take the newest tail latencies.

        Args:
            tails: (tail latency, target) pairs in ms of the tasks that serve
                users.
            pressing: Runs that are known to raise the tails.
            now: Monotonic time.

        Returns:
            Whether any percentage has changed.
        """
        self.worst = max((tail / target for tail, target in tails), default=0)
        recent = self._changed_at and now - self._changed_at < SETTLE
        if not self._paces or recent:
            return False
        before = {run: pace.percent for run, pace in self._paces.items()}
        if self.worst >= SLOW_AT:
            for pace in self._find_blamed(pressing, now):
                self._lower(pace, now)
        elif self.worst < RELAX_AT:
            self._relax(now)
        after = {run: pace.percent for run, pace in self._paces.items()}
        if before == after:
            return False
        self._changed_at = now
        return True

    def _find_blamed(self, pressing, now):
        """Return the paces to lower: the newest raised, else the pressing."""
        working = {
            run: pace for run, pace in self._paces.items() if pace.percent
        }
        raised = [
            pace for pace in working.values() if now - pace.raised_at < BLAME
        ]
        known = [pace for run, pace in working.items() if run in pressing]
        if self.worst >= 1.0:
            return raised + known or list(working.values())
        return raised or known or list(working.values())

    def _relax(self, now):
        """Raise what never disturbed, and one run of those that did."""
        waiting = []
        for pace in self._paces.values():
            if pace.percent >= FULL:
                continue
            if pace.backoff:
                waiting.append(pace)
            else:
                _raise(pace, INCREASE, now)
        ready = [
            pace for pace in waiting if now >= pace.lowered_at + pace.backoff
        ]
        if ready:
            first = max(ready, key=lambda pace: pace.percent)
            _raise(first, RETRY_INCREASE, now)

    def _lower(self, pace, now):
        lower = int(pace.percent * DECREASE)
        # Over the target there is no time to approach the right pace.
        if self.worst >= 1.0 or lower < LEAST:
            lower = 0
        pace.percent = lower
        pace.lowered_at = now
        pace.backoff = min(max(2 * pace.backoff, FIRST_BACKOFF), MAX_BACKOFF)

    def list_paused(self, now):
        """Return the runs that have been paused for long."""
        return [
            run
            for run, pace in self._paces.items()
            if not pace.percent and now - pace.lowered_at >= PAUSED_LONG
        ]


def _raise(pace, step, now):
    pace.percent = min(FULL, pace.percent + step)
    pace.raised_at = now
