"""Throttles batch tasks where they harm a service more than they gain."""

import datetime
import itertools

from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.tables import job

__all__ = ['ThrottlingSystem']

STEPS = (1.0, 0.6, 0.3)
MIN_STEP = 0.3
PRICE = 0.45
MAX_NODES = 80
HYSTERESIS = 0.4
MIN_INTERVAL = datetime.timedelta(seconds=5)

logger = log.get_logger('throttling')


@systems.register('throttling')
class ThrottlingSystem(systems.System):
    """Trades batch speed for service latency, one step at a time."""

    order = 250

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._adjusted = {}
        self._throttled = {}

    def run(self, world):
        """Edit ``world.throttles`` and return no commands."""
        self.memory.refresh(world)
        self._drop_gone(world)
        for name in itertools.islice(
            self.memory.reported_instances, MAX_NODES
        ):
            entry = self.memory.fleet.nodes.get(name)
            if entry is None or not entry.charges:
                continue
            if self._is_harmless(world, entry):
                continue
            last = self._adjusted.get(name)
            if last is None or world.now - last >= MIN_INTERVAL:
                self._adjust(world, entry)
        return []

    def _drop_gone(self, world):
        for job_id, name in list(self._throttled.items()):
            entry = self.memory.fleet.nodes.get(name)
            if entry is None or job_id not in entry.charges:
                del self._throttled[job_id]
                world.throttles.pop(job_id, None)

    def _is_harmless(self, world, entry):
        """Return whether not even stopping all work there would pay."""
        least = world.objective.throughput * PRICE * MIN_STEP
        harm = world.objective.tail_latency * self.memory.compute_harm(entry)
        return harm < least and not entry.shares

    def _adjust(self, world, entry):
        options = [
            option
            for row in self._list_rows(world, entry)
            for option in self._list_options(world, entry, row)
        ]
        if not options:
            return
        gain, _, row, share = max(options, key=lambda item: item[:2])
        if gain > 0.0:
            self._set_share(world, entry, row, share, gain)

    def _list_rows(self, world, entry):
        rows = {}
        for job_id, charge in entry.charges.items():
            key = (charge.workload, entry.shares.get(job_id, 1.0))
            if key not in rows:
                row = world.state.jobs.find(job_id)
                if row is not None and row.state == job.JobState.RUNNING:
                    rows[key] = row
        return rows.values()

    def _list_options(self, world, entry, row):
        """Yield (gain, job id, row, share) of the steps up and down."""
        weights = world.objective
        share = entry.shares.get(row.id, 1.0)
        step = STEPS.index(share)
        for other in STEPS[max(step - 1, 0) : step + 2]:
            if other == share:
                continue
            change = other - share
            harm = self.memory.compute_harm_change(entry, row.workload, change)
            speed = weights.throughput * PRICE * change
            if other > share:
                speed *= HYSTERESIS
            gain = speed - weights.tail_latency * harm
            yield gain, row.id, row, other

    def _set_share(self, world, entry, row, share, gain):
        self._adjusted[entry.name] = world.now
        entry.set_share(row.id, share)
        if share == STEPS[0]:
            world.throttles.pop(row.id, None)
            self._throttled.pop(row.id, None)
        else:
            world.throttles[row.id] = share
            self._throttled[row.id] = entry.name
        self.memory.fleet.moved[entry.name] = None
        log.log_decision(
            logger,
            'throttle',
            reason=f'share {share:g} gains {gain:.3f}',
            job=row.id,
            workload=row.workload,
            instance=entry.name,
            share=share,
            gain=round(gain, 4),
        )
