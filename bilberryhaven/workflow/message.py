"""Messages about workflows between entries, agents and the leader.

They are encoded as MessagePack in the body of ``WorkRequest`` and
``WorkReply``. Time limits are sent as durations, never as times of the
sender's clock.
"""

import msgspec

from bilberryhaven import border
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.tables import catalog
from bilberryhaven.tables import workflow

__all__ = [
    'Cancel',
    'CatalogReply',
    'CountReply',
    'Effect',
    'Inquire',
    'Join',
    'JoinReply',
    'Order',
    'OrderKind',
    'Poll',
    'PollReply',
    'ReadCatalog',
    'Replace',
    'Report',
    'ReportReply',
    'Restore',
    'Running',
    'ServerState',
    'StartedRun',
    'StateReply',
    'Submit',
    'Withdraw',
    'ZoneReply',
    'decode_reply',
    'decode_request',
    'encode',
]


class Request(
    msgspec.Struct, kw_only=True, tag_field='type', omit_defaults=True
):
    """Base class of all requests."""


class Reply(
    msgspec.Struct, kw_only=True, tag_field='type', omit_defaults=True
):
    """Base class of all replies."""


class ServerState(msgspec.Struct, kw_only=True, omit_defaults=True):
    """State of a backend server, as it announces it.

    Attributes:
        id: Id of the server; later incarnations may have the same id.
        born_ms: Start of this incarnation, Unix time in ms.
        pool: Pool to which the server belongs.
        zone: Its availability zone.
        labels: Its labels.
        rack: Its rack, one of the labels.
        cpu: CPU capacity in thousandths of a core.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
        draining: Whether the server is draining.
        remaining_ms: While draining, least time in ms until it leaves.
        warming_ms: How much longer the server is slow after its start, in
            ms.
    """

    id: str
    born_ms: border.UnixTime
    pool: str
    zone: str = ''
    labels: list[str] = []
    rack: str = ''
    cpu: border.Amount = 0
    memory_mb: border.Amount = 0
    gpu: border.Amount = 0
    draining: bool = False
    remaining_ms: border.Milliseconds = 0
    warming_ms: border.Milliseconds = 0


class OrderKind:
    """Kinds of orders on a run."""

    START = 'start'
    STOP = 'stop'


class Order(msgspec.Struct, omit_defaults=True, array_like=True):
    """One order to an agent.

    Attributes:
        kind: One of ``OrderKind``.
        run: The run.
        spec: Specification to start the task with.
        checkpoint: Checkpoint to resume from, or empty.
        target_ms: Upper bound on the tail latency in ms, 0 for none.
        best_effort: Whether the run only uses spare resources.
        percent: Initial percentage of full speed of a best-effort run.
        image: Image that the run executes.
        cpu: Requested CPU in thousandths of a core.
        rank: Best-effort runs with a lower rank are served first.
        memory_mb: Memory of the task in MB.
        gpu: Number of its accelerators.
    """

    kind: str
    run: workflow_commands.RunRef
    spec: str = ''
    checkpoint: str = ''
    target_ms: int = 0
    best_effort: bool = False
    percent: int = 100
    image: str = ''
    cpu: int = 0
    rank: float = 0.0
    memory_mb: int = 0
    gpu: int = 0


class Effect(msgspec.Struct, array_like=True):
    """How much one image raises the tail latencies of another.

    Attributes:
        serving: Image of the tasks that serve users.
        image: Image of the best-effort tasks.
        per_tenth: Loss of headroom (target / latency) for each tenth of a
            server that the best-effort tasks use.
    """

    serving: str
    image: str
    per_tenth: float


class Running(msgspec.Struct, array_like=True):
    """A run that a backend server lists as present.

    Attributes:
        run: The run.
        checkpoint: Newest checkpoint, or empty.
        percent: Progress; for a long-running task, whether it is working.
        gauge: Tail latency in ms of a task that serves users, CPU usage of
            any other.
        pace: Percentage of full speed that the run was allowed while the
            gauge was measured.
    """

    run: workflow_commands.RunRef
    checkpoint: str = ''
    percent: float = 0
    gauge: float = 0
    pace: int = 100


class StartedRun(msgspec.Struct, array_like=True):
    """A run that a backend server had received before it crashed.

    Attributes:
        run: The run.
        age_ms: Time from its start to the first call that failed.
    """

    run: workflow_commands.RunRef
    age_ms: border.Duration


class Poll(Request, kw_only=True):
    """Request of an agent to renew its lease and to wait for orders.

    Attributes:
        agent: Name of the agent.
        server: State of its backend server.
        epoch: Fencing token of the agent; 0 requests a new one.
        feed: Feed to which ``seen`` belongs.
        seen: Number of the newest order that the agent has received.
        sequence: Number of the heartbeat that ``server`` is from; higher
            ones are newer.
        refusing: Whether the server refuses connections: it has crashed or
            is leaving, and its runs end with their lease.
        address: HOST:PORT at which the server has shown its start; empty if
            it hasn't.
    """

    agent: str
    server: ServerState
    epoch: border.Number = 0
    feed: str = ''
    seen: border.Number = 0
    sequence: border.Number = 0
    refusing: bool = False
    address: border.Text = ''


