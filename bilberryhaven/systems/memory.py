"""What the systems of one leader share between ticks."""

import dataclasses

from bilberryhaven.systems import backlog
from bilberryhaven.systems import fleet

__all__ = ['Memory']


@dataclasses.dataclass(kw_only=True, slots=True)
class Memory:
    """Derived indexes; none is replicated, all are rebuilt from the tables.

    Attributes:
        fleet: What each instance holds.
        backlog: Pending jobs in the order in which they are served.
    """

    fleet: object = dataclasses.field(default_factory=fleet.Fleet)
    backlog: object = dataclasses.field(default_factory=backlog.Backlog)

    def refresh(self, world):
        """Bring the indexes up to date with the tables."""
        self.fleet.refresh(world.state, reserve=world.service_reserve)
        self.backlog.refresh(world.state)
