"""Base class of the entity tables: rows by key, with indexes."""

import weakref

import msgspec

from bilberryhaven import errors
from bilberryhaven.tables import journal

__all__ = ['Table']


class Table:
    """Rows of one data class by key.

    A subclass sets its row class, its key field and the fields to index.
    Rows are changed only through ``put``, ``update`` and ``remove``, so that
    the indexes stay consistent. Iteration follows insertion order, which is
    the same on each replica.
    """

    name = ''
    row_class = None
    key = 'name'
    indexes = ()

    def __init__(self):
        self._rows = {}
        self._indexes = {field: {} for field in self.indexes}
        self._journals = weakref.WeakSet()

    def __len__(self):
        return len(self._rows)

    def __iter__(self):
        return iter(self._rows.values())

    def __contains__(self, key):
        return key in self._rows

    def find(self, key):
        """Return the row at ``key``, or None."""
        return self._rows.get(key)

    def find_first(self):
        """Return the row that was inserted first, or None."""
        return next(iter(self._rows.values()), None)

    def get(self, key):
        """Return the row at ``key``.

        Raises:
            NotFoundError: There is no such row.
        """
        row = self._rows.get(key)
        if row is None:
            raise errors.NotFoundError(
                f'{self.name} has no {key!r}', step='look-up'
            )
        return row

    def put(self, row):
        """Insert ``row``, or replace the one with its key."""
        key = getattr(row, self.key)
        old = self._rows.get(key)
        for field, index in self._indexes.items():
            value = getattr(row, field)
            if old is not None:
                self._unlink(index, getattr(old, field), key)
            index.setdefault(value, {})[key] = None
        self._rows[key] = row
        self._record_change(key)

    def update(self, key, **changes):
        """Set fields of the row at ``key`` and return the row."""
        row = self.get(key)
        for field, value in changes.items():
            index = self._indexes.get(field)
            if index is not None:
                self._unlink(index, getattr(row, field), key)
                index.setdefault(value, {})[key] = None
            setattr(row, field, value)
        self._record_change(key)
        return row

    def remove(self, key):
        """Remove and return the row at ``key``, or None."""
        row = self._rows.pop(key, None)
        if row is not None:
            for field, index in self._indexes.items():
                self._unlink(index, getattr(row, field), key)
            self._record_change(key)
        return row

    def open_journal(self):
        """Return a new ``Journal`` of this table's changes.

        The table holds a weak reference, so the journal lives as long as its
        reader keeps it.
        """
        change_journal = journal.Journal()
        self._journals.add(change_journal)
        return change_journal

    def select(self, field, value):
        """Return the rows whose indexed ``field`` equals ``value``."""
        keys = self._indexes[field].get(value, ())
        return [self._rows[key] for key in keys]

    def iterate(self, field, value):
        """Yield the rows of ``select`` without building a list."""
        for key in self._indexes[field].get(value, ()):
            yield self._rows[key]

    def count(self, field, value):
        """Return the number of rows whose indexed ``field`` is ``value``."""
        return len(self._indexes[field].get(value, ()))

    def dump(self):
        """Return the rows as MessagePack bytes."""
        return msgspec.msgpack.encode(list(self._rows.values()))

    def load(self, data):
        """Replace all rows with those encoded by ``dump``."""
        rows = msgspec.msgpack.decode(data, type=list[self.row_class])
        journals = self._journals
        self.__init__()
        for row in rows:
            self.put(row)
        self._journals = journals
        for change_journal in journals:
            change_journal.mark_reset()

    def _record_change(self, key):
        for change_journal in self._journals:
            change_journal.add(key)

    @staticmethod
    def _unlink(index, value, key):
        keys = index.get(value)
        if keys is not None:
            keys.pop(key, None)
            if not keys:
                del index[value]
