"""Journals: which rows of a table changed since a reader looked last."""

__all__ = ['Journal']

MAX_KEYS = 400_000


class Journal:
    """Keys of the rows that changed, for one reader.

    Attributes:
        reset: Whether the reader must read the whole table again.
    """

    __slots__ = ('__weakref__', '_keys', 'reset')

    def __init__(self):
        self._keys = {}
        self.reset = True

    def add(self, key):
        """Note that the row at ``key`` was put, updated or removed."""
        if self.reset:
            return
        self._keys[key] = None
        if len(self._keys) > MAX_KEYS:
            self.mark_reset()

    def mark_reset(self):
        """Note that the whole table was replaced."""
        self._keys.clear()
        self.reset = True

    def take(self):
        """Return the changed keys, oldest first, and forget them.

        Returns None where the whole table must be read again.
        """
        if self.reset:
            self.reset = False
            return None
        keys = list(self._keys)
        self._keys.clear()
        return keys
