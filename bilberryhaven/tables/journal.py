"""Journals: keys of the rows that changed since a reader's last read."""

__all__ = ['Journal']

MAX_KEYS = 400_000


class Journal:
    """Keys of the changed rows of a table, for one reader.

    Attributes:
        reset: Whether the reader must read the whole table again.
    """

    __slots__ = ('__weakref__', '_keys', 'reset')

    def __init__(self):
        self._keys = {}
        self.reset = True

    def add(self, key):
        """Record that the row at ``key`` was put, updated or removed."""
        if self.reset:
            return
        self._keys[key] = None
        if len(self._keys) > MAX_KEYS:
            self.mark_reset()

    def mark_reset(self):
        """Record that the whole table was replaced."""
        self._keys.clear()
        self.reset = True

    def take(self):
        """Return the changed keys, oldest first, and clear them.

        Returns:
            A list of keys, or None if the whole table must be read again.
        """
        if self.reset:
            self.reset = False
            return None
        keys = list(self._keys)
        self._keys.clear()
        return keys
