"""Grants pending jobs to instances, in batches and in fair order."""

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

MAX_STARTS = 400
MAX_HELD = 2000
MAX_SKIP = 8
SMALL_POOL = 64

logger = log.get_logger('placement')


@dataclasses.dataclass(kw_only=True, slots=True)
class Skip:
    """Pause of a workload that found no place.

    Attributes:
        left: Ticks in which it isn't tried.
        width: Ticks of its next pause.
    """

    left: int = 0
    width: int = 1


@systems.register('placement')
class PlacementSystem(systems.System):
    """Places each pending job where it fits and does least harm."""

    order = 400

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._grants = []
        self._holds = {}

    def run(self, world):
        """Return the grants and holds of this tick."""
        self.memory.refresh(world)
        self.memory.pressed.clear()
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
            served=self.memory.served,
        )
        while len(self._grants) < MAX_STARTS:
            name = order.take()
            if name is None:
                break
            target = world.state.workloads.get(name)
            if self._skips(target) or self._exceeds_quota(world, target):
                continue
            if self._place_next(world, target):
                order.put_back(name)
        self.memory.served = order.served

    def _skips(self, target):
        skip = self.memory.skips.get(target.name)
        if skip is None or not skip.left or backlogs.is_urgent(target):
            return False
        skip.left -= 1
        return True

    def _exceeds_quota(self, world, target):
        team = world.state.teams.find(target.team)
        if team is None or not team.quota:
            return False
        used = self.memory.fleet.used.get(target.team, 0)
        return used + target.resources.slots > team.quota

    def _place_next(self, world, target):
        job_id = self.memory.backlog.peek(target.name)[1]
        row = world.state.jobs.get(job_id)
        found = self._choose(world, row, target)
        if found is not None:
            self.memory.skips.pop(target.name, None)
            self.memory.waiting.pop(target.name, None)
            self._grant(world, row, target, found)
            return True
        if not self.memory.feasibility.is_possible(target):
            self._hold(target)
        else:
            self._wait(world, row, target)
        return False

    def _choose(self, world, row, target):
        claimed = claims.take_claim(self.memory, target)
        if claimed is not None:
            return choice.Choice(entry=claimed)
        return choice.choose_instance(self.memory, world, row, target)

    def _wait(self, world, row, target):
        pool = self.memory.fleet.get_pool(target.runs_on)
        if len(pool.members) > SMALL_POOL:
            self._widen_skip(target.name)
        if self._cannot_wait(world, row, target):
            self.memory.pressed.append((row, target))
        else:
            claims.claim_if_starving(self.memory, world, target)

    def _widen_skip(self, name):
        skip = self.memory.skips.setdefault(name, Skip())
        skip.left = skip.width
        skip.width = min(skip.width * 2, MAX_SKIP)

    def _cannot_wait(self, world, row, target):
        if backlogs.is_urgent(target):
            return True
        if row.deadline_at is None or row.deadline_at <= world.now:
            return False
        return self.memory.backlog.compute_due(row) <= world.now

    def _grant(self, world, row, target, found):
        entry = found.entry
        reason = f'cost {found.cost:.3f}, {entry.free_slots} slots free'
        self.memory.backlog.pop(target.name)
        self._issue(world, row, target, entry, reason)
        wait = world.now - row.submitted_at
        log.log_decision(
            logger,
            'place',
            reason=reason,
            job=row.id,
            workload=target.name,
            instance=entry.name,
            cost=round(found.cost, 4),
            free_slots=entry.free_slots,
            waited_s=wait.total_seconds(),
        )

    def _issue(self, world, row, target, entry, reason):
        self.memory.fleet.reserve(row, target, entry)
        self._grants.append(
            job_commands.Grant(
                job_id=row.id,
                instance=entry.name,
                session=entry.row.epoch,
                reason=reason,
                revision=world.state.revision,
            )
        )

    def _hold(self, target):
        reason = self.memory.feasibility.describe_lack(target)
        for job_id in self.memory.backlog.list_jobs(target.name)[:MAX_HELD]:
            self._holds[job_id] = reason
        log.log_decision(
            logger,
            'hold',
            reason=reason,
            workload=target.name,
            jobs=len(self._holds),
        )

    def _place_probes(self, world):
        for entry in self._list_probed(world):
            probe = self._find_probe(world, entry)
            if probe is None:
                continue
            row, target = probe
            self.memory.backlog.pop(target.name)
            reason = f'probe of quarantined {entry.name}'
            self._issue(world, row, target, entry, reason)
            log.log_decision(
                logger,
                'probe',
                reason=reason,
                job=row.id,
                workload=target.name,
                instance=entry.name,
            )

    def _list_probed(self, world):
        found = []
        for name in self.memory.fleet.quarantined:
            entry = self.memory.fleet.nodes[name]
            probe = self.memory.get_probe(name, world.now)
            row = entry.row
            busy = entry.charges or not row.accepts_work()
            if probe.due <= world.now and not busy:
                found.append(entry)
        return found

    def _find_probe(self, world, entry):
        memory = self.memory
        for name in memory.backlog.list_workloads():
            target = world.state.workloads.find(name)
            row = world.state.jobs.find(memory.backlog.peek(name)[1])
            if target is None or target.held or not target.repeatable:
                continue
            if target.kind != workload.Kind.BATCH or row.failures:
                continue
            if backlogs.is_urgent(target) or row.deadline_at is not None:
                continue
            if self._exceeds_quota(world, target):
                continue
            if not memory.feasibility.could_run(target, entry):
                continue
            return row, target
        return None
