"""Estimates of the resource needs and run times of a workload's tasks.

Declared resources are priors with the weight of ``PRIOR_REPORTS`` reports,
and declared run times priors with the weight of ``PRIOR_RUNS`` runs.
"""

import dataclasses
import math

__all__ = ['TaskEstimates']

PRIOR_REPORTS = 2.0
PRIOR_RUNS = 2.0
MAX_WEIGHT = 50.0
# Margins over the mean, in standard deviations.
MEMORY_DEVIATIONS = 2.0
CPU_DEVIATIONS = 0.5
# Relative change of an estimate from which the charges are recomputed.
MIN_CHANGE = 0.1
MIN_REPORTS = 3


@dataclasses.dataclass(slots=True)
class _Mean:
    count: float = 0.0
    mean: float = 0.0
    square: float = 0.0

    def add(self, value):
        self.count = min(self.count + 1.0, MAX_WEIGHT)
        change = value - self.mean
        self.mean += change / self.count
        self.square += (change * (value - self.mean) - self.square) / (
            self.count
        )

    def shrink(self, prior, weight, deviations=0.0):
        """Return the mean plus a margin, shrunk towards ``prior``."""
        deviation = math.sqrt(max(self.square, 0.0))
        value = self.mean + deviations * deviation
        return (value * self.count + prior * weight) / (self.count + weight)


class TaskEstimates:
    """Estimated resource needs and run times by workload.

    Attributes:
        changed_workloads: Names of workloads whose estimated need changed
            by more than ``MIN_CHANGE``.
    """

    def __init__(self):
        self.changed_workloads = {}
        self._cpu = {}
        self._memory = {}
        self._runs = {}
        self._needs = {}

    def add_usage(self, spec, cpu, memory_mb):
        """Update the estimates with a report on one task of ``spec``."""
        name = spec.name
        self._cpu.setdefault(name, _Mean()).add(cpu)
        self._memory.setdefault(name, _Mean()).add(memory_mb)
        known = self.get_need(spec)
        computed = self._compute_need(spec)
        if _differs(known.cpu, computed.cpu) or _differs(
            known.memory_mb, computed.memory_mb
        ):
            self._needs[name] = (spec.version, computed)
            self.changed_workloads[name] = None

    def _compute_need(self, spec):
        declared = spec.resources
        cpu = self._cpu.get(spec.name)
        if cpu is None or cpu.count < MIN_REPORTS:
            return declared
        memory = self._memory[spec.name]
        return dataclasses.replace(
            declared,
            cpu=cpu.shrink(declared.cpu, PRIOR_REPORTS, CPU_DEVIATIONS),
            memory_mb=round(
                memory.shrink(
                    declared.memory_mb, PRIOR_REPORTS, MEMORY_DEVIATIONS
                )
            ),
        )

    def get_need(self, spec):
        """Return the ``Resources`` that a task of ``spec`` should need."""
        known = self._needs.get(spec.name)
        if known is not None and known[0] == spec.version:
            return known[1]
        computed = self._compute_need(spec)
        self._needs[spec.name] = (spec.version, computed)
        return computed

    def add_run(self, spec, seconds):
        """Update the run time with a task that finished after ``seconds``."""
        mean = self._runs.setdefault(spec.name, _Mean())
        mean.add(math.log(max(seconds, 0.1)))

    def get_run_seconds(self, spec):
        """Return the expected run time of a task of ``spec``, in seconds."""
        prior = math.log(max(spec.run_seconds, 0.1))
        mean = self._runs.get(spec.name)
        if mean is None:
            return spec.run_seconds
        return math.exp(mean.shrink(prior, PRIOR_RUNS))

    def is_run_known(self, spec):
        """Return whether enough runs finished to trust the estimate."""
        mean = self._runs.get(spec.name)
        return mean is not None and mean.count >= MIN_REPORTS


def _differs(first, second):
    return abs(first - second) > MIN_CHANGE * max(first, second, 1e-6)
