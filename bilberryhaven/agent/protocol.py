"""Validated models of the JSON bodies of the backend server protocol."""

import typing

import msgspec

from bilberryhaven import errors

__all__ = [
    'Answer',
    'Attachment',
    'LeaseGrant',
    'RequestState',
    'RequestStatus',
    'ServiceRequest',
    'Status',
    'TaskOrder',
    'TaskStart',
    'TaskStatus',
    'UsageItem',
    'UsageReport',
    'read_body',
]


MAX_COUNT = 2**53
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=1024)]


class Body(msgspec.Struct, kw_only=True):
    """Base of all bodies; unknown fields are ignored."""


class Attachment(Body):
    """An agent takes over the backend server; it fences all others."""

    owner: str


class ServiceRequest(Body):
    """A service request to run now."""

    id: str
    workload: str
    owner: str = ''
    body: bytes = b''
    deadline_ms: Count = 0


class Answer(Body):
    """The whole answer to one request, with its length and digest."""

    id: str
    body: bytes
    length: Count
    digest: str


class RequestState(Body):
    """Whether a request ran: not_run, running or finished."""

    id: str
    state: str


class TaskStart(Body):
    """A task to start under a grant's epoch and a session's lease."""

    id: str
    epoch: Count
    session: Count
    workload: str = ''
    owner: str = ''
    payload: bytes = b''
    checkpoint: bytes = b''
    slots: Slots = 1


class TaskOrder(Body):
    """An order about a task's grant; ``share`` is for a throttle."""

    epoch: Count
    owner: str = ''
    share: float = 1.0


class LeaseGrant(Body):
    """A renewed lease, counted from the moment the ticket was issued."""

    session: Count
    lease_ms: Count
    ticket: Count
    owner: str = ''


class TaskStatus(Body):
    """State of one task."""

    id: str
    epoch: Count
    session: Count
    workload: str
    state: str
    progress: float = 0.0
    share: float = 1.0
    slots: Slots = 1
    reason: str = ''
    checkpoint: bytes = b''
    result: bytes = b''


class RequestStatus(Body):
    """A service request that runs."""

    id: str
    workload: str


class Status(Body):
    """What the backend server runs, and under which lease.

    Attributes:
        boot: Differs after each start of the backend server.
        owner: The agent that is attached.
        former_owner: In the reply to an attachment, whom it replaced.
        ticket: Opaque; a renewed lease counts from its issue.
        session: The newest session's epoch.
        lease_remaining_ms: How long its lease still runs.
        slots_used: Slots in use.
        requests: Service requests that run.
        tasks: Tasks that run, and ended ones not yet forgotten.
    """

    boot: str
    owner: str = ''
    former_owner: str = ''
    ticket: Count = 0
    session: Count = 0
    lease_remaining_ms: Count = 0
    slots_used: Count = 0
    requests: list[RequestStatus] = []
    tasks: list[TaskStatus] = []


class UsageItem(Body):
    """Usage of one task or service."""

    workload: str
    job_id: str = ''
    cpu: float = 0.0
    memory_mb: float = 0.0
    latency_ms: float = 0.0
    load: float = 0.0
    progress: float = 0.0


class UsageReport(Body):
    """Usage as it was ``age_ms`` ago."""

    age_ms: Count
    usage: list[UsageItem] = []


def read_body(cls, data, *, step):
    """Return the model ``cls`` in the JSON bytes ``data``.

    Raises:
        BadInputError: The bytes don't hold one.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.BadInputError(str(error), step=step) from error
