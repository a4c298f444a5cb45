"""Instances that match one selector, with constant-time sampling."""

from bilberryhaven import selector

__all__ = ['Pool', 'SampledSet']


class SampledSet:
    """A set of names with constant-time insertion, removal and sampling."""

    __slots__ = ('_names', '_positions')

    def __init__(self):
        self._names = []
        self._positions = {}

    def __len__(self):
        return len(self._names)

    def __iter__(self):
        return iter(self._names)

    def __contains__(self, name):
        return name in self._positions

    def add(self, name):
        """Add ``name`` unless it is present."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name):
        """Remove ``name`` if present; the last name moves to its position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def sample(self, source, count):
        """Return ``count`` random names, drawn with replacement.

        All names are returned if there are at most ``count``.

        Args:
            source: A ``random.Random``.
            count: Number of names.
        """
        names = self._names
        size = len(names)
        if size <= count:
            return list(names)
        return [names[int(source.random() * size)] for _ in range(count)]

    def slice(self, start, count):
        """Return up to ``count`` names from position ``start``, cyclically."""
        size = len(self._names)
        count = min(count, size)
        return [self._names[(start + i) % size] for i in range(count)]


class Pool:
    """Open instances that match one selector.

    Args:
        runs_on: The selector's text.

    Attributes:
        match: Function that returns whether a mapping of labels matches.
        members: Names of all open instances that match.
        available: Names of those with a free slot.
        cursor: Start position of the next scan over ``available``.
    """

    __slots__ = ('cursor', 'match', 'members', 'available')

    def __init__(self, *, runs_on):
        self.match = selector.parse_selector(runs_on).match
        self.members = SampledSet()
        self.available = SampledSet()
        self.cursor = 0

    def update_instance(self, name, *, is_open, is_available):
        """Update whether ``name`` is a member and has a free slot."""
        if is_open:
            self.members.add(name)
        else:
            self.members.discard(name)
        if is_open and is_available:
            self.available.add(name)
        else:
            self.available.discard(name)

    def list_next_available(self, count):
        """Return the next ``count`` available names and move the cursor."""
        found = self.available.slice(self.cursor, count)
        self.cursor = (self.cursor + len(found)) % max(len(self.available), 1)
        return found
