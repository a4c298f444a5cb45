"""Checks on a request's arrival: what the entry takes at all."""

import datetime

from bilberryhaven.entry import effect
from bilberryhaven.entry import responses
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['AdmissionControl']

ORIGIN = datetime.timedelta()

_logger = log.get_logger('entry')


class AdmissionControl:
    """Refuses early what can't be served, with a code.

    Args:
        view: The entry's ``View``.
        router: Its ``Router``.
        limits: Its ``Limits``.

    Attributes:
        draining: Whether nothing new is taken.
    """

    def __init__(self, *, view, router, limits):
        self.draining = False
        self._view = view
        self._router = router
        self._limits = limits

    def check(self, request, count, now):
        """Return the workload of a ``Request`` that may be taken.

        Args:
            request: The request.
            count: Requests in progress.
            now: Monotonic time.

        Raises:
            BilberryhavenError: It isn't taken.
        """
        if self.draining:
            raise errors.DrainingError(
                'the entry is stopping', step='receive', retry_after=1
            )
        self.check_lease(now)
        if request.timeout <= ORIGIN:
            raise errors.DeadlineError(
                'the deadline has passed',
                step='receive',
                outcome=errors.Outcome.NOT_RUN,
            )
        if count >= self._limits.pending:
            raise errors.OverloadError(
                'the entry has too many requests in progress',
                step='receive',
                retry_after=1,
            )
        return self._router.check_workload(request.workload)

    def check_lease(self, now):
        """Refuse where the entry's lease has run out."""
        if not self._view.has_lease(now):
            raise errors.LeaseLapsedError(
                'the entry has no lease from the leader',
                step='receive',
                retry_after=1,
            )

    def join(self, pending, caller):
        """Let ``caller`` wait for a request that is in progress."""
        if len(pending.callers) >= self._limits.callers:
            raise errors.OverloadError(
                'too many callers wait for this request',
                step='receive',
                outcome=errors.Outcome.UNKNOWN,
                retry_after=1,
            )
        pending.callers.append(caller)


def check_fingerprint(known, fingerprint):
    """Refuse an id that was used for a request with other content."""
    if known != fingerprint:
        raise errors.ConflictError(
            'the request id was used for another request', step='receive'
        )


def build_refusal(caller, request, error):
    """Return the answer to a request that isn't taken, and log it."""
    error.request_id = request.id
    log.log_decision(
        _logger,
        'refuse',
        reason=error.message,
        request_id=request.id,
        workload=request.workload,
        code=error.code,
    )
    response = responses.Response(request_id=request.id, error=error)
    return effect.Respond(caller=caller, response=response)
