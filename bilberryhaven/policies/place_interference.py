"""Placement policy based on the learned interference with services."""

from bilberryhaven import policies

__all__ = ['InterferencePolicy']

# Share of the processor cores above which a placement costs extra.
CROWDED_CPU_SHARE = 0.8
CROWDING_WEIGHT = 0.5
# Cost per watch of the same workload in the same rack or zone.
SAME_RACK_COST = 2.0
SAME_ZONE_COST = 0.5
# Cost per ``RESTART_COST_UNIT_S`` of expected run time, up to ``MAX_RUN_S``,
# on an instance that is yet to be restarted in a rolling restart.
RESTART_COST = 0.05
RESTART_COST_UNIT_S = 60.0
MAX_RUN_S = 300.0
# Added for a task that needs no accelerators on an instance that has some.
WASTED_ACCELERATOR_COST = 0.2
# Added per slot in use, so that emptier instances are preferred.
SLOT_COST = 0.01


@policies.register('place_interference')
class InterferencePolicy:
    """Scores instances by the penalty that a task adds; lowest is best.

    Args:
        memory: The leader's ``Memory``.
    """

    def __init__(self, *, memory):
        self._memory = memory

    def score(self, world, spec, need, node):
        """Return the cost of placing a task of ``spec`` on ``node``."""
        weights = world.objective
        penalty = self._memory.compute_penalty_change(node, spec.name, 1.0)
        cost = weights.tail_latency * penalty
        cost += weights.throughput * self._compute_crowding(need, node)
        if spec.kind == 'watch':
            cost += self._compute_domain_cost(spec.name, node)
        if self._memory.fleet.restarted and self._is_restart_due(node):
            cost += weights.evictions * self._compute_restart_cost(spec)
        if node.row.capacity.accelerators and not need.accelerators:
            cost += WASTED_ACCELERATOR_COST
        return cost + SLOT_COST * node.slots

    def _compute_crowding(self, need, node):
        capacity = node.row.capacity
        share = (node.cpu + need.cpu) / max(capacity.cpu, 1e-6)
        return CROWDING_WEIGHT * max(share - CROWDED_CPU_SHARE, 0.0)

    def _compute_domain_cost(self, name, node):
        domain_counts = self._memory.fleet.domain_counts
        zone = node.row.zone
        in_zone = domain_counts.get((name, zone), 0)
        in_rack = domain_counts.get((name, zone, node.row.rack), 0)
        return SAME_RACK_COST * in_rack + SAME_ZONE_COST * in_zone

    def _compute_restart_cost(self, spec):
        """Return the cost of a likely restart while the task is running."""
        if spec.kind == 'watch':
            return RESTART_COST * MAX_RUN_S / RESTART_COST_UNIT_S
        expected = self._memory.task_estimates.get_run_seconds(spec)
        return RESTART_COST * min(expected, MAX_RUN_S) / RESTART_COST_UNIT_S

    def _is_restart_due(self, node):
        return node.name not in self._memory.fleet.restarted
