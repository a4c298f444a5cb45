"""The catalog of queues and pools in force, as one versioned document."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Catalog', 'CatalogTable', 'Pool', 'Queue']

CURRENT = 'current'


@dataclasses.dataclass(kw_only=True, slots=True)
class Queue:
    """Where callers submit workflows.

    Attributes:
        name: Its name.
        host: Host name that callers address it by.
        prefix: Path prefix that callers address it by.
        pool: Pool whose backend servers run its tasks.
        timeout_ms: Longest time for one call, in milliseconds.
        priority: 0 comes first, and may preempt others.
        max_attempts: Failed runs of one task after which a workflow fails.
        slack_factor: Allowance on top of the run time, as a factor.
        latency_ms: Allowance for waiting, in milliseconds.
    """

    name: str
    host: str
    prefix: str
    pool: str
    timeout_ms: int
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    latency_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Pool:
    """Backend servers that run the same tasks.

    Attributes:
        name: Its name.
        guards_capacity: Whether its backend servers refuse what doesn't fit.
        standby: Whether its instances are off.
    """

    name: str
    guards_capacity: bool = False
    standby: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Catalog:
    """One version of the catalog.

    Attributes:
        name: Always ``current``.
        version: Its version; a higher one replaces it.
        queues: The queues.
        pools: The pools.
        document: The text that the operator sent, to be read back.
    """

    version: int
    queues: list[Queue]
    pools: list[Pool]
    document: bytes
    name: str = CURRENT


@tables.register('catalogs')
class CatalogTable(table.Table):
    """The catalog in force, if any."""

    name = 'catalogs'
    row_class = Catalog

    def find_current(self):
        """Return the catalog in force, or None."""
        return self.find(CURRENT)
