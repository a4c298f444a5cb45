"""Routing: checks of the workload and choice of an instance."""

import datetime

from bilberryhaven.entry import health
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.policies import route_base
from bilberryhaven.wire import message

__all__ = ['Router', 'build_admit_request']

MILLISECOND = datetime.timedelta(milliseconds=1)
LATENCY_SAMPLE_WEIGHT = 0.1
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 50.0

_logger = log.get_logger('routing')


class Router:
    """Chooses the instance of each attempt and records its result.

    Args:
        view: The entry's ``View``.
        policy: A ``RoutePolicy``.
        random: Source of random numbers.
        clock: Source of time.
    """

    def __init__(self, *, view, policy, random, clock):
        self._view = view
        self._policy = policy
        self._random = random
        self._clock = clock
        self._health_monitor = health.HealthMonitor(view=view)
        self._mean_latencies = {}

    def check_workload(self, name):
        """Return the ``WorkloadView`` of ``name`` if it accepts requests.

        Raises:
            NotFoundError: The workload does not exist.
            BadInputError: The workload takes jobs, not requests.
            RefusedError: The workload is held.
            UnavailableError: The workload's circuit breaker is open.
        """
        workload = self._view.workloads.get(name)
        if workload is None:
            raise errors.NotFoundError(
                f'workload {name!r} does not exist', step='route'
            )
        if workload.kind != 'service':
            raise errors.BadInputError(
                f'workload {name!r} is not a service; submit a job instead',
                step='route',
            )
        if workload.held:
            raise errors.RefusedError(
                f'workload {name!r} is held: {workload.held}', step='route'
            )
        if self._health_monitor.should_reject(name, self._clock.monotonic()):
            raise errors.UnavailableError(
                f'workload {name!r} failed on every instance tried recently',
                step='route',
                retry_after=1,
            )
        return workload

    def choose(self, request, *, excluded, remaining):
        """Return the ``Choice`` for a request and log it.

        Args:
            request: The ``Request``.
            excluded: Targets that must not be chosen again.
            remaining: Time left for the response.

        Raises:
            BilberryhavenError: No instance can run the request in time.
        """
        if remaining <= datetime.timedelta():
            raise errors.DeadlineError(
                'the deadline passed before an instance was chosen',
                step='route',
                outcome=errors.Outcome.NOT_RUN,
            )
        workload = self._view.workloads.get(request.workload)
        if workload is None:
            raise errors.NotFoundError(
                f'workload {request.workload!r} does not exist', step='route'
            )
        pool = self._view.get_pool(workload)
        choice = self._choose_target(request, pool, excluded)
        if choice is None:
            raise self._build_unavailable_error(workload, pool, excluded)
        self._check_time(choice, remaining)
        self._log_choice(request, choice)
        return choice

    def record_success(self, dispatch):
        """Record the latency of a successful dispatch.

        Latencies above twice the mean change the workload's mean with a
        quarter of the usual weight.
        """
        target, workload = dispatch.target, dispatch.message.workload
        now = self._clock.monotonic()
        self._health_monitor.record_success(workload, target, now)
        elapsed = now - dispatch.sent_at
        latency_ms = max(elapsed / MILLISECOND - target.round_trip_ms, 0.01)
        previous_mean_ms = self._mean_latencies.get(workload, latency_ms)
        latency_ratio = min(
            max(latency_ms / previous_mean_ms, MIN_SLOWNESS), MAX_SLOWNESS
        )
        target.slowness.add(latency_ratio, now)
        sample_weight = (
            LATENCY_SAMPLE_WEIGHT / 4
            if latency_ms > 2 * previous_mean_ms
            else LATENCY_SAMPLE_WEIGHT
        )
        self._mean_latencies[workload] = previous_mean_ms + sample_weight * (
            latency_ms - previous_mean_ms
        )

    def record_failure(self, dispatch):
        """Record a failed dispatch."""
        self._health_monitor.record_failure(
            dispatch.message.workload,
            dispatch.target,
            self._clock.monotonic(),
        )

    def _choose_target(self, request, pool, excluded):
        now = self._clock.monotonic()
        if pool.quarantined:
            probe = self._health_monitor.pick_probe(
                pool, excluded, self._random, now, request.idempotent
            )
            if probe is not None:
                return route_base.Choice(target=probe, reason='probe')
        query = route_base.RoutingQuery(
            workload=request.workload,
            pool=pool,
            now=now,
            excluded=excluded,
            mean_ms=self._mean_latencies.get(request.workload, 0.0),
            slowdowns=self._view.slowdowns,
        )
        choice = self._policy.choose(query)
        if choice is None:
            choice = self._choose_quarantined(pool, excluded)
        return choice

    def _choose_quarantined(self, pool, excluded):
        """Choose a quarantined instance where the policy found no other."""
        sampled = pool.quarantined.sample_items(self._random, 1, excluded)
        if not sampled:
            return None
        return route_base.Choice(target=sampled[0], reason='all quarantined')

    def _build_unavailable_error(self, workload, pool, excluded):
        if excluded:
            detail = f'none left after {len(excluded)} instances were tried'
        elif not self._view.targets:
            detail = 'the view holds no instances'
        else:
            detail = f'no available instance matches {workload.runs_on!r}'
        return errors.UnavailableError(
            f'no instance for workload {workload.name!r}: {detail}',
            step='route',
            retry_after=1,
        )

    def _check_time(self, choice, remaining):
        target = choice.target
        busy = target.estimate_used() >= target.slots
        if busy and choice.wait_ms > remaining / MILLISECOND:
            raise errors.OverloadError(
                'no instance can respond before the deadline',
                step='route',
                peer=target.name,
                retry_after=1,
            )

    def _log_choice(self, request, choice):
        target = choice.target
        now = self._clock.monotonic()
        log.log_decision(
            _logger,
            'route',
            reason=choice.reason,
            request_id=request.id,
            workload=request.workload,
            instance=target.name,
            wait_ms=round(choice.wait_ms, 3),
            cost_ms=round(choice.cost_ms, 3),
            used=target.estimate_used(),
            slowness=round(target.slowness.get(now), 3),
            failing=round(target.estimate_failure_rate(now), 3),
            rivals=choice.rivals,
        )


def build_admit_request(request, **fields):
    """Return the ``AdmitRequest`` that sends ``request`` to an agent.

    Args:
        request: The ``Request``.
        **fields: Fields that are not copied from the request.
    """
    return message.AdmitRequest(
        request_id=request.id,
        workload=request.workload,
        body=request.body,
        urgent=request.urgent,
        idempotent=request.idempotent,
        **fields,
    )
