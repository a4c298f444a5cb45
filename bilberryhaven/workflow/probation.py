"""Probation of runs: a task may crash each server that starts it.

Such a task crashes its server soon after its start. So the runs started last
are suspected of a crash, and a suspected task is started again apart from the
newly started runs of other workflows: if that server crashes too, the task is
known to be the cause.
"""

from bilberryhaven import clock as clocks

__all__ = ['is_settled', 'list_fresh_runs']

# Time since its first listing after which a run isn't suspected of a crash.
SETTLING_TIME = clocks.seconds(0.5)
# Upper bound on the same time since the start was ordered. It counts if the
# run was never listed, and after a change of leaders, which resets listings.
MAX_FRESH_AGE_S = 5.0


def is_settled(presence, now):
    """Return whether a run has been at work for a while.

    Args:
        presence: Its ``Presence``, or None if it was never listed.
        now: Monotonic time.
    """
    return presence is not None and now - presence.first_at >= SETTLING_TIME


def list_fresh_runs(views, present, now, wall):
    """Return the runs of a server that were started a short time ago.

    Args:
        views: ``RunView`` by run, all that the log assigns to the server.
        present: ``Presence`` by run, from the server's newest listing.
        now: Monotonic time.
        wall: Unix time in seconds.

    Returns:
        Their ``RunRef`` rows.
    """
    return [
        ref
        for ref, view in views.items()
        if not is_settled(present.get(ref), now)
        and wall - view.ordered_at < MAX_FRESH_AGE_S
    ]
