"""Typed messages between the system's processes.

Each class has the fields of the struct of the same name in
``schema.capnp``, in snake case.
"""

import dataclasses
import datetime
import math

__all__ = ['Relayed', 'get_messages']

MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_AGE_MS = 2**32 - 1

_messages = {}


def get_messages():
    """Return the message classes by their field names in the envelope."""
    return dict(_messages)


def _declare(cls):
    return dataclasses.dataclass(kw_only=True, slots=True)(cls)


def _declare_message(cls):
    message_class = _declare(cls)
    _messages[cls.__name__[0].lower() + cls.__name__[1:]] = message_class
    return message_class


def _make_list():
    return dataclasses.field(default_factory=list)


class Relayed:
    """Base class of messages that pass on a request from outside.

    Its time of sending matters where a request that was held up would undo
    what was done since. Clocks of instances are not compared, so the message
    carries an age, and each receiver adds the time that it can't exclude.

    Attributes:
        age_ms: Longest time in ms between the sending of the request and that
            of this message.
    """

    __slots__ = ('_sent_after',)

    @property
    def sent_after(self):
        """Steady time before which the request can't have been sent.

        A timedelta of the receiver's clock, which isn't part of the message;
        None if the message didn't come over the network.
        """
        return getattr(self, '_sent_after', None)

    def note_sending(self, sent_after, now):
        """Set the age.

        Args:
            sent_after: As the property, of the sender's clock; None if the
                request didn't come over the network.
            now: Time of the sender's steady clock, a timedelta. The message
                must be sent on a connection that was open by then.
        """
        if sent_after is not None:
            age_ms = math.ceil((now - sent_after) / MILLISECOND)
            self.age_ms = min(max(age_ms, 0), MAX_AGE_MS)

    def forward(self, sent_after, clock):
        """Return a function that builds this message with its age then.

        Args:
            sent_after: As for ``note_sending``.
            clock: The ``Clock``.
        """

        def build():
            copy = dataclasses.replace(self)
            copy.note_sending(sent_after, clock.monotonic())
            return copy

        return build

    def note_received(self, sent_after):
        """Set ``sent_after``.

        Args:
            sent_after: The same of this message, or None if it is unknown.
        """
        if sent_after is not None:
            self._sent_after = sent_after - self.age_ms * MILLISECOND

    def describe_sending(self, now):
        """Return log fields that say when the request may have been sent.

        Args:
            now: Time of the receiver's steady clock, a timedelta.
        """
        if self.sent_after is None:
            return {}
        age_s = (now - self.sent_after).total_seconds()
        return {
            'sent_within_s': round(age_s, 3),
            'before_relay_s': self.age_ms / 1000,
        }


@_declare
class Pair:
    """A label."""

    key: str
    value: str


@_declare
class Capacity:
    """Capacity limits of an instance."""

    slots: int = 8
    connections: int = 64
    cpu: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@_declare
class Load:
    """Load of an agent at the time of its answer."""

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
    """Error, in place of the requested reply."""

    code: str
    message: str = ''
    step: str = ''
    peer: str = ''
    outcome: str = ''
    request_id: str = ''
    retry_after_ms: int = 0


@_declare_message
class AdmitRequest:
    """Caller's request, sent from an entry to an agent."""

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
    """Complete answer, or the code of a refusal or failure."""

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
    """Requests that the agent never starts the given requests."""

    request_ids: list[str]
    entry: str = ''


@_declare_message
class RevokeReply:
    """State of each revoked request: not_run, started or finished."""

    states: list[str]
    load: Load = dataclasses.field(default_factory=Load)


@_declare
class Announcement:
    """Description of an instance, as announced by its agent."""

    name: str = ''
    zone: str = ''
    rack: str = ''
    address: str = ''
    labels: list[Pair] = _make_list()
    capacity: Capacity = dataclasses.field(default_factory=Capacity)
    opening: str = ''


@_declare
class JobEvent:
    """Report on a grant of a job."""

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
    """Job that the backend server runs, with the epoch of its grant."""

    job_id: str
    epoch: int


@_declare_message
class Heartbeat:
    """Lease renewal and report of an agent; epoch 0 requests a session."""

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
    """Order to start a job under the epoch of its grant."""

    job_id: str
    epoch: int
    workload: str
    payload: bytes = b''
    checkpoint: bytes = b''
    slots: int = 1


@_declare
class StopOrder:
    """Order to checkpoint and stop a job."""

    job_id: str
    epoch: int
    reason: str = ''


@_declare
class ThrottleOrder:
    """Order to limit a job to a share of its speed, 0 to 1."""

    job_id: str
    epoch: int
    share: float


@_declare_message
class HeartbeatReply:
    """Renewed lease, counted from the sending of the heartbeat; orders."""

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
    """Heartbeats relayed by an entry."""

    entry: str
    heartbeats: list[Heartbeat]


@_declare_message
class HeartbeatBatchReply:
    """One reply per heartbeat, in order."""

    replies: list[HeartbeatReply]


@_declare
class WorkloadView:
    """Workload data needed by an entry."""

    name: str
    kind: str = ''
    labels: list[Pair] = _make_list()
    runs_on: str = ''
    shares_with: str = ''
    repeatable: bool = True
    held: str = ''


@_declare
class InstanceView:
    """Instance data needed by an entry."""

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
    """Slowdown of a service that is co-located with a workload."""

    service: str
    beside: str
    band: int
    factor: float


@_declare_message
class SyncRequest:
    """Lease renewal of an entry, with its position in the change feed."""

    entry: str
    zone: str = ''
    revision: int = 0
    feed: str = ''
    cursor: int = 0


@_declare_message
class SyncReply:
    """Renewed lease and the changes since the requested position."""

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
    """Requests the right to dispatch a request once."""

    request_id: str
    workload: str
    entry: str


@_declare_message
class ClaimReply:
    """Whether the claim was granted, or the name of its holder."""

    granted: bool
    holder: str = ''


@_declare_message
class CallRequest(Relayed):
    """API request relayed to the leader."""

    method: str
    path: str
    query: str = ''
    body: bytes = b''
    by: str = ''
    age_ms: int = 0


@_declare_message
class CallReply:
    """Status and JSON body of the answer to a relayed API request."""

    status: int
    body: bytes = b''


@_declare_message
class WorkRequest(Relayed):
    """Request about workflows, encoded by ``workflow.message``."""

    body: bytes
    age_ms: int = 0


@_declare_message
class WorkReply:
    """Reply to a ``WorkRequest``, encoded by ``workflow.message``."""

    body: bytes


@_declare_message
class ConsensusBatch:
    """Messages of the consensus core, each encoded by its own codec."""

    sender: str
    messages: list[bytes]


@_declare_message
class MembersRequest:
    """Asks for the members of the quorum; carries the sender's knowledge."""

    members: list[str] = _make_list()
    age_ms: int = 0


@_declare_message
class MembersReply:
    """Members of the quorum, and ms since they were confirmed."""

    members: list[str] = _make_list()
    age_ms: int = 0
