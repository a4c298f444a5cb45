"""State of the requests in progress, and their limits."""

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
    """Bounds of a request core.

    Attributes:
        pending: Requests in progress at a time.
        callers: Callers that wait for the same request.
        attempts: Dispatches of one request.
        retry_ratio: Retries as a share of requests.
        retry_burst: Retries that may come at once.
        failover_ratio: Retries after a connection that was never made, as
            a share of requests; they add no load to any agent.
        failover_burst: Such retries that may come at once.
        max_timeout: Longest time until a request's deadline.
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
    """What a request waits for."""

    CLAIM = 'claim'
    DISPATCH = 'dispatch'
    REVOKE = 'revoke'
    RESYNC = 'resync'


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A request in progress.

    Attributes:
        request: The ``Request``.
        fingerprint: Digest of its content, where the caller keyed it.
        deadline: Monotonic time of its deadline.
        repeatable: Whether its workload may run more than once.
        callers: Keys of the callers that wait for it.
        step: What it waits for.
        holder: Name under which it is claimed, or empty.
        dispatch: Its newest ``Dispatch``.
        attempts: Dispatches so far.
        excluded: Targets that it must not go to again.
        cancelled: Whether it must not be retried.
        resynced: Whether the view was renewed for it.
        last_error: Error of the newest attempt.
        earlier: Outcome of the attempts before that.
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
        """Whether it may run again after it may have run."""
        return self.request.idempotent and self.repeatable


def compute_fingerprint(request):
    """Return the digest by which a resend is recognised."""
    if not request.has_idempotency_key:
        return ''
    return util.compute_digest(
        request.workload.encode() + b'\0' + request.body
    )


def compute_revocation_reserve(request):
    """Return the part of the time kept for a revocation at the end."""
    return min(
        request.timeout * REVOCATION_RESERVE_SHARE, MAX_REVOCATION_RESERVE
    )


def must_store_response(pending, error):
    """Return whether a resend must get this answer again."""
    if error is None:
        return True
    if error.outcome == errors.Outcome.NOT_RUN:
        return False
    return not pending.is_retry_safe


def has_time_for_retry(pending, now):
    """Return whether another attempt can end before the deadline."""
    return now < pending.deadline - compute_revocation_reserve(pending.request)
