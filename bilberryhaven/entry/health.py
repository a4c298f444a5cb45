"""Failure detection: instance quarantine and workload circuit breakers."""

import dataclasses
import datetime

from bilberryhaven.entry import average

__all__ = ['Health', 'HealthMonitor']

ZERO = datetime.timedelta()
FAILURE_SAMPLE_WEIGHT = 0.2
FAILURE_HALF_LIFE = datetime.timedelta(seconds=2)
QUARANTINE_FAILURES = 4
RELEASE_SUCCESSES = 3
BREAKER_MIN_INSTANCES = 3
BREAKER_MIN_FAILURES = 8
PROBE_INTERVAL = datetime.timedelta(seconds=1)
MAX_PROBE_INTERVAL = datetime.timedelta(seconds=15)
BREAKER_PROBE_INTERVAL = datetime.timedelta(seconds=1)
MAX_QUARANTINED_SHARE = 0.5
NON_IDEMPOTENT_PROBE_INTERVALS = 3
MAX_FAILURE_RATE = 0.8


def _build_failure_rate():
    return average.DecayingAverage(
        baseline=0.0, half_life=FAILURE_HALF_LIFE, weight=FAILURE_SAMPLE_WEIGHT
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Health:
    """Recent results of one instance.

    Attributes:
        failure_rate: Smoothed share of failed requests.
        consecutive_failures: Failures since the last success.
        consecutive_successes: Successes since the last failure.
        quarantined: Whether the instance gets probes only.
        probe_at: Monotonic time at which the next probe is due.
        probe_interval: Time between probes.
    """

    failure_rate: average.DecayingAverage = dataclasses.field(
        default_factory=_build_failure_rate
    )
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    quarantined: bool = False
    probe_at: datetime.timedelta = ZERO
    probe_interval: datetime.timedelta = PROBE_INTERVAL


@dataclasses.dataclass(kw_only=True, slots=True)
class CircuitBreaker:
    """Circuit breaker of one workload, opened by failures everywhere.

    Attributes:
        consecutive_failures: Failures since the last success.
        instances: Names of instances on which the workload failed since
            then, up to ``BREAKER_MIN_INSTANCES``.
        probe_at: Monotonic time at which the next request may pass while
            the breaker is open.
    """

    consecutive_failures: int = 0
    instances: set = dataclasses.field(default_factory=set)
    probe_at: datetime.timedelta = ZERO

    @property
    def is_open(self):
        """Whether enough failures on enough instances came in a row."""
        return (
            self.consecutive_failures >= BREAKER_MIN_FAILURES
            and len(self.instances) >= BREAKER_MIN_INSTANCES
        )


class HealthMonitor:
    """Attributes failures to instances or to workloads.

    Once a workload fails on several instances in a row, its failures open
    the workload's circuit breaker and no longer count against the instances.

    Args:
        view: The entry's ``View``.
    """

    def __init__(self, *, view):
        self._view = view
        self._breakers = {}
        self._quarantined = {}

    def record_success(self, workload, target, now):
        """Record that a request of ``workload`` succeeded on ``target``."""
        self._breakers.pop(workload, None)
        state = target.health
        state.failure_rate.add(0.0, now)
        state.consecutive_failures = 0
        state.consecutive_successes += 1
        if (
            state.quarantined
            and state.consecutive_successes >= RELEASE_SUCCESSES
        ):
            self._release(target)

    def record_failure(self, workload, target, now):
        """Record that a request of ``workload`` failed on ``target``."""
        breaker = self._breakers.setdefault(workload, CircuitBreaker())
        breaker.consecutive_failures += 1
        if len(breaker.instances) < BREAKER_MIN_INSTANCES:
            breaker.instances.add(target.name)
        state = target.health
        if breaker.is_open:
            return
        state.failure_rate.add(1.0, now)
        state.consecutive_failures += 1
        state.consecutive_successes = 0
        if state.quarantined:
            state.probe_interval = min(
                2 * state.probe_interval, MAX_PROBE_INTERVAL
            )
            state.probe_at = now + state.probe_interval
        elif (
            state.consecutive_failures >= QUARANTINE_FAILURES
            or state.failure_rate.get(now) > MAX_FAILURE_RATE
        ):
            self._try_quarantine(target, now)

    def should_reject(self, workload, now):
        """Return whether the breaker of ``workload`` rejects a request now.

        While the breaker is open, one request in each
        ``BREAKER_PROBE_INTERVAL`` passes as a probe.
        """
        breaker = self._breakers.get(workload)
        if breaker is None or not breaker.is_open:
            return False
        if now >= breaker.probe_at:
            breaker.probe_at = now + BREAKER_PROBE_INTERVAL
            return False
        return True

    def pick_probe(self, pool, excluded, random, now, repeatable):
        """Return a quarantined instance that is due for a probe, or None.

        Args:
            pool: ``Pool`` of the request's candidates.
            excluded: Instances that must not be chosen.
            random: Source of random numbers.
            now: Monotonic time.
            repeatable: Whether the request may run again elsewhere. Other
                requests serve as probes only where no such request has
                arrived for ``NON_IDEMPOTENT_PROBE_INTERVALS`` further probe
                intervals.
        """
        for target in pool.quarantined.sample_items(random, 1, excluded):
            state = target.health
            delay_intervals = (
                0 if repeatable else NON_IDEMPOTENT_PROBE_INTERVALS
            )
            if now >= state.probe_at + delay_intervals * state.probe_interval:
                state.probe_at = now + state.probe_interval
                return target
        return None

    def _is_quarantine_full(self):
        """Return whether no more instances may be quarantined."""
        known = self._view.targets
        quarantined = self._quarantined
        for name in [
            name
            for name in quarantined
            if quarantined[name] is not known.get(name)
        ]:
            del quarantined[name]
        return len(quarantined) >= max(1, MAX_QUARANTINED_SHARE * len(known))

    def _try_quarantine(self, target, now):
        if self._is_quarantine_full():
            return
        self._quarantined[target.name] = target
        state = target.health
        state.quarantined = True
        state.probe_interval = PROBE_INTERVAL
        state.probe_at = now + PROBE_INTERVAL
        self._view.reindex(target)

    def _release(self, target):
        self._quarantined.pop(target.name, None)
        target.health = Health()
        self._view.reindex(target)
