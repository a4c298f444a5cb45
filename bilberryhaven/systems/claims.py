"""Room kept for work that waits long or goes before what runs.

A claim is a workload's: whichever of its jobs is first takes it.
"""

import dataclasses
import datetime

from bilberryhaven import log

__all__ = [
    'Claim',
    'claim_if_starving',
    'make_claim',
    'release_claims',
    'take_claim',
]

STARVING_AFTER = datetime.timedelta(seconds=30)
MAX_CLAIM_AGE = datetime.timedelta(seconds=300)
MAX_CLAIMED_SHARE = 0.05
SAMPLE_SIZE = 64
WATCH_OCCUPANCY_SLOTS = 10

logger = log.get_logger('placement')


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """Room kept on one instance.

    Attributes:
        id: Unique id.
        instance: The instance's name.
        since: When it was made.
    """

    id: str
    instance: str
    since: datetime.datetime


def make_claim(memory, world, target, entry):
    """Keep room on ``entry`` for a job of ``target``."""
    serial = next(memory.claim_serials)
    created = Claim(
        id=f'{target.name}#{serial}', instance=entry.name, since=world.now
    )
    memory.claims.setdefault(target.name, []).append(created)
    memory.fleet.add_claim(created.id, target, entry)


def take_claim(memory, target):
    """Return a node where room is kept for ``target`` and fits now."""
    fleet = memory.fleet
    need = fleet.get_need(target)
    for claim in memory.claims.get(target.name, ()):
        entry = fleet.nodes.get(claim.instance)
        if entry is None or not entry.open:
            continue
        fleet.remove_claim(claim.id, entry)
        if (
            entry.fits(need)
            and fleet.rules.may_run(target, entry.labels)
            and fleet.rules.may_share_node(target.name, entry)
        ):
            memory.claims[target.name].remove(claim)
            return entry
        fleet.add_claim(claim.id, target, entry)
    return None


def release_claims(memory, world):
    """Give up claims that nothing waits for or that lead nowhere."""
    for name, workload_claims in list(memory.claims.items()):
        waiting = _count_waiting(memory, name, len(workload_claims))
        for claim in list(workload_claims):
            entry = memory.fleet.nodes.get(claim.instance)
            obsolete = (
                len(workload_claims) > waiting
                or entry is None
                or not entry.open
                or world.now - claim.since > MAX_CLAIM_AGE
            )
            if obsolete:
                workload_claims.remove(claim)
                if entry is not None:
                    memory.fleet.remove_claim(claim.id, entry)
        if not workload_claims:
            del memory.claims[name]


def _count_waiting(memory, name, claimed):
    """Return how many jobs wait, exactly only if there are more claims."""
    if claimed > 1:
        return memory.backlog.count(name)
    return 0 if memory.backlog.peek(name) is None else 1


def claim_if_starving(memory, world, target):
    """Keep room for the first job of a workload that waits too long."""
    since = memory.blocked_since.setdefault(target.name, world.now)
    if target.name in memory.claims or world.now - since < STARVING_AFTER:
        return
    pool = memory.fleet.get_pool(target.runs_on)
    if len(memory.claims) >= max(1, len(pool.members) * MAX_CLAIMED_SHARE):
        return
    names = pool.members.sample(memory.random, SAMPLE_SIZE)
    entries = [memory.fleet.nodes[name] for name in names]
    candidates = [
        entry
        for entry in entries
        if not entry.claims and memory.feasibility.could_run(target, entry)
    ]
    if not candidates:
        return
    entry = min(
        candidates, key=lambda e: (_compute_occupancy(world, e), e.name)
    )
    make_claim(memory, world, target, entry)
    waited = (world.now - since).total_seconds()
    log.log_decision(
        logger,
        'claim',
        reason=f'found no place for {waited:.0f} s',
        workload=target.name,
        instance=entry.name,
        waited_s=waited,
    )


def _compute_occupancy(world, entry):
    total = entry.slots
    for name, count in entry.counts.items():
        target = world.state.workloads.find(name)
        if target is not None and target.kind == 'watch':
            total += WATCH_OCCUPANCY_SLOTS * count
    return total
