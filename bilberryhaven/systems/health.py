"""Quarantines faulty instances; delays and holds jobs that keep failing."""

import datetime

from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import outcomes
from bilberryhaven.tables import job

__all__ = ['HealthSystem']

MAX_QUARANTINED_SHARE = 0.1
# Failures after which a job is held.
MAX_FAILURES = 4
# Instances on which a job must have failed before it is held.
MIN_FAILED_INSTANCES = 3
FIRST_BACKOFF = datetime.timedelta(seconds=1)
MAX_BACKOFF = datetime.timedelta(seconds=60)
REFUSAL_DELAY = datetime.timedelta(milliseconds=500)

logger = log.get_logger('health')


@systems.register('health')
class HealthSystem(systems.System):
    """Evaluates the outcomes of jobs that left their instances."""

    order = 100

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._newly_quarantined = set()

    def run(self, world):
        """Return commands that set or lift quarantines and hold jobs."""
        self.memory.refresh(world)
        self._newly_quarantined.clear()
        batch = []
        holds = {}
        for outcome in self.memory.fleet.outcomes.take():
            if outcome.kind == outcomes.OutcomeKind.REFUSED:
                until = world.now + REFUSAL_DELAY
                self.memory.backlog.delay(outcome.job_id, until)
                continue
            if outcome.kind == outcomes.OutcomeKind.STOPPED:
                # It was evicted, or its session ended: no evidence.
                continue
            batch += self._assess_instance(world, outcome)
            if outcome.kind == outcomes.OutcomeKind.FAILED:
                self._assess_job(world, outcome, holds)
        if holds:
            batch.append(
                job_commands.HoldJobs(reasons=holds, hold=job.Hold.FAILING)
            )
        return batch

    def _assess_instance(self, world, outcome):
        name = outcome.instance
        failed = outcome.kind == outcomes.OutcomeKind.FAILED
        counts = self.memory.failures
        counts.add(name, outcome.workload, failed=failed)
        node = self.memory.fleet.nodes.get(name)
        if node is None or not node.row.connected:
            return []
        if node.row.quarantined:
            return self._assess_probe(world, name, failed)
        if not failed or not counts.is_faulty(name):
            return []
        if name in self._newly_quarantined or not self._may_quarantine(world):
            return []
        self._newly_quarantined.add(name)
        return [self._quarantine(world, name)]

    def _may_quarantine(self, world):
        connected = world.state.instances.count('connected', True)
        quarantined = len(
            self._newly_quarantined.union(self.memory.fleet.quarantined)
        )
        limit = max(1, int(connected * MAX_QUARANTINED_SHARE))
        return quarantined < limit and connected > 1

    def _quarantine(self, world, name):
        total = self.memory.failures.compute_excess(name)
        reason = (
            f'{total.failures:.0f} of the last {total.tries:.0f} jobs failed '
            f'here, {total.excess:.1f} more than elsewhere'
        )
        self.memory.probes.pop(name, None)
        self.memory.get_probe(name, world.now)
        log.log_decision(
            logger,
            'quarantine',
            reason=reason,
            instance=name,
            failures=round(total.failures, 2),
            tries=round(total.tries, 2),
            excess=round(total.excess, 2),
        )
        return session.QuarantineInstance(name=name, reason=reason)

    def _assess_probe(self, world, name, failed):
        if failed:
            probe = self.memory.get_probe(name, world.now)
            probe.interval *= 2
            probe.due = world.now + probe.interval
            return []
        self.memory.probes.pop(name, None)
        self.memory.failures.forget_instance(name)
        log.log_decision(
            logger,
            'lift_quarantine',
            reason='a probe succeeded',
            instance=name,
        )
        return [session.QuarantineInstance(name=name)]

    def _assess_job(self, world, outcome, holds):
        row = world.state.jobs.find(outcome.job_id)
        if row is None or row.state != job.JobState.PENDING:
            return
        failure_counts = self._count_failures_by_instance(row)
        spec = world.state.workloads.get(row.workload)
        pool = self.memory.fleet.get_pool(spec.runs_on)
        enough = min(MIN_FAILED_INSTANCES, max(len(pool.members), 1))
        if (
            sum(failure_counts.values()) >= MAX_FAILURES
            and len(failure_counts) >= enough
        ):
            holds[row.id] = self._describe(row, failure_counts)
            return
        count = len(row.failures) - 1
        delay = min(FIRST_BACKOFF * 2 ** min(count, 10), MAX_BACKOFF)
        self.memory.backlog.delay(row.id, world.now + delay)
        log.log_decision(
            logger,
            'back_off',
            reason=row.reason,
            job=row.id,
            failures=len(row.failures),
            delay_s=delay.total_seconds(),
        )

    def _count_failures_by_instance(self, row):
        failure_counts = {}
        for name in row.failures:
            node = self.memory.fleet.nodes.get(name)
            if node is None or not node.row.quarantined:
                failure_counts[name] = failure_counts.get(name, 0) + 1
        return failure_counts

    def _describe(self, row, failure_counts):
        times = ', '.join(
            f'{count} on {n}' for n, count in failure_counts.items()
        )
        reason = f'failed {times}; last: {row.reason}'
        log.log_decision(
            logger,
            'hold',
            reason=reason,
            job=row.id,
            workload=row.workload,
            places=len(failure_counts),
        )
        return reason
