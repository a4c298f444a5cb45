"""Grants pending jobs to instances, in batches and in weighted fair order."""

import dataclasses

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import backlog as backlogs
from bilberryhaven.systems import choice
from bilberryhaven.systems import claims
from bilberryhaven.systems import fairness
from bilberryhaven.tables import workload

__all__ = ['PlacementSystem']

# Grants per tick, and jobs held at once per workload.
MAX_GRANTS = 400
MAX_HOLDS = 2000
MAX_BACKOFF_TICKS = 8
# Pools with at most this many open instances are searched in each tick.
MAX_POOL_WITHOUT_BACKOFF = 64

logger = log.get_logger('placement')


@dataclasses.dataclass(kw_only=True, slots=True)
class Backoff:
    """Exponential back-off of a workload that could not be placed.

    Attributes:
        remaining_ticks: Ticks for which it is still skipped.
        next_ticks: Length of its next back-off, in ticks.
    """

    remaining_ticks: int = 0
    next_ticks: int = 1


@systems.register('placement')
class PlacementSystem(systems.System):
    """Places each pending job on the candidate with the lowest cost."""

    order = 400

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._grants = []
        self._holds = {}

    def run(self, world):
        """Return the commands with the grants and holds of this tick."""
        self.memory.refresh(world)
        self.memory.unplaced_urgent.clear()
        self._grants = []
        self._holds = {}
        self._place_probes(world)
        self._place_jobs(world)
        found = []
        if self._grants:
            found.append(
                job_commands.GrantJobs(grants=self._grants, at=world.now)
            )
        if self._holds:
            found.append(job_commands.HoldJobs(reasons=self._holds))
        return found

    def _place_jobs(self, world):
        order = fairness.FairOrder(
            state=world.state,
            fleet=self.memory.fleet,
            backlog=self.memory.backlog,
            placed_count=self.memory.placed_count,
        )
        while len(self._grants) < MAX_GRANTS:
            name = order.pop()
            if name is None:
                break
            spec = world.state.workloads.get(name)
            if self._is_backing_off(spec) or self._exceeds_quota(world, spec):
                continue
            if self._place_next(world, spec):
                order.record_placement(name)
        self.memory.placed_count = order.placed_count

    def _is_backing_off(self, spec):
        backoff = self.memory.backoffs.get(spec.name)
        if (
            backoff is None
            or not backoff.remaining_ticks
            or backlogs.is_urgent(spec)
        ):
            return False
        backoff.remaining_ticks -= 1
        return True

    def _exceeds_quota(self, world, spec):
        team = world.state.teams.find(spec.team)
        if team is None or not team.quota:
            return False
        used = self.memory.fleet.used.get(spec.team, 0)
        return used + spec.resources.slots > team.quota

    def _place_next(self, world, spec):
        job_id = self.memory.backlog.peek(spec.name)[1]
        row = world.state.jobs.get(job_id)
        found = self._choose(world, row, spec)
        if found is not None:
            self.memory.backoffs.pop(spec.name, None)
            self.memory.blocked_since.pop(spec.name, None)
            self._grant(world, row, spec, found)
            return True
        if not self.memory.feasibility.is_possible(spec):
            self._hold(spec)
        else:
            self._handle_unplaced(world, row, spec)
        return False

    def _choose(self, world, row, spec):
        claimed = claims.take_claim(self.memory, spec)
        if claimed is not None:
            return choice.Choice(node=claimed)
        return choice.choose_instance(self.memory, world, row, spec)

    def _handle_unplaced(self, world, row, spec):
        pool = self.memory.fleet.get_pool(spec.runs_on)
        if len(pool.members) > MAX_POOL_WITHOUT_BACKOFF:
            self._extend_backoff(spec.name)
        if self._must_start_now(world, row, spec):
            self.memory.unplaced_urgent.append((row, spec))
        else:
            claims.claim_if_starving(self.memory, world, spec)

    def _extend_backoff(self, name):
        backoff = self.memory.backoffs.setdefault(name, Backoff())
        backoff.remaining_ticks = backoff.next_ticks
        backoff.next_ticks = min(backoff.next_ticks * 2, MAX_BACKOFF_TICKS)

    def _must_start_now(self, world, row, spec):
        if backlogs.is_urgent(spec):
            return True
        if row.deadline_at is None or row.deadline_at <= world.now:
            return False
        return self.memory.backlog.compute_due(row) <= world.now

    def _grant(self, world, row, spec, found):
        node = found.node
        reason = f'cost {found.cost:.3f}, {node.free_slots} slots free'
        self.memory.backlog.pop(spec.name)
        self._add_grant(world, row, spec, node, reason)
        wait = world.now - row.submitted_at
        log.log_decision(
            logger,
            'place',
            reason=reason,
            job=row.id,
            workload=spec.name,
            instance=node.name,
            cost=round(found.cost, 4),
            free_slots=node.free_slots,
            waited_s=wait.total_seconds(),
        )

    def _add_grant(self, world, row, spec, node, reason):
        self.memory.fleet.reserve(row, spec, node)
        self._grants.append(
            job_commands.Grant(
                job_id=row.id,
                instance=node.name,
                session=node.row.epoch,
                reason=reason,
                revision=world.state.revision,
            )
        )

    def _hold(self, spec):
        reason = self.memory.feasibility.describe_infeasibility(spec)
        for job_id in self.memory.backlog.list_jobs(spec.name)[:MAX_HOLDS]:
            self._holds[job_id] = reason
        log.log_decision(
            logger,
            'hold',
            reason=reason,
            workload=spec.name,
            jobs=len(self._holds),
        )

    def _place_probes(self, world):
        for node in self._list_due_probes(world):
            probe = self._find_probe_job(world, node)
            if probe is None:
                continue
            row, spec = probe
            self.memory.backlog.pop(spec.name)
            reason = f'probe of quarantined {node.name}'
            self._add_grant(world, row, spec, node, reason)
            log.log_decision(
                logger,
                'probe',
                reason=reason,
                job=row.id,
                workload=spec.name,
                instance=node.name,
            )

    def _list_due_probes(self, world):
        found = []
        for name in self.memory.fleet.quarantined:
            node = self.memory.fleet.nodes[name]
            probe = self.memory.get_probe(name, world.now)
            row = node.row
            busy = node.charges or not row.accepts_work()
            if probe.due <= world.now and not busy:
                found.append(node)
        return found

    def _find_probe_job(self, world, node):
        memory = self.memory
        for name in memory.backlog.list_workloads():
            spec = world.state.workloads.find(name)
            row = world.state.jobs.find(memory.backlog.peek(name)[1])
            if spec is None or spec.held or not spec.repeatable:
                continue
            if spec.kind != workload.Kind.BATCH or row.failures:
                continue
            if backlogs.is_urgent(spec) or row.deadline_at is not None:
                continue
            if self._exceeds_quota(world, spec):
                continue
            if not memory.feasibility.could_run(spec, node):
                continue
            return row, spec
        return None
