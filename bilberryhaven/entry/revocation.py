"""Revocation: asks an agent never to start a dispatched request."""

import datetime

from bilberryhaven import clock
from bilberryhaven.entry import effect
from bilberryhaven.wire import limits

__all__ = ['build_revoke', 'is_addressee', 'is_recorded']

MILLISECOND = datetime.timedelta(milliseconds=1)
REVOKE_TIMEOUT = 500 * MILLISECOND
# Covers the difference between the clock rates of entry and agent.
RECORD_MARGIN = clock.seconds(2)


def build_revoke(pending, now, *, awaited):
    """Return the effect that revokes a request's latest dispatch.

    Args:
        pending: The ``PendingRequest``.
        now: Monotonic time.
        awaited: Whether the request waits for the agent's reply.
    """
    remaining = max(pending.deadline - now, MILLISECOND)
    return effect.Revoke(
        request_id=pending.request.id,
        address=pending.dispatch.address,
        timeout=min(remaining, REVOKE_TIMEOUT),
        dispatch=pending.dispatch,
        awaited=awaited,
    )


def is_addressee(dispatch, incarnation):
    """Return whether an agent is the one that a dispatch was sent to.

    Another one may listen at the address by now, and knows nothing of it.

    Args:
        dispatch: The ``Dispatch``.
        incarnation: Incarnation of the agent, 0 if unknown.
    """
    return dispatch.message.incarnation in (0, incarnation)


def is_recorded(dispatch, now):
    """Return whether the agent still knows what became of a dispatch.

    Later, that it has no record of the request proves nothing.

    Args:
        dispatch: The ``Dispatch``.
        now: Monotonic time at which the agent's reply arrived.
    """
    deadline = dispatch.message.deadline_ms * MILLISECOND
    kept = min(deadline, limits.MAX_DEADLINE) + limits.RESULT_RETENTION
    return now < dispatch.sent_at + kept - RECORD_MARGIN
