"""Adapts the slots reserved for services on each instance to their use."""

import datetime

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import victims

__all__ = ['ReservingSystem']

NODES_PER_TICK = 700
# A raised reserve is lowered only after this time without high use.
RELEASE_DELAY = datetime.timedelta(seconds=30)
# Time for which reserved slots must be short before jobs are evicted; it is
# multiplied by the ratio of the weights of evictions and tail latency.
SHORTAGE_TIME = datetime.timedelta(seconds=1)
MIN_SHORTAGE_TIME = datetime.timedelta(milliseconds=500)
MAX_SHORTAGE_TIME = datetime.timedelta(seconds=5)

logger = log.get_logger('reserving')


@systems.register('reserving')
class ReservingSystem(systems.System):
    """Reserves slots for services and evicts batch jobs that occupy them."""

    order = 240

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._position = 0
        self._raised_at = {}
        self._short_since = {}

    def run(self, world):
        """Return evictions of batch jobs that occupy reserved slots."""
        self.memory.refresh(world)
        evictions = []
        for node in self._list_next():
            if node.services:
                self._adjust_reserve(world, node)
                if node.free_slots < 0:
                    evictions += self._evict_for_reserve(world, node)
                else:
                    self._short_since.pop(node.name, None)
        if not evictions:
            return []
        return [job_commands.EvictJobs(evictions=evictions, at=world.now)]

    def _list_next(self):
        entries = self.memory.fleet.list_nodes()
        count = min(NODES_PER_TICK, len(entries))
        start = self._position % max(len(entries), 1)
        self._position = start + count
        found = entries[start : start + count]
        return found + entries[: count - len(found)]

    def _adjust_reserve(self, world, node):
        load = world.loads.get(node.name)
        if load is None:
            return
        used = max(load.slots_used - load.batch_slots, 0)
        total = node.row.capacity.slots
        wanted = world.service_reserve
        if used >= wanted or load.queued:
            wanted = min(max(wanted, used + 1), total)
        if wanted > world.service_reserve:
            self._raised_at[node.name] = world.now
        last = self._raised_at.get(node.name)
        if (
            wanted >= node.reserve
            or last is None
            or world.now - last >= RELEASE_DELAY
        ):
            self.memory.fleet.set_reserve(node, wanted)

    def _evict_for_reserve(self, world, node):
        since = self._short_since.setdefault(node.name, world.now)
        load = world.loads.get(node.name)
        queued = load is not None and load.queued
        needed = queued or node.reserve <= world.service_reserve
        if not needed or world.now - since < _compute_shortage_time(world):
            return []
        missing = -node.free_slots - _count_stopping_slots(world, node)
        if missing <= 0:
            return []
        del self._short_since[node.name]
        return self._evict_cheapest(world, node, missing)

    def _evict_cheapest(self, world, node, missing):
        pairs = victims.list_evictable(world, node)
        pairs.sort(key=lambda p: (victims.compute_cost(world, *p), p[0].id))
        found = []
        for row, spec in pairs:
            if missing <= 0:
                break
            missing -= row.slots
            found.append(self._evict(world, node, row, spec))
        return found

    def _evict(self, world, node, row, spec):
        reason = f'services need {node.reserve} slots on {node.name}'
        log.log_decision(
            logger,
            'evict',
            reason=reason,
            job=row.id,
            workload=row.workload,
            instance=node.name,
            reserve=node.reserve,
            free_slots=node.free_slots,
            cost=round(victims.compute_cost(world, row, spec), 4),
        )
        return job_commands.Eviction(
            job_id=row.id, epoch=row.epoch, reason=reason
        )


def _compute_shortage_time(world):
    """Return how long slots must be short before jobs are evicted."""
    weights = world.objective
    ratio = weights.evictions / max(weights.tail_latency, 1e-6)
    return min(
        max(SHORTAGE_TIME * ratio, MIN_SHORTAGE_TIME), MAX_SHORTAGE_TIME
    )


def _count_stopping_slots(world, node):
    total = 0
    for job_id in node.charges:
        row = world.state.jobs.find(job_id)
        if row is not None and row.state in ('evicting', 'cancelling'):
            total += row.slots
    return total
