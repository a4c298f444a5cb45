"""Throttles batch tasks whose penalty on services exceeds their benefit."""

import datetime
import itertools

from bilberryhaven import log
from bilberryhaven import systems
from bilberryhaven.tables import job

__all__ = ['ThrottlingSystem']

SHARE_STEPS = (1.0, 0.6, 0.3)
MIN_SHARE_STEP = 0.3
# Value of one task at full speed, in units of the throughput weight.
BATCH_SPEED_WEIGHT = 0.45
MAX_NODES = 80
# Factor on the gain of raising a share, so that shares do not oscillate.
HYSTERESIS = 0.4
MIN_INTERVAL = datetime.timedelta(seconds=5)

logger = log.get_logger('throttling')


@systems.register('throttling')
class ThrottlingSystem(systems.System):
    """Adjusts one job per instance by one step of its speed share."""

    order = 250

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._adjusted_at = {}
        self._throttled = {}

    def run(self, world):
        """Update ``world.throttles`` and return no commands."""
        self.memory.refresh(world)
        self._drop_departed(world)
        for name in itertools.islice(
            self.memory.reported_instances, MAX_NODES
        ):
            node = self.memory.fleet.nodes.get(name)
            if node is None or not node.charges:
                continue
            if self._is_penalty_negligible(world, node):
                continue
            last = self._adjusted_at.get(name)
            if last is None or world.now - last >= MIN_INTERVAL:
                self._adjust(world, node)
        return []

    def _drop_departed(self, world):
        for job_id, name in list(self._throttled.items()):
            node = self.memory.fleet.nodes.get(name)
            if node is None or job_id not in node.charges:
                del self._throttled[job_id]
                world.throttles.pop(job_id, None)

    def _is_penalty_negligible(self, world, node):
        """Return whether one throttling step costs more than the penalty."""
        min_loss = (
            world.objective.throughput * BATCH_SPEED_WEIGHT * MIN_SHARE_STEP
        )
        penalty = world.objective.tail_latency * self.memory.compute_penalty(
            node
        )
        return penalty < min_loss and not node.speed_shares

    def _adjust(self, world, node):
        options = [
            option
            for row in self._list_rows(world, node)
            for option in self._list_options(world, node, row)
        ]
        if not options:
            return
        gain, _, row, share = max(options, key=lambda item: item[:2])
        if gain > 0.0:
            self._set_share(world, node, row, share, gain)

    def _list_rows(self, world, node):
        rows = {}
        for job_id, charge in node.charges.items():
            key = (charge.workload, node.speed_shares.get(job_id, 1.0))
            if key not in rows:
                row = world.state.jobs.find(job_id)
                if row is not None and row.state == job.JobState.RUNNING:
                    rows[key] = row
        return rows.values()

    def _list_options(self, world, node, row):
        """Yield (gain, job id, row, share) for one step up and one down."""
        weights = world.objective
        share = node.speed_shares.get(row.id, 1.0)
        step = SHARE_STEPS.index(share)
        for other in SHARE_STEPS[max(step - 1, 0) : step + 2]:
            if other == share:
                continue
            change = other - share
            penalty = self.memory.compute_penalty_change(
                node, row.workload, change
            )
            speed = weights.throughput * BATCH_SPEED_WEIGHT * change
            if other > share:
                speed *= HYSTERESIS
            gain = speed - weights.tail_latency * penalty
            yield gain, row.id, row, other

    def _set_share(self, world, node, row, share, gain):
        self._adjusted_at[node.name] = world.now
        node.set_share(row.id, share)
        if share == SHARE_STEPS[0]:
            world.throttles.pop(row.id, None)
            self._throttled.pop(row.id, None)
        else:
            world.throttles[row.id] = share
            self._throttled[row.id] = node.name
        self.memory.fleet.instances_with_job_changes[node.name] = None
        log.log_decision(
            logger,
            'throttle',
            reason=f'speed share {share:g} has a gain of {gain:.3f}',
            job=row.id,
            workload=row.workload,
            instance=node.name,
            share=share,
            gain=round(gain, 4),
        )
