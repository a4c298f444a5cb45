"""Rules for where a workload may run and which others it may run beside."""

from bilberryhaven import selector

__all__ = ['Rules']


class Rules:
    """Selectors in force; matches are cached until a workload changes."""

    def __init__(self):
        self._workloads = {}
        self._labels = {}
        self._pairs = {}
        self._restrictive = set()

    def put(self, row):
        """Add or replace the row of a workload."""
        self._invalidate(row.name)
        self._workloads[row.name] = row
        self._labels[row.name] = row.merge_labels()
        if row.shares_with:
            self._restrictive.add(row.name)

    def remove(self, name):
        """Remove a workload."""
        self._invalidate(name)
        self._workloads.pop(name, None)
        self._labels.pop(name, None)

    def _invalidate(self, name):
        self._restrictive.discard(name)
        self._pairs.pop(name, None)
        for known in self._pairs.values():
            known.pop(name, None)

    def may_run(self, row, labels):
        """Return whether the labels of an instance match the workload.

        Args:
            row: The workload's row.
            labels: The effective labels of the instance.
        """
        return selector.parse_selector(row.runs_on).match(labels)

    def may_share(self, first, second):
        """Return whether both workloads, given by name, accept each other."""
        known = self._pairs.setdefault(first, {})
        allowed = known.get(second)
        if allowed is None:
            allowed = self._accepts(first, second)
            allowed = allowed and self._accepts(second, first)
            known[second] = allowed
        return allowed

    def _accepts(self, name, other):
        row = self._workloads.get(name)
        labels = self._labels.get(other)
        if row is None or labels is None or not row.shares_with:
            return True
        return selector.parse_selector(row.shares_with).match(labels)

    def list_conflicts(self, name, node):
        """Return the workloads on ``node`` that ``name`` cannot run beside."""
        neighbours = [*node.services, *node.counts]
        return [
            other for other in neighbours if not self.may_share(name, other)
        ]

    def may_share_node(self, name, node):
        """Return whether ``name`` may run beside all workloads on ``node``."""
        neighbours = [*node.services, *node.counts]
        if name not in self._restrictive:
            neighbours = self._restrictive.intersection(neighbours)
        return all(self.may_share(name, other) for other in neighbours)
