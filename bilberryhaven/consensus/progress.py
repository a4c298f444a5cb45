"""A leader's view of the replication progress of each member."""

import dataclasses
import datetime

__all__ = ['Progress', 'SnapshotTransfer']


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotTransfer:
    """A snapshot being sent to a replica.

    Attributes:
        meta: The snapshot's ``SnapshotMeta``.
        offset: Bytes that the replica has acknowledged.
    """

    meta: object
    offset: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """Replication state of one replica.

    Attributes:
        next: Index of the next entry to send.
        match: Index of the newest entry known to be stored there.
        in_flight: Number of append messages without a reply.
        probing: Whether the matching position of its log is still unknown.
        progress_at: Monotonic time at which it last made progress or was
            reset.
        answered_at: Monotonic time of its last reply, or None.
        transfer: The snapshot being sent, or None.
        round_index: Index of the newest entry at the start of the current
            catch-up round.
        round_at: Monotonic time at which that round started.
    """

    next: int
    match: int = 0
    in_flight: int = 0
    probing: bool = True
    progress_at: datetime.timedelta = datetime.timedelta()
    answered_at: datetime.timedelta | None = None
    snapshot_transfer: SnapshotTransfer | None = None
    round_index: int = 0
    round_at: datetime.timedelta = datetime.timedelta()

    def start_round(self, index, now):
        """Start a catch-up round up to entry ``index``."""
        self.round_index = index
        self.round_at = now

    def find_retained_index(self):
        """Return the index after which the log must be retained for it."""
        return (
            self.snapshot_transfer.meta.index
            if self.snapshot_transfer
            else self.match
        )

    def restart_probing(self, now):
        """Search the matching position again, after messages were lost."""
        self.next = self.match + 1
        self.in_flight = 0
        self.probing = True
        self.progress_at = now

    def accept(self, index, now):
        """Record that entries up to ``index`` are stored there."""
        if index > self.match or self.probing:
            self.progress_at = now
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.in_flight = max(0, self.in_flight - 1)
        self.probing = False

    def lower_match(self, index):
        """Record that no entry after ``index`` is stored there any more."""
        self.match = min(self.match, index)

    def reject(self, hint, now):
        """Continue probing after the index ``hint``."""
        self.next = max(self.match, min(hint, self.next - 1)) + 1
        self.in_flight = 0
        self.probing = True
        self.progress_at = now
