"""Baseline policies and models for the placement benchmark."""

import random

from bench import _scenario
from bilberryhaven.commands import job as job_commands
from bilberryhaven import policies
from bilberryhaven import systems
from bilberryhaven.systems import interference

__all__ = ['OracleInterference', 'PriorInterference', 'ReactiveSystem']


@policies.register('place_random')
class RandomPolicy:
    """Picks a random instance that the declared resources fit."""

    def __init__(self, *, memory):
        self._random = random.Random(5)

    def score(self, world, target, need, entry):
        """Return a random cost."""
        return self._random.random()


@policies.register('place_least_loaded')
class LeastLoadedPolicy:
    """Picks the instance with the lowest utilisation by declared use."""

    def __init__(self, *, memory):
        pass

    def score(self, world, target, need, entry):
        """Return the larger utilisation of slots and CPU."""
        capacity = entry.row.capacity
        return max(entry.cpu / capacity.cpu, entry.slots / capacity.slots)


@policies.register('place_best_fit')
class BestFitPolicy:
    """Picks the instance with the highest utilisation (best fit)."""

    def __init__(self, *, memory):
        pass

    def score(self, world, target, need, entry):
        """Return the negated larger utilisation of slots and CPU."""
        capacity = entry.row.capacity
        return -max(entry.cpu / capacity.cpu, entry.slots / capacity.slots)


class ReactiveSystem(systems.System):
    """Evicts the newest job of an instance with slow services.

    An instance is slow after two consecutive reports above the threshold.

    Attributes:
        slowdown_threshold: Multiple of the expected latency from which a
            service is slow.
        eviction_interval_s: Minimum time between evictions on an instance.
    """

    order = 260
    slowdown_threshold = 2.0
    eviction_interval_s = 10

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._slow_reports = {}
        self._last_eviction_at = {}

    def run(self, world):
        """Return at most one eviction per instance."""
        evictions = []
        for name, usage in world.usage:
            if usage.job_id:
                continue
            base_ms = _scenario.BASE_MS[usage.workload]
            base_ms /= 1.0 - 0.5 * usage.load
            if usage.latency_ms < self.slowdown_threshold * base_ms:
                self._slow_reports[name] = 0
                continue
            self._slow_reports[name] = self._slow_reports.get(name, 0) + 1
            elapsed_s = world.now.timestamp() - self._last_eviction_at.get(
                name, 0.0
            )
            if (
                self._slow_reports[name] >= 2
                and elapsed_s >= self.eviction_interval_s
            ):
                evictions += self._evict_youngest(world, name)
        if not evictions:
            return []
        return [job_commands.EvictJobs(evictions=evictions, at=world.now)]

    def _evict_youngest(self, world, name):
        rows = [
            row
            for row in world.state.jobs.select('instance', name)
            if row.state == 'running'
        ]
        if not rows:
            return []
        self._last_eviction_at[name] = world.now.timestamp()
        self._slow_reports[name] = 0
        row = max(rows, key=lambda row: (row.started_at, row.id))
        return [
            job_commands.Eviction(
                job_id=row.id, epoch=row.epoch, reason='service is slow'
            )
        ]


class PriorInterference(interference.Interference):
    """Keeps the prior and never learns: the policy without estimator."""

    def observe(self, service, load, counts, latency_ms, now):
        """Ignore the report."""


class OracleInterference(PriorInterference):
    """Returns the true effects of the scenario."""

    def _get_prior(self, service, workload, band):
        """Return the true effect at the midpoint of the load band."""
        load = (band + 0.5) / interference.BANDS
        return _scenario.compute_effect(service, workload, load)
