"""Distinguishes faulty instances from workloads that fail everywhere.

A failure is evidence against its instance to the extent that it is unlikely
for the same workload elsewhere. A workload that fails on all instances gives
no evidence; one that succeeds on the others gives strong evidence.
"""

import dataclasses

__all__ = ['Excess', 'FailureCounts']

DECAY = 0.98
PRIOR_FAILURES = 0.8
PRIOR_TRIES = 1.0
MIN_FAILURES = 3
MIN_EXCESS = 1.5
MIN_FAILURE_SHARE = 0.5
MIN_FAILING_WORKLOADS = 3
# A workload with this failure rate elsewhere is no evidence.
UNRELIABLE_WORKLOAD_RATE = 0.9


@dataclasses.dataclass(kw_only=True, slots=True)
class _Count:
    tries: float = 0.0
    failures: float = 0.0

    def add(self, failed):
        self.tries = self.tries * DECAY + 1.0
        self.failures = self.failures * DECAY + (1.0 if failed else 0.0)


@dataclasses.dataclass(kw_only=True, slots=True)
class Excess:
    """Excess of failures on an instance over those elsewhere.

    Attributes:
        failures: Decayed number of failures on the instance.
        tries: Decayed number of jobs run on the instance.
        excess: Failures beyond those expected from the failure rates of
            the same workloads on other instances.
    """

    failures: float
    tries: float
    excess: float


class FailureCounts:
    """Decayed counts of jobs and failures by instance and workload."""

    def __init__(self):
        self._cells = {}
        self._workloads = {}

    def add(self, instance, workload, *, failed):
        """Count one job of ``workload`` that ran on ``instance``."""
        cells = self._cells.setdefault(instance, {})
        cells.setdefault(workload, _Count()).add(failed)
        others = self._workloads.setdefault(workload, {})
        others.setdefault(instance, cells[workload])

    def forget_instance(self, instance):
        """Discard the counts of an instance."""
        for workload in self._cells.pop(instance, ()):
            self._workloads[workload].pop(instance, None)

    def forget_workload(self, workload):
        """Discard the counts of a workload."""
        for instance in self._workloads.pop(workload, ()):
            self._cells[instance].pop(workload, None)

    def compute_excess(self, instance):
        """Return the ``Excess`` of an instance over all its workloads."""
        failures = tries = excess = 0.0
        for workload, cell in self._cells.get(instance, {}).items():
            rate = self._compute_rate(workload, instance)
            failures += cell.failures
            tries += cell.tries
            excess += cell.failures - rate * cell.tries
        return Excess(failures=failures, tries=tries, excess=excess)

    def _compute_rate(self, workload, excluded):
        failures, tries = PRIOR_FAILURES, PRIOR_TRIES
        for instance, cell in self._workloads[workload].items():
            if instance != excluded:
                failures += cell.failures
                tries += cell.tries
        return failures / tries

    def is_faulty(self, instance):
        """Return whether the instance, not its workloads, causes failures."""
        total = self.compute_excess(instance)
        if total.failures < MIN_FAILURES * DECAY**MIN_FAILURES:
            return False
        if total.failures / total.tries < MIN_FAILURE_SHARE:
            return False
        return total.excess >= MIN_EXCESS or self._fails_many_workloads(
            instance
        )

    def _fails_many_workloads(self, instance):
        failing = [
            workload
            for workload, cell in self._cells[instance].items()
            if cell.failures >= MIN_FAILURE_SHARE * cell.tries
            and self._compute_rate(workload, instance)
            < UNRELIABLE_WORKLOAD_RATE
        ]
        return len(failing) >= MIN_FAILING_WORKLOADS
