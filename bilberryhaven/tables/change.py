"""Operators' accepted and refused changes, newest kept."""

import dataclasses
import datetime

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Change', 'ChangeTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Change:
    """One operator's change and the first answer to it.

    Attributes:
        id: The operator's change id; a resend gets the same answer.
        target: ``KIND/NAME`` of what it changes.
        by: Who sent it.
        at: When it was decided, UTC.
        fields: What it sets, for ``history``.
        revision: Revision it created, or 0 where refused.
        version: The target's version afterwards.
        error: Code of the refusal, or empty.
        message: Text of the refusal, or empty.
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
