"""Placement policy that weighs the learned harm to services."""

from bilberryhaven import policies

__all__ = ['InterferencePolicy']

CROWDED = 0.8
CROWDING = 0.5
RACK_SPREAD = 2.0
ZONE_SPREAD = 0.5
RESTART_RISK = 0.05
RISK_UNIT_S = 60.0
LONG_RUN_S = 300.0
WASTED_ACCELERATORS = 0.2
FULLNESS = 0.01


@policies.register('place_interference')
class InterferencePolicy:
    """Scores instances by the harm that a task adds; the lowest is best.

    Args:
        memory: The leader's ``Memory``.
    """

    def __init__(self, *, memory):
        self._memory = memory

    def score(self, world, target, need, entry):
        """Return the cost of placing a task of ``target`` on ``entry``."""
        weights = world.objective
        harm = self._memory.compute_harm_change(entry, target.name, 1.0)
        cost = weights.tail_latency * harm
        cost += weights.throughput * self._compute_crowding(need, entry)
        if target.kind == 'watch':
            cost += self._compute_spread(target.name, entry)
        if self._memory.fleet.renewed and self._is_restart_due(entry):
            cost += weights.evictions * self._compute_risk(target)
        if entry.row.capacity.accelerators and not need.accelerators:
            cost += WASTED_ACCELERATORS
        return cost + FULLNESS * entry.slots

    def _compute_crowding(self, need, entry):
        holds = entry.row.capacity
        share = (entry.cpu + need.cpu) / max(holds.cpu, 1e-6)
        return CROWDING * max(share - CROWDED, 0.0)

    def _compute_spread(self, name, entry):
        spread = self._memory.fleet.spread
        zone = entry.row.zone
        in_zone = spread.get((name, zone), 0)
        in_rack = spread.get((name, zone, entry.row.rack), 0)
        return RACK_SPREAD * in_rack + ZONE_SPREAD * in_zone

    def _compute_risk(self, target):
        """Return the cost of a restart while the task still runs."""
        if target.kind == 'watch':
            return RESTART_RISK * LONG_RUN_S / RISK_UNIT_S
        expected = self._memory.sizes.get_run_seconds(target)
        return RESTART_RISK * min(expected, LONG_RUN_S) / RISK_UNIT_S

    def _is_restart_due(self, entry):
        return entry.name not in self._memory.fleet.renewed
