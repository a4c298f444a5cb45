"""Releases held jobs once what kept them has changed."""

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import claims
from bilberryhaven.tables import job

__all__ = ['HoldingSystem']

logger = log.get_logger('holding')


@systems.register('holding')
class HoldingSystem(systems.System):
    """Looks at held jobs when instances or workloads change."""

    order = 300

    def run(self, world):
        """Return the releases of this tick."""
        self.memory.refresh(world)
        claims.release_claims(self.memory, world)
        changed = list(self.memory.fleet.changed)
        edited = dict(self.memory.fleet.edited)
        self.memory.fleet.changed.clear()
        self.memory.fleet.edited.clear()
        if not changed and not edited:
            return []
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
        if not released:
            return []
        reason = 'what kept it has changed'
        log.log_decision(logger, 'release', reason=reason, jobs=len(released))
        return [job_commands.ReleaseJobs(job_ids=released, reason=reason)]

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
