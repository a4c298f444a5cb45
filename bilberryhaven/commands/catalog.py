"""Commands on the catalog of queues and pools."""

import msgspec

from bilberryhaven import commands
from bilberryhaven.tables import catalog
from bilberryhaven.tables import workflow

__all__ = ['MovedWorkflow', 'ReplaceCatalog', 'Replaced', 'follow_queues']

# Attributes of a queue that count as they are in force. The number of
# attempts counts as it was accepted: a lower one would fail workflows without
# a failed run.
FOLLOWED = ('pool', 'priority', 'slack_factor', 'latency_ms')


class MovedWorkflow(msgspec.Struct, frozen=True, array_like=True):
    """A workflow whose queue names another pool than before.

    Attributes:
        id: Id of the workflow.
        former: Its pool before.
        pool: Its pool now.
    """

    id: str
    former: str
    pool: str


class Replaced(msgspec.Struct, frozen=True, kw_only=True):
    """Result of ``ReplaceCatalog``.

    Attributes:
        version: The version in force.
        moved: The ``MovedWorkflow`` rows.
    """

    version: int
    moved: list[MovedWorkflow] = []


class ReplaceCatalog(commands.Command):
    """Replaces the catalog by one of a higher version.

    A version that isn't higher than the one in force is accepted without
    effect: it is a duplicate, or a newer version was committed before it.
    """

    catalog: catalog.Catalog

    def apply(self, state):
        """Store the catalog if its version is higher; return ``Replaced``."""
        current = state.catalogs.find_current()
        if current is not None and self.catalog.version <= current.version:
            return Replaced(version=current.version)
        state.catalogs.put(self.catalog)
        active = state.workflows.select('state', workflow.WorkflowState.ACTIVE)
        return Replaced(
            version=self.catalog.version, moved=follow_queues(state, active)
        )


def follow_queues(state, rows):
    """Give workflows the attributes that their queues have in force.

    Runs at work are left where they are. A workflow whose queue is no longer
    in the catalog keeps what it has.

    Args:
        state: The replicated tables, with a catalog.
        rows: The ``Workflow`` rows.

    Returns:
        The ``MovedWorkflow`` rows of those whose pool has changed.
    """
    find_queue = state.catalogs.find_current().index_queues()
    moved = []
    for row in rows:
        queue = find_queue(row)
        if queue is None:
            continue
        changes = {
            field: getattr(queue, field)
            for field in FOLLOWED
            if getattr(queue, field) != getattr(row, field)
        }
        if 'pool' in changes:
            moved.append(MovedWorkflow(row.id, row.pool, queue.pool))
        if changes:
            state.workflows.update(row.id, **changes)
    return moved
