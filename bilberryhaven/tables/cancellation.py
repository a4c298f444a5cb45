"""Cancels of workflows that had not been submitted."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['MAX_CANCELLATIONS', 'Cancellation', 'CancellationTable']

# Some 3 MB on each replica. Beyond it the oldest ones are dropped, and the
# leader relies on the age of submissions.
MAX_CANCELLATIONS = 10_000


@dataclasses.dataclass(kw_only=True, slots=True)
class Cancellation:
    """A cancel of a workflow that was not stored.

    Attributes:
        id: Id of the workflow.
        at: When it was cancelled last, Unix time in seconds.
    """

    id: str
    at: float


@tables.register('cancellations')
class CancellationTable(table.Table):
    """Cancels by workflow id, oldest first."""

    name = 'cancellations'
    row_class = Cancellation
    key = 'id'

    @property
    def is_full(self):
        """Whether a new cancel drops another one, as others may have."""
        return len(self) >= MAX_CANCELLATIONS

    def record(self, row):
        """Store a cancel as the newest one; return the ids of those dropped.

        Args:
            row: The ``Cancellation``.
        """
        self.remove(row.id)
        self.put(row)
        dropped = []
        while len(self) > MAX_CANCELLATIONS:
            dropped.append(self.find_first().id)
            self.remove(dropped[-1])
        return dropped
