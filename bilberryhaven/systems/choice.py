"""Selects an instance for a job from a bounded number of candidates."""

import dataclasses

from bilberryhaven.systems import backlog as backlogs

__all__ = ['Choice', 'choose_instance']

# Pools with at most this many available instances are scanned whole.
MAX_FULL_SCAN = 32
SAMPLE_SIZE = 8
# Instances scanned in turn if none of the sample fits.
FALLBACK_SCAN_SIZE = 64
# Added if the job already failed on the instance.
FAILED_HERE_COST = 100.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Choice:
    """An instance selected for a job.

    Attributes:
        node: The instance's ``Node``.
        cost: Cost of placing the job there; lower is better.
    """

    node: object
    cost: float = 0.0


def choose_instance(memory, world, row, spec):
    """Return the cheapest ``Choice`` found for job ``row``, or None.

    A small pool is scanned whole. In a large one a random sample is scored,
    and if none of it fits, the next available instances in turn. The time
    taken thus does not grow with the number of instances.
    """
    pool = memory.fleet.get_pool(spec.runs_on)
    count = (
        SAMPLE_SIZE if len(pool.available) > MAX_FULL_SCAN else MAX_FULL_SCAN
    )
    names = pool.available.sample(memory.random, count)
    best = _select_cheapest(memory, world, row, spec, names)
    if best is None and len(pool.available) > MAX_FULL_SCAN:
        best = _select_cheapest(
            memory,
            world,
            row,
            spec,
            pool.list_next_available(FALLBACK_SCAN_SIZE),
        )
    return best


def _select_cheapest(memory, world, row, spec, names):
    fleet = memory.fleet
    need = fleet.get_need(spec)
    urgent = backlogs.is_urgent(spec)
    best = None
    for name in names:
        node = fleet.nodes[name]
        headroom = 0 if urgent else node.headroom
        if not node.fits(need, headroom=headroom):
            continue
        if not fleet.rules.may_share_node(spec.name, node):
            continue
        cost = memory.policy.score(world, spec, need, node)
        if name in row.failures:
            cost += FAILED_HERE_COST
        if best is None or cost < best.cost:
            best = Choice(node=node, cost=cost)
    return best
