"""Updates the estimates from delayed usage reports.

A report is attributed to the tasks that its instance ran at the time of the
measurement, which follows from the report's age and the recorded history, not
to those that run when the report arrives. Reports from before the recorded
history are counted and ignored.
"""

from bilberryhaven import systems
from bilberryhaven.systems import outcomes

__all__ = ['LearningSystem']

MAX_REPORTS = 400
MAX_OBSERVATIONS = 40
# Assumed time from a grant, which the history records, to the task's start.
START_LAG_S = 0.5
LOAD_WEIGHT = 0.3
MEAN_LOAD_WEIGHT = 0.02


@systems.register('learning')
class LearningSystem(systems.System):
    """Learns resource needs, run times and slowdowns; issues no commands."""

    order = 50

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._observation_count = 0

    def run(self, world):
        """Process the reports of this tick and return no commands."""
        memory = self.memory
        now = world.now.timestamp()
        memory.begin_tick(now)
        memory.refresh(world)
        self._record_history(now)
        memory.reported_instances.clear()
        self._observation_count = 0
        for instance, usage in self._sample_reports(world.usage):
            if usage.job_id:
                self._learn_resources(world, usage)
            else:
                self._learn_service(instance, usage, now)
        for outcome in memory.fleet.outcomes.peek():
            self._learn_run(world, outcome)
        self._recompute_changed_charges()
        return []

    def _sample_reports(self, usage):
        extra = len(usage) - MAX_REPORTS
        if extra <= 0:
            return usage
        self.memory.skipped_reports += extra
        return self.memory.random.sample(usage, MAX_REPORTS)

    def _record_history(self, now):
        memory = self.memory
        for name in memory.fleet.instances_with_job_changes:
            node = memory.fleet.nodes.get(name)
            if node is not None and node.services:
                counts = node.compute_effective_counts()
                memory.history.record(name, counts, now)
        memory.fleet.instances_with_job_changes.clear()

    def _learn_resources(self, world, usage):
        spec = world.state.workloads.find(usage.workload)
        if spec is not None:
            self.memory.task_estimates.add_usage(
                spec, usage.cpu, usage.memory_mb
            )

    def _learn_service(self, instance, usage, now):
        memory = self.memory
        node = memory.fleet.nodes.get(instance)
        if node is None or usage.latency_ms <= 0:
            return
        self._learn_load(instance, usage)
        memory.reported_instances[instance] = None
        node.penalty_models = None
        self._observation_count += 1
        if self._observation_count > MAX_OBSERVATIONS:
            memory.skipped_reports += 1
            return
        counts = self._find_counts(node, now - usage.age_ms / 1000)
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

    def _find_counts(self, node, at):
        counts = self.memory.history.find(node.name, at - START_LAG_S)
        if counts is None and not self.memory.history.has(node.name):
            return node.compute_effective_counts()
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
        spec = world.state.workloads.find(outcome.workload)
        if row is None or spec is None or row.evictions or row.failures:
            return
        if row.started_at is not None and row.ended_at is not None:
            seconds = (row.ended_at - row.started_at).total_seconds()
            self.memory.task_estimates.add_run(spec, seconds)

    def _recompute_changed_charges(self):
        changed = self.memory.task_estimates.changed_workloads
        if changed:
            name = next(iter(changed))
            del changed[name]
            self.memory.fleet.recompute_charges(name)
