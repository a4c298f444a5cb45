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
from bilberryhaven.workflow import copy_outcomes
from bilberryhaven.workflow import server_cost
from bilberryhaven.workflow import server_speed
from bilberryhaven.workflow import stragglers

__all__ = ['plan_copies']

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
# Tasks with this many starts aren't copied.
MAX_STARTS = 3


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
    for view in views:
        estimate = _estimate_gain(view, monitor, now)
        if estimate is not None:
            needed.append((*estimate, view))
    if not needed:
        return []
    pools = _measure_pools(views, waiting, servers)
    copies = []
    for gain_s, reason, view in sorted(needed, key=_rank):
        pool = pools.get(view.row.pool)
        if pool is None or not pool.accepts(view):
            continue
        server = _choose_server(view, servers)
        if server is None:
            continue
        server.claim(view.step, view.group)
        pool.claim(view.step)
        copies.append(
            copy_outcomes.Copy(
                start=_build_start(view, server),
                queue=view.row.queue,
                reason=reason,
                gain_s=gain_s,
            )
        )
    return copies


def _build_start(view, server):
    number = view.row.find_task(view.ref.task).last_run + 1
    return workflow_commands.RunStart(
        view.ref.workflow, view.ref.task, number, server.key
    )


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
    return (
        not task.done
        and len(task.runs) == 1
        and view.row.has_attempt_left(step, task)
        and task.last_run < MAX_STARTS
        and not task.is_suspect
    )


def _is_large_enough(server, group):
    """Return whether a task would fit if the server were empty."""
    step = group.step
    return (
        server.pool == group.row.pool
        and server_cost.is_eligible(server, step)
        and step.cpu <= server.cpu
        and step.memory_mb <= server.memory_mb
        and step.gpu <= server.gpu
    )


def _estimate_gain(view, monitor, now):
    """Return (seconds, ``CopyReason``) that a copy gains, or None."""
    if not _may_copy(view):
        return None
    seen = monitor.progress.find(view.backend, view.ref)
    if seen is None or monitor.copies.is_known(view.ref):
        return None
    if now - seen.seen_at > SILENCE:
        typical_s = monitor.speeds.find_typical(view, now)
        return (
            None
            if typical_s is None
            else (typical_s, copy_outcomes.CopyReason.SILENT)
        )
    if seen.age_s < MIN_AGE_S or seen.remaining_s is None:
        return None
    speed = monitor.speeds.find(view.backend, now)
    if server_speed.is_slow(speed):
        reason = copy_outcomes.CopyReason.SLOW
        copy_s = stragglers.estimate_restart_s(view, seen, speed)
    else:
        reason = copy_outcomes.CopyReason.LONG
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
    """CPU of a pool in thousandths of a core, and who waits for it.

    Attributes:
        total: Capacity of the servers that accept tasks.
        unused: CPU that no task requests.
        copied: CPU that copies request.
        waiting: Highest priority of the tasks that wait; 0 is the highest.
    """

    total: int = 0
    unused: int = 0
    copied: int = 0
    waiting: float = math.inf

    def accepts(self, view):
        """Return whether a copy leaves enough for other tasks."""
        step = view.step
        if view.row.priority >= self.waiting:
            return False
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


def _measure_pools(views, waiting, servers):
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
    for group in waiting:
        pool = pools.get(group.row.pool)
        if (
            pool is not None
            and group.row.priority < pool.waiting
            # A task that is too large for all servers doesn't count.
            and any(_is_large_enough(server, group) for server in servers)
        ):
            pool.waiting = group.row.priority
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
