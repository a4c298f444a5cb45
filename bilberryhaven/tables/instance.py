"""Instances: what each holds, where it is and which session it has."""

import dataclasses
import datetime

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Capacity', 'Instance', 'InstanceTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Capacity:
    """What an instance holds at most.

    Attributes:
        slots: Requests and tasks at a time.
        connections: Open connections to the backend server.
        cpu: Processor cores.
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
        announced: Labels that the agent announces.
        labels: Labels set by operators; they go before announced ones.
        capacity: What it holds.
        epoch: Number of its newest session; 0 before the first.
        opening: Idempotency key with which its agent opened that session.
        connected: Whether that session is open.
        closed_at: When its newest closed session ended, UTC, or None.
        draining: Whether an operator stops it: it takes nothing new.
        leaving: Whether its agent is stopping; ends with the session.
        quarantined: Reason for which it gets only probes, or empty.
        version: Increases with each accepted change of labels.
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
        """Return the labels in effect, with name, zone and rack."""
        fixed = {'instance': self.name, 'zone': self.zone, 'rack': self.rack}
        return {**fixed, **self.announced, **self.labels}


@tables.register('instances')
class InstanceTable(table.Table):
    """Instances by name."""

    name = 'instances'
    row_class = Instance
    indexes = ('zone', 'connected')
