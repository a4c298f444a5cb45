"""Preempts jobs for urgent ones and for those about to miss a deadline."""

import datetime
import math

from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.systems import backlog as backlogs
from bilberryhaven.systems import claims
from bilberryhaven.systems import victims

__all__ = ['UrgencySystem']

SAMPLE_SIZE = 24
MAX_CLAIMS_PER_WORKLOAD = 20
# Time within which an urgent job must start.
START_LIMIT_S = 2.7
MAX_HEADROOM_SHARE = 0.05
# Weight of the newest second in the moving average of urgent arrivals.
RATE_WEIGHT = 0.1
INTERVAL = datetime.timedelta(seconds=1)

logger = log.get_logger('urgency')


@systems.register('urgency')
class UrgencySystem(systems.System):
    """Evicts the cheapest jobs for urgent ones and maintains headroom."""

    order = 450

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._next_headroom_at = None
        self._rates = {}
        self._headroom = {}
        self._chosen_victims = set()

    def run(self, world):
        """Return a command with the evictions of this tick, if any."""
        self._count_arrivals(world)
        if (
            self._next_headroom_at is None
            or world.now >= self._next_headroom_at
        ):
            self._next_headroom_at = world.now + INTERVAL
            self._update_headroom(world)
        evictions = []
        self._chosen_victims.clear()
        for row, spec in self.memory.unplaced_urgent:
            held = len(self.memory.claims.get(spec.name, ()))
            waiting = self._count_waiting(world, spec)
            for _ in range(min(waiting - held, MAX_CLAIMS_PER_WORKLOAD)):
                evictions += self._free_capacity(world, row, spec)
        if not evictions:
            return []
        return [job_commands.EvictJobs(evictions=evictions, at=world.now)]

    def _count_waiting(self, world, spec):
        if backlogs.is_urgent(spec):
            return self.memory.backlog.count(spec.name)
        return 1

    def _free_capacity(self, world, row, spec):
        best = self._find_victims(world, spec)
        if best is None:
            return []
        node, rows = best
        claims.make_claim(self.memory, world, spec, node)
        self._chosen_victims.update(victim.id for victim in rows)
        return [self._evict(world, victim, row, node) for victim in rows]

    def _find_victims(self, world, spec):
        memory = self.memory
        need = memory.fleet.get_need(spec)
        pool = memory.fleet.get_pool(spec.runs_on)
        best, best_cost = None, math.inf
        for name in pool.members.sample(memory.random, SAMPLE_SIZE):
            node = memory.fleet.nodes[name]
            if not memory.feasibility.could_run(spec, node):
                continue
            conflicting = memory.fleet.rules.list_conflicts(spec.name, node)
            rows = victims.pick_victims(
                world,
                node,
                need,
                conflicting=conflicting,
                chosen=self._chosen_victims,
            )
            if rows is None:
                continue
            cost = self._sum_costs(world, rows)
            if cost < best_cost:
                best, best_cost = (node, rows), cost
        return best

    def _sum_costs(self, world, rows):
        find = world.state.workloads.get
        return sum(
            victims.compute_cost(world, row, find(row.workload))
            for row in rows
        )

    def _evict(self, world, victim, row, node):
        reason = f'makes room for {row.id}, which cannot wait'
        spec = world.state.workloads.get(victim.workload)
        log.log_decision(
            logger,
            'evict',
            reason=reason,
            job=victim.id,
            workload=victim.workload,
            instance=node.name,
            cost=round(victims.compute_cost(world, victim, spec), 4),
            waited_s=(world.now - row.submitted_at).total_seconds(),
        )
        return job_commands.Eviction(
            job_id=victim.id, epoch=victim.epoch, reason=reason
        )

    def _count_arrivals(self, world):
        for name, count in self.memory.backlog.pop_urgent_counts().items():
            self._rates[name] = self._rates.get(name, 0.0) + count * (
                RATE_WEIGHT
            )

    def _update_headroom(self, world):
        for name in self._rates:
            self._rates[name] *= 1.0 - RATE_WEIGHT
        wanted = {}
        for spec in world.state.workloads:
            if spec.kind != 'service' and backlogs.is_urgent(spec):
                self._add_headroom(spec, wanted)
        for name in self._headroom:
            node = self.memory.fleet.nodes.get(name)
            if node is not None and name not in wanted:
                node.headroom = 0
        for name, slots in wanted.items():
            self.memory.fleet.nodes[name].headroom = slots
        self._headroom = wanted

    def _add_headroom(self, spec, wanted):
        pool = self.memory.fleet.get_pool(spec.runs_on)
        rate = self._rates.get(spec.name, 0.0)
        count = math.ceil(2 * rate * START_LIMIT_S) + 1
        limit = max(1, int(len(pool.members) * MAX_HEADROOM_SHARE))
        for name in sorted(pool.members.slice(0, min(count, limit))):
            wanted[name] = wanted.get(name, 0) + spec.resources.slots
