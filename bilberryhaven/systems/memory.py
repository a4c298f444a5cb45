"""In-memory state that the systems of one leader share between ticks."""

import dataclasses
import datetime
import itertools
import random

from bilberryhaven import policies
from bilberryhaven.systems import backlog
from bilberryhaven.systems import estimates
from bilberryhaven.systems import failures
from bilberryhaven.systems import feasibility
from bilberryhaven.systems import fleet
from bilberryhaven.systems import history
from bilberryhaven.systems import interference
from bilberryhaven.systems import penalty

__all__ = ['Memory']

DEFAULT_POLICY = 'place_interference'
DEFAULT_LOAD = 0.5
PROBE_INTERVAL = datetime.timedelta(seconds=30)
MAX_PENALTY_AGE_S = 3.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """Schedule of the probe jobs of a quarantined instance.

    Attributes:
        due: When the next probe may start.
        interval: Time between probes; doubled after each failure.
    """

    due: datetime.datetime
    interval: datetime.timedelta


class Memory:
    """Derived indexes and estimates of one leader.

    Nothing here is replicated. A new leader rebuilds the indexes from the
    tables and resets the estimates to their priors.

    Args:
        policy: Name of the placement policy.
        seed: Seed for the random sampling of candidates.
        interference_model: ``Interference`` model; a new one by default.

    Attributes:
        fleet: ``Fleet`` index of the jobs on each instance.
        backlog: ``Backlog`` of pending jobs in the order of service.
        task_estimates: Learned resource needs and run times.
        failures: ``FailureCounts`` by instance and workload.
        feasibility: Checks whether a workload can run on any instance.
        interference: Learned slowdowns of services by batch workloads.
        history: Recent task counts of each instance.
        service_loads: Smoothed load by (instance, service).
        mean_loads: Mean load by service.
        reported_instances: Instances with service reports in this tick.
        probes: ``Probe`` by quarantined instance.
        claims: List of ``Claim`` by workload.
        claim_serials: Iterator of serial numbers for claim ids.
        placed_count: Number of jobs placed from the backlog.
        blocked_since: When the first job of a workload was first found not
            to fit anywhere, by workload.
        backoffs: ``Backoff`` of workloads that could not be placed, by
            workload.
        unplaced_urgent: (job, workload) of each workload whose first job
            must start now but could not be placed in this tick.
        last_draining_at: When an instance was last seen draining, or None.
        late_reports: Number of reports too old to be attributed.
        skipped_reports: Number of reports over the budget of their tick.
    """

    def __init__(
        self, *, policy=DEFAULT_POLICY, seed=1, interference_model=None
    ):
        self._now = 0.0
        self.random = random.Random(seed)
        self.task_estimates = estimates.TaskEstimates()
        self.fleet = fleet.Fleet(task_estimates=self.task_estimates)
        self.backlog = backlog.Backlog(run_times=self.task_estimates)
        self.failures = failures.FailureCounts()
        self.feasibility = feasibility.Feasibility(fleet=self.fleet)
        self.interference = interference_model or interference.Interference()
        self.history = history.History()
        self.service_loads = {}
        self.mean_loads = {}
        self.reported_instances = {}
        self.probes = {}
        self.claims = {}
        self.claim_serials = itertools.count(1)
        self.placed_count = 0
        self.blocked_since = {}
        self.backoffs = {}
        self.unplaced_urgent = []
        self.last_draining_at = None
        self.late_reports = 0
        self.skipped_reports = 0
        self.policy = policies.get_policy_by_name(policy)(memory=self)

    def get_probe(self, name, now):
        """Return the ``Probe`` of quarantined instance ``name``."""
        known = self.probes.get(name)
        if known is None:
            known = Probe(due=now + PROBE_INTERVAL, interval=PROBE_INTERVAL)
            self.probes[name] = known
        return known

    def begin_tick(self, now):
        """Set the time in seconds; older penalty models are recomputed."""
        self._now = now

    def refresh(self, world):
        """Update the indexes from the tables."""
        self.fleet.refresh(world.state, reserve=world.service_reserve)
        self.backlog.refresh(world.state, now=world.now)

    def compute_penalty(self, node):
        """Return the latency penalty of all services on ``node``."""
        return sum([item.penalty for item in self._list_penalty_models(node)])

    def compute_penalty_change(self, node, workload, change):
        """Return how the penalty on ``node`` changes with its batch tasks.

        Args:
            node: The node.
            workload: Name of the batch workload.
            change: Change in its number of tasks; may be fractional or
                negative.
        """
        total = 0.0
        for item in self._list_penalty_models(node):
            total += item.predict_penalty(workload, change) - item.penalty
        return total

    def _list_penalty_models(self, node):
        if (
            node.penalty_models is None
            or node.penalties_computed_at < self._now - MAX_PENALTY_AGE_S
        ):
            counts = (
                node.compute_effective_counts()
                if node.speed_shares
                else node.counts
            )
            node.penalty_models = [
                self._build_penalty_model(service, load, counts)
                for service, load in self._list_loads(node)
            ]
            node.penalties_computed_at = self._now
        return node.penalty_models

    def _build_penalty_model(self, service, load, counts):
        band = interference.get_band(load)
        return penalty.PenaltyModel(
            load=load,
            effects=self.interference.get_effects(service, band),
            total=self.interference.sum_effects(service, band, counts),
        )

    def _list_loads(self, node):
        for service in node.services:
            load = self.service_loads.get((node.name, service))
            if load is None:
                load = self.mean_loads.get(service, DEFAULT_LOAD)
            yield service, load
