"""Copies of runs, and how often they end first.

The load that it answers: long tasks, some of which take long by chance and
others on any server. Copies of the latter only cost capacity.
"""

import dataclasses

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands

__all__ = ['Copy', 'CopyOutcomes', 'CopyReason']

# Share of the copies that must end first; with fewer, a long task takes long
# on any server. The assumed outcomes count until enough copies were started,
# and copies are tried again as the outcomes lose weight.
MIN_WON_SHARE = 0.3
ASSUMED_WON = 2.0
ASSUMED_COPIES = 4.0
OUTCOME_HALF_LIFE = clocks.seconds(60)
# Copies whose outcome is awaited; the oldest one is dropped.
MAX_PENDING = 256


class CopyReason:
    """Why a run is copied.

    Attributes:
        SLOW: Its server is slow.
        SILENT: Its server isn't heard of.
        LONG: It takes longer than most like tasks.
    """

    SLOW = 'backend server is slow'
    SILENT = 'backend server is not heard of'
    LONG = 'far longer than like tasks'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Copy:
    """A copy to start.

    Attributes:
        start: The ``RunStart``.
        queue: Name of the workflow's queue.
        reason: One of ``CopyReason``.
        gain_s: Time by which the copy is expected to end earlier.
    """

    start: workflow_commands.RunStart
    queue: str
    reason: str
    gain_s: float


class CopyOutcomes:
    """How often copies of long tasks end first, by queue.

    It is in the leader's memory only; a new leader learns it anew.
    """

    def __init__(self):
        # (number, queue, reason) of the newest copy by (workflow id, task).
        self._pending = {}
        # [won, ended, monotonic time] by queue.
        self._counts = {}

    def clear(self):
        """Remove all records."""
        self._pending.clear()
        self._counts.clear()

    def add(self, copy):
        """Record that a copy is started."""
        start = copy.start
        key = (start.workflow, start.task)
        self._pending[key] = (start.number, copy.queue, copy.reason)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]

    def is_known(self, ref):
        """Return whether a copy of a run's task was started."""
        return (ref.workflow, ref.task) in self._pending

    def record_end(self, ref, now):
        """Record that a run has succeeded.

        Args:
            ref: The run.
            now: Monotonic time.
        """
        found = self._pending.pop((ref.workflow, ref.task), None)
        if found is None or found[2] != CopyReason.LONG:
            return
        number, queue, _ = found
        won, ended = self._count(queue, now)
        won += ref.number >= number
        self._counts[queue] = [won, ended + 1, now]

    def are_useful(self, queue, now):
        """Return whether copies of long tasks of a queue end first."""
        won, ended = self._count(queue, now)
        share = (won + ASSUMED_WON) / (ended + ASSUMED_COPIES)
        return share >= MIN_WON_SHARE

    def _count(self, queue, now):
        won, ended, at = self._counts.get(queue, (0.0, 0.0, now))
        weight = 0.5 ** ((now - at) / OUTCOME_HALF_LIFE)
        return won * weight, ended * weight
