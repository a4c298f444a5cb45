"""In-memory log: the entries after a base index."""

from bilberryhaven import errors

__all__ = ['EntryLog']


class EntryLog:
    """Entries after ``base_index``; older ones are covered by a snapshot.

    Args:
        base_index: Index of the entry before the first one held.
        base_term: That entry's term.
        entries: The entries after it.
    """

    def __init__(self, *, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self):
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def find_term(self, index):
        """Return the term of entry ``index``, or None if it isn't held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def get(self, index):
        """Return the entry at ``index``."""
        return self._entries[index - self.base_index - 1]

    def list_from(self, index, end=None):
        """Return the entries from ``index`` to ``end``, inclusive."""
        start = index - self.base_index - 1
        if end is None:
            return self._entries[start:]
        return self._entries[start : end - self.base_index]

    def list_chunk(self, index, max_bytes):
        """Return entries from ``index`` on, of about ``max_bytes`` of data."""
        chunk = []
        size = 0
        position = index - self.base_index - 1
        while position < len(self._entries) and size < max_bytes:
            entry = self._entries[position]
            chunk.append(entry)
            size += len(entry.data)
            position += 1
        return chunk

    def append(self, entries):
        """Append ``entries``."""
        self._entries.extend(entries)

    def truncate(self, index):
        """Drop the entries from ``index`` on."""
        del self._entries[index - self.base_index - 1 :]

    def find_conflict(self, prev_index, entries):
        """Return the offset of the first of ``entries`` that is not held.

        Args:
            prev_index: Index of the entry before ``entries``.
            entries: Entries to compare with the log by term.

        Returns:
            The offset, or the length of ``entries`` if all are held.
        """
        for offset, entry in enumerate(entries):
            if self.find_term(prev_index + 1 + offset) != entry.term:
                return offset
        return len(entries)

    def find_term_start(self, index):
        """Return the first held index with the term of entry ``index``."""
        term = self.find_term(index)
        while index - 1 > self.base_index:
            if self.find_term(index - 1) != term:
                break
            index -= 1
        return index

    def compact(self, index):
        """Drop the entries up to ``index``."""
        if index <= self.base_index:
            return
        term = self.find_term(index)
        if term is None:
            raise errors.InternalError(
                f'entry {index} is not in the log', step='compact log'
            )
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index, term):
        """Drop all entries; the log starts after ``index``."""
        self.base_index = index
        self.base_term = term
        self._entries = []
