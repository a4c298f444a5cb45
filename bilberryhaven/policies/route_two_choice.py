"""Default routing: the cheaper of two random candidates.

The cost of a candidate is the time until its answer, as estimated from its
late report corrected by the requests in flight, plus the way to its
availability zone and a penalty for recent failures. Candidates of other
zones are drawn only where those of the own zone are busy.
"""

from bilberryhaven import policies
from bilberryhaven.policies import route_base

__all__ = ['TwoChoicePolicy']

CHOICES = 2
DEFAULT_SERVICE_MS = 10.0
LINK_COST_MS = 4.0
BUSY_WEIGHT = 0.5
FAILURE_WEIGHT = 8.0
BANDS = 4
MAX_SLOWNESS = 2.0
MAX_FAILING = 0.1
MIN_FAILING = 0.05


def compute_slowdown(query, target, used):
    """Return how much slower the workload answers beside others."""
    if not target.beside or not query.slowdowns:
        return 1.0
    band = min(BANDS * used // max(target.slots, 1), BANDS - 1)
    factor = 1.0
    for name in target.beside:
        key = (query.workload, name, band)
        factor *= query.slowdowns.get(key, 1.0)
    return factor


def estimate_wait(query, target):
    """Return the estimated time until the answer, in milliseconds."""
    mean = query.mean_ms or target.service_ms or DEFAULT_SERVICE_MS
    used = target.estimate_used()
    slots = max(target.slots, 1)
    service = mean * max(
        target.slowness.get(query.now),
        compute_slowdown(query, target, used),
    )
    queued = max(used + 1 - slots, 0)
    return service * (1 + queued / slots) + target.round_trip_ms


def compute_cost(query, target, wait_ms):
    """Return ``wait_ms`` with the penalties of load, link and failures."""
    share = min(target.estimate_used() / max(target.slots, 1), 1.0)
    failing = target.estimate_failure_rate(query.now)
    cost = wait_ms * (1 + BUSY_WEIGHT * share * share)
    if failing > MIN_FAILING:
        cost *= 1 + FAILURE_WEIGHT * failing
    return cost + (LINK_COST_MS if target.round_trip_ms else 0.0)


@policies.register('two_choice')
class TwoChoicePolicy(route_base.RoutePolicy):
    """Compares two random candidates of the own zone, then of others."""

    def choose(self, query):
        """Return a ``Choice``, or None where no candidate is left."""
        drawn = query.pool.sample_local(self._random, CHOICES, query.excluded)
        if not drawn or all(_is_busy(query, target) for target in drawn):
            drawn += query.pool.sample_remote(
                self._random, CHOICES, query.excluded
            )
        return self._compare(query, drawn)

    def _compare(self, query, drawn):
        best = None
        rivals = {}
        for target in drawn:
            wait = estimate_wait(query, target)
            cost = compute_cost(query, target, wait)
            rivals[target.name] = round(cost, 3)
            if best is None or cost < best.cost_ms:
                best = route_base.Choice(
                    target=target, wait_ms=wait, cost_ms=cost
                )
        if best is not None:
            best.rivals = rivals
            best.reason = f'cheapest of {len(rivals)} drawn'
        return best


def _is_busy(query, target):
    failing = target.estimate_failure_rate(query.now)
    slow = target.slowness.get(query.now) > MAX_SLOWNESS
    busy = target.estimate_used() >= target.slots
    return busy or slow or failing > MAX_FAILING
