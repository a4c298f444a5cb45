"""Resources of one instance in use and free, for placement decisions."""

import dataclasses

from bilberryhaven.tables import workload

__all__ = ['Charge', 'Node', 'list_shortages']

# Absorbs rounding errors in sums of processor cores.
CPU_TOLERANCE = 1e-6


@dataclasses.dataclass(kw_only=True, slots=True)
class Charge:
    """Resources that one job or claim takes from its instance.

    Attributes:
        job_id: Id of the job, or of the claim.
        workload: Name of its workload.
        team: Team whose quota it counts against.
        need: The ``Resources`` charged.
    """

    job_id: str
    workload: str
    team: str
    need: workload.Resources


@dataclasses.dataclass(kw_only=True, slots=True)
class Node:
    """One instance with the resources charged to it.

    Attributes:
        row: The instance's row.
        name: The instance's name.
        labels: Its effective labels.
        services: Names of the services that it serves.
        reserve: Slots that batch jobs must leave free for services.
        headroom: Additional slots left free for urgent jobs.
        charges: ``Charge`` of each job on the instance, by job id.
        claims: ``Charge`` of each claim on the instance, by claim id.
        counts: Number of jobs and claims, by workload.
        slots: Slots charged.
        cpu: Processor cores charged.
        memory_mb: Memory charged, in megabytes.
        accelerators: Accelerators charged.
        pools: ``Pool`` objects whose selector it matches.
        indexed: (open, available) as last written to the pools.
        speed_shares: Share of full speed of each throttled job, by job id.
        penalty_models: ``PenaltyModel`` of each service, or None if they
            must be recomputed.
        penalties_computed_at: When they were computed, in seconds.
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
    speed_shares: dict = dataclasses.field(default_factory=dict)
    penalty_models: list | None = None
    penalties_computed_at: float = 0.0

    @property
    def open(self):
        """Whether new jobs may be placed on the instance."""
        return self.row.accepts_work() and not self.row.quarantined

    @property
    def evacuating(self):
        """Whether its jobs must be moved to other instances."""
        return self.row.draining or self.row.leaving

    @property
    def free_slots(self):
        """Number of slots that batch jobs may still use."""
        return self.row.capacity.slots - self.reserve - self.slots

    def add(self, charge):
        """Add the charge of a job."""
        self.charges[charge.job_id] = charge
        self._count(charge, 1)

    def discard(self, job_id):
        """Remove and return the charge of a job; None if there is none."""
        charge = self.charges.pop(job_id, None)
        if self.speed_shares.pop(job_id, None) is not None:
            self.penalty_models = None
        if charge is not None:
            self._count(charge, -1)
        return charge

    def add_claim(self, charge):
        """Reserve capacity for a job that does not fit yet."""
        if charge.job_id not in self.claims:
            self.claims[charge.job_id] = charge
            self._count(charge, 1)

    def remove_claim(self, claim_id):
        """Release the capacity that was reserved as ``claim_id``."""
        charge = self.claims.pop(claim_id, None)
        if charge is not None:
            self._count(charge, -1)

    def compute_effective_counts(self):
        """Return task counts by workload, without claims.

        A throttled task counts as its share of full speed.
        """
        counts = dict(self.counts)
        for charge in self.claims.values():
            counts[charge.workload] -= 1
        for job_id, share in self.speed_shares.items():
            counts[self.charges[job_id].workload] -= 1.0 - share
        return counts

    def set_share(self, job_id, share):
        """Record the share of full speed of a job; 1 is not throttled."""
        self.speed_shares.pop(job_id, None)
        if share < 1.0:
            self.speed_shares[job_id] = share
        self.penalty_models = None

    def _count(self, charge, sign):
        for model in self.penalty_models or ():
            model.add(charge.workload, sign)
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
        """Return whether ``need`` fits with ``headroom`` slots left free."""
        capacity = self.row.capacity
        reserved = self.reserve + headroom
        return (
            self.slots + need.slots <= capacity.slots - reserved
            and self.memory_mb + need.memory_mb <= capacity.memory_mb
            and self.cpu + need.cpu <= capacity.cpu + CPU_TOLERANCE
            and self.accelerators + need.accelerators <= capacity.accelerators
        )

    def could_hold(self, need):
        """Return whether ``need`` would fit if the instance ran no jobs."""
        capacity = self.row.capacity
        return (
            need.slots <= capacity.slots - self.reserve
            and need.memory_mb <= capacity.memory_mb
            and need.cpu <= capacity.cpu
            and need.accelerators <= capacity.accelerators
        )


def list_shortages(node, need):
    """Return one message for each resource that is too short for ``need``."""
    capacity = node.row.capacity
    rows = (
        ('slots', capacity.slots - node.reserve, node.slots, need.slots),
        ('cpu', capacity.cpu, node.cpu, need.cpu),
        ('memory_mb', capacity.memory_mb, node.memory_mb, need.memory_mb),
        (
            'accelerators',
            capacity.accelerators,
            node.accelerators,
            need.accelerators,
        ),
    )
    return [
        f'needs {needed:g} {name}, {max(total - used, 0):g} of '
        f'{max(total, 0):g} free'
        for name, total, used, needed in rows
        if used + needed > total + CPU_TOLERANCE
    ]
