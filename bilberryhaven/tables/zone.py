"""Availability zones that operators have withdrawn or restored."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Zone', 'ZoneTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Zone:
    """An availability zone for which an operator has given an order.

    Attributes:
        name: Its name.
        withdrawn: Whether no run may be started there.
        changed_at: When that was last changed, Unix time in seconds.
    """

    name: str
    withdrawn: bool
    changed_at: float = 0.0


@tables.register('zones')
class ZoneTable(table.Table):
    """Availability zones by name; one without any order has no row."""

    name = 'zones'
    row_class = Zone

    def is_withdrawn(self, name):
        """Return whether no run may be started in an availability zone."""
        row = self.find(name)
        return row is not None and row.withdrawn
