"""Sans-I/O consensus core: takes messages and time, returns effects."""

from bilberryhaven.consensus import effects as core_effects
from bilberryhaven.consensus import election
from bilberryhaven.consensus import lease
from bilberryhaven.consensus import members as replica_members
from bilberryhaven.consensus import membership
from bilberryhaven.consensus import message
from bilberryhaven.consensus import progress
from bilberryhaven.consensus import replication
from bilberryhaven.consensus import snapshot_transfer
from bilberryhaven.consensus import status
from bilberryhaven import errors

__all__ = ['Core']

_HANDLERS = {
    message.PreVoteRequest: election.handle_pre_vote_request,
    message.PreVoteReply: election.handle_pre_vote_reply,
    message.VoteRequest: election.handle_vote_request,
    message.VoteReply: election.handle_vote_reply,
    message.TransferRequest: election.handle_transfer_request,
    message.AppendRequest: replication.handle_append_request,
    message.AppendReply: replication.handle_append_reply,
    message.SnapshotRequest: snapshot_transfer.handle_snapshot_request,
    message.SnapshotReply: snapshot_transfer.handle_snapshot_reply,
}
KEPT_SNAPSHOTS = 2
# More elections than a replica misses while it is down. Terms that other
# replicas can't decode any more would end the quorum.
MAX_TERM_JUMP = 2**32


