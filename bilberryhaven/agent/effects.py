"""Inputs and effects of the admission core."""

import dataclasses
import datetime
import enum

from bilberryhaven import errors

__all__ = [
    'RefuseJob',
    'Reply',
    'Request',
    'Result',
    'Run',
    'RunJob',
    'RunState',
]


class RunState(enum.StrEnum):
    """Run state of a request, in backend replies and revocations."""

    NOT_RUN = 'not_run'
    STARTED = 'started'
    RUNNING = 'running'
    FINISHED = 'finished'


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """One dispatch of a caller's request.

    Attributes:
        ticket: Identifies this dispatch within the agent.
        request_id: Identifies the request; repeats carry the same id.
        fingerprint: Digest of workload and body; detects an id that is
            reused for a different request.
        deadline_at: Monotonic time after which the answer is useless.
        urgent: Whether it precedes requests that aren't urgent.
        idempotent: Whether it may run again after a failed run.
        revision: Revision that the entry holds.
        incarnation: Incarnation of the agent as the entry knows it; 0 if it
            doesn't.
    """

    ticket: int
    request_id: str
    fingerprint: str = ''
    deadline_at: datetime.timedelta
    urgent: bool = True
    idempotent: bool = False
    revision: int = 0
    incarnation: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Result:
    """Result of a request: an answer or an error.

    Attributes:
        code: Error code; empty for an answer.
        message: Error message.
        outcome: Whether the request ran.
        body: Body of the answer.
        retry_after: Suggested delay before a retry, or None.
    """

    code: str = ''
    message: str = ''
    outcome: errors.Outcome = errors.Outcome.RAN
    body: bytes = b''
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Run:
    """Send the request to the backend server now."""

    ticket: int
    request_id: str


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Reply:
    """Send the result to the caller of a dispatch."""

    ticket: int
    request_id: str
    result: Result


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class RunJob:
    """Start a job on the backend server now."""

    job_id: str
    epoch: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class RefuseJob:
    """Report that a job wasn't started."""

    job_id: str
    epoch: int
    reason: str
