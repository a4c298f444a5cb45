"""Claims on requests that must run at most once."""

import dataclasses
import datetime

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Claim', 'ClaimTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """Right to dispatch one request once.

    Attributes:
        request_id: Id of the request.
        workload: Name of its workload.
        holder: Name of the entry process that may dispatch it.
        at: Time of the grant, UTC.
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