class Core:
    """Protocol state of one replica.

    Args:
        name: The replica's name.
        options: Timing and sizes.
        random: Source of randomness for election timeouts.
        hard_state: Recovered term and vote.
        log: Recovered ``EntryLog``.
        history: Recovered ``MemberHistory``.
        snapshots: Recovered ``SnapshotMeta`` objects, newest last.

    Attributes:
        role: Its ``Role``.
        term: Newest term that it knows.
        vote: Name of the candidate voted for in that term, or empty.
        joined: Whether it has held all committed entries since its folder
            was created.
        leader: Name of that term's leader, or empty if unknown.
        commit: Index of the newest committed entry.
        peers: ``Progress`` of each member by name, while it is the leader.
    """

    def __init__(
        self,
        *,
        name,
        options,
        random,
        hard_state,
        log,
        history,
        snapshots=(),
    ):
        self.name = name
        self.options = options
        self.random = random
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.joined = hard_state.joined
        self.log = log
        self.history = history
        self.snapshots = list(snapshots)
        self.role = status.Role.FOLLOWER
        self.leader = ''
        self.commit = snapshots[-1].index if snapshots else log.base_index
        self.noop_index = 0
        self.peers = {}
        self.lease = None
        self.leadership_transfer = None
        self.incoming_snapshot = None
        self.leader_contact_at = None
        self.election_at = None
        self.heartbeat_at = None
        self.pre_votes = {}
        self.votes = {}
        self._last_tick_at = None
        self._effects = core_effects.Effects()

    @property
    def members(self):
        """The membership in effect."""
        return self.history.current

    @property
    def snapshot(self):
        """Metadata of the newest snapshot, or None."""
        return self.snapshots[-1] if self.snapshots else None

    @property
    def is_leader(self):
        """Whether it is the leader of its term."""
        return self.role == status.Role.LEADER

    def start(self, now):
        """Start the election timer.

        Contact with a leader before a restart is not stored. A replica that
        has participated before therefore assumes recent contact and grants
        no vote for an election timeout.
        """
        if self.term:
            self.leader_contact_at = now
        self._last_tick_at = now
        self.reset_election_timer(now)
        if self.members.is_quorum([self.name]):
            self.election_at = now

    def step(self, msg, now):
        """Process a message from another replica, or from itself.

        Raises:
            BadInputError: No sequence of elections leads to its term.
        """
        if msg.term > self.term + MAX_TERM_JUMP:
            raise errors.BadInputError(
                f'term {msg.term} is too far from term {self.term}',
                step='consensus',
                peer=msg.sender,
            )
        _HANDLERS[type(msg)](self, msg, now)

    def tick(self, now):
        """Run the timers that are due at ``now``."""
        self._last_tick_at = now
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self.election_at and self._may_campaign():
            election.start_pre_vote(self, now)

    def _may_campaign(self):
        # An uncommitted removal may be stored on this replica only; the
        # other members then need this replica's log.
        if self.name in self.members.voters:
            return True
        changed_at = self.history.index
        previous = self.history.find_at(changed_at - 1)
        return changed_at > self.commit and self.name in previous.voters

    def _tick_leader(self, now):
        contact_at = self.lease.find_quorum_contact(self.members, now)
        if now >= contact_at + self.options.lease:
            self.become_follower(self.term, now)
            return
        membership.advance_leadership_transfer(self, now)
        if self.is_leader and now >= self.heartbeat_at:
            membership.promote_learners(self, now)
            replication.send_heartbeats(self, now)

    def propose(self, items, now):
        """Append entries with the data ``items``; return the first index.

        Raises:
            NotLeaderError: It is not the leader, or is transferring
                leadership.
        """
        self.check_leader()
        entries = [
            message.Entry(self.term, message.EntryKind.DATA, data)
            for data in items
        ]
        return replication.append_as_leader(self, entries, now)

    def change_members(self, now, *, add=None, remove=None):
        """Append a membership change; return its index."""
        self.check_leader()
        return membership.change_members(self, now, add=add, remove=remove)

    def transfer_leadership(self, now, to=None):
        """Start a leadership transfer; return the target's name."""
        self.check_leader()
        return membership.start_leadership_transfer(self, now, to)

    def check_leader(self):
        """Check that proposals can be accepted.

        Raises:
            NotLeaderError: It is not the leader, or is transferring
                leadership.
        """
        if not self.is_leader or self.leadership_transfer is not None:
            leader = '' if self.is_leader else self.leader
            raise errors.NotLeaderError(
                f'{self.name} is not the leader',
                step='propose',
                peer=self.members.find_address(leader),
            )

    def find_lease_end(self, now):
        """Return the time until which linearizable reads may be served."""
        return self.lease.find_end(self.members, now, self.options.lease)

    def record_snapshot(self, meta):
        """Record a stored snapshot and compact the log that it covers."""
        if self.snapshot is not None and meta.index <= self.snapshot.index:
            return
        self.snapshots = [*self.snapshots, meta][-KEPT_SNAPSHOTS:]
        self.log.compact(self._find_compact_index(meta))
        self.history.compact(self.log.base_index)

    def _find_compact_index(self, meta):
        index = meta.index - self.options.kept_entries
        min_index = meta.index - self.options.max_kept_entries
        for peer in self.peers.values():
            if peer.answered_at is None:
                continue
            reply_age = self._last_tick_at - peer.answered_at
            if reply_age < self.options.election_timeout:
                index = min(index, max(peer.find_retained_index(), min_index))
        return index

    def take_effects(self):
        """Return and clear the effects queued since the last call."""
        taken = self._effects
        self._effects = core_effects.Effects()
        return taken

    def send(self, to, msg):
        """Queue ``msg`` for the replica ``to``."""
        self._effects.messages.append((to, msg))

    def install(self, snapshot):
        """Replace the log with ``snapshot``."""
        meta = snapshot.meta
        self._effects.install = snapshot
        self._effects.append_from = None
        self.log.reset(meta.index, meta.term)
        self.history.reset(meta.index, meta.members)
        self.snapshots = [meta]
        self.commit = meta.index

    def append(self, entries):
        """Append entries and queue their write; return the first index."""
        first = self.log.last_index + 1
        self.log.append(entries)
        for offset, entry in enumerate(entries):
            if entry.kind == message.EntryKind.MEMBERS:
                changed = replica_members.Members.decode(entry.data)
                self.history.push(first + offset, changed)
        queued = self._effects.append_from
        self._effects.append_from = (
            first if queued is None else min(queued, first)
        )
        return first

    def truncate(self, index):
        """Drop entries from ``index`` on that conflict with the leader's."""
        if index <= self.commit:
            raise errors.InternalError(
                f'committed entry {index} conflicts with the leader',
                step='append',
                peer=self.leader,
            )
        self.log.truncate(index)
        self.history.truncate(index)

    def set_hard_state(self, term, vote):
        """Set term and vote and queue their write."""
        self.term = term
        self.vote = vote
        self._queue_hard_state()

    def mark_joined(self):
        """Record that this replica holds all committed entries."""
        if not self.joined:
            self.joined = True
            self._queue_hard_state()

    def _queue_hard_state(self):
        self._effects.hard_state = core_effects.HardState(
            term=self.term, vote=self.vote, joined=self.joined
        )

    def reset_election_timer(self, now):
        """Restart the election timeout, with random jitter added."""
        jitter = self.options.election_jitter * self.random.random()
        self.election_at = now + self.options.election_timeout + jitter

    def has_leader_contact(self, now):
        """Return whether a leader was in contact within an election timeout.

        A leader is in contact with itself until it has told the target of a
        leadership transfer to campaign.
        """
        if self.is_leader:
            return (
                self.leadership_transfer is None
                or not self.leadership_transfer.sent
            )
        if self.leader_contact_at is None:
            return False
        return now < self.leader_contact_at + self.options.election_timeout

    def become_follower(self, term, now, leader=''):
        """Follow ``leader``, or no leader yet, in ``term``."""
        if term > self.term:
            self.set_hard_state(term, '')
        self.role = status.Role.FOLLOWER
        self.leader = leader
        self.peers = {}
        self.lease = None
        self.leadership_transfer = None
        self.reset_election_timer(now)

    def fail(self):
        """Take no part in the quorum any more; a leader hands over.

        Discards all effects that were queued.

        Returns:
            (receiver's name, message) pairs to send without a sync.
        """
        self.take_effects()
        if self.is_leader:
            membership.hand_over(self)
        self.role = status.Role.FAILED
        self.leader = ''
        return self.take_effects().messages

    def become_leader(self, now):
        """Become the leader and append a no-op entry.

        Its commit also commits the entries of older terms.
        """
        self.role = status.Role.LEADER
        self.leader = self.name
        self.incoming_snapshot = None
        self.leadership_transfer = None
        self.lease = lease.Lease(name=self.name, now=now)
        self.peers = {}
        self.update_peers(now)
        entries = [message.Entry(self.term, message.EntryKind.NOOP)]
        if not self.history.index:
            # The initial members are logged, since a voter whose folder was
            # emptied recovers the members from the log.
            initial_members = self.members.encode()
            entries.append(
                message.Entry(
                    self.term, message.EntryKind.MEMBERS, initial_members
                )
            )
        self.noop_index = replication.append_as_leader(self, entries, now)
        replication.send_heartbeats(self, now)

    def update_peers(self, now):
        """Update ``peers`` after a membership change.

        A removed member is kept until its removal is committed.
        """
        tracked = set(self.members.list_names())
        if self.history.index > self.commit:
            tracked |= self.peers.keys()
        for name in list(self.peers):
            if name not in tracked:
                del self.peers[name]
        for name in self.members.list_names():
            if name not in self.peers:
                last = self.log.last_index
                peer = progress.Progress(next=last + 1, progress_at=now)
                peer.start_round(last, now)
                self.peers[name] = peer
