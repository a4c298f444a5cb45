"""What an entry knows of workloads and instances, indexed for routing.

A pool holds the instances that a workload may run on. Pools are kept up to
date as instances change, so that a routing decision draws from arrays and
never scans the fleet.
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
ORIGIN = datetime.timedelta()
ROUND_TRIP = 2
LEAVING_KEPT = datetime.timedelta(seconds=4)
SMOOTHING = 0.1
SLOW_HALF_LIFE = datetime.timedelta(seconds=5)
FAIL_HALF_LIFE = datetime.timedelta(seconds=2)

_logger = log.get_logger('view')


def _build_slowness():
    return average.DecayingAverage(
        rest=1.0, half_life=SLOW_HALF_LIFE, weight=SMOOTHING
    )


def _build_failing():
    return average.DecayingAverage(rest=0.0, half_life=FAIL_HALF_LIFE)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Target:
    """One instance, as the entry sees it.

    Attributes:
        name: Instance name.
        zone: Its availability zone.
        address: HOST:PORT of its agent.
        labels: Labels in effect.
        slots: Requests and tasks it runs at a time.
        beside: Names of workloads whose tasks run on it.
        draining: Whether the leader says that it takes nothing new.
        leaving_until: Until when its agent's word for that is taken; the
            leader learns it later.
        connected: Whether its session is open.
        quarantined: Reason given by the leader, or empty.
        round_trip_ms: Round trip to its availability zone.
        used: Slots used and requests queued, as last reported.
        service_ms: Mean service time, as last reported.
        reported_at: Monotonic time that the report describes.
        in_flight: Requests of this entry that it holds.
        counted: Requests of this entry among ``used``.
        slowness: Its answer times relative to the workload's mean.
        health: Record of its recent failures.
        reported_share: Share of failed requests, as last reported.
        reported_failing: That share, fading since it last grew.
        incarnation: Differs after each start of its agent; 0 if unknown.
    """

    name: str
    zone: str = ''
    address: str = ''
    labels: dict = dataclasses.field(default_factory=dict)
    slots: int = 8
    beside: tuple = ()
    draining: bool = False
    leaving_until: datetime.timedelta = ORIGIN
    connected: bool = True
    quarantined: str = ''
    round_trip_ms: float = 0.0
    used: int = 0
    service_ms: float = 0.0
    reported_at: datetime.timedelta = ORIGIN
    in_flight: int = 0
    counted: int = 0
    slowness: average.DecayingAverage = dataclasses.field(
        default_factory=_build_slowness
    )
    reported_share: float = 0.0
    reported_failing: average.DecayingAverage = dataclasses.field(
        default_factory=_build_failing
    )
    incarnation: int = 0
    health: object = dataclasses.field(default_factory=health.Health)

    def settle(self):
        """Count one request of this entry less."""
        self.in_flight = max(self.in_flight - 1, 0)
        if self.counted:
            self.counted -= 1
            self.used -= 1

    def estimate_failure_rate(self, now):
        """Return its share of failures, as seen here or reported."""
        own = self.health.share.get(now)
        return max(own, self.reported_failing.get(now))

    def estimate_used(self):
        """Return its load: others' as reported, this entry's as known."""
        return max(self.used - self.counted, 0) + self.in_flight


class View:
    """Workloads, instances, loads and slowdowns that an entry holds.

    Args:
        zone: Availability zone of the entry.
        delays: One-way delay in milliseconds by availability zone.
    """

    def __init__(self, *, zone='', delays=None):
        self.zone = zone
        self.revision = 0
        self.feed = ''
        self.cursor = 0
        self.lease_end = ORIGIN
        self.synced = False
        self.workloads = {}
        self.targets = {}
        self.slowdowns = {}
        self._delays = dict(delays or {})
        self._pools = {}
        self._leaving = {}

    def apply(self, reply, *, sent_at, now):
        """Take in a ``SyncReply``.

        Args:
            reply: The message.
            sent_at: Monotonic time at which its request was sent; the lease
                counts from there.
            now: Monotonic time of arrival.
        """
        if reply.full:
            self._forget_missing(reply)
        self._forget_leaving(now)
        for workload in reply.workloads:
            self._put_workload(workload)
        for instance in reply.instances:
            self._put_instance(instance, now)
        for item in reply.slowdowns:
            key = (item.service, item.beside, item.band)
            self.slowdowns[key] = item.factor
        self.revision = max(self.revision, reply.revision)
        self.feed = reply.feed
        self.cursor = reply.cursor
        lease = reply.lease_ms * MILLISECOND
        self.lease_end = max(self.lease_end, sent_at + lease)
        self.synced = True

    def apply_load(self, target, load, *, at):
        """Take in a ``Load`` that describes ``target`` at time ``at``.

        Loads that are older than the newest known are ignored.
        """
        if at < target.reported_at:
            return
        target.reported_at = at
        target.used = load.slots_used + load.queued
        target.counted = min(target.in_flight, target.used)
        target.service_ms = load.service_ms or target.service_ms
        if load.failure_share > target.reported_share:
            target.reported_failing.add(load.failure_share, at)
        target.reported_share = load.failure_share
        target.incarnation = load.incarnation or target.incarnation
        target.slots = load.slots or target.slots
        if load.draining and not target.leaving_until:
            target.leaving_until = at + LEAVING_KEPT
            self._leaving[target.name] = target
            self.reindex(target)

    def get_pool(self, workload):
        """Return the ``Pool`` of a ``WorkloadView``; built at first use."""
        key = self._build_key(workload)
        found = self._pools.get(key)
        if found is None:
            found = self._pools[key] = pool.Pool(zone=self.zone)
            for target in self.targets.values():
                self._index(found, key, target)
        return found

    def reindex(self, target):
        """Enter ``target`` into the pools it belongs to, after a change."""
        for key, found in self._pools.items():
            self._index(found, key, target)

    def has_lease(self, now):
        """Return whether the entry may still route by this view."""
        return self.synced and now < self.lease_end

    def _build_key(self, workload):
        labels = tuple((pair.key, pair.value) for pair in workload.labels)
        return workload.runs_on, workload.shares_with, labels

    def _index(self, found, key, target):
        leaving = target.draining or target.leaving_until
        serving = target.connected and not leaving
        if not serving or not self._match_safely(key, target):
            found.remove(target)
        elif target.quarantined or target.health.quarantined:
            found.set_aside(target)
        else:
            found.add(target)

    def _match_safely(self, key, target):
        """Match; a selector that can't be read matches nothing."""
        try:
            return self._match(key, target)
        except errors.SelectorError as error:
            _logger.error('an instance is left out: {}', error)
            return False

    def _match(self, key, target):
        runs_on, shares_with, labels = key
        if self.targets.get(target.name) is not target:
            return False
        if not selector.parse_selector(runs_on).match(target.labels):
            return False
        wanted = selector.parse_selector(shares_with)
        own = dict(labels)
        return all(self._share(wanted, own, name) for name in target.beside)

    def _share(self, wanted, own, name):
        beside = self.workloads.get(name)
        if beside is None:
            return True
        theirs = selector.parse_selector(beside.shares_with)
        return wanted.match(_get_labels(beside)) and theirs.match(own)

    def _forget_missing(self, reply):
        self.workloads.clear()
        self.slowdowns.clear()
        kept = {instance.name for instance in reply.instances}
        for name in [name for name in self.targets if name not in kept]:
            self._drop_target(self.targets.pop(name))
        self._pools.clear()

    def _forget_leaving(self, now):
        """Trust the leader again on agents that said they were leaving."""
        for target in list(self._leaving.values()):
            if now >= target.leaving_until:
                target.leaving_until = ORIGIN
                del self._leaving[target.name]
                self.reindex(target)

    def _drop_target(self, target):
        for found in self._pools.values():
            found.remove(target)

    def _put_workload(self, workload):
        old = self.workloads.get(workload.name)
        self.workloads[workload.name] = workload
        if old is not None and _differ(old, workload):
            self._pools.clear()

    def _put_instance(self, instance, now):
        target = self.targets.get(instance.name)
        before = target and _list_traits(target)
        if target is None:
            target = self.targets[instance.name] = Target(name=instance.name)
        target.zone = instance.zone
        target.address = instance.address
        target.labels = _get_labels(instance)
        target.slots = instance.capacity.slots
        target.beside = tuple(instance.beside)
        target.draining = instance.draining
        target.connected = instance.connected
        target.quarantined = instance.quarantined
        target.round_trip_ms = self._get_distance(instance.zone)
        at = now - instance.load_age_ms * MILLISECOND
        if instance.load.slots and instance.connected:
            self.apply_load(target, instance.load, at=at)
        if before != _list_traits(target):
            self.reindex(target)

    def _get_distance(self, zone):
        if zone == self.zone:
            return 0.0
        own = self._delays.get(self.zone, 0.0)
        return ROUND_TRIP * max(own, self._delays.get(zone, 0.0))


def _get_labels(source):
    return {pair.key: pair.value for pair in source.labels}


def _differ(old, new):
    fields = ('labels', 'runs_on', 'shares_with')
    return any(getattr(old, field) != getattr(new, field) for field in fields)


def _list_traits(target):
    return (
        target.zone,
        target.labels,
        target.beside,
        target.draining,
        target.connected,
        target.quarantined,
    )
