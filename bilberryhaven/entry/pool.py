"""Candidates of a workload, drawn at random in constant time."""

__all__ = ['Pool']

MAX_DRAWS = 4


class DrawList:
    """An array with constant-time insertion, removal and random draw."""

    def __init__(self):
        self._items = []
        self._places = {}

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(self._items)

    def __contains__(self, item):
        return item in self._places

    def __getitem__(self, place):
        return self._items[place]

    def add(self, item):
        """Add ``item`` unless it is there."""
        if item not in self._places:
            self._places[item] = len(self._items)
            self._items.append(item)

    def remove(self, item):
        """Remove ``item`` if it is there."""
        place = self._places.pop(item, None)
        if place is None:
            return
        last = self._items.pop()
        if last is not item:
            self._items[place] = last
            self._places[last] = place

    def draw(self, random, count, excluded):
        """Return up to ``count`` different items that aren't excluded.

        Where random draws hit too few, the list is looked through from a
        random start, no further than the items that aren't allowed reach.
        """
        size = len(self._items)
        drawn = []
        if size:
            tries = [int(random.random() * size) for _ in range(MAX_DRAWS)]
            self._collect(tries, drawn, count, excluded)
        if len(drawn) < min(count, size):
            start = int(random.random() * size)
            reach = min(size, count + len(excluded))
            tries = [(start + step) % size for step in range(reach)]
            self._collect(tries, drawn, count, excluded)
        return drawn

    def _collect(self, tries, drawn, count, excluded):
        for place in tries:
            item = self._items[place]
            if len(drawn) == count:
                return
            if item not in drawn and item not in excluded:
                drawn.append(item)


class Pool:
    """The instances that a workload may run on, by availability zone.

    Args:
        zone: Availability zone of the entry.

    Attributes:
        local: Candidates in the entry's zone.
        remote: Candidates in each other availability zone.
        aside: Quarantined instances, which get probes only.
    """

    def __init__(self, *, zone):
        self.zone = zone
        self.local = DrawList()
        self.remote = {}
        self.quarantined = DrawList()
        self._homes = {}

    def __len__(self):
        return len(self._homes)

    def __iter__(self):
        return iter(self._homes)

    def add(self, target):
        """Enter ``target`` as a candidate."""
        if target.zone == self.zone:
            self._move(target, self.local)
        else:
            self._move(target, self.remote.setdefault(target.zone, DrawList()))

    def set_aside(self, target):
        """Enter ``target`` as quarantined."""
        self._move(target, self.quarantined)

    def remove(self, target):
        """Remove ``target``."""
        home = self._homes.pop(target, None)
        if home is not None:
            home.remove(target)

    def sample_local(self, random, count, excluded):
        """Return random candidates of the entry's own zone."""
        return self.local.draw(random, count, excluded)

    def sample_remote(self, random, count, excluded):
        """Return random candidates, each of a random other zone."""
        zones = [found for found in self.remote.values() if found]
        if len(zones) > count:
            zones = random.sample(zones, count)
        drawn = []
        for index in range(count if zones else 0):
            found = zones[index % len(zones)]
            drawn += found.draw(random, 1, [*excluded, *drawn])
        return drawn

    def _move(self, target, home):
        if self._homes.get(target) is not home:
            self.remove(target)
            self._homes[target] = home
            home.add(target)
