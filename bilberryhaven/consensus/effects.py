"""What the core asks its driver to do."""

import dataclasses

from bilberryhaven.consensus import message

__all__ = ['Effects', 'HardState', 'Snapshot', 'needs_sync']

_BEFORE_SYNC = (
    message.AppendRequest,
    message.SnapshotRequest,
    message.SnapshotReply,
    message.PreVoteRequest,
    message.PreVoteReply,
)


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class HardState:
    """What a replica must remember besides the log.

    Attributes:
        term: Its newest term.
        vote: Whom it voted for in that term, or empty.
        joined: Whether it has held all that was committed since its folder
            was new; until then its vote alone proves nothing.
    """

    term: int = 0
    vote: str = ''
    joined: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Snapshot:
    """A snapshot's description and data."""

    meta: message.SnapshotMeta
    data: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class Effects:
    """Writes and messages; the writes are synced before most messages.

    Attributes:
        hard_state: Term and vote to write, or None.
        append_from: First entry to write, or None; replaces what the file
            holds from there on.
        install: Snapshot to write before the log restarts after it, or None.
        messages: (receiver's name, message) pairs; those to the replica
            itself go back to the core once all is synced.
    """

    hard_state: HardState | None = None
    append_from: int | None = None
    install: Snapshot | None = None
    messages: list = dataclasses.field(default_factory=list)

    def is_empty(self):
        """Return whether there is nothing to do."""
        return not (self.messages or self.needs_write())

    def needs_write(self):
        """Return whether anything must be written and synced."""
        writes = (self.hard_state, self.append_from, self.install)
        return any(item is not None for item in writes)


def needs_sync(msg):
    """Return whether the writes must be synced before ``msg`` is sent."""
    return not isinstance(msg, _BEFORE_SYNC)
