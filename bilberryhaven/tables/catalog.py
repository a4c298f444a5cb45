"""The catalog of queues and pools in force, as one versioned document."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Catalog', 'CatalogTable', 'Pool', 'Queue']

CURRENT = 'current'


@dataclasses.dataclass(kw_only=True, slots=True)
class Queue:
    """A queue to which callers submit workflows.

    Attributes:
        name: Its name.
        host: Host name at which callers address it.
        prefix: Path prefix at which callers address it.
        pool: Pool whose backend servers run its tasks.
        timeout_ms: Longest duration of one call, in milliseconds.
        priority: Priority of its workflows; 0 is the highest, and may preempt
            others.
        max_attempts: Failed runs of one task after which a workflow fails.
        slack_factor: Time until the deadline allowed for running, as a
            multiple of the run time.
        latency_ms: Time until the deadline allowed for waiting, in
            milliseconds.
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

    @property
    def address(self):
        """Host and path prefix at which callers address it."""
        return f'{self.host}{self.prefix}'


@dataclasses.dataclass(kw_only=True, slots=True)
class Pool:
    """A pool of backend servers that run the same kinds of tasks.

    Attributes:
        name: Its name.
        guards_capacity: Whether its backend servers refuse starts that exceed
            their capacity.
        standby: Whether its instances are switched off.
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
        document: The document as the operator sent it, returned on reads.
    """

    version: int
    queues: list[Queue]
    pools: list[Pool]
    document: bytes
    name: str = CURRENT

    def index_queues(self):
        """Return a function from a ``Workflow`` to its queue, or None.

        The queue may have been renamed or moved since the submission.
        """
        by_name = {queue.name: queue for queue in reversed(self.queues)}
        by_address = {queue.address: queue for queue in self.queues}

        def find(row):
            named = by_name.get(row.queue)
            addressed = by_address.get(row.address)
            if addressed is not None and addressed.name == row.queue:
                return addressed
            return named or addressed

        return find

    def names_pool(self, name):
        """Return whether there is a pool of this name."""
        return any(pool.name == name for pool in self.pools)


@tables.register('catalogs')
class CatalogTable(table.Table):
    """The catalog in force, if any."""

    name = 'catalogs'
    row_class = Catalog

    def find_current(self):
        """Return the catalog in force, or None."""
        return self.find(CURRENT)
