"""State and limits of the requests in progress."""

import dataclasses
import datetime
import enum

from bilberryhaven.entry import effect
from bilberryhaven import errors
from bilberryhaven import util

__all__ = [
    'Limits',
    'PendingRequest',
    'Step',
    'compute_fingerprint',
    'compute_revocation_reserve',
    'has_time_for_retry',
    'must_store_response',
]

REVOCATION_RESERVE_SHARE = 0.1
MAX_REVOCATION_RESERVE = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(kw_only=True, frozen=True)
class Limits:
    """Limits of a request core.

    Attributes:
        pending: Maximum number of requests in progress.
        callers: Maximum number of callers that wait for the same request.
        attempts: Maximum number of dispatches of one request.
        retry_ratio: Retries allowed per request received.
        retry_burst: Maximum number of retries in a burst.
        failover_ratio: Failovers allowed per request received. A failover
            is a retry after an attempt that no agent accepted, for example
            because no connection was made; it adds no load to any agent.
        failover_burst: Maximum number of failovers in a burst.
        max_timeout: Maximum time from a request's arrival to its deadline.
    """

    pending: int = 512
    callers: int = 4
    attempts: int = 4
    retry_ratio: float = 0.08
    retry_burst: int = 10
    failover_ratio: float = 0.5
    failover_burst: int = 100
    max_timeout: datetime.timedelta = datetime.timedelta(seconds=120)


class Step(enum.Enum):
    """Event that a request waits for."""

    CLAIM = 'claim'
    DISPATCH = 'dispatch'
    REVOKE = 'revoke'
    RESYNC = 'resync'


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A request in progress.

    Attributes:
        request: The ``Request``.
        fingerprint: Digest of the workload and body; empty without an
            idempotency key.
        deadline: Monotonic time of the deadline.
        repeatable: Whether the workload may run a request more than once.
        callers: Keys of the callers that wait for the response.
        step: Event that the request waits for.
        holder: Name under which the request is claimed, or empty.
        dispatch: The latest ``Dispatch``.
        attempts: Number of dispatches so far.
        excluded: Targets that must not be chosen again.
        cancelled: Whether the request must not be retried.
        view_renewed: Whether the view was renewed for this request.
        last_error: Error of the latest attempt.
        previous_outcome: Outcome of the attempts before the latest one.
    """

    request: effect.Request
    fingerprint: str
    deadline: datetime.timedelta
    repeatable: bool
    callers: list
    step: Step = Step.DISPATCH
    holder: str = ''
    dispatch: effect.Dispatch | None = None
    attempts: int = 0
    excluded: list = dataclasses.field(default_factory=list)
    cancelled: bool = False
    view_renewed: bool = False
    last_error: errors.BilberryhavenError | None = None
    previous_outcome: errors.Outcome = errors.Outcome.NOT_RUN

    @property
    def is_retry_safe(self):
        """Whether the request may be retried after it may have run."""
        return self.request.idempotent and self.repeatable


def compute_fingerprint(request):
    """Return the digest that detects reuse of an id by another request."""
    if not request.has_idempotency_key:
        return ''
    return util.compute_digest(
        request.workload.encode() + b'\0' + request.body
    )


def compute_revocation_reserve(request):
    """Return the time before the deadline that is kept for a revocation."""
    return min(
        request.timeout * REVOCATION_RESERVE_SHARE, MAX_REVOCATION_RESERVE
    )


def must_store_response(pending, error):
    """Return whether a duplicate request must get this response again.

    Args:
        pending: The ``PendingRequest``.
        error: The error of the response, or None.
    """
    if error is None:
        return True
    if error.outcome == errors.Outcome.NOT_RUN:
        return False
    return not pending.is_retry_safe


def has_time_for_retry(pending, now):
    """Return whether there is time for another attempt.

    Args:
        pending: The ``PendingRequest``.
        now: Monotonic time.
    """
    return now < pending.deadline - compute_revocation_reserve(pending.request)
