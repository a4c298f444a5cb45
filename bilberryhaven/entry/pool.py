"""Pools of candidate instances with constant-time random sampling."""

__all__ = ['Pool']

MAX_RANDOM_DRAWS = 4


class SampleSet:
    """Set with constant-time insertion, removal and random sampling."""

    def __init__(self):
        self._items = []
        self._indexes = {}

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(self._items)

    def __contains__(self, item):
        return item in self._indexes

    def __getitem__(self, index):
        return self._items[index]

    def add(self, item):
        """Add ``item`` unless it is present."""
        if item not in self._indexes:
            self._indexes[item] = len(self._items)
            self._items.append(item)

    def remove(self, item):
        """Remove ``item`` if it is present."""
        index = self._indexes.pop(item, None)
        if index is None:
            return
        last = self._items.pop()
        if last is not item:
            self._items[index] = last
            self._indexes[last] = index

    def sample_items(self, random, count, excluded):
        """Return up to ``count`` different items that aren't excluded.

        Where ``MAX_RANDOM_DRAWS`` random draws find too few, the array is
        scanned from a random start. ``count`` plus the number of excluded
        items bounds the scan, which suffices to find enough items.
        """
        size = len(self._items)
        sampled = []
        if size:
            indexes = [
                int(random.random() * size) for _ in range(MAX_RANDOM_DRAWS)
            ]
            self._collect(indexes, sampled, count, excluded)
        if len(sampled) < min(count, size):
            start = int(random.random() * size)
            reach = min(size, count + len(excluded))
            indexes = [(start + step) % size for step in range(reach)]
            self._collect(indexes, sampled, count, excluded)
        return sampled

    def _collect(self, indexes, sampled, count, excluded):
        for index in indexes:
            item = self._items[index]
            if len(sampled) == count:
                return
            if item not in sampled and item not in excluded:
                sampled.append(item)


class Pool:
    """The instances that a workload may run on, by availability zone.

    Args:
        zone: Availability zone of the entry.

    Attributes:
        zone: Availability zone of the entry.
        local: Candidates in the entry's availability zone.
        remote: Candidates in other availability zones, by zone.
        quarantined: Quarantined instances, which get probes only.
    """

    def __init__(self, *, zone):
        self.zone = zone
        self.local = SampleSet()
        self.remote = {}
        self.quarantined = SampleSet()
        self._members = {}

    def __len__(self):
        return len(self._members)

    def __iter__(self):
        return iter(self._members)

    def add(self, target):
        """Add ``target`` as a candidate, or move it if it is present."""
        if target.zone == self.zone:
            self._move(target, self.local)
        else:
            self._move(
                target, self.remote.setdefault(target.zone, SampleSet())
            )

    def quarantine(self, target):
        """Move ``target`` to the quarantined instances."""
        self._move(target, self.quarantined)

    def remove(self, target):
        """Remove ``target`` if it is present."""
        group = self._members.pop(target, None)
        if group is not None:
            group.remove(target)

    def sample_local(self, random, count, excluded):
        """Return random candidates of the entry's availability zone."""
        return self.local.sample_items(random, count, excluded)

    def sample_remote(self, random, count, excluded):
        """Return random candidates from randomly chosen other zones."""
        zones = [
            candidates for candidates in self.remote.values() if candidates
        ]
        if len(zones) > count:
            zones = random.sample(zones, count)
        sampled = []
        for index in range(count if zones else 0):
            candidates = zones[index % len(zones)]
            sampled += candidates.sample_items(
                random, 1, [*excluded, *sampled]
            )
        return sampled

    def _move(self, target, group):
        if self._members.get(target) is not group:
            self.remove(target)
            self._members[target] = group
            group.add(target)
