"""Feeds late usage reports to the estimates.

A report is attributed to what its instance held when it was measured, as the
tables and the report's age tell, not to what the instance holds on arrival.
Reports older than what is kept are counted and left out.
"""

from bilberryhaven import systems
from bilberryhaven.systems import outcomes

__all__ = ['LearningSystem']

MAX_REPORTS = 400
MAX_LEARNED = 40
START_LAG_S = 0.5
LOAD_WEIGHT = 0.3
MEAN_LOAD_WEIGHT = 0.02


@systems.register('learning')
class LearningSystem(systems.System):
    """Learns sizes, run times and slowdowns; proposes nothing."""

    order = 50

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._learned = 0

    def run(self, world):
        """Take in this tick's reports and return no commands."""
        memory = self.memory
        now = world.now.timestamp()
        memory.begin_tick(now)
        memory.refresh(world)
        self._note_history(now)
        memory.reported_instances.clear()
        self._learned = 0
        for instance, usage in self._limit(world.usage):
            if usage.job_id:
                self._learn_size(world, usage)
            else:
                self._learn_service(instance, usage, now)
        for outcome in memory.fleet.outcomes.peek():
            self._learn_run(world, outcome)
        self._recharge()
        return []

    def _limit(self, usage):
        extra = len(usage) - MAX_REPORTS
        if extra <= 0:
            return usage
        self.memory.skipped_reports += extra
        return self.memory.random.sample(usage, MAX_REPORTS)

    def _note_history(self, now):
        memory = self.memory
        for name in memory.fleet.moved:
            entry = memory.fleet.nodes.get(name)
            if entry is not None and entry.services:
                counts = entry.compute_effective_counts()
                memory.history.note(name, counts, now)
        memory.fleet.moved.clear()

    def _learn_size(self, world, usage):
        target = world.state.workloads.find(usage.workload)
        if target is not None:
            self.memory.sizes.add_usage(target, usage.cpu, usage.memory_mb)

    def _learn_service(self, instance, usage, now):
        memory = self.memory
        entry = memory.fleet.nodes.get(instance)
        if entry is None or usage.latency_ms <= 0:
            return
        self._learn_load(instance, usage)
        memory.reported_instances[instance] = None
        entry.strains = None
        self._learned += 1
        if self._learned > MAX_LEARNED:
            memory.skipped_reports += 1
            return
        counts = self._find_counts(entry, now - usage.age_ms / 1000)
        if counts is None:
            memory.late_reports += 1
            return
        memory.interference.observe(
            usage.workload,
            usage.load,
            counts,
            usage.latency_ms,
            now,
        )

    def _find_counts(self, entry, at):
        counts = self.memory.history.find(entry.name, at - START_LAG_S)
        if counts is None and not self.memory.history.has(entry.name):
            return entry.compute_effective_counts()
        return counts

    def _learn_load(self, instance, usage):
        memory = self.memory
        key = (instance, usage.workload)
        known = memory.service_loads.get(key, usage.load)
        memory.service_loads[key] = known + LOAD_WEIGHT * (usage.load - known)
        mean = memory.mean_loads.get(usage.workload, usage.load)
        mean += MEAN_LOAD_WEIGHT * (usage.load - mean)
        memory.mean_loads[usage.workload] = mean

    def _learn_run(self, world, outcome):
        if outcome.kind != outcomes.OutcomeKind.FINISHED:
            return
        row = world.state.jobs.find(outcome.job_id)
        target = world.state.workloads.find(outcome.workload)
        if row is None or target is None or row.evictions or row.failures:
            return
        if row.started_at is not None and row.ended_at is not None:
            seconds = (row.ended_at - row.started_at).total_seconds()
            self.memory.sizes.add_run(target, seconds)

    def _recharge(self):
        changed = self.memory.sizes.changed
        if changed:
            name = next(iter(changed))
            del changed[name]
            self.memory.fleet.recharge(name)
