"""Leader lease, renewed by heartbeat rounds that a quorum acknowledges."""

import collections
import datetime

__all__ = ['Lease']

KEPT_ROUNDS = 256


class Lease:
    """Measures the lease from when an acknowledged round was sent.

    Followers grant no vote for an election timeout after they receive a
    round; the lease is shorter than that by ``Options.lease_margin``.

    Args:
        name: Name of the leader.
        now: Monotonic time at which it was elected.

    Attributes:
        round: Number of the newest heartbeat round.
    """

    def __init__(self, *, name, now):
        self._name = name
        self._elected_at = now
        self._sent_at = collections.OrderedDict()
        self._acked = {}
        self._revoked = False
        self.round = 0

    def start_round(self, now):
        """Start the next heartbeat round."""
        self.round += 1
        self._sent_at[self.round] = now
        while len(self._sent_at) > KEPT_ROUNDS:
            self._sent_at.popitem(last=False)

    def record_ack(self, name, acked_round):
        """Record that ``name`` acknowledged a round."""
        sent_at = self._sent_at.get(acked_round)
        if sent_at is not None:
            newest_sent_at = self._acked.get(name, sent_at)
            self._acked[name] = max(newest_sent_at, sent_at)

    def revoke(self):
        """End the lease for the rest of the term."""
        self._revoked = True

    def find_quorum_contact(self, members, now):
        """Return when the newest round acknowledged by a quorum was sent.

        Counts each voter as in contact when the leader was elected.
        """
        values = {
            voter: self._acked.get(voter, self._elected_at)
            for voter in members.voters
        }
        if self._name in values:
            values[self._name] = now
        return members.find_majority_value(values)

    def find_end(self, members, now, length):
        """Return when the lease ends; a time in the past without a lease."""
        no_lease = datetime.timedelta.min
        if self._revoked:
            return no_lease
        values = {
            voter: self._acked.get(voter, no_lease) for voter in members.voters
        }
        if self._name in values:
            values[self._name] = now
        start = members.find_majority_value(values)
        return no_lease if start == no_lease else start + length
