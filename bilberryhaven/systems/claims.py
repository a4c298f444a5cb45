"""Room kept for a job that waits long or goes before what runs."""

import datetime

from bilberryhaven import log

__all__ = ['claim_if_starving', 'release_claims', 'take_claim']

STARVING_AFTER = datetime.timedelta(seconds=30)
MAX_CLAIMED_SHARE = 0.05
CANDIDATES = 64
WATCH_OBSTRUCTION = 10

logger = log.get_logger('placement')


def take_claim(memory, row, target):
    """Return the node where room is kept for ``row``, if it fits now."""
    name = memory.claims.get(row.id)
    if name is None:
        return None
    fleet = memory.fleet
    entry = fleet.nodes.get(name)
    if entry is not None:
        fleet.unclaim(row.id, entry)
        need = fleet.get_need(target)
        matches = fleet.rules.may_run(target, entry.labels)
        if entry.open and matches:
            shares = fleet.rules.shares(target.name, entry)
            if entry.fits(need) and shares:
                del memory.claims[row.id]
                return entry
            fleet.claim(row, target, entry)
            return None
    del memory.claims[row.id]
    return None


def release_claims(memory, state):
    """Give up claims of jobs that no longer wait."""
    for job_id, name in list(memory.claims.items()):
        row = state.jobs.find(job_id)
        if row is not None and row.state == 'pending':
            continue
        del memory.claims[job_id]
        entry = memory.fleet.nodes.get(name)
        if entry is not None:
            memory.fleet.unclaim(job_id, entry)


def make_claim(memory, row, target, entry):
    """Keep room on ``entry`` for job ``row``."""
    memory.claims[row.id] = entry.name
    memory.fleet.claim(row, target, entry)


def claim_if_starving(memory, world, row, target):
    """Keep room for the first job of a workload that waits too long."""
    since = memory.waiting.setdefault(target.name, world.now)
    if row.id in memory.claims or world.now - since < STARVING_AFTER:
        return
    pool = memory.fleet.get_pool(target.runs_on)
    if len(memory.claims) >= max(1, len(pool.members) * MAX_CLAIMED_SHARE):
        return
    names = pool.members.sample(memory.random, CANDIDATES)
    entries = [memory.fleet.nodes[name] for name in names]
    able = [
        entry
        for entry in entries
        if not entry.claims and memory.feasibility.could_run(target, entry)
    ]
    if not able:
        return
    entry = min(able, key=lambda e: (_rate_obstruction(world, e), e.name))
    make_claim(memory, row, target, entry)
    waited = (world.now - since).total_seconds()
    log.log_decision(
        logger,
        'claim',
        reason=f'found no place for {waited:.0f} s',
        job=row.id,
        workload=target.name,
        instance=entry.name,
        waited_s=waited,
    )


def _rate_obstruction(world, entry):
    total = entry.slots
    for name, count in entry.counts.items():
        target = world.state.workloads.find(name)
        if target is not None and target.kind == 'watch':
            total += WATCH_OBSTRUCTION * count
    return total
