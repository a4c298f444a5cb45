"""What one instance holds and lacks, as placement sees it."""

import dataclasses

from bilberryhaven.tables import workload

__all__ = ['Charge', 'Node', 'list_shortages']


@dataclasses.dataclass(kw_only=True, slots=True)
class Charge:
    """What one job takes from its instance.

    Attributes:
        job_id: The job's id.
        workload: Its workload's name.
        team: Team whose quota it counts against.
        need: The ``Resources`` it is charged with.
    """

    job_id: str
    workload: str
    team: str
    need: workload.Resources


@dataclasses.dataclass(kw_only=True, slots=True)
class Node:
    """One instance with what is charged to it.

    Attributes:
        row: The instance's row.
        labels: Its labels in effect.
        services: Names of the services that it serves.
        reserve: Slots that batch work leaves free for them.
        charges: Charge of each job that it holds, by job id.
        counts: Number of jobs it holds, by workload.
        slots: Slots charged.
        cpu: Processor cores charged.
        memory_mb: Memory charged.
        accelerators: Accelerators charged.
    """

    row: object
    labels: dict = dataclasses.field(default_factory=dict)
    services: tuple = ()
    reserve: int = 0
    charges: dict = dataclasses.field(default_factory=dict)
    counts: dict = dataclasses.field(default_factory=dict)
    slots: int = 0
    cpu: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0

    @property
    def name(self):
        """The instance's name."""
        return self.row.name

    @property
    def open(self):
        """Whether it takes new work."""
        row = self.row
        return row.connected and not row.draining and not row.quarantined

    @property
    def free_slots(self):
        """Slots that batch work may still take."""
        return self.row.capacity.slots - self.reserve - self.slots

    def add(self, charge):
        """Charge a job."""
        need = charge.need
        self.charges[charge.job_id] = charge
        name = charge.workload
        self.counts[name] = self.counts.get(name, 0) + 1
        self.slots += need.slots
        self.cpu += need.cpu
        self.memory_mb += need.memory_mb
        self.accelerators += need.accelerators

    def discard(self, job_id):
        """Take a job's charge back."""
        charge = self.charges.pop(job_id, None)
        if charge is None:
            return
        need = charge.need
        self.counts[charge.workload] -= 1
        if not self.counts[charge.workload]:
            del self.counts[charge.workload]
        self.slots -= need.slots
        self.cpu -= need.cpu
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def fits(self, need):
        """Return whether ``need`` fits into what is free."""
        holds = self.row.capacity
        return (
            self.slots + need.slots <= holds.slots - self.reserve
            and self.memory_mb + need.memory_mb <= holds.memory_mb
            and self.cpu + need.cpu <= holds.cpu
            and self.accelerators + need.accelerators <= holds.accelerators
        )

    def could_hold(self, need):
        """Return whether ``need`` would fit if it held no job."""
        holds = self.row.capacity
        return (
            need.slots <= holds.slots - self.reserve
            and need.memory_mb <= holds.memory_mb
            and need.cpu <= holds.cpu
            and need.accelerators <= holds.accelerators
        )


def list_shortages(node, need):
    """Return a text for each resource of which ``need`` finds too little."""
    holds = node.row.capacity
    rows = (
        ('slots', holds.slots - node.reserve, node.slots, need.slots),
        ('cpu', holds.cpu, node.cpu, need.cpu),
        ('memory_mb', holds.memory_mb, node.memory_mb, need.memory_mb),
        (
            'accelerators',
            holds.accelerators,
            node.accelerators,
            need.accelerators,
        ),
    )
    return [
        f'needs {needed:g} {name}, {max(total - used, 0):g} of '
        f'{max(total, 0):g} free'
        for name, total, used, needed in rows
        if used + needed > total
    ]
