"""The entry's view of workloads and instances, indexed for routing.

A pool holds the instances that a workload may run on. Pools are updated as
instances change, so that a routing decision samples from arrays and never
scans all instances.
"""

import dataclasses
import datetime

from bilberryhaven.entry import average
from bilberryhaven.entry import health
from bilberryhaven.entry import pool
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import selector

__all__ = ['Target', 'View']

MILLISECOND = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta()
WAYS_PER_ROUND_TRIP = 2
REPORTED_DRAINING_VALIDITY = datetime.timedelta(seconds=4)
SLOWNESS_SAMPLE_WEIGHT = 0.1
SLOWNESS_HALF_LIFE = datetime.timedelta(seconds=5)
REPORTED_FAILURE_HALF_LIFE = datetime.timedelta(seconds=2)

_logger = log.get_logger('view')


def _build_slowness():
    return average.DecayingAverage(
        baseline=1.0,
        half_life=SLOWNESS_HALF_LIFE,
        weight=SLOWNESS_SAMPLE_WEIGHT,
    )


def _build_reported_failure_rate():
    return average.DecayingAverage(
        baseline=0.0, half_life=REPORTED_FAILURE_HALF_LIFE
    )


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Target:
    """One instance as a target of routing.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        address: HOST:PORT of its agent.
        labels: Labels in effect.
        slots: Number of requests and tasks that can run concurrently.
        beside: Names of workloads whose tasks run on the instance.
        draining: Whether the instance drains, according to the leader.
        reported_draining_until: Monotonic time until which the agent's own
            report that it drains is valid; the leader learns of it later.
        connected: Whether the agent's session is open.
        quarantined: Reason of the leader's quarantine, or empty.
        round_trip_ms: Network round trip to its availability zone.
        used: Slots used and requests queued, as last reported.
        service_ms: Mean service time in milliseconds, as last reported.
        reported_at: Monotonic time that the latest report describes.
        in_flight: Requests of this entry in flight on the instance.
        own_used: Requests of this entry that ``used`` includes.
        slowness: Latency relative to the workload's mean, as a decaying
            average.
        health: Recent results of requests that this entry sent.
        reported_failure_share: Share of failed requests, as last reported.
        reported_failure_rate: Decaying average of that share, which takes a
            sample whenever the share grows.
        incarnation: Differs after each start of the agent; 0 if unknown.
    """

    name: str
    zone: str = ''
    address: str = ''
    labels: dict = dataclasses.field(default_factory=dict)
    slots: int = 8
    beside: tuple = ()
    draining: bool = False
    reported_draining_until: datetime.timedelta = ZERO
    connected: bool = True
    quarantined: str = ''
    round_trip_ms: float = 0.0
    used: int = 0
    service_ms: float = 0.0
    reported_at: datetime.timedelta = ZERO
    in_flight: int = 0
    own_used: int = 0
    slowness: average.DecayingAverage = dataclasses.field(
        default_factory=_build_slowness
    )
    reported_failure_share: float = 0.0
    reported_failure_rate: average.DecayingAverage = dataclasses.field(
        default_factory=_build_reported_failure_rate
    )
    incarnation: int = 0
    health: object = dataclasses.field(default_factory=health.Health)

    def finish_request(self):
        """Decrement the count of this entry's requests in flight."""
        self.in_flight = max(self.in_flight - 1, 0)
        if self.own_used:
            self.own_used -= 1
            self.used -= 1

    def estimate_failure_rate(self, now):
        """Return the higher of the observed and the reported failure rate."""
        own = self.health.failure_rate.get(now)
        return max(own, self.reported_failure_rate.get(now))

    def estimate_used(self):
        """Return the load: reported by others, plus own requests in flight."""
        return max(self.used - self.own_used, 0) + self.in_flight


