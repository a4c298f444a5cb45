"""What the admission core is asked and what it orders."""

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
    """Fate of a request, as backend servers and revocations tell it."""

    NOT_RUN = 'not_run'
    STARTED = 'started'
    RUNNING = 'running'
    FINISHED = 'finished'


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """One dispatch of a caller's request.

    Attributes:
        ticket: Identifies this dispatch.
        request_id: Identifies the request; repeats carry the same.
        fingerprint: Digest of workload and body; differs for another request.
        deadline_at: When its answer is of no more use.
        urgent: Whether it goes before those that aren't.
        idempotent: Whether it may run again after a run that failed.
        revision: The revision that its entry holds.
        incarnation: The agent's, as its entry knows it; 0 if it doesn't.
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
    """How a request ended: an answer, or the code of an error.

    Attributes:
        code: Empty for an answer.
        message: The error, for a person.
        outcome: What is known of the run.
        body: The answer.
        retry_after: When a retry may succeed, or None.
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
    """Answer a dispatch."""

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
