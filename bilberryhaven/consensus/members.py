"""Members of a quorum and the history of their changes in the log."""

import msgspec

__all__ = ['MemberHistory', 'Members']


class Members(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Addresses of voters and learners, by name."""

    voters: dict[str, str] = {}
    learners: dict[str, str] = {}

    def __contains__(self, name):
        return name in self.voters or name in self.learners

    def find_address(self, name):
        """Return the address of ``name``, or an empty string."""
        return self.voters.get(name) or self.learners.get(name, '')

    def list_names(self):
        """Return the names of all members."""
        return [*self.voters, *self.learners]

    def is_quorum(self, names):
        """Return whether ``names`` include a majority of the voters."""
        return 2 * len(set(names) & self.voters.keys()) > len(self.voters)

    def find_majority_value(self, values):
        """Return the greatest value that a majority of voters has reached.

        Args:
            values: A value for each voter, by name.
        """
        ranked = sorted((values[name] for name in self.voters), reverse=True)
        return ranked[len(ranked) // 2]

    def add_learner(self, name, address):
        """Return the members with ``name`` as a learner."""
        learners = {**self.learners, name: address}
        return Members(voters=dict(self.voters), learners=learners)

    def promote(self, name):
        """Return the members with the learner ``name`` as a voter."""
        voters = {**self.voters, name: self.learners[name]}
        learners = {k: v for k, v in self.learners.items() if k != name}
        return Members(voters=voters, learners=learners)

    def remove(self, name):
        """Return the members without ``name``."""
        return Members(
            voters={k: v for k, v in self.voters.items() if k != name},
            learners={k: v for k, v in self.learners.items() if k != name},
        )

    def encode(self):
        """Return the data of a log entry."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data):
        """Return the members in a log entry's data."""
        return msgspec.msgpack.decode(data, type=cls)


class MemberHistory:
    """Members by index of the entry that set them; the newest apply.

    Args:
        index: Index of the entry as of which the first members apply.
        members: Those members.
    """

    def __init__(self, *, index, members):
        self._items = [(index, members)]

    @property
    def current(self):
        """The members in effect: those set by the newest such entry."""
        return self._items[-1][1]

    @property
    def index(self):
        """Index of the entry that set the current members."""
        return self._items[-1][0]

    def find_at(self, index):
        """Return the members as of entry ``index``."""
        found = self._items[0][1]
        for changed_at, members in self._items:
            if changed_at <= index:
                found = members
        return found

    def push(self, index, members):
        """Record the members set by entry ``index``."""
        self._items.append((index, members))

    def truncate(self, index):
        """Discard changes made by entries from ``index`` on."""
        while len(self._items) > 1 and self._items[-1][0] >= index:
            self._items.pop()

    def compact(self, index):
        """Discard members superseded at or before entry ``index``."""
        while len(self._items) > 1 and self._items[1][0] <= index:
            self._items.pop(0)

    def reset(self, index, members):
        """Replace the history with ``members`` as of ``index``."""
        self._items = [(index, members)]
