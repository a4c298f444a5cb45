"""Effects that the core requests from its driver."""

import dataclasses

from bilberryhaven.consensus import message

__all__ = ['Effects', 'HardState', 'Snapshot', 'needs_sync']

_SENT_BEFORE_SYNC = (
    message.AppendRequest,
    message.SnapshotRequest,
    message.SnapshotReply,
    message.PreVoteRequest,
    message.PreVoteReply,
)


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class HardState:
    """State that a replica must persist in addition to the log.

    Attributes:
        term: Newest term that it knows.
        vote: Name of the candidate voted for in that term, or empty.
        joined: Whether it has held all committed entries since its folder
            was created. Until then its vote does not prove that a candidate
            holds them.
    """

    term: int = 0
    vote: str = ''
    joined: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Snapshot:
    """Metadata and data of a snapshot."""

    meta: message.SnapshotMeta
    data: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class Effects:
    """Pending writes and messages; most messages are sent after the sync.

    Attributes:
        hard_state: ``HardState`` to write, or None if unchanged.
        append_from: Index of the first entry to write, or None; replaces
            the stored entries from there on.
        install: Snapshot to store before the log restarts after it, or None.
        messages: (receiver's name, message) pairs; those to the replica
            itself are returned to the core after the sync.
    """

    hard_state: HardState | None = None
    append_from: int | None = None
    install: Snapshot | None = None
    messages: list = dataclasses.field(default_factory=list)

    def is_empty(self):
        """Return whether there are neither writes nor messages."""
        return not (self.messages or self.needs_write())

    def needs_write(self):
        """Return whether anything must be written and synced."""
        writes = (self.hard_state, self.append_from, self.install)
        return any(item is not None for item in writes)


def needs_sync(msg):
    """Return whether writes must be synced before ``msg`` is sent."""
    return not isinstance(msg, _SENT_BEFORE_SYNC)
