"""Revocation: asks an agent never to start a dispatched request."""

import datetime

from bilberryhaven.entry import effect

__all__ = ['build_revoke']

MILLISECOND = datetime.timedelta(milliseconds=1)
REVOKE_TIMEOUT = 500 * MILLISECOND


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
