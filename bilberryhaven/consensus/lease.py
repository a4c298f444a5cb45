"""The leader's lease, renewed by heartbeat rounds that a quorum answers."""

import collections
import datetime

__all__ = ['Lease']

KEPT_ROUNDS = 256


class Lease:
    """Counts the lease from when the leader sent the answered round.

    Followers grant no vote for an election timeout after they received a
    round; the lease is shorter than that by the margin.

    Args:
        name: The leader.
        now: When it was elected.
    """

    def __init__(self, *, name, now):
        self._name = name
        self._elected_at = now
        self._sent_at = collections.OrderedDict()
        self._acked = {}
        self._revoked = False
        self.round = 0

    def start_round(self, now):
        """Begin the next heartbeat round."""
        self.round += 1
        self._sent_at[self.round] = now
        while len(self._sent_at) > KEPT_ROUNDS:
            self._sent_at.popitem(last=False)

    def record_ack(self, name, acked_round):
        """Note that ``name`` answered a round."""
        sent_at = self._sent_at.get(acked_round)
        if sent_at is not None:
            known = self._acked.get(name, sent_at)
            self._acked[name] = max(known, sent_at)

    def revoke(self):
        """End the lease for the rest of the term."""
        self._revoked = True

    def find_quorum_contact(self, members, now):
        """Return when the newest round that a quorum answered was sent."""
        values = {
            voter: self._acked.get(voter, self._elected_at)
            for voter in members.voters
        }
        if self._name in values:
            values[self._name] = now
        return members.find_majority_value(values)

    def find_end(self, members, now, length):
        """Return when the lease ends; in the past if there is none."""
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
