"""State of the requests in progress, and their limits."""

import dataclasses
import datetime
import enum

from bilberryhaven.entry import effect
from bilberryhaven import errors
from bilberryhaven import util

__all__ = [
    'Limits',
    'Pending',
    'Step',
    'compute_fingerprint',
    'compute_reserve',
    'has_time',
    'is_final',
]

RESERVE_SHARE = 0.1
MAX_RESERVE = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(kw_only=True, frozen=True)
class Limits:
    """Bounds of a request core.

    Attributes:
        pending: Requests in progress at a time.
        callers: Callers that wait for the same request.
        attempts: Dispatches of one request.
        retry_share: Retries as a share of requests.
        retry_burst: Retries that may come at once.
        failover_share: Retries after a connection that was never made, as
            a share of requests; they add no load to any agent.
        failover_burst: Such retries that may come at once.
        max_timeout: Longest time until a request's deadline.
    """

    pending: int = 512
    callers: int = 4
    attempts: int = 4
    retry_share: float = 0.08
    retry_burst: int = 10
    failover_share: float = 0.5
    failover_burst: int = 100
    max_timeout: datetime.timedelta = datetime.timedelta(seconds=120)


class Step(enum.Enum):
    """What a request waits for."""

    CLAIM = 'claim'
    DISPATCH = 'dispatch'
    REVOKE = 'revoke'
    RESYNC = 'resync'


@dataclasses.dataclass(kw_only=True, slots=True)
class Pending:
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
    resynced: bool = False
    last_error: errors.BilberryhavenError | None = None
    earlier: errors.Outcome = errors.Outcome.NOT_RUN

    @property
    def may_repeat(self):
        """Whether it may run again after it may have run."""
        return self.request.idempotent and self.repeatable


def compute_fingerprint(request):
    """Return the digest by which a resend is recognised."""
    if not request.keyed:
        return ''
    return util.compute_digest(
        request.workload.encode() + b'\0' + request.body
    )


def compute_reserve(request):
    """Return the part of the time kept for a revocation at the end."""
    return min(request.timeout * RESERVE_SHARE, MAX_RESERVE)


def is_final(pending, error):
    """Return whether a resend must get this answer again."""
    if error is None:
        return True
    if error.outcome == errors.Outcome.NOT_RUN:
        return False
    return not pending.may_repeat


def has_time(pending, now):
    """Return whether another attempt can end before the deadline."""
    return now < pending.deadline - compute_reserve(pending.request)
