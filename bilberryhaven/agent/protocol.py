"""Validated models of the JSON bodies of the backend server protocol."""

import typing

import msgspec

from bilberryhaven import border

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
    """Attaches an agent to the backend server; fences all others."""

    owner: str


class ServiceRequest(Body):
    """A service request to run immediately."""

    id: str
    workload: str
    owner: str = ''
    body: bytes = b''
    deadline_ms: Count = 0


class Answer(Body):
    """The complete answer to a request, with its length and digest."""

    id: str
    body: bytes
    length: Count
    digest: str


class RequestState(Body):
    """State of a request: not_run, running or finished."""

    id: str
    state: str


class TaskStart(Body):
    """A task to start under the epoch of a grant and a session's lease."""

    id: str
    epoch: Count
    session: Count
    workload: str = ''
    owner: str = ''
    payload: bytes = b''
    checkpoint: bytes = b''
    slots: Slots = 1


class TaskOrder(Body):
    """An order for one grant of a task; only throttles use ``share``."""

    epoch: Count
    owner: str = ''
    share: float = 1.0


class LeaseGrant(Body):
    """A renewed lease, which counts from the issue of the ticket."""

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
    """A service request in progress."""

    id: str
    workload: str


class Status(Body):
    """Work in progress at the backend server, and the lease it runs under.

    Attributes:
        boot: Differs after each start of the backend server.
        owner: The attached agent.
        former_owner: In the reply to an attachment, the agent it replaced.
        ticket: Opaque; a renewed lease counts from its issue.
        session: Epoch of the newest session.
        lease_remaining_ms: Remaining time of its lease.
        slots_used: Slots in use.
        requests: Service requests in progress.
        tasks: Running tasks, and ended ones that aren't yet removed.
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
    """Resource usage of one task or service."""

    workload: str
    job_id: str = ''
    cpu: float = 0.0
    memory_mb: float = 0.0
    latency_ms: float = 0.0
    load: float = 0.0
    progress: float = 0.0


class UsageReport(Body):
    """Resource usage as measured ``age_ms`` ago."""

    age_ms: Count
    usage: list[UsageItem] = []


def read_body(cls, data, *, step):
    """Decode the JSON bytes ``data`` into the model ``cls``.

    Raises:
        BadInputError: The bytes aren't a valid ``cls``.
    """
    with border.Guard(what=cls.__name__, step=step):
        return msgspec.json.decode(data, type=cls)
