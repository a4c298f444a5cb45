"""Instances: capacity, location, labels and session of each."""

import dataclasses
import datetime

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Capacity', 'Instance', 'InstanceTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Capacity:
    """Capacity limits of an instance.

    Attributes:
        slots: Concurrent requests and tasks.
        connections: Open connections to the backend server.
        cpu: CPU cores.
        memory_mb: Memory in MiB.
        accelerators: Whole accelerators.
    """

    slots: int = 8
    connections: int = 64
    cpu: float = 16.0
    memory_mb: int = 61440
    accelerators: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Instance:
    """One instance with its backend server and agent.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        rack: Rack within the availability zone.
        address: The agent's HOST:PORT.
        announced: Labels announced by the agent.
        labels: Labels set by operators; they override announced ones.
        capacity: Capacity limits.
        epoch: Number of its latest session; 0 before the first.
        opening: Idempotency key with which its agent opened that session.
        connected: Whether that session is open.
        closed_at: Time at which its latest closed session ended, UTC, or None.
        draining: Whether an operator drains it: it accepts no new work.
        leaving: Whether its agent is stopping; applies to this session only.
        quarantined: Reason of a quarantine, in which it gets only probes; or
            empty.
        version: Increases with each accepted change.
    """

    name: str
    zone: str = ''
    rack: str = ''
    address: str = ''
    announced: dict[str, str] = dataclasses.field(default_factory=dict)
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    capacity: Capacity = dataclasses.field(default_factory=Capacity)
    epoch: int = 0
    opening: str = ''
    connected: bool = False
    closed_at: datetime.datetime | None = None
    draining: bool = False
    leaving: bool = False
    quarantined: str = ''
    version: int = 1

    def accepts_work(self):
        """Return whether new work may be granted to it."""
        return self.connected and not self.draining and not self.leaving

    def merge_labels(self):
        """Return the effective labels, including name, zone and rack."""
        fixed = {'instance': self.name, 'zone': self.zone, 'rack': self.rack}
        return {**fixed, **self.announced, **self.labels}


@tables.register('instances')
class InstanceTable(table.Table):
    """Instances by name."""

    name = 'instances'
    row_class = Instance
    indexes = ('zone', 'connected')
