"""Evicts jobs from instances that are draining or no longer match."""

import datetime
import itertools

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import victims
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

__all__ = ['RelocationSystem']

# Remaining run time that a drain waits for, if evictions and tail latency have
# equal weights, and its limit for all weights.
DRAIN_GRACE_S = 8.0
MAX_DRAIN_GRACE_S = 40.0
MAX_CHECKED_PER_TICK = 700
RESTART_WINDOW = datetime.timedelta(seconds=600)

logger = log.get_logger('relocation')


def _compute_grace(weights):
    """Return the remaining run time, in seconds, that a drain waits for."""
    ratio = weights.evictions / max(weights.tail_latency, 1e-6)
    return min(DRAIN_GRACE_S * ratio, MAX_DRAIN_GRACE_S)


@systems.register('relocation')
class RelocationSystem(systems.System):
    """Evicts jobs that may no longer run where they are."""

    order = 200

    def run(self, world):
        """Return a command with the evictions of this tick, if any."""
        self.memory.refresh(world)
        evictions = []
        instances_to_check = self.memory.fleet.instances_to_check
        for name in list(
            itertools.islice(instances_to_check, MAX_CHECKED_PER_TICK)
        ):
            node = self.memory.fleet.nodes.get(name)
            found = self._check(world, node) if node is not None else []
            evictions += found
            del instances_to_check[name]
            if found or (node is not None and self._is_evacuating(node)):
                instances_to_check[name] = None
        self._expire_restarts(world)
        if not evictions:
            return []
        return [job_commands.EvictJobs(evictions=evictions, at=world.now)]

    def _is_evacuating(self, node):
        return node.evacuating and node.row.connected and node.charges

    def _expire_restarts(self, world):
        """Clear the restarted instances once a rolling restart has ended.

        It has ended when no instance has drained for ``RESTART_WINDOW``.
        """
        last = self.memory.last_draining_at
        if last is None or world.now - last > RESTART_WINDOW:
            self.memory.fleet.restarted.clear()

    def _check(self, world, node):
        if node.evacuating:
            self.memory.last_draining_at = world.now
        found = []
        staying = set(node.services)
        for row in self._list_jobs(world, node):
            reason = self._find_violation(world, node, row, staying)
            if not reason and node.evacuating:
                reason = self._find_drain_reason(world, node, row)
            if reason:
                found.append(self._evict(row, node, reason))
            else:
                staying.add(row.workload)
        return found

    def _find_drain_reason(self, world, node, row):
        if self._may_finish(world, row):
            return ''
        return f'{node.name} is draining'

    def _may_finish(self, world, row):
        """Return whether a job on a draining instance is left to finish.

        This applies to running jobs that cannot be repeated and to those
        expected to end within the grace time. Watches never qualify.
        """
        spec = world.state.workloads.find(row.workload)
        if spec is None or row.state != job.JobState.RUNNING:
            return False
        if spec.kind == workload.Kind.WATCH:
            return False
        if not spec.repeatable:
            return True
        if not self.memory.task_estimates.is_run_known(spec):
            return False
        remaining = victims.estimate_remaining(self.memory, world, row, spec)
        return remaining <= _compute_grace(world.objective)

    def _list_jobs(self, world, node):
        rows = [world.state.jobs.find(key) for key in node.charges]
        stopping = (job.JobState.EVICTING, job.JobState.CANCELLING)
        rows = [row for row in rows if row and row.state not in stopping]
        return sorted(rows, key=lambda row: (row.granted_at, row.id))

    def _find_violation(self, world, node, row, staying):
        spec = world.state.workloads.find(row.workload)
        if spec is None:
            return ''
        rules = self.memory.fleet.rules
        if not rules.may_run(spec, node.labels):
            return f'runs_on {spec.runs_on!r} no longer matches'
        for other in sorted(staying):
            if not rules.may_share(spec.name, other):
                return f'may no longer share the instance with {other}'
        return ''

    def _evict(self, row, node, reason):
        log.log_decision(
            logger,
            'evict',
            reason=reason,
            job=row.id,
            workload=row.workload,
            instance=node.name,
            evictions=row.evictions,
        )
        return job_commands.Eviction(
            job_id=row.id, epoch=row.epoch, reason=reason
        )
