"""Evicts jobs from instances that drain or no longer match."""

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.tables import job

__all__ = ['RelocationSystem']

logger = log.get_logger('relocation')


@systems.register('relocation')
class RelocationSystem(systems.System):
    """Moves what may no longer stay where it runs."""

    order = 200

    def run(self, world):
        """Return the evictions of this tick."""
        self.memory.refresh(world)
        evictions = []
        suspects = self.memory.fleet.suspects
        for name in list(suspects):
            entry = self.memory.fleet.nodes.get(name)
            if entry is not None:
                evictions += self._check(world, entry)
        suspects.clear()
        if not evictions:
            return []
        return [job_commands.EvictJobs(evictions=evictions, at=world.now)]

    def _check(self, world, entry):
        found = []
        kept = set(entry.services)
        for row in self._list_jobs(world, entry):
            reason = self._find_fault(world, entry, row, kept)
            if reason:
                found.append(self._evict(row, entry, reason))
            else:
                kept.add(row.workload)
        return found

    def _list_jobs(self, world, entry):
        rows = [world.state.jobs.find(key) for key in entry.charges]
        moving = (job.JobState.EVICTING, job.JobState.CANCELLING)
        rows = [row for row in rows if row and row.state not in moving]
        return sorted(rows, key=lambda row: (row.granted_at, row.id))

    def _find_fault(self, world, entry, row, kept):
        if entry.row.draining:
            return f'{entry.name} is draining'
        target = world.state.workloads.find(row.workload)
        if target is None:
            return ''
        rules = self.memory.fleet.rules
        if not rules.may_run(target, entry.labels):
            return f'runs_on {target.runs_on!r} no longer matches'
        for other in sorted(kept):
            if not rules.may_share(target.name, other):
                return f'may no longer share the instance with {other}'
        return ''

    def _evict(self, row, entry, reason):
        log.log_decision(
            logger,
            'evict',
            reason=reason,
            job=row.id,
            workload=row.workload,
            instance=entry.name,
            evictions=row.evictions,
        )
        return job_commands.Eviction(
            job_id=row.id, epoch=row.epoch, reason=reason
        )
