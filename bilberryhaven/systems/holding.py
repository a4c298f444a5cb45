"""Releases held jobs once the cause of the hold has changed."""

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
    """Re-evaluates held jobs when instances or workloads change."""

    order = 300

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._recheck_queue = []
        self._next_recheck_at = None

    def run(self, world):
        """Return a command with the jobs released in this tick, if any."""
        self.memory.refresh(world)
        claims.release_claims(self.memory, world)
        changed_instances = list(self.memory.fleet.changed_instances)
        changed_workloads = dict(self.memory.fleet.changed_workloads)
        self.memory.fleet.changed_instances.clear()
        self.memory.fleet.changed_workloads.clear()
        if not changed_instances and not changed_workloads:
            return self._recheck(world)
        for name in changed_workloads:
            self.memory.failures.forget_workload(name)
            self.memory.backlog.requeue(name)
        return self._release_jobs(world, changed_instances, changed_workloads)

    def _release_jobs(self, world, changed_instances, changed_workloads):
        possible_by_workload = {}
        released = []
        for row in world.state.jobs.select('state', job.JobState.HELD):
            name = row.workload
            if row.hold == job.Hold.FAILING:
                if name in changed_workloads:
                    released.append(row.id)
                continue
            if name not in possible_by_workload:
                possible_by_workload[name] = self._is_possible(
                    world, name, changed_instances, changed_workloads
                )
            if possible_by_workload[name]:
                released.append(row.id)
        return self._release(released)

    def _release(self, released):
        if not released:
            return []
        reason = 'what kept it has changed'
        log.log_decision(logger, 'release', reason=reason, jobs=len(released))
        return [job_commands.ReleaseJobs(job_ids=released, reason=reason)]

    def _recheck(self, world):
        """Re-evaluate one held workload per tick, all of them every 10 s.

        A hold may be committed after the state that it was based on has
        changed, in which case no later change would release it.
        """
        held = job.JobState.HELD
        if not self._recheck_queue and (
            self._next_recheck_at is None or world.now >= self._next_recheck_at
        ):
            self._next_recheck_at = world.now + RECHECK_INTERVAL
            rows = world.state.jobs.select('state', held)
            self._recheck_queue = sorted({row.workload for row in rows})
        if not self._recheck_queue:
            return []
        name = self._recheck_queue.pop()
        spec = world.state.workloads.find(name)
        if spec is None or not self.memory.feasibility.is_possible(spec):
            return []
        released = [
            row.id
            for row in world.state.jobs.select('workload', name)
            if row.state == held and row.hold == job.Hold.IMPOSSIBLE
        ]
        return self._release(released)

    def _is_possible(self, world, name, changed_instances, changed_workloads):
        spec = world.state.workloads.find(name)
        if spec is None:
            return False
        if name in changed_workloads or self._is_service_changed(
            world, changed_workloads
        ):
            return self.memory.feasibility.is_possible(spec)
        nodes = self.memory.fleet.nodes
        return any(
            self.memory.feasibility.could_run(spec, nodes[instance_name])
            for instance_name in changed_instances
            if instance_name in nodes
        )

    def _is_service_changed(self, world, changed_workloads):
        rows = (world.state.workloads.find(name) for name in changed_workloads)
        return any(row is None or row.kind == 'service' for row in rows)
