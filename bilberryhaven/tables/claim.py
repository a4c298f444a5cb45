"""Claims: requests that must run at most once, claimed before dispatch."""

import dataclasses
import datetime

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Claim', 'ClaimTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """The right to dispatch one request once.

    Attributes:
        request_id: The request's id.
        workload: Its workload.
        holder: Name of the entry that may dispatch it.
        at: When it was granted, UTC.
    """

    request_id: str
    workload: str
    holder: str
    at: datetime.datetime


@tables.register('claims')
class ClaimTable(table.Table):
    """Claims by request id, in order of grant."""

    name = 'claims'
    row_class = Claim
    key = 'request_id'
