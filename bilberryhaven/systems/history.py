"""Recent task counts of each instance, used to attribute late reports."""

import collections

__all__ = ['History']

# Reports of older measurements are not attributed.
RETENTION_S = 30.0


class History:
    """Past task counts by instance, looked up by event time."""

    def __init__(self):
        self._entries = {}

    def record(self, instance, counts, now):
        """Record that ``instance`` runs ``counts`` from ``now`` on.

        Args:
            instance: The instance's name.
            counts: Number of tasks, by workload.
            now: Time in seconds.
        """
        entries = self._entries.get(instance)
        if entries is None:
            entries = self._entries[instance] = collections.deque()
        entries.append((now, dict(counts)))
        while len(entries) > 1 and entries[1][0] < now - RETENTION_S:
            entries.popleft()

    def has(self, instance):
        """Return whether there are records of ``instance``."""
        return instance in self._entries

    def find(self, instance, at):
        """Return the counts that were valid at the time ``at``.

        Returns None if ``at`` is earlier than all records.
        """
        entries = self._entries.get(instance, ())
        for since, counts in reversed(entries):
            if since <= at:
                return counts
        return None
