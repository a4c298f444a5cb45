"""What ran on each instance in the last seconds, for late reports."""

import collections

__all__ = ['History']

RETENTION_S = 30.0


class History:
    """Past counts of tasks by instance, looked up by event time."""

    def __init__(self):
        self._entries = {}

    def record(self, instance, counts, now):
        """Note that from ``now`` on, ``instance`` holds ``counts``."""
        entries = self._entries.get(instance)
        if entries is None:
            entries = self._entries[instance] = collections.deque()
        entries.append((now, dict(counts)))
        while len(entries) > 1 and entries[1][0] < now - RETENTION_S:
            entries.popleft()

    def has(self, instance):
        """Return whether anything is known of ``instance``."""
        return instance in self._entries

    def find(self, instance, at):
        """Return the counts that held at the time ``at``, or None.

        None means that ``at`` is older than what is kept.
        """
        entries = self._entries.get(instance, ())
        for since, counts in reversed(entries):
            if since <= at:
                return counts
        return None
