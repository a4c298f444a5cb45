"""Copies of runs that take far longer than like tasks.

The load that it answers: steps that wait for their last task, when a few
tasks take many times as long, servers turn slow, or a server can't be
reached. A copy runs on another server; the first of the two to end counts,
and the other one is stopped.

A copy only uses what no task waits for, and a copy of a long task on a sound
server only helps if the length is due to chance rather than to the task. So
it is measured how often copies end first.
"""

import dataclasses
import math

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import server_speed
from bilberryhaven.workflow import stragglers

__all__ = ['Copy', 'CopyOutcomes', 'CopyReason', 'plan_copies']

# A rate of progress is known from this age on.
MIN_AGE_S = 1.0
# Share of like tasks that the upper tail leaves out.
TAIL_SHARE = 0.9
# A run is copied if its remaining time exceeds that of the copy by more than
# this factor.
MIN_GAIN = 1.5
# Time without a listing after which a run may be lost. Its lease has to
# expire before a task that may not be copied is started again.
SILENCE = clocks.seconds(1.5)
# Share of a pool's CPU that copies may use, and that they leave unused.
MAX_COPY_SHARE = 0.05
MIN_UNUSED_SHARE = 0.1
# Share of the copies that must end first; with fewer, a long task takes long
# on any server. The assumed outcomes count until enough copies were started,
# and copies are tried again as the outcomes lose weight.
MIN_WON_SHARE = 0.3
ASSUMED_WON = 2.0
ASSUMED_COPIES = 4.0
OUTCOME_HALF_LIFE = clocks.seconds(60)
# Tasks with this many starts aren't copied.
MAX_STARTS = 3
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


def plan_copies(views, waiting, servers, monitor, now):
    """Decide which runs to copy and where.

    Args:
        views: ``RunView`` rows of all runs of steps that may be copied.
        waiting: ``Group`` rows with tasks that have found no server.
        servers: The ``Server`` rows; copies are claimed on them.
        monitor: The ``RunMonitor``.
        now: Monotonic time.

    Returns:
        The ``Copy`` rows, those that gain most first.
    """
    needed = []
    urgent = _find_most_urgent(waiting)
    for view in views:
        # Tasks that come before a copy wait for capacity.
        if urgent.get(view.row.pool, math.inf) <= view.row.priority:
            continue
        if not _may_copy(view):
            continue
        estimate = _estimate_gain(view, monitor, now)
        if estimate is not None:
            needed.append((*estimate, view))
    if not needed:
        return []
    pools = _measure_pools(views, servers)
    copies = []
    for gain_s, reason, view in sorted(needed, key=_rank):
        pool = pools.get(view.row.pool)
        if pool is None or not pool.has_spare(view.step):
            continue
        server = _choose_server(view, servers)
        if server is None:
            continue
        server.claim(view.step, view.group)
        pool.claim(view.step)
        number = view.row.find_task(view.ref.task).last_run + 1
        start = workflow_commands.RunStart(
            view.ref.workflow, view.ref.task, number, server.key
        )
        copies.append(
            Copy(
                start=start,
                queue=view.row.queue,
                reason=reason,
                gain_s=gain_s,
            )
        )
    return copies


def _rank(item):
    gain_s, _, view = item
    return (view.row.priority, -gain_s, view.ref.workflow, view.ref.task)


def _may_copy(view):
    step = view.step
    if not step.speculative or step.rack_local or view.stopping:
        return False
    if not server_speed.is_comparable(step):
        return False
    task = view.row.find_task(view.ref.task)
    # Each run may fail and use an attempt up.
    attempts_left = task.failures + len(task.runs) < view.row.max_attempts
    return (
        not task.done
        and len(task.runs) == 1
        and attempts_left
        and task.last_run < MAX_STARTS
        and not task.suspected_on
    )


def _find_most_urgent(waiting):
    """Return the highest priority of the waiting tasks by pool."""
    priorities = {}
    for group in waiting:
        row = group.row
        known = priorities.get(row.pool, math.inf)
        priorities[row.pool] = min(known, row.priority)
    return priorities


def _estimate_gain(view, monitor, now):
    """Return (seconds, ``CopyReason``) that a copy gains, or None."""
    seen = monitor.progress.find(view.backend, view.ref)
    if seen is None or monitor.copies.is_known(view.ref):
        return None
    if now - seen.seen_at > SILENCE:
        typical_s = monitor.speeds.find_typical(view, now)
        return None if typical_s is None else (typical_s, CopyReason.SILENT)
    if seen.age_s < MIN_AGE_S or seen.remaining_s is None:
        return None
    speed = monitor.speeds.find(view.backend, now)
    if server_speed.is_slow(speed):
        reason = CopyReason.SLOW
        copy_s = stragglers.estimate_restart_s(view, seen, speed)
    else:
        reason = CopyReason.LONG
        copy_s = _estimate_long_copy_s(view, seen, monitor, now)
    if copy_s is None or seen.remaining_s <= MIN_GAIN * copy_s:
        return None
    return seen.remaining_s - copy_s, reason


def _estimate_long_copy_s(view, seen, monitor, now):
    """Return the run time of a copy of a long task, or None."""
    queue = view.row.queue
    typical_s = monitor.speeds.find_typical(view, now)
    tail_s = monitor.times.quantile(queue, TAIL_SHARE, image=view.step.image)
    if typical_s is None or tail_s is None:
        return None
    is_long = seen.total_s > tail_s and seen.age_s > typical_s
    if not is_long or not monitor.copies.are_useful(queue, now):
        return None
    return stragglers.RESTART_DELAY_S + typical_s


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pool:
    """CPU of a pool in thousandths of a core.

    Attributes:
        total: Capacity of the servers that accept tasks.
        unused: CPU that no task requests.
        copied: CPU that copies request.
    """

    total: int = 0
    unused: int = 0
    copied: int = 0

    def has_spare(self, step):
        """Return whether a copy leaves enough for other tasks."""
        # In a small pool one copy may exceed the share.
        limit = max(MAX_COPY_SHARE * self.total, step.cpu)
        return (
            self.copied + step.cpu <= limit
            and self.unused - step.cpu >= MIN_UNUSED_SHARE * self.total
        )

    def claim(self, step):
        """Count a copy."""
        self.copied += step.cpu
        self.unused -= step.cpu


def _measure_pools(views, servers):
    pools = {}
    for server in servers:
        if server.open:
            pool = pools.setdefault(server.pool, _Pool())
            pool.total += server.cpu
            pool.unused += max(0, server.unclaimed)
    for view in views:
        pool = pools.get(view.row.pool)
        task = view.row.find_task(view.ref.task)
        is_copy = any(run.number < view.ref.number for run in task.runs)
        if pool is not None and is_copy:
            pool.copied += view.step.cpu
    return pools


def _choose_server(view, servers):
    """Return the best server for a copy, or None."""
    fits = [server for server in servers if _fits(view, server)]
    return min(
        fits,
        key=lambda server: (
            server_speed.rate_slowness(server.speed, view.step),
            server.best_effort_cpu > 0,
            -server.unclaimed / max(server.cpu, 1),
            server.key,
        ),
        default=None,
    )


def _fits(view, server):
    step = view.step
    return (
        stragglers.can_take(server, view)
        and server.key not in view.row.find_task(view.ref.task).failed_on
        and step.data_rack in ('', server.rack)
        # Best-effort tasks there aren't slowed down.
        and server.unclaimed >= step.cpu
    )
