"""Runs that would end sooner if they were started again elsewhere.

The load that it answers: run times with a heavy tail on servers some of which
turn slow or stand still for seconds. A long task on a sound server is left
alone: stopped, it would only begin anew. So a run is a straggler only if the
speed of its server says so, or if it stands still.
"""

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import server_cost
from bilberryhaven.workflow import server_speed

__all__ = [
    'can_take',
    'estimate_restart_s',
    'has_room_elsewhere',
    'list_stragglers',
]

# Progress is listed twice a second, so little is known of a younger run.
MIN_AGE_S = 1.0
# Time that a stop and a new start take.
RESTART_DELAY_S = 0.5
# A run is a straggler if its remaining time exceeds that of a new start by
# more than this factor. The server may become faster in the meantime.
MIN_GAIN = 1.5
# Age from which a run is stopped though its task may be copied: a copy loses
# no work, and would have been started by then.
MAX_COPY_WAIT_S = 2.0
# A run stands still if one percent takes longer than this, and than this
# multiple of the time that one percent takes a long task of its queue.
MIN_STALL = clocks.seconds(1)
STALL_FACTOR = 6.0
LONG_SHARE = 0.98
# Tasks with this many starts are not moved again.
MAX_STARTS = 3
FULL_PERCENT = 100


def list_stragglers(views, runs, speeds, times, now):
    """Return the runs of one server that would end sooner elsewhere.

    Args:
        views: ``RunView`` by run, all that the log assigns to the server.
        runs: ``RunProgress`` by run, from the server's listings.
        speeds: The ``ServerSpeeds``.
        times: The ``RunTimes``.
        now: Monotonic time.

    Returns:
        (stalled, slow): ``RunRef`` rows of runs that stand still, and of
        runs that are slow since their server is.
    """
    stalled, slow = [], []
    for ref, seen in runs.items():
        view = views.get(ref)
        if view is None or view.stopping or seen.age_s < MIN_AGE_S:
            continue
        if ref.number >= MAX_STARTS:
            continue
        if not server_speed.is_comparable(view.step):
            continue
        if _is_stalled(view, seen, speeds, times, now):
            stalled.append(ref)
        elif _is_slowed(view, seen, speeds.find(view.backend, now)):
            slow.append(ref)
    return stalled, slow


def _is_stalled(view, seen, speeds, times, now):
    long_s = times.quantile(
        view.row.queue, LONG_SHARE, image=view.step.image
    ) or speeds.find_typical(view, now)
    if long_s is None:
        return False
    per_percent_s = max(long_s / FULL_PERCENT, seen.seconds_per_percent or 0.0)
    return seen.stalled_s > max(
        MIN_STALL.total_seconds(), STALL_FACTOR * per_percent_s
    )


def _is_slowed(view, seen, speed):
    restart_s = estimate_restart_s(view, seen, speed)
    if restart_s is None or not server_speed.is_slow(speed):
        return False
    if view.step.speculative and (
        seen.age_s < MAX_COPY_WAIT_S
        or len(view.row.find_task(view.ref.task).runs) > 1
    ):
        return False
    return seen.remaining_s > MIN_GAIN * restart_s


def estimate_restart_s(view, seen, speed):
    """Return when a run would end if it were started again elsewhere.

    Args:
        view: Its ``RunView``.
        seen: Its ``RunProgress``.
        speed: Speed of its server, relative to the others.

    Returns:
        The time in seconds from now, or None if it isn't known.
    """
    if seen.total_s is None:
        return None
    needed_s = seen.total_s * min(speed, 1.0)
    if view.step.saves_progress:
        needed_s *= 1 - seen.percent / FULL_PERCENT
    return RESTART_DELAY_S + needed_s


def has_room_elsewhere(view, servers):
    """Return whether a server of normal speed can take a run's task now.

    Args:
        view: The ``RunView``.
        servers: The ``Server`` rows; the task is claimed on the one found.
    """
    for server in servers:
        if can_take(server, view):
            server.claim(view.step, view.group)
            return True
    return False


def can_take(server, view):
    """Return whether another server of normal speed can take a run's task.

    Args:
        server: The ``Server``.
        view: The ``RunView``.
    """
    limit = view.step.max_per_backend
    return (
        server.key != view.backend
        and server.open
        and server.pool == view.row.pool
        and not server.suspect
        and not server.warming_ms
        and not server_speed.is_slow(server.speed)
        and server_cost.is_eligible(server, view.step)
        and server.accepts(view.ref.workflow, suspected=False)
        and server.has_capacity(view.step)
        and not 0 < limit <= server.task_counts.get(view.group, 0)
    )
