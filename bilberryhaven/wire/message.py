"""Typed messages between the system's own processes.

Each class has the fields of the struct of the same name in
``schema.capnp``, in snake case.
"""

import dataclasses

__all__ = ['get_messages']

_messages = {}


def get_messages():
    """Return the message classes by the envelope's field name."""
    return dict(_messages)


def _declare(cls):
    return dataclasses.dataclass(kw_only=True, slots=True)(cls)


def _declare_message(cls):
    made = _declare(cls)
    _messages[cls.__name__[0].lower() + cls.__name__[1:]] = made
    return made


def _make_list():
    return dataclasses.field(default_factory=list)


@_declare
class Pair:
    """A label."""

    key: str
    value: str


@_declare
class Capacity:
    """What an instance holds at most."""

    slots: int = 8
    connections: int = 64
    cpu: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@_declare
class Load:
    """What an agent holds at the moment it answers."""

    slots: int = 0
    slots_used: int = 0
    batch_slots: int = 0
    connections: int = 0
    connections_used: int = 0
    queued: int = 0
    service_ms: float = 0.0
    failure_share: float = 0.0
    draining: bool = False
    incarnation: int = 0


@_declare_message
class ErrorReply:
    """An error, in place of the reply that was asked for."""

    code: str
    message: str = ''
    step: str = ''
    peer: str = ''
    outcome: str = ''
    request_id: str = ''


@_declare_message
class AdmitRequest:
    """A caller's request, from an entry to an agent."""

    request_id: str
    workload: str
    body: bytes = b''
    deadline_ms: int = 0
    urgent: bool = True
    idempotent: bool = False
    entry: str = ''
    attempt: int = 1
    revision: int = 0
    incarnation: int = 0


@_declare_message
class AdmitReply:
    """The whole answer, or the code of a refusal or failure."""

    request_id: str
    code: str = ''
    message: str = ''
    step: str = ''
    outcome: str = ''
    body: bytes = b''
    length: int = 0
    digest: str = ''
    load: Load = dataclasses.field(default_factory=Load)
    retry_after_ms: int = 0


@_declare_message
class RevokeRequest:
    """Asks the agent never to start these requests."""

    request_ids: list[str]
    entry: str = ''


@_declare_message
class RevokeReply:
    """State of each revoked request: not_run, started or finished."""

    states: list[str]
    load: Load = dataclasses.field(default_factory=Load)


@_declare
class Announcement:
    """An instance, as its agent announces it."""

    name: str = ''
    zone: str = ''
    rack: str = ''
    address: str = ''
    labels: list[Pair] = _make_list()
    capacity: Capacity = dataclasses.field(default_factory=Capacity)
    opening: str = ''


@_declare
class JobEvent:
    """A report on one job's grant."""

    job_id: str
    epoch: int
    kind: str
    body: bytes = b''
    reason: str = ''


@_declare
class Usage:
    """Usage of a task or service, ``age_ms`` before the report was sent."""

    workload: str
    job_id: str = ''
    age_ms: int = 0
    cpu: float = 0.0
    memory_mb: float = 0.0
    latency_ms: float = 0.0
    load: float = 0.0
    progress: float = 0.0


@_declare
class RunningJob:
    """A job that the backend server runs, with its grant's epoch."""

    job_id: str
    epoch: int


@_declare_message
class Heartbeat:
    """An agent's renewal and report; epoch 0 asks for a session."""

    instance: str
    epoch: int = 0
    revision: int = 0
    announcement: Announcement = dataclasses.field(
        default_factory=Announcement
    )
    load: Load = dataclasses.field(default_factory=Load)
    first_event: int = 0
    events: list[JobEvent] = _make_list()
    usage: list[Usage] = _make_list()
    running: list[RunningJob] = _make_list()
    leaving: bool = False


@_declare
class StartOrder:
    """Start a job under a grant's epoch."""

    job_id: str
    epoch: int
    workload: str
    payload: bytes = b''
    checkpoint: bytes = b''
    slots: int = 1


@_declare
class StopOrder:
    """Checkpoint and stop a job."""

    job_id: str
    epoch: int
    reason: str = ''


@_declare
class ThrottleOrder:
    """Limit a job to a share of its speed, 0 to 1."""

    job_id: str
    epoch: int
    share: float


@_declare_message
class HeartbeatReply:
    """A renewed lease, counted from the heartbeat's sending, and orders."""

    instance: str
    epoch: int = 0
    lease_ms: int = 0
    revision: int = 0
    acked_events: int = 0
    starts: list[StartOrder] = _make_list()
    stops: list[StopOrder] = _make_list()
    throttles: list[ThrottleOrder] = _make_list()
    code: str = ''
    message: str = ''


@_declare_message
class HeartbeatBatch:
    """Heartbeats that an entry relays."""

    entry: str
    heartbeats: list[Heartbeat]


@_declare_message
class HeartbeatBatchReply:
    """One reply a heartbeat, in order."""

    replies: list[HeartbeatReply]


@_declare
class WorkloadView:
    """What an entry needs to know of a workload."""

    name: str
    kind: str = ''
    labels: list[Pair] = _make_list()
    runs_on: str = ''
    shares_with: str = ''
    repeatable: bool = True
    held: str = ''


@_declare
class InstanceView:
    """What an entry needs to know of an instance."""

    name: str
    zone: str = ''
    address: str = ''
    labels: list[Pair] = _make_list()
    capacity: Capacity = dataclasses.field(default_factory=Capacity)
    draining: bool = False
    connected: bool = True
    quarantined: str = ''
    load: Load = dataclasses.field(default_factory=Load)
    load_age_ms: int = 0
    beside: list[str] = _make_list()


@_declare
class Slowdown:
    """How much slower a service answers beside a workload."""

    service: str
    beside: str
    band: int
    factor: float


@_declare_message
class SyncRequest:
    """An entry's renewal, with the position it has reached."""

    entry: str
    zone: str = ''
    revision: int = 0
    feed: str = ''
    cursor: int = 0


@_declare_message
class SyncReply:
    """A renewed lease and what changed since the position."""

    revision: int
    lease_ms: int
    feed: str
    cursor: int
    full: bool = False
    workloads: list[WorkloadView] = _make_list()
    instances: list[InstanceView] = _make_list()
    slowdowns: list[Slowdown] = _make_list()


@_declare_message
class ClaimRequest:
    """Asks for the right to dispatch a request once."""

    request_id: str
    workload: str
    entry: str


@_declare_message
class ClaimReply:
    """Whether the claim was granted, or who holds it."""

    granted: bool
    holder: str = ''


@_declare_message
class CallRequest:
    """An API request, relayed to the leader."""

    method: str
    path: str
    query: str = ''
    body: bytes = b''
    by: str = ''


@_declare_message
class CallReply:
    """Status and JSON body of a relayed API request."""

    status: int
    body: bytes = b''


@_declare_message
class WorkRequest:
    """A request about workflows, encoded by ``workflow.message``."""

    body: bytes


@_declare_message
class WorkReply:
    """The reply to a ``WorkRequest``, encoded likewise."""

    body: bytes


@_declare_message
class ConsensusBatch:
    """Messages of the consensus core, each encoded by its own codec."""

    sender: str
    messages: list[bytes]
