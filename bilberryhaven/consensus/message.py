"""Messages between replicas, log entries and their codec."""

import enum

import msgspec

from bilberryhaven import border
from bilberryhaven.consensus import members as replica_members

__all__ = [
    'AppendReply',
    'AppendRequest',
    'Entry',
    'EntryKind',
    'Message',
    'PreVoteReply',
    'PreVoteRequest',
    'SnapshotMeta',
    'SnapshotReply',
    'SnapshotRequest',
    'TransferRequest',
    'VoteReply',
    'VoteRequest',
    'decode',
    'encode',
]


class EntryKind(enum.IntEnum):
    """Kind of a log entry's data."""

    NOOP = 0
    DATA = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One log entry."""

    term: border.Number
    kind: int = EntryKind.DATA
    data: bytes = b''


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Metadata of a snapshot.

    Attributes:
        index: Index of the newest entry that it covers.
        term: That entry's term.
        members: Members as of that entry.
        size: Length of its data in bytes.
        crc: CRC-32 of its data.
    """

    index: border.Number
    term: border.Number
    members: replica_members.Members
    size: border.Number = 0
    crc: border.Number = 0


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Base of all messages.

    Attributes:
        sender: Name of the sending replica.
        term: That replica's term.
    """

    sender: str
    term: border.Number


class PreVoteRequest(Message, frozen=True, kw_only=True, tag=1):
    """Asks whether a campaign in ``term`` + 1 could succeed."""

    last_index: border.Number
    last_term: border.Number


class PreVoteReply(Message, frozen=True, kw_only=True, tag=2):
    """Whether the sender would grant its vote in ``campaign_term``."""

    campaign_term: border.Number
    granted: bool
    joined: bool


class VoteRequest(Message, frozen=True, kw_only=True, tag=3):
    """Requests a vote in ``term``; ``transfer`` if the leader asked for it."""

    last_index: border.Number
    last_term: border.Number
    transfer: bool = False


class VoteReply(Message, frozen=True, kw_only=True, tag=4):
    """Whether the vote in ``term`` was granted."""

    granted: bool
    joined: bool


class AppendRequest(Message, frozen=True, kw_only=True, tag=5):
    """Heartbeat of the leader, with any entries after ``prev_index``.

    Attributes:
        prev_index: Index of the entry before the first of ``entries``.
        prev_term: That entry's term.
        entries: Entries to append; empty in a plain heartbeat.
        commit: The leader's commit index.
        round: Number of the leader's heartbeat round.
    """

    prev_index: border.Number
    prev_term: border.Number
    commit: border.Number
    round: border.Number
    entries: list[Entry] = []


class AppendReply(Message, frozen=True, kw_only=True, tag=6):
    """Reply to an append; renews the lease as of ``round``.

    Attributes:
        ok: Whether the log matched.
        index: Index of the newest matching entry; the one to try next if
            not ``ok``.
        round: The request's round.
        joined: Whether the sender has held all committed entries since its
            folder was created.
    """

    ok: bool
    index: border.Number
    round: border.Number
    joined: bool = False


class SnapshotRequest(Message, frozen=True, kw_only=True, tag=7):
    """One part of a snapshot, at ``offset`` of its data."""

    round: border.Number
    meta: SnapshotMeta
    offset: border.Number
    data: bytes = b''


class SnapshotReply(Message, frozen=True, kw_only=True, tag=8):
    """How many bytes of the snapshot at ``index`` were received."""

    round: border.Number
    index: border.Number
    offset: border.Number


class TransferRequest(Message, frozen=True, kw_only=True, tag=9):
    """Tells a follower to campaign at once."""


_GUARD = border.Guard(what='consensus message', step='decode message')
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TransferRequest
)


def encode(msg):
    """Return the bytes of ``msg``."""
    return _encoder.encode(msg)


def decode(data):
    """Return the message in ``data``.

    Raises:
        BadInputError: The bytes are not a known message.
    """
    with _GUARD:
        msg = _decoder.decode(data)
        if isinstance(msg, AppendRequest):
            for entry in msg.entries:
                if entry.kind == EntryKind.MEMBERS:
                    replica_members.Members.decode(entry.data)
        return msg
