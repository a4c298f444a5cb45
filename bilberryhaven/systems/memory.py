"""What the systems of one leader share between ticks."""

import dataclasses
import datetime
import itertools
import random

from bilberryhaven import policies
from bilberryhaven.systems import backlog
from bilberryhaven.systems import failures
from bilberryhaven.systems import feasibility
from bilberryhaven.systems import fleet
from bilberryhaven.systems import history
from bilberryhaven.systems import interference
from bilberryhaven.systems import sizes
from bilberryhaven.systems import strain

__all__ = ['Memory']

DEFAULT_POLICY = 'place_interference'
DEFAULT_LOAD = 0.5
PROBE_INTERVAL = datetime.timedelta(seconds=30)
KEPT_S = 3.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """Trials of a quarantined instance.

    Attributes:
        due: When the next one may start.
        interval: Time between them; doubles with each that fails.
    """

    due: datetime.datetime
    interval: datetime.timedelta


class Memory:
    """Derived indexes and estimates of one leader.

    None is replicated: a new leader rebuilds the indexes from the tables and
    starts the estimates from their priors.

    Args:
        policy: Name of the placement policy.
        seed: Seed of the sampling of candidates.
        learned: Interference model; a new ``Interference`` by default.

    Attributes:
        fleet: What each instance holds.
        backlog: Pending jobs in the order in which they are served.
        sizes: Learned needs and run times.
        failures: Failures by instance and workload.
        feasibility: Whether a workload can run anywhere.
        interference: Learned slowdowns of services.
        history: Past composition of each instance.
        service_loads: Newest load by (instance, service).
        mean_loads: Mean load by service.
        reported: Instances whose services were reported on in this tick.
        probes: ``Probe`` by quarantined instance.
        claims: ``Claim`` list of room kept, by workload.
        serials: Numbers of the claims.
        served: Number of places given to waiting workloads.
        waiting: Since when a workload's first job finds no place.
        skips: Pauses of workloads that found no place, by workload.
        pressed: First (job, workload) of work that can't wait, where it
            found no place in this tick.
        last_drain: When an instance was last seen draining, or None.
        late_reports: Reports too old to be attributed.
        skipped_reports: Reports beyond a tick's budget.
    """

    def __init__(
        self, *, policy=DEFAULT_POLICY, seed=1, interference_model=None
    ):
        self._now = 0.0
        self.random = random.Random(seed)
        self.sizes = sizes.Sizes()
        self.fleet = fleet.Fleet(sizes=self.sizes)
        self.backlog = backlog.Backlog(run_times=self.sizes)
        self.failures = failures.FailureCounts()
        self.feasibility = feasibility.Feasibility(fleet=self.fleet)
        self.interference = interference_model or interference.Interference()
        self.history = history.History()
        self.service_loads = {}
        self.mean_loads = {}
        self.reported_instances = {}
        self.probes = {}
        self.claims = {}
        self.serials = itertools.count(1)
        self.served = 0
        self.waiting = {}
        self.skips = {}
        self.pressed = []
        self.last_drain = None
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
        """Set the time in seconds; what is old is computed anew."""
        self._now = now

    def refresh(self, world):
        """Bring the indexes up to date with the tables."""
        self.fleet.refresh(world.state, reserve=world.service_reserve)
        self.backlog.refresh(world.state, now=world.now)

    def compute_harm(self, entry):
        """Return the harm done to all services on ``entry``."""
        return sum([item.harm for item in self._list_strains(entry)])

    def compute_harm_change(self, entry, workload, change):
        """Return how the harm on ``entry`` changes with the work beside.

        Args:
            entry: The node.
            workload: Name of the batch workload of which there is more or
                less.
            change: Number of tasks, also in part or negative.
        """
        total = 0.0
        for item in self._list_strains(entry):
            total += item.predict_harm(workload, change) - item.harm
        return total

    def _list_strains(self, entry):
        if entry.strains is None or entry.strained_at < self._now - KEPT_S:
            counts = (
                entry.compute_effective_counts()
                if entry.shares
                else entry.counts
            )
            entry.strains = [
                self._build_strain(service, load, counts)
                for service, load in self._list_loads(entry)
            ]
            entry.strained_at = self._now
        return entry.strains

    def _build_strain(self, service, load, counts):
        band = interference.get_band(load)
        return strain.Strain(
            load=load,
            effects=self.interference.get_effects(service, band),
            total=self.interference.sum_effects(service, band, counts),
        )

    def _list_loads(self, entry):
        for service in entry.services:
            load = self.service_loads.get((entry.name, service))
            if load is None:
                load = self.mean_loads.get(service, DEFAULT_LOAD)
            yield service, load
