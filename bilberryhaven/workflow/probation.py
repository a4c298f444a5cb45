"""Probation of runs: a task may crash each server that starts it.

Such a task crashes its server soon after its start. So the runs started last
are suspected of a crash, and a suspected task is started again apart from the
newly started runs of other workflows, so that further crashes show which task
is the cause.
"""

from bilberryhaven import clock as clocks

__all__ = ['is_settled', 'list_settled_suspects', 'list_suspects']

# Time since its first listing after which a run is no longer kept apart from
# the start of a suspected task.
SETTLING_TIME = clocks.seconds(0.5)
# Time from a start to a crash that it may have caused. A task that crashes its
# server does so at once; the rest is for agents that notice it late.
SUSPICION_TIME = clocks.seconds(0.25)
# Time from its first listing after which a task is cleared of all crashes.
PROBATION_TIME = clocks.seconds(1)
MILLISECOND = clocks.seconds(0.001)


def is_settled(presence, now):
    """Return whether a run has been at work for a while.

    Args:
        presence: Its ``Presence``, or None if it was never listed.
        now: Monotonic time.
    """
    return presence is not None and now - presence.first_at >= SETTLING_TIME


def list_suspects(started):
    """Return the runs that may have crashed a backend server.

    Args:
        started: The ``StartedRun`` rows that its agent has reported.

    Returns:
        Their ``RunRef`` rows.
    """
    limit_ms = SUSPICION_TIME // MILLISECOND
    return [row.run for row in started if row.age_ms < limit_ms]


def list_settled_suspects(views, present, now):
    """Return runs at work for long under whose tasks servers have crashed.

    Args:
        views: ``RunView`` by run, all that the log assigns to a server.
        present: ``Presence`` by run, from the server's newest listing.
        now: Monotonic time.

    Returns:
        Their ``RunRef`` rows.
    """
    return [
        ref
        for ref, seen in present.items()
        if now - seen.first_at >= PROBATION_TIME
        and ref in views
        and views[ref].row.find_task(ref.task).crashes
    ]
