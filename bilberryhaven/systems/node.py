"""What one instance holds and lacks, as placement sees it."""

import dataclasses

from bilberryhaven.tables import workload

__all__ = ['Charge', 'Node', 'list_shortages']

ROUNDING = 1e-6


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
        name: The instance's name.
        labels: Its labels in effect.
        services: Names of the services that it serves.
        reserve: Slots that batch work leaves free for them.
        headroom: Further slots left free for urgent jobs.
        charges: Charge of each job that it holds, by job id.
        claims: Charge of each job that room is kept for, by claim id.
        counts: Number of jobs held or expected, by workload.
        slots: Slots charged.
        cpu: Processor cores charged.
        memory_mb: Memory charged.
        accelerators: Accelerators charged.
        pools: Pools whose selector it matches.
        indexed: (open, roomy) as the pools have it.
        shares: Share of full speed of each throttled job, by job id.
        strains: What its services suffer, or None where not computed.
        strained_at: When that was computed, in seconds.
    """

    row: object
    name: str
    labels: dict = dataclasses.field(default_factory=dict)
    services: tuple = ()
    reserve: int = 0
    headroom: int = 0
    charges: dict = dataclasses.field(default_factory=dict)
    claims: dict = dataclasses.field(default_factory=dict)
    counts: dict = dataclasses.field(default_factory=dict)
    slots: int = 0
    cpu: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0
    pools: list = dataclasses.field(default_factory=list)
    indexed: tuple = (False, False)
    shares: dict = dataclasses.field(default_factory=dict)
    strains: list | None = None
    strained_at: float = 0.0

    @property
    def open(self):
        """Whether it takes new work."""
        return self.row.accepts_work() and not self.row.quarantined

    @property
    def emptying(self):
        """Whether its jobs must leave it."""
        return self.row.draining or self.row.leaving

    @property
    def free_slots(self):
        """Slots that batch work may still take."""
        return self.row.capacity.slots - self.reserve - self.slots

    def add(self, charge):
        """Charge a job that it holds."""
        self.charges[charge.job_id] = charge
        self._count(charge, 1)

    def discard(self, job_id):
        """Take a job's charge back."""
        charge = self.charges.pop(job_id, None)
        if self.shares.pop(job_id, None) is not None:
            self.strains = None
        if charge is not None:
            self._count(charge, -1)
        return charge

    def claim(self, charge):
        """Keep room for a job that doesn't fit yet."""
        if charge.job_id not in self.claims:
            self.claims[charge.job_id] = charge
            self._count(charge, 1)

    def unclaim(self, claim_id):
        """Give up the room kept under ``claim_id``."""
        charge = self.claims.pop(claim_id, None)
        if charge is not None:
            self._count(charge, -1)

    def compute_effective_counts(self):
        """Return the number of tasks by workload, throttled ones in part."""
        counts = dict(self.counts)
        for charge in self.claims.values():
            counts[charge.workload] -= 1
        for job_id, share in self.shares.items():
            counts[self.charges[job_id].workload] -= 1.0 - share
        return counts

    def set_share(self, job_id, share):
        """Note that a job is throttled to ``share``, 1 for not at all."""
        self.shares.pop(job_id, None)
        if share < 1.0:
            self.shares[job_id] = share
        self.strains = None

    def _count(self, charge, sign):
        for strain in self.strains or ():
            strain.add(charge.workload, sign)
        need = charge.need
        count = self.counts.get(charge.workload, 0) + sign
        if count:
            self.counts[charge.workload] = count
        else:
            del self.counts[charge.workload]
        self.slots += sign * need.slots
        self.cpu += sign * need.cpu
        self.memory_mb += sign * need.memory_mb
        self.accelerators += sign * need.accelerators

    def fits(self, need, *, headroom=0):
        """Return whether ``need`` fits and leaves ``headroom`` slots."""
        holds = self.row.capacity
        kept = self.reserve + headroom
        return (
            self.slots + need.slots <= holds.slots - kept
            and self.memory_mb + need.memory_mb <= holds.memory_mb
            and self.cpu + need.cpu <= holds.cpu + ROUNDING
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
        if used + needed > total + ROUNDING
    ]
