"""Instances that match one selector, with quick choice at random."""

from bilberryhaven import selector

__all__ = ['Pool', 'SampledSet']


class SampledSet:
    """Names in an order that allows removal and sampling in constant time."""

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
        """Add ``name`` unless it is there."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name):
        """Remove ``name`` if it is there; the last name takes its place."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def sample(self, source, count):
        """Return up to ``count`` names from a random start.

        Args:
            source: A ``random.Random``.
            count: How many.
        """
        names = self._names
        size = len(names)
        if size <= count:
            return list(names)
        return [names[int(source.random() * size)] for _ in range(count)]

    def slice(self, start, count):
        """Return ``count`` names from position ``start`` on, cyclically."""
        size = len(self._names)
        count = min(count, size)
        return [self._names[(start + i) % size] for i in range(count)]


class Pool:
    """Open instances that match one selector.

    Args:
        runs_on: The selector's text.

    Attributes:
        match: Whether a mapping of labels matches.
        members: All of them.
        roomy: Those with a free slot.
        cursor: Where the next walk over ``roomy`` starts.
    """

    __slots__ = ('cursor', 'match', 'members', 'available')

    def __init__(self, *, runs_on):
        self.match = selector.parse_selector(runs_on).match
        self.members = SampledSet()
        self.available = SampledSet()
        self.cursor = 0

    def update_instance(self, name, *, is_open, is_available):
        """File ``name`` where it belongs now."""
        if is_open:
            self.members.add(name)
        else:
            self.members.discard(name)
        if is_open and is_available:
            self.available.add(name)
        else:
            self.available.discard(name)

    def list_next_available(self, count):
        """Return the next ``count`` names with room."""
        found = self.available.slice(self.cursor, count)
        self.cursor = (self.cursor + len(found)) % max(len(self.available), 1)
        return found
