"""Chooses an instance for a job among a bounded number of candidates."""

from bilberryhaven.systems import backlog as backlogs

__all__ = ['choose_instance']

FEW = 32
SAMPLE = 8
WALK = 64
FAILED_HERE = 100.0


def choose_instance(memory, world, row, target):
    """Return the best (node, score) found for job ``row``, or (None, 0).

    Looks at all instances with room while there are few, else at a random
    sample, and at the next ones in turn if none of the sample fits. So the
    cost doesn't grow with the fleet.
    """
    pool = memory.fleet.get_pool(target.runs_on)
    count = SAMPLE if len(pool.roomy) > FEW else FEW
    names = pool.roomy.sample(memory.random, count)
    best = _pick(memory, world, row, target, names)
    if best[0] is None and len(pool.roomy) > FEW:
        best = _pick(memory, world, row, target, pool.walk(WALK))
    return best


def _pick(memory, world, row, target, names):
    fleet = memory.fleet
    need = fleet.get_need(target)
    urgent = backlogs.is_urgent(target)
    best, best_score = None, 0.0
    for name in names:
        entry = fleet.nodes[name]
        headroom = 0 if urgent else entry.headroom
        if not entry.fits(need, headroom=headroom):
            continue
        if not fleet.rules.shares(target.name, entry):
            continue
        score = memory.policy.score(world, target, need, entry)
        if name in row.failures:
            score += FAILED_HERE
        if best is None or score < best_score:
            best, best_score = entry, score
    return best, best_score
