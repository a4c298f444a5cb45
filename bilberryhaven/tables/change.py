"""Operators' accepted and refused changes; the oldest are expired."""

import dataclasses
import datetime

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Change', 'ChangeTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Change:
    """One operator's change and the first answer to it.

    Attributes:
        id: The operator's change id; a repeat gets the same answer.
        target: ``KIND/NAME`` of the changed entity.
        by: Sender, a name or an address.
        at: Time at which it was decided, UTC.
        fields: Values that it sets, by field, for ``history``.
        revision: Revision that it created, 0 if it was refused.
        version: Version of the target afterwards.
        error: Error code of the refusal, or empty.
        message: Error message of the refusal, or empty.
    """

    id: str
    target: str
    by: str
    at: datetime.datetime
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    revision: int = 0
    version: int = 0
    error: str = ''
    message: str = ''


@tables.register('changes')
class ChangeTable(table.Table):
    """Changes by change id, in order of decision."""

    name = 'changes'
    row_class = Change
    key = 'id'
    indexes = ('target',)
