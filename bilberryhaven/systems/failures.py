"""Tells instances that fail what they run from work that always fails.

Each failure counts for its instance by how unlikely it is for the workload
elsewhere: work that fails everywhere says nothing of the instance, work that
succeeds elsewhere says much.
"""

import dataclasses

__all__ = ['Excess', 'FailureCounts']

DECAY = 0.98
PRIOR_FAILURES = 0.8
PRIOR_TRIES = 1.0
MIN_FAILURES = 3
MIN_EXCESS = 1.5
MIN_FAILURE_SHARE = 0.5
MIN_WORKLOADS = 3
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
    """How much more fails on an instance than elsewhere.

    Attributes:
        failures: Decayed count of failures there.
        tries: Decayed count of jobs there.
        excess: Failures beyond those that the same work has elsewhere.
    """

    failures: float
    tries: float
    excess: float


class FailureCounts:
    """Decaying counts of tries and failures by instance and workload."""

    def __init__(self):
        self._cells = {}
        self._workloads = {}

    def add(self, instance, workload, *, failed):
        """Count one try of ``workload`` on ``instance``."""
        cells = self._cells.setdefault(instance, {})
        cells.setdefault(workload, _Count()).add(failed)
        others = self._workloads.setdefault(workload, {})
        others.setdefault(instance, cells[workload])

    def forget_instance(self, instance):
        """Forget what was counted on an instance."""
        for workload in self._cells.pop(instance, ()):
            self._workloads[workload].pop(instance, None)

    def forget_workload(self, workload):
        """Forget what was counted of a workload."""
        for instance in self._workloads.pop(workload, ()):
            self._cells[instance].pop(workload, None)

    def compute_excess(self, instance):
        """Return the ``Excess`` of an instance."""
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
        """Return whether the instance, not the work, is at fault."""
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
        return len(failing) >= MIN_WORKLOADS