class View:
    """Workloads, instances, loads and slowdowns known to an entry.

    Args:
        zone: Availability zone of the entry.
        delays: One-way delay in milliseconds by availability zone.
    """

    def __init__(self, *, zone='', delays=None):
        self.zone = zone
        self.revision = 0
        self.feed = ''
        self.cursor = 0
        self.lease_expires_at = ZERO
        self.synced = False
        self.workloads = {}
        self.targets = {}
        self.slowdowns = {}
        self._delays = dict(delays or {})
        self._pools = {}
        self._reported_draining = {}

    def apply(self, reply, *, sent_at, now):
        """Apply a ``SyncReply``.

        Args:
            reply: The ``SyncReply``.
            sent_at: Monotonic time at which the request was sent; the lease
                starts at that time.
            now: Monotonic time of the reply's arrival.
        """
        if reply.full:
            self._remove_missing(reply)
        self._expire_reported_draining(now)
        for workload in reply.workloads:
            self._update_workload(workload)
        for instance in reply.instances:
            self._update_instance(instance, now)
        for item in reply.slowdowns:
            key = (item.service, item.beside, item.band)
            self.slowdowns[key] = item.factor
        self.revision = max(self.revision, reply.revision)
        self.feed = reply.feed
        self.cursor = reply.cursor
        lease = reply.lease_ms * MILLISECOND
        self.lease_expires_at = max(self.lease_expires_at, sent_at + lease)
        self.synced = True

    def apply_load(self, target, load, *, at):
        """Apply a ``Load`` that describes ``target`` at the time ``at``.

        A load that is older than the latest one applied is ignored.
        """
        if at < target.reported_at:
            return
        target.reported_at = at
        target.used = load.slots_used + load.queued
        target.own_used = min(target.in_flight, target.used)
        target.service_ms = load.service_ms or target.service_ms
        if load.failure_share > target.reported_failure_share:
            target.reported_failure_rate.add(load.failure_share, at)
        target.reported_failure_share = load.failure_share
        target.incarnation = load.incarnation or target.incarnation
        target.slots = load.slots or target.slots
        if load.draining and not target.reported_draining_until:
            target.reported_draining_until = at + REPORTED_DRAINING_VALIDITY
            self._reported_draining[target.name] = target
            self.reindex(target)

    def get_pool(self, workload):
        """Return the ``Pool`` of a ``WorkloadView``, built on first use."""
        key = self._build_key(workload)
        candidate_pool = self._pools.get(key)
        if candidate_pool is None:
            candidate_pool = self._pools[key] = pool.Pool(zone=self.zone)
            for target in self.targets.values():
                self._update_pool(candidate_pool, key, target)
        return candidate_pool

    def reindex(self, target):
        """Update the pools after a change of ``target``."""
        for key, candidate_pool in self._pools.items():
            self._update_pool(candidate_pool, key, target)

    def has_lease(self, now):
        """Return whether the lease still allows routing by this view."""
        return self.synced and now < self.lease_expires_at

    def _build_key(self, workload):
        labels = tuple((pair.key, pair.value) for pair in workload.labels)
        return workload.runs_on, workload.shares_with, labels

    def _update_pool(self, candidate_pool, key, target):
        is_draining = target.draining or target.reported_draining_until
        serving = target.connected and not is_draining
        if not serving or not self._is_eligible(key, target):
            candidate_pool.remove(target)
        elif target.quarantined or target.health.quarantined:
            candidate_pool.quarantine(target)
        else:
            candidate_pool.add(target)

    def _is_eligible(self, key, target):
        """Match; an invalid selector matches no instance."""
        try:
            return self._match(key, target)
        except errors.SelectorError as error:
            _logger.error(
                'instance excluded from a pool, invalid selector: {}', error
            )
            return False

    def _match(self, key, target):
        runs_on, shares_with, labels = key
        if self.targets.get(target.name) is not target:
            return False
        if not selector.parse_selector(runs_on).match(target.labels):
            return False
        shares_with_selector = selector.parse_selector(shares_with)
        own_labels = dict(labels)
        return all(
            self._may_share(shares_with_selector, own_labels, name)
            for name in target.beside
        )

    def _may_share(self, shares_with_selector, own_labels, name):
        other = self.workloads.get(name)
        if other is None:
            return True
        other_selector = selector.parse_selector(other.shares_with)
        return shares_with_selector.match(
            _build_label_dict(other)
        ) and other_selector.match(own_labels)

    def _remove_missing(self, reply):
        self.workloads.clear()
        self.slowdowns.clear()
        kept = {instance.name for instance in reply.instances}
        for name in [name for name in self.targets if name not in kept]:
            self._remove_from_pools(self.targets.pop(name))
        self._pools.clear()

    def _expire_reported_draining(self, now):
        """Drop expired draining reports; the leader's state then applies."""
        for target in list(self._reported_draining.values()):
            if now >= target.reported_draining_until:
                target.reported_draining_until = ZERO
                del self._reported_draining[target.name]
                self.reindex(target)

    def _remove_from_pools(self, target):
        for candidate_pool in self._pools.values():
            candidate_pool.remove(target)

    def _update_workload(self, workload):
        old = self.workloads.get(workload.name)
        self.workloads[workload.name] = workload
        if old is not None and _has_new_placement_rules(old, workload):
            self._pools.clear()

    def _update_instance(self, instance, now):
        target = self.targets.get(instance.name)
        before = target and _get_routing_fields(target)
        if target is None:
            target = self.targets[instance.name] = Target(name=instance.name)
        target.zone = instance.zone
        target.address = instance.address
        target.labels = _build_label_dict(instance)
        target.slots = instance.capacity.slots
        target.beside = tuple(instance.beside)
        target.draining = instance.draining
        target.connected = instance.connected
        target.quarantined = instance.quarantined
        target.round_trip_ms = self._get_round_trip_ms(instance.zone)
        at = now - instance.load_age_ms * MILLISECOND
        if instance.load.slots and instance.connected:
            self.apply_load(target, instance.load, at=at)
        if before != _get_routing_fields(target):
            self.reindex(target)

    def _get_round_trip_ms(self, zone):
        if zone == self.zone:
            return 0.0
        own = self._delays.get(self.zone, 0.0)
        return WAYS_PER_ROUND_TRIP * max(own, self._delays.get(zone, 0.0))


def _build_label_dict(source):
    return {pair.key: pair.value for pair in source.labels}


def _has_new_placement_rules(old, new):
    fields = ('labels', 'runs_on', 'shares_with')
    return any(getattr(old, field) != getattr(new, field) for field in fields)


def _get_routing_fields(target):
    return (
        target.zone,
        target.labels,
        target.beside,
        target.draining,
        target.connected,
        target.quarantined,
    )