class PollReply(Reply, kw_only=True):
    """Lease and new orders for an agent.

    Attributes:
        key: Key of the backend server's incarnation.
        epoch: Fencing token for calls to the backend server.
        lease_ms: How long runs may be kept alive, in ms from the sending of
            the poll.
        feed: Feed to which the orders belong.
        last: Number of the newest order.
        orders: Orders that the agent has not received yet.
        acked: Number of the newest end that the leader has acknowledged.
        former_deadline_ms: Deadline in ms on the server's clock until which
            an earlier agent is known to have kept runs alive; 0 if none is
            known.
        doubt_ms: Longest time in ms for which leases granted by earlier
            agents may still last; 0 if there was no earlier agent.
        withdrawn: Whether the server's availability zone is withdrawn, so
            that no start may be sent any more.
    """

    key: str
    epoch: border.Number
    lease_ms: border.Duration
    feed: str
    last: border.Number
    orders: list[Order] = []
    acked: border.Number = 0
    former_deadline_ms: border.Milliseconds = 0
    doubt_ms: border.Duration = 0
    withdrawn: bool = False


class Report(Request, kw_only=True):
    """Report of an agent on its backend server.

    Attributes:
        agent: Name of the agent.
        key: Key of the backend server's incarnation.
        epoch: Fencing token of the agent.
        ends: Ends that are not acknowledged yet, and rejected starts.
        upto: Number of the newest end among them.
        running: The runs that are present.
        listed: Whether ``running`` is from a new listing.
        paused: Best-effort runs that have been throttled for long.
        lapsed: Whether all runs on the server are known to have lapsed.
        trouble: Why starts fail there, or empty.
        deadline_ms: Deadline of the runs in ms on the server's clock, as
            the server has confirmed it; 0 for none.
        crashed: Whether ``lapsed`` is known from a crash of the server.
        started: If so, the runs that the server had received shortly before.
        crash_age_ms: If so, ms since the first call to the server failed.
        number: Number of the listing within the session; higher ones are
            newer. 0 from agents of earlier versions.
        evidence: If ``lapsed``, how the agent knows; for logs.
        evidence_age_ms: If ``lapsed``, ms since the server's last answer;
            for logs.
    """

    agent: str
    key: str
    epoch: border.Number
    ends: list[workflow_commands.RunEnd] = []
    upto: border.Number = 0
    running: list[Running] = []
    listed: bool = False
    paused: list[workflow_commands.RunRef] = []
    lapsed: bool = False
    trouble: str = ''
    deadline_ms: border.Milliseconds = 0
    crashed: bool = False
    started: list[StartedRun] = []
    crash_age_ms: border.Duration = 0
    number: border.Number = 0
    evidence: border.Text = ''
    evidence_age_ms: border.Duration = 0


class ReportReply(Reply, kw_only=True):
    """Reply to a report.

    Attributes:
        acked: Number of the newest end that the leader has acknowledged.
        effects: Learned effects of the images that are present there.
    """

    acked: border.Number = 0
    effects: list[Effect] = []


class Submit(Request, kw_only=True):
    """Request of a caller to submit a workflow.

    Attributes:
        host: Host name in the caller's request.
        path: Path in the caller's request: the queue's prefix and the id.
        spec: Specification that each task is started with.
        steps: The steps.
        schedule: When the workflow runs, or None.
        zone: Availability zone of the entry that took the request, or empty.
    """

    host: str
    path: str
    spec: str
    steps: list[workflow.Step]
    schedule: workflow.Schedule | None = None
    zone: str = ''


class Inquire(Request, kw_only=True):
    """Request of a caller for a workflow's state or a queue's length."""

    host: str
    path: str


class Cancel(Request, kw_only=True):
    """Request of a caller to cancel a workflow."""

    host: str
    path: str


class StateReply(Reply, kw_only=True):
    """State of a workflow; ``queued`` before its first start."""

    state: str


class CountReply(Reply, kw_only=True):
    """Number of a queue's accepted workflows that have not started yet."""

    waiting: int


class Replace(Request, kw_only=True):
    """Request of an operator to replace the catalog."""

    version: border.Integer
    queues: list[catalog.Queue]
    pools: list[catalog.Pool]
    document: bytes


class ReadCatalog(Request, kw_only=True):
    """Request of an operator to read the catalog."""


class CatalogReply(Reply, kw_only=True):
    """The catalog in force; version 0 if there is none."""

    version: int
    document: bytes = b''


class Withdraw(Request, kw_only=True):
    """Request of an operator to start nothing in an availability zone."""

    zone: str


class Restore(Request, kw_only=True):
    """Request of an operator to end the withdrawal of a zone."""

    zone: str


class ZoneReply(Reply, kw_only=True):
    """State of an availability zone once the order is committed."""

    withdrawn: bool


class Join(Request, kw_only=True):
    """Request of a control instance to become a member of the quorum."""

    name: str
    address: str


class JoinReply(Reply, kw_only=True):
    """Reply that says whether the control instance is a member now."""

    member: bool


_GUARD = border.Guard(what='workflow message', step='decode message')
_REPLY_GUARD = border.Guard(
    what='workflow reply', step='decode reply', kind=errors.PeerError
)

_REQUESTS = msgspec.msgpack.Decoder(
    Poll
    | Report
    | Submit
    | Inquire
    | Cancel
    | Replace
    | ReadCatalog
    | Withdraw
    | Restore
    | Join
)
_REPLIES = msgspec.msgpack.Decoder(
    PollReply
    | ReportReply
    | StateReply
    | CountReply
    | CatalogReply
    | ZoneReply
    | JoinReply
)


def encode(msg):
    """Encode a request or reply as bytes."""
    return msgspec.msgpack.encode(msg)


def decode_request(data):
    """Decode a request.

    Raises:
        BadInputError: The bytes are not a known request.
    """
    with _GUARD:
        return _REQUESTS.decode(data)


def decode_reply(data):
    """Decode a reply.

    Raises:
        PeerError: The bytes are not a known reply; what was requested may
            have been done.
    """
    with _REPLY_GUARD:
        return _REPLIES.decode(data)
