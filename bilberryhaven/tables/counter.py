"""Monotonic counters."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Counter', 'CounterTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Counter:
    """Latest value of a counter."""

    name: str
    value: int = 0


@tables.register('counters')
class CounterTable(table.Table):
    """Counters by name."""

    name = 'counters'
    row_class = Counter

    def advance(self, name):
        """Increment the counter and return its new value."""
        row = self.find(name) or Counter(name=name)
        self.put(Counter(name=name, value=row.value + 1))
        return row.value + 1
