"""Failure records: which instances to set aside, which workloads to hold."""

import dataclasses
import datetime

from bilberryhaven.entry import average

__all__ = ['Health', 'Monitor']

ORIGIN = datetime.timedelta()
SMOOTHING = 0.2
HALF_LIFE = datetime.timedelta(seconds=2)
QUARANTINE_STREAK = 4
RELEASE_STREAK = 3
HOLD_INSTANCES = 3
HOLD_STREAK = 8
PROBE_INTERVAL = datetime.timedelta(seconds=1)
MAX_PROBE_INTERVAL = datetime.timedelta(seconds=15)
HOLD_PROBE_INTERVAL = datetime.timedelta(seconds=1)
MAX_QUARANTINED_SHARE = 0.5
PROBE_PATIENCE = 3
MAX_SHARE = 0.8


def _build_share():
    return average.DecayingAverage(
        rest=0.0, half_life=HALF_LIFE, weight=SMOOTHING
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Health:
    """Recent results of one instance.

    Attributes:
        share: Smoothed share of failures.
        streak: Failures since the last success.
        successes: Successes since the last failure.
        quarantined: Whether it gets probes only.
        probe_at: When the next probe is due.
        interval: Time between probes.
    """

    share: average.DecayingAverage = dataclasses.field(
        default_factory=_build_share
    )
    streak: int = 0
    successes: int = 0
    quarantined: bool = False
    probe_at: datetime.timedelta = ORIGIN
    interval: datetime.timedelta = PROBE_INTERVAL


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """Recent results of one workload.

    Attributes:
        streak: Failures since the last success.
        instances: Instances that failed it since then.
        probe_at: When the next request may pass while it is held.
    """

    streak: int = 0
    instances: set = dataclasses.field(default_factory=set)
    probe_at: datetime.timedelta = ORIGIN

    @property
    def held(self):
        """Whether it fails everywhere it is tried."""
        return (
            self.streak >= HOLD_STREAK
            and len(self.instances) >= HOLD_INSTANCES
        )


class Monitor:
    """Tells failing instances from failing workloads.

    A workload that fails on several instances in a row counts against the
    workload, and no longer against the instances.

    Args:
        view: The entry's ``View``.
    """

    def __init__(self, *, view):
        self._view = view
        self._records = {}
        self._aside = {}

    def record_success(self, workload, target, now):
        """Note that ``target`` answered a request of ``workload``."""
        self._records.pop(workload, None)
        state = target.health
        state.share.add(0.0, now)
        state.streak = 0
        state.successes += 1
        if state.quarantined and state.successes >= RELEASE_STREAK:
            self._release(target)

    def record_failure(self, workload, target, now):
        """Note that ``target`` failed a request of ``workload``."""
        record = self._records.setdefault(workload, Record())
        record.streak += 1
        if len(record.instances) < HOLD_INSTANCES:
            record.instances.add(target.name)
        state = target.health
        if record.held:
            return
        state.share.add(1.0, now)
        state.streak += 1
        state.successes = 0
        if state.quarantined:
            state.interval = min(2 * state.interval, MAX_PROBE_INTERVAL)
            state.probe_at = now + state.interval
        elif (
            state.streak >= QUARANTINE_STREAK
            or state.share.get(now) > MAX_SHARE
        ):
            self._quarantine(target, now)

    def check_hold(self, workload, now):
        """Return whether ``workload`` is held; lets a probe pass at times."""
        record = self._records.get(workload)
        if record is None or not record.held:
            return False
        if now >= record.probe_at:
            record.probe_at = now + HOLD_PROBE_INTERVAL
            return False
        return True

    def pick_probe(self, pool, excluded, random, now, repeatable):
        """Return a quarantined instance that is due for a probe, or None.

        Args:
            pool: The request's candidates.
            excluded: Instances that must not be chosen.
            random: Source of random numbers.
            now: Monotonic time.
            repeatable: Whether the request may run again elsewhere; others
                are used as probes only where no such request comes.
        """
        for target in pool.quarantined.draw(random, 1, excluded):
            state = target.health
            patience = 0 if repeatable else PROBE_PATIENCE
            if now >= state.probe_at + patience * state.interval:
                state.probe_at = now + state.interval
                return target
        return None

    def _is_full(self):
        """Return whether no more instances may be set aside."""
        known = self._view.targets
        quarantined = self._aside
        for name in [
            name
            for name in quarantined
            if quarantined[name] is not known.get(name)
        ]:
            del quarantined[name]
        return len(quarantined) >= max(1, MAX_QUARANTINED_SHARE * len(known))

    def _quarantine(self, target, now):
        if self._is_full():
            return
        self._aside[target.name] = target
        state = target.health
        state.quarantined = True
        state.interval = PROBE_INTERVAL
        state.probe_at = now + PROBE_INTERVAL
        self._view.reindex(target)

    def _release(self, target):
        self._aside.pop(target.name, None)
        target.health = Health()
        self._view.reindex(target)
