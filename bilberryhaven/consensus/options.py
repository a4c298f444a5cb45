"""Timing and size options of a replica."""

import dataclasses
import datetime

from bilberryhaven import clock

__all__ = ['Options']


@dataclasses.dataclass(kw_only=True, frozen=True)
class Options:
    """Timing and sizes, which must be the same on each member of a quorum.

    Attributes:
        heartbeat_interval: Time between a leader's heartbeats.
        election_timeout: Minimum time without contact with a leader before
            a follower campaigns, and time after such contact for which it
            grants no vote.
        election_jitter: Maximum random addition to ``election_timeout``
            before a campaign.
        lease_margin: How much earlier than ``election_timeout`` a leader's
            lease ends; covers the drift between two clocks.
        tick_interval: Time between ticks of the core.
        transfer_timeout: Maximum duration of a leadership transfer.
        recovery_delay: Time from a failed write to the first attempt to
            recover from the folder; doubles with each failed attempt.
        max_recovery_delay: Maximum time between two such attempts.
        snapshot_entries: Applied entries after which a snapshot is taken.
        kept_entries: Entries kept in the log before a snapshot, so that a
            replica slightly behind needs no snapshot.
        max_kept_entries: Maximum number of such entries, kept while a
            replica that responds is further behind.
        segment_bytes: Size at which a new log segment is started.
        append_bytes: Data size at which no further entry is added to an
            append message.
        append_window: Maximum append messages in flight to one peer.
        chunk_bytes: Size of the parts of a snapshot file and transfer.
        max_entry_bytes: Maximum size of a proposal.
        max_pending: Maximum number of uncommitted proposals.
    """

    heartbeat_interval: datetime.timedelta = clock.seconds(0.1)
    election_timeout: datetime.timedelta = clock.seconds(1.0)
    election_jitter: datetime.timedelta = clock.seconds(0.5)
    lease_margin: datetime.timedelta = clock.seconds(0.1)
    tick_interval: datetime.timedelta = clock.seconds(0.025)
    transfer_timeout: datetime.timedelta = clock.seconds(1.0)
    recovery_delay: datetime.timedelta = clock.seconds(0.1)
    max_recovery_delay: datetime.timedelta = clock.seconds(1.0)
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
        """Duration of a leader's lease, from the sending of a heartbeat."""
        return self.election_timeout - self.lease_margin
