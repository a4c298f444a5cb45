"""Messages about workflows between entries, agents and the leader.

They travel as MessagePack in the envelope's ``WorkRequest`` and
``WorkReply``. Durations cross the wire, instants never do.
"""

import msgspec

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.tables import catalog
from bilberryhaven.tables import workflow

__all__ = [
    'Announce',
    'AnnounceReply',
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
    'Running',
    'ServerState',
    'StateReply',
    'Submit',
    'decode_reply',
    'decode_request',
    'encode',
]


class Request(
    msgspec.Struct, kw_only=True, tag_field='type', omit_defaults=True
):
    """Base of all requests."""


class Reply(
    msgspec.Struct, kw_only=True, tag_field='type', omit_defaults=True
):
    """Base of all replies."""


class ServerState(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What a backend server says of itself.

    Attributes:
        id: Its id; a later life may have the same.
        born_ms: When this life began, Unix time in milliseconds.
        pool: Pool that it serves.
        zone: Its availability zone.
        labels: Its labels.
        rack: Its rack, one of the labels.
        cpu: Its capacity in thousandths of a core.
        memory_mb: Its memory in MB.
        gpu: Its accelerators.
        draining: Whether it is about to leave.
        remaining_ms: Least time until it leaves while it drains.
    """

    id: str
    born_ms: int
    pool: str
    zone: str = ''
    labels: list[str] = []
    rack: str = ''
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    draining: bool = False
    remaining_ms: int = 0


class OrderKind:
    """What an agent is told to do with a run."""

    START = 'start'
    STOP = 'stop'


class Order(msgspec.Struct, omit_defaults=True, array_like=True):
    """One order to an agent.

    Attributes:
        kind: One of ``OrderKind``.
        run: The run.
        spec: What to start it with.
        checkpoint: Checkpoint to resume from, or empty.
        target_ms: Bound on its tail latency, 0 for none.
        best_effort: Whether it uses what others leave.
        percent: Percentage at which a best-effort run works at first.
        image: What it runs.
        cpu: Thousandths of a core that it asks for.
        rank: Best-effort runs with a lower one come first.
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


class Effect(msgspec.Struct, array_like=True):
    """How much one image raises the tails of another.

    Attributes:
        serving: Image of the tasks that serve users.
        image: Image of the best-effort tasks.
        per_tenth: Loss of headroom for each tenth of a server.
    """

    serving: str
    image: str
    per_tenth: float


class Running(msgspec.Struct, array_like=True):
    """A run that a backend server lists as present.

    Attributes:
        run: The run.
        checkpoint: Its newest checkpoint, or empty.
        percent: How far it is; of a task that lasts, whether it works.
        gauge: Tail latency in ms of a task that serves users, processor use
            of any other.
    """

    run: workflow_commands.RunRef
    checkpoint: str = ''
    percent: float = 0
    gauge: float = 0


class Poll(Request, kw_only=True):
    """An agent renews its lease and waits for orders.

    Attributes:
        agent: Name of the agent.
        server: Its backend server.
        epoch: Fencing token that it holds; 0 asks for one.
        feed: Feed whose orders it has seen.
        seen: Number of the newest order that it has seen.
    """

    agent: str
    server: ServerState
    epoch: int = 0
    feed: str = ''
    seen: int = 0


class PollReply(Reply, kw_only=True):
    """Lease and new orders.

    Attributes:
        key: Key of the backend server's life.
        epoch: Fencing token to give orders with.
        lease_ms: How long runs may be kept alive, from the poll's sending.
        feed: Feed that the orders belong to.
        last: Number of the newest order.
        orders: Orders that are new to the agent.
        acked: Number of the newest end that was taken over.
        control: Addresses of the control instances.
        former_deadline_ms: Deadline on the server's clock until which an
            earlier agent is known to have kept runs alive; 0 if none is.
        doubt_ms: How long what earlier agents granted may last yet; 0
            where there was none.
    """

    key: str
    epoch: int
    lease_ms: int
    feed: str
    last: int
    orders: list[Order] = []
    acked: int = 0
    control: list[str] = []
    former_deadline_ms: int = 0
    doubt_ms: int = 0


class Report(Request, kw_only=True):
    """What an agent saw on its backend server.

    Attributes:
        agent: Name of the agent.
        key: Key of the backend server's life.
        epoch: Fencing token that the agent holds.
        ends: Ends that aren't taken over yet, and rejected starts.
        upto: Number of the newest end among them.
        running: The runs that are present.
        listed: Whether ``running`` was read just now.
        paused: Best-effort runs that have been slowed down for long.
        lapsed: Whether the server is known to run nothing any more.
        trouble: Why starts fail there, or empty.
        deadline_ms: Deadline on the server's clock that the runs have, as
            the server has confirmed; 0 for none.
    """

    agent: str
    key: str
    epoch: int
    ends: list[workflow_commands.RunEnd] = []
    upto: int = 0
    running: list[Running] = []
    listed: bool = False
    paused: list[workflow_commands.RunRef] = []
    lapsed: bool = False
    trouble: str = ''
    deadline_ms: int = 0


class ReportReply(Reply, kw_only=True):
    """What the leader makes of a report.

    Attributes:
        acked: Number of the newest end that was taken over.
        effects: What is known of the images that are present there.
    """

    acked: int = 0
    effects: list[Effect] = []


class Submit(Request, kw_only=True):
    """A caller submits a workflow.

    Attributes:
        host: Host name that the caller addressed.
        path: Path that the caller addressed: a queue's prefix and the id.
        spec: Text that each task is started with.
        steps: The steps.
        schedule: When it runs, or None.
    """

    host: str
    path: str
    spec: str
    steps: list[workflow.Step]
    schedule: workflow.Schedule | None = None


class Inquire(Request, kw_only=True):
    """A caller asks for a workflow's state, or a queue's length."""

    host: str
    path: str


class Cancel(Request, kw_only=True):
    """A caller cancels a workflow."""

    host: str
    path: str


class StateReply(Reply, kw_only=True):
    """Where a workflow stands; ``state`` is ``queued`` before any start."""

    state: str


class CountReply(Reply, kw_only=True):
    """How many accepted workflows of a queue wait for their first start."""

    waiting: int


class Replace(Request, kw_only=True):
    """An operator replaces the catalog."""

    version: int
    queues: list[catalog.Queue]
    pools: list[catalog.Pool]
    document: bytes


class ReadCatalog(Request, kw_only=True):
    """An operator reads the catalog back."""


class CatalogReply(Reply, kw_only=True):
    """The catalog in force; version 0 where there is none."""

    version: int
    document: bytes = b''


class Join(Request, kw_only=True):
    """A control instance that is no member asks to become one."""

    name: str
    address: str


class Announce(Request, kw_only=True):
    """A member tells an instance without a replica who the members are.

    Attributes:
        members: Addresses of the members of the quorum.
    """

    members: list[str]


class AnnounceReply(Reply, kw_only=True):
    """The announcement has arrived."""


class JoinReply(Reply, kw_only=True):
    """Whether the control instance is a member now."""

    member: bool


_REQUESTS = msgspec.msgpack.Decoder(
    Poll
    | Report
    | Submit
    | Inquire
    | Cancel
    | Replace
    | ReadCatalog
    | Join
    | Announce
)
_REPLIES = msgspec.msgpack.Decoder(
    PollReply
    | ReportReply
    | StateReply
    | CountReply
    | CatalogReply
    | JoinReply
    | AnnounceReply
)


def encode(msg):
    """Return the bytes of a request or reply."""
    return msgspec.msgpack.encode(msg)


def decode_request(data):
    """Return the request in ``data``.

    Raises:
        BadInputError: The bytes hold no known request.
    """
    return _decode(_REQUESTS, data)


def decode_reply(data):
    """Return the reply in ``data``.

    Raises:
        BadInputError: The bytes hold no known reply.
    """
    return _decode(_REPLIES, data)


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise errors.BadInputError(
            f'no workflow message: {error}', step='decode message'
        ) from error
