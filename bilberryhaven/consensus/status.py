"""Status that a replica reports."""

import dataclasses
import datetime
import enum

__all__ = ['MemberStatus', 'ReplicaStatus', 'Role']


class Role(enum.StrEnum):
    """A replica's role in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class MemberStatus:
    """One member of the quorum, as a replica sees it.

    Attributes:
        name: The member's name.
        address: Its HOST:PORT.
        voter: True for a voter, False for a learner.
        match: Index of the newest entry known to be stored there; 0 unless
            the reporting replica is the leader.
        answered_at: Monotonic time of its last reply; None without one, or
            unless the reporting replica is the leader.
    """

    name: str
    address: str
    voter: bool
    match: int = 0
    answered_at: datetime.timedelta | None = None


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class ReplicaStatus:
    """State of a replica at one moment.

    Attributes:
        name: Its name.
        role: Its ``Role``.
        term: Newest term that it knows.
        leader: Name of that term's leader, if known.
        leader_address: That leader's HOST:PORT, if known.
        commit: Index of the newest committed entry.
        applied: Index of the newest applied entry.
        members: ``MemberStatus`` of each member.
        last_index: Index of the newest entry in the log.
        snapshot_index: Index of the newest entry that the snapshot covers;
            0 without a snapshot.
        lease_valid: Whether it may serve linearizable reads.
        fault: Why it takes no part in the quorum, or empty.
        storage_faults: Number of failed writes and syncs since its start.
        recovery_attempts: Number of attempts to take part again.
    """

    name: str
    role: Role = Role.STOPPED
    term: int = 0
    leader: str = ''
    leader_address: str = ''
    commit: int = 0
    applied: int = 0
    members: tuple = ()
    last_index: int = 0
    snapshot_index: int = 0
    lease_valid: bool = False
    fault: str = ''
    storage_faults: int = 0
    recovery_attempts: int = 0
