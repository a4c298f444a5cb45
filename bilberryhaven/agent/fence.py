"""Fencing checks that precede the admission of work."""

import dataclasses
import datetime

__all__ = ['Fence', 'Refusal', 'check_deadline']

NO_TIME = datetime.timedelta()


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Refusal:
    """Why work isn't admitted: an error code and a readable reason."""

    code: str
    reason: str


OVERLOAD = Refusal(
    code='overload',
    reason='connections or queue full, or the wait exceeds the deadline',
)
DEDUP_FULL = Refusal(code='overload', reason='the deduplication table is full')
REVOKED = Refusal(code='refused', reason='the request was revoked')
ID_REUSED = Refusal(
    code='bad_input', reason='the request id belongs to a different request'
)
MAY_RUN = Refusal(
    code='refused', reason='an earlier dispatch may still be running'
)
DISPLACED = Refusal(
    code='overload', reason='displaced from the queue by an urgent request'
)


class Fence:
    """Checks work against lease, revision, incarnation and draining.

    Args:
        incarnation: Differs after each start of the agent.
    """

    def __init__(self, *, incarnation):
        self.incarnation = incarnation
        self.draining = False
        self._lease_until = NO_TIME
        self._revision = 0

    def renew(self, until, revision):
        """Extend the lease to ``until`` and raise the revision.

        Neither value ever decreases.
        """
        self._lease_until = max(self._lease_until, until)
        self._revision = max(self._revision, revision)

    def drop_lease(self):
        """Stop admitting until the lease is renewed."""
        self._lease_until = NO_TIME

    def check_lease(self, now):
        """Return the ``Refusal`` if the lease has expired, or None."""
        if now >= self._lease_until:
            return Refusal(code='lease_lapsed', reason='the lease ran out')
        return None

    def check_agent(self, now):
        """Return the ``Refusal`` that applies to all new work, or None."""
        if self.draining:
            return Refusal(code='draining', reason='the agent is leaving')
        return self.check_lease(now)

    def check_request(self, request, now):
        """Return the ``Refusal`` of a new dispatch, or None."""
        refusal = self.check_agent(now)
        if refusal is not None:
            return refusal
        if request.incarnation not in (0, self.incarnation):
            return Refusal(
                code='refused', reason='sent to an earlier incarnation'
            )
        return self.check_start(request, now)

    def check_start(self, request, now):
        """Return the ``Refusal`` of a request about to start, or None."""
        refusal = self.check_lease(now) or check_deadline(request, now)
        if refusal is None and request.revision < self._revision:
            return Refusal(
                code='refused',
                reason=f'stale revision: {self._revision} is in force',
            )
        return refusal


def check_deadline(request, now):
    """Return the ``Refusal`` of a request past its deadline, or None."""
    if request.deadline_at <= now:
        return Refusal(code='deadline', reason='the deadline has passed')
    return None
