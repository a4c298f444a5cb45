"""Releases held jobs once what kept them has changed."""

import datetime

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import claims
from bilberryhaven.tables import job

__all__ = ['HoldingSystem']

RECHECK_INTERVAL = datetime.timedelta(seconds=10)

logger = log.get_logger('holding')


@systems.register('holding')
class HoldingSystem(systems.System):
    """Looks at held jobs when instances or workloads change."""

    order = 300

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._queue = []
        self._next = None

    def run(self, world):
        """Return the releases of this tick."""
        self.memory.refresh(world)
        claims.release_claims(self.memory, world)
        changed = list(self.memory.fleet.changed)
        edited = dict(self.memory.fleet.edited)
        self.memory.fleet.changed.clear()
        self.memory.fleet.edited.clear()
        if not changed and not edited:
            return self._recheck(world)
        for name in edited:
            self.memory.failures.forget_workload(name)
            self.memory.backlog.requeue(name)
        return self._release_jobs(world, changed, edited)

    def _release_jobs(self, world, changed, edited):
        verdicts = {}
        released = []
        for row in world.state.jobs.select('state', job.JobState.HELD):
            name = row.workload
            if row.hold == job.Hold.FAILING:
                if name in edited:
                    released.append(row.id)
                continue
            if name not in verdicts:
                verdicts[name] = self._is_possible(
                    world, name, changed, edited
                )
            if verdicts[name]:
                released.append(row.id)
        return self._release(released)

    def _release(self, released):
        if not released:
            return []
        reason = 'what kept it has changed'
        log.log_decision(logger, 'release', reason=reason, jobs=len(released))
        return [job_commands.ReleaseJobs(job_ids=released, reason=reason)]

    def _recheck(self, world):
        """Look at one held workload again.

        A hold that was committed late may rest on what has changed since.
        """
        held = job.JobState.HELD
        if not self._queue and (self._next is None or world.now >= self._next):
            self._next = world.now + RECHECK_INTERVAL
            rows = world.state.jobs.select('state', held)
            self._queue = sorted({row.workload for row in rows})
        if not self._queue:
            return []
        name = self._queue.pop()
        target = world.state.workloads.find(name)
        if target is None or not self.memory.feasibility.is_possible(target):
            return []
        released = [
            row.id
            for row in world.state.jobs.select('workload', name)
            if row.state == held and row.hold == job.Hold.IMPOSSIBLE
        ]
        return self._release(released)

    def _is_possible(self, world, name, changed, edited):
        target = world.state.workloads.find(name)
        if target is None:
            return False
        if name in edited or self._is_service_edited(world, edited):
            return self.memory.feasibility.is_possible(target)
        nodes = self.memory.fleet.nodes
        return any(
            self.memory.feasibility.could_run(target, nodes[place])
            for place in changed
            if place in nodes
        )

    def _is_service_edited(self, world, edited):
        rows = (world.state.workloads.find(name) for name in edited)
        return any(row is None or row.kind == 'service' for row in rows)
