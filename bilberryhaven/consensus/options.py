"""Timing and size options of a replica."""

import dataclasses
import datetime

from bilberryhaven import clock

__all__ = ['Options']


@dataclasses.dataclass(kw_only=True, frozen=True)
class Options:
    """Timing and sizes; the same on each member of a quorum.

    Attributes:
        heartbeat_interval: Time between a leader's heartbeats.
        election_timeout: Shortest silence after which a follower campaigns,
            and time for which it grants no vote after it heard a leader.
        election_jitter: Longest random addition to that silence.
        lease_margin: How much earlier than ``election_timeout`` a leader's
            lease ends; covers the drift between two clocks.
        tick_interval: Time between ticks of the core.
        transfer_timeout: Longest time that a leadership transfer may take.
        snapshot_entries: Applied entries after which a snapshot is taken.
        kept_entries: Entries kept in the log before a snapshot, so that a
            replica slightly behind needs no snapshot.
        max_kept_entries: Entries kept at most, while a replica that answers
            is further behind.
        segment_bytes: Size at which a new log segment is begun.
        append_bytes: Largest data of one append message.
        append_window: Append messages in flight to one peer.
        chunk_bytes: Size of a snapshot transfer's parts.
        max_entry_bytes: Largest proposal.
        max_pending: Proposals that may await their commit at a time.
    """

    heartbeat_interval: datetime.timedelta = clock.seconds(0.1)
    election_timeout: datetime.timedelta = clock.seconds(1.0)
    election_jitter: datetime.timedelta = clock.seconds(0.5)
    lease_margin: datetime.timedelta = clock.seconds(0.1)
    tick_interval: datetime.timedelta = clock.seconds(0.025)
    transfer_timeout: datetime.timedelta = clock.seconds(1.0)
    snapshot_entries: int = 10_000
    kept_entries: int = 2_000
    max_kept_entries: int = 50_000
    segment_bytes: int = 16 * 1024 * 1024
    append_bytes: int = 1024 * 1024
    append_window: int = 8
    chunk_bytes: int = 512 * 1024
    max_entry_bytes: int = 4 * 1024 * 1024
    max_pending: int = 10_000

    @property
    def lease(self):
        """Length of a leader's lease, from the sending of a heartbeat."""
        return self.election_timeout - self.lease_margin
