"""Evicts batch jobs whose slowdown of services throttling cannot remove."""

import datetime
import itertools

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import choice
from bilberryhaven.systems import throttling
from bilberryhaven.systems import victims

__all__ = ['EvictionSystem']

MIN_PENALTY = 0.1
MIN_PENALTY_DURATION = datetime.timedelta(seconds=15)
MIN_EVICTION_INTERVAL = datetime.timedelta(seconds=30)
# The benefit is a gain per ``GAIN_UNIT_S`` of remaining run time, which is
# counted up to this limit.
MAX_HORIZON_S = 600.0
GAIN_UNIT_S = 30.0
# Ratio of benefit to cost above which a job is evicted.
MIN_BENEFIT_RATIO = 1.5
MAX_EVICTIONS = 4
MAX_NODES = 80

logger = log.get_logger('eviction')


@systems.register('eviction')
class EvictionSystem(systems.System):
    """Evicts a job if the expected benefit exceeds the eviction cost.

    An instance is considered once the latency penalty on its services has
    lasted for ``MIN_PENALTY_DURATION``.
    """

    order = 260

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._penalized_since = {}
        self._evicted_at = {}

    def run(self, world):
        """Return a command with the evictions of this tick, if any."""
        self.memory.refresh(world)
        evictions = []
        for name in itertools.islice(
            self.memory.reported_instances, MAX_NODES
        ):
            if len(evictions) >= MAX_EVICTIONS:
                break
            node = self.memory.fleet.nodes.get(name)
            if node is None or not self._is_due(world, node):
                continue
            found = self._find_eviction(world, node)
            if found is not None:
                self._evicted_at[name] = world.now
                evictions.append(found)
        if not evictions:
            return []
        return [job_commands.EvictJobs(evictions=evictions, at=world.now)]

    def _is_due(self, world, node):
        penalty = self.memory.compute_penalty(node)
        if penalty < MIN_PENALTY and not node.speed_shares:
            self._penalized_since.pop(node.name, None)
            return False
        since = self._penalized_since.setdefault(node.name, world.now)
        last = self._evicted_at.get(node.name)
        if last is not None and world.now - last < MIN_EVICTION_INTERVAL:
            return False
        return world.now - since >= MIN_PENALTY_DURATION

    def _find_eviction(self, world, node):
        best, best_gain = None, 0.0
        for row, spec in victims.list_evictable(world, node):
            if not victims.has_run_min_time(world, row):
                continue
            terms = self._compute_terms(world, node, row, spec)
            if terms['gain'] > best_gain:
                best, best_gain = (row, terms), terms['gain']
        if best is None:
            return None
        return self._evict(node, *best)

    def _compute_terms(self, world, node, row, spec):
        weights = world.objective
        share = node.speed_shares.get(row.id, 1.0)
        relief = -self.memory.compute_penalty_change(
            node, row.workload, -share
        )
        added = relief
        found = choice.choose_instance(self.memory, world, row, spec)
        if found is not None and found.node is not node:
            added = self.memory.compute_penalty_change(
                found.node, row.workload, 1.0
            )
        remaining = victims.estimate_remaining(self.memory, world, row, spec)
        horizon = min(remaining, MAX_HORIZON_S) / GAIN_UNIT_S
        gained = weights.tail_latency * (relief - added)
        gained += (
            weights.throughput * throttling.BATCH_SPEED_WEIGHT * (1.0 - share)
        )
        benefit = gained * horizon
        cost = victims.compute_cost(world, row, spec)
        return {
            'gain': benefit - MIN_BENEFIT_RATIO * cost,
            'benefit': benefit,
            'cost': cost,
            'relief': relief,
            'added_elsewhere': added,
            'remaining_s': remaining,
        }

    def _evict(self, node, row, terms):
        terms = {name: round(value, 4) for name, value in terms.items()}
        reason = (
            f'harms services on {node.name}: benefit '
            f'{terms["benefit"]:.2f} against cost {terms["cost"]:.2f}'
        )
        log.log_decision(
            logger,
            'evict',
            reason=reason,
            job=row.id,
            workload=row.workload,
            instance=node.name,
            evictions=row.evictions,
            **terms,
        )
        return job_commands.Eviction(
            job_id=row.id, epoch=row.epoch, reason=reason
        )
