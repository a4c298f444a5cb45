"""What a replica tells of itself."""

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
        match: Newest entry known to be stored there; the leader knows.
        answered_at: Monotonic time at which it answered last, or None; the
            leader knows.
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
        role: Its role.
        term: Its newest term.
        leader: Name of that term's leader, if known.
        leader_address: That leader's HOST:PORT, if known.
        commit: Newest committed entry.
        applied: Newest applied entry.
        members: ``MemberStatus`` rows.
        last_index: Newest entry in the log.
        snapshot_index: Newest entry that the snapshot covers.
        lease_valid: Whether it may serve linearizable reads.
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
