"""Evicts a batch task where throttling isn't enough and moving it pays."""

import datetime
import itertools

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import choice
from bilberryhaven.systems import throttling
from bilberryhaven.systems import victims

__all__ = ['EvictionSystem']

MIN_HARM = 0.1
SUSTAINED = datetime.timedelta(seconds=15)
NODE_INTERVAL = datetime.timedelta(seconds=30)
MAX_HORIZON_S = 600.0
GAIN_UNIT_S = 30.0
MIN_GAIN = 1.5
MAX_EVICTIONS = 4
MAX_NODES = 80

logger = log.get_logger('eviction')


@systems.register('eviction')
class EvictionSystem(systems.System):
    """Moves what harms a service for long, if that beats its cost."""

    order = 260

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._harmed = {}
        self._evicted = {}

    def run(self, world):
        """Return the evictions of this tick."""
        self.memory.refresh(world)
        evictions = []
        for name in itertools.islice(
            self.memory.reported_instances, MAX_NODES
        ):
            if len(evictions) >= MAX_EVICTIONS:
                break
            entry = self.memory.fleet.nodes.get(name)
            if entry is None or not self._is_due(world, entry):
                continue
            found = self._find_eviction(world, entry)
            if found is not None:
                self._evicted[name] = world.now
                evictions.append(found)
        if not evictions:
            return []
        return [job_commands.EvictJobs(evictions=evictions, at=world.now)]

    def _is_due(self, world, entry):
        harm = self.memory.compute_harm(entry)
        if harm < MIN_HARM and not entry.shares:
            self._harmed.pop(entry.name, None)
            return False
        since = self._harmed.setdefault(entry.name, world.now)
        last = self._evicted.get(entry.name)
        if last is not None and world.now - last < NODE_INTERVAL:
            return False
        return world.now - since >= SUSTAINED

    def _find_eviction(self, world, entry):
        best, best_gain = None, 0.0
        for row, target in victims.list_movable(world, entry):
            if not victims.has_run_enough(world, row):
                continue
            terms = self._weigh(world, entry, row, target)
            if terms['gain'] > best_gain:
                best, best_gain = (row, terms), terms['gain']
        if best is None:
            return None
        return self._evict(entry, *best)

    def _weigh(self, world, entry, row, target):
        weights = world.objective
        share = entry.shares.get(row.id, 1.0)
        relief = -self.memory.compute_harm_change(entry, row.workload, -share)
        added = relief
        found = choice.choose_instance(self.memory, world, row, target)
        if found is not None and found.entry is not entry:
            added = self.memory.compute_harm_change(
                found.entry, row.workload, 1.0
            )
        left = victims.estimate_remaining(self.memory, world, row, target)
        horizon = min(left, MAX_HORIZON_S) / GAIN_UNIT_S
        gained = weights.tail_latency * (relief - added)
        gained += weights.throughput * throttling.PRICE * (1.0 - share)
        benefit = gained * horizon
        cost = victims.compute_cost(world, row, target)
        return {
            'gain': benefit - MIN_GAIN * cost,
            'benefit': benefit,
            'cost': cost,
            'relief': relief,
            'added_elsewhere': added,
            'remaining_s': left,
        }

    def _evict(self, entry, row, terms):
        terms = {name: round(value, 4) for name, value in terms.items()}
        reason = (
            f'harms services on {entry.name}: benefit '
            f'{terms["benefit"]:.2f} against cost {terms["cost"]:.2f}'
        )
        log.log_decision(
            logger,
            'evict',
            reason=reason,
            job=row.id,
            workload=row.workload,
            instance=entry.name,
            evictions=row.evictions,
            **terms,
        )
        return job_commands.Eviction(
            job_id=row.id, epoch=row.epoch, reason=reason
        )
