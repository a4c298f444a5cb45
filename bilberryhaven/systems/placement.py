"""Grants pending jobs to instances; holds and releases impossible ones."""

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import node as nodes

__all__ = ['PlacementSystem']

MAX_STARTS = 400
MAX_HELD = 1000

logger = log.get_logger('placement')


@systems.register('placement')
class PlacementSystem(systems.System):
    """Places each pending job where it fits, in batches."""

    order = 400

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._grants = []
        self._holds = {}

    def run(self, world):
        """Return the grants, holds and releases of this tick."""
        self.memory.refresh(world)
        self._grants = []
        self._holds = {}
        self._place_jobs(world)
        found = []
        if self._grants:
            found.append(
                job_commands.GrantJobs(grants=self._grants, at=world.now)
            )
        if self._holds:
            found.append(job_commands.HoldJobs(reasons=self._holds))
        return found + self._release_jobs(world)

    def _place_jobs(self, world):
        waiting = self.memory.backlog.list_workloads()
        while waiting and len(self._grants) < MAX_STARTS:
            waiting.sort(key=self._rank)
            for name in list(waiting):
                if not self._place_next(world, name):
                    waiting.remove(name)

    def _rank(self, name):
        row = self.memory.backlog.peek(name)
        return (row.submitted_at, row.id)

    def _place_next(self, world, name):
        row = self.memory.backlog.peek(name)
        target = world.state.workloads.find(name)
        if row is None or target is None or target.held:
            return False
        if self._exceeds_quota(world, target):
            return False
        entry = self._choose(target)
        if entry is not None:
            self._grant(row, target, entry)
        elif not self._is_possible(target):
            self._hold(target)
        return entry is not None and self.memory.backlog.peek(name)

    def _exceeds_quota(self, world, target):
        team = world.state.teams.find(target.team)
        if team is None or not team.quota:
            return False
        used = self.memory.fleet.used.get(target.team, 0)
        return used + target.resources.slots > team.quota

    def _choose(self, target):
        rules = self.memory.fleet.rules
        best = None
        for entry in self.memory.fleet.nodes.values():
            if not entry.open or not entry.fits(target.resources):
                continue
            if best is not None and entry.free_slots <= best.free_slots:
                continue
            if not rules.may_run(target, entry.labels):
                continue
            if rules.shares(target.name, entry):
                best = entry
        return best

    def _grant(self, row, target, entry):
        reason = f'{entry.free_slots} slots free'
        self.memory.backlog.pop(target.name)
        self.memory.fleet.reserve(row, entry)
        self._grants.append(
            job_commands.Grant(
                job_id=row.id,
                instance=entry.name,
                session=entry.row.epoch,
                reason=reason,
            )
        )
        log.log_decision(
            logger,
            'place',
            reason=reason,
            job=row.id,
            workload=target.name,
            instance=entry.name,
            free_slots=entry.free_slots,
        )

    def _is_possible(self, target):
        return any(
            self._could_run(target, entry)
            for entry in self.memory.fleet.nodes.values()
        )

    def _could_run(self, target, entry):
        rules = self.memory.fleet.rules
        return (
            rules.may_run(target, entry.labels)
            and entry.could_hold(target.resources)
            and all(rules.may_share(target.name, s) for s in entry.services)
        )

    def _hold(self, target):
        reason = f'no instance can run it: {self._describe(target)}'
        for job_id in self.memory.backlog.list_jobs(target.name)[:MAX_HELD]:
            self._holds[job_id] = reason
        log.log_decision(logger, 'hold', reason=reason, workload=target.name)

    def _describe(self, target):
        fleet = self.memory.fleet
        matching = [
            entry
            for entry in fleet.nodes.values()
            if fleet.rules.may_run(target, entry.labels)
        ]
        if not matching:
            return f'none matches runs_on {target.runs_on!r}'
        for entry in matching:
            empty = nodes.Node(row=entry.row, reserve=entry.reserve)
            lacks = nodes.list_shortages(empty, target.resources)
            if lacks:
                return f'{entry.name} {", ".join(lacks)}'
        return 'shares_with keeps it from each instance that matches'

    def _release_jobs(self, world):
        fleet = self.memory.fleet
        if not fleet.changed and not fleet.edited:
            return []
        fleet.changed.clear()
        fleet.edited.clear()
        possible = {}
        released = []
        for row in world.state.jobs.select('state', 'held'):
            if row.workload not in possible:
                target = world.state.workloads.find(row.workload)
                possible[row.workload] = target and self._is_possible(target)
            if possible[row.workload]:
                released.append(row.id)
        if not released:
            return []
        reason = 'an instance that can run it was found'
        return [job_commands.ReleaseJobs(job_ids=released, reason=reason)]
