"""Evacuation of backend servers that are about to leave.

Everything that runs on a server ends when the server leaves. A run that is
stopped before that keeps its work, if it saves its progress.
"""

from bilberryhaven import clock as clocks

__all__ = ['list_evacuations']

# Time before a server leaves at which its runs are stopped: until then they
# make progress, after it a stop might not be confirmed in time.
LEAD_TIME = clocks.seconds(1.5)
# A run with less progress than this since its first listing, in percent, gives
# no estimate of its remaining time.
MIN_PERCENT = 1
FULL_PERCENT = 100
# Share of the runs that the typical remaining time covers.
TYPICAL_SHARE = 0.5


def list_evacuations(agent_session, views, times, now):
    """Return the runs to stop on a draining server.

    Runs that save their progress and long-running ones are stopped shortly
    before the server leaves. The others are stopped as soon as they are known
    to end too late, and otherwise run to their end.

    Args:
        agent_session: The ``Session`` of the server.
        views: ``RunView`` by run, all that the log assigns to it.
        times: The measured ``RunTimes``.
        now: Monotonic time.
    """
    if agent_session.leaves_at is None:
        return []
    remaining = agent_session.leaves_at - now
    evacuated = []
    for ref, view in views.items():
        if view.stopping or view.step.gang:
            continue
        step = view.step
        if step.saves_progress or step.long_running:
            leaves = remaining <= LEAD_TIME
        else:
            seen = agent_session.present.get(ref)
            needed_s = _estimate_remaining_s(view, seen, times, now)
            leaves = needed_s is not None and (
                needed_s > max(remaining.total_seconds(), 0)
            )
        if leaves:
            evacuated.append(ref)
    return evacuated


def _estimate_remaining_s(view, seen, times, now):
    """Return the remaining time of a run in s, or None if unknown."""
    age_s = (now - seen.first_at).total_seconds() if seen is not None else 0.0
    queue, image = view.row.queue, view.step.image
    if seen is None or not seen.running.percent:
        return times.remaining(queue, age_s, TYPICAL_SHARE, image=image)
    left = FULL_PERCENT - seen.running.percent
    gained = seen.running.percent - seen.first_percent
    if gained >= MIN_PERCENT:
        return age_s * left / gained
    typical_s = times.quantile(queue, TYPICAL_SHARE, image=image)
    return None if typical_s is None else typical_s * left / FULL_PERCENT
