"""Admission control: checks that a request passes on its arrival."""

import datetime

from bilberryhaven.entry import effect
from bilberryhaven.entry import responses
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['AdmissionControl']

ZERO = datetime.timedelta()

_logger = log.get_logger('entry')


class AdmissionControl:
    """Rejects requests that cannot be served, before any dispatch.

    Args:
        view: The entry's ``View``.
        router: Its ``Router``.
        limits: Its ``Limits``.

    Attributes:
        draining: Whether new requests are refused.
    """

    def __init__(self, *, view, router, limits):
        self.draining = False
        self._view = view
        self._router = router
        self._limits = limits

    def check(self, request, count, now):
        """Return the ``WorkloadView`` of a request that is admitted.

        Args:
            request: The ``Request``.
            count: Number of requests in progress.
            now: Monotonic time.

        Raises:
            BilberryhavenError: The request is refused.
        """
        if self.draining:
            raise errors.DrainingError(
                'the entry is draining', step='receive', retry_after=1
            )
        self.check_lease(now)
        if request.timeout <= ZERO:
            raise errors.DeadlineError(
                'the deadline passed before the request was admitted',
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
        """Raise ``LeaseLapsedError`` unless the entry holds a valid lease."""
        if not self._view.has_lease(now):
            raise errors.LeaseLapsedError(
                'the entry holds no valid lease from the leader',
                step='receive',
                retry_after=1,
            )

    def join(self, pending, caller):
        """Add ``caller`` to the callers that wait for a pending request."""
        if len(pending.callers) >= self._limits.callers:
            raise errors.OverloadError(
                'too many callers are waiting for this request',
                step='receive',
                outcome=errors.Outcome.UNKNOWN,
                retry_after=1,
            )
        pending.callers.append(caller)


def check_fingerprint(known, fingerprint):
    """Raise ``ConflictError`` where an id is reused with other content."""
    if known != fingerprint:
        raise errors.ConflictError(
            'the request id was used with another workload or body',
            step='receive',
        )


def build_refusal(caller, request, error):
    """Return the response to a refused request, and log the refusal."""
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
