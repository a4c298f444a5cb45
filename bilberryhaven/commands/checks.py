"""Checks that a grant must pass again when it is applied."""

from bilberryhaven import selector

__all__ = ['has_capacity', 'matches_selectors', 'may_share']


def has_capacity(state, target, spec):
    """Return whether instance ``target`` has slots for one more ``spec``.

    Accelerators are checked too. CPU and memory usage are estimates, which
    only the leader checks.
    """
    slots = spec.resources.slots
    accelerators = spec.resources.accelerators
    for assigned in state.jobs.select('instance', target.name):
        slots += assigned.slots
        other = state.workloads.find(assigned.workload)
        accelerators += other.resources.accelerators if other else 0
    capacity = target.capacity
    return slots <= capacity.slots and accelerators <= capacity.accelerators


def matches_selectors(state, target, spec):
    """Return whether ``spec`` may run on ``target`` with its other work."""
    labels = target.merge_labels()
    if not selector.parse_selector(spec.runs_on).match(labels):
        return False
    colocated = {
        row.workload for row in state.jobs.select('instance', target.name)
    }
    others = [state.workloads.find(name) for name in colocated]
    others += [
        row
        for row in state.workloads.select('kind', 'service')
        if selector.parse_selector(row.runs_on).match(labels)
    ]
    return all(may_share(spec, row) for row in others if row is not None)


def may_share(first, second):
    """Return whether two workloads accept each other on an instance."""
    return selector.parse_selector(first.shares_with).match(
        second.merge_labels()
    ) and selector.parse_selector(second.shares_with).match(
        first.merge_labels()
    )
