"""Claims: capacity reserved on an instance for jobs that do not fit yet.

Claims are made for starving jobs and for jobs that preempt others. A claim
belongs to a workload and is used by whichever of its jobs is placed next.
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

# Time without a placement after which a workload gets a claim.
STARVING_AFTER = datetime.timedelta(seconds=30)
MAX_CLAIM_AGE = datetime.timedelta(seconds=300)
# Limit on the workloads with claims, as a share of the instances in the pool.
MAX_CLAIMED_SHARE = 0.05
SAMPLE_SIZE = 64
# Slots that each watch counts in addition when instances are compared.
WATCH_OCCUPANCY_SLOTS = 10

logger = log.get_logger('placement')


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """Capacity reserved on one instance.

    Attributes:
        id: Unique id of the claim.
        instance: The instance's name.
        since: When the claim was made.
    """

    id: str
    instance: str
    since: datetime.datetime


def make_claim(memory, world, spec, node):
    """Reserve capacity on ``node`` for a job of ``spec``."""
    serial = next(memory.claim_serials)
    new_claim = Claim(
        id=f'{spec.name}#{serial}', instance=node.name, since=world.now
    )
    memory.claims.setdefault(spec.name, []).append(new_claim)
    memory.fleet.add_claim(new_claim.id, spec, node)


def take_claim(memory, spec):
    """Return a node on which a claim of ``spec`` now fits, or None.

    The claim is removed, so that the job can be granted to the node.
    """
    fleet = memory.fleet
    need = fleet.get_need(spec)
    for claim in memory.claims.get(spec.name, ()):
        node = fleet.nodes.get(claim.instance)
        if node is None or not node.open:
            continue
        fleet.remove_claim(claim.id, node)
        if (
            node.fits(need)
            and fleet.rules.may_run(spec, node.labels)
            and fleet.rules.may_share_node(spec.name, node)
        ):
            memory.claims[spec.name].remove(claim)
            return node
        fleet.add_claim(claim.id, spec, node)
    return None


def release_claims(memory, world):
    """Remove claims that no job waits for, or that cannot be used.

    A claim cannot be used if its instance is gone or takes no new work; it
    also expires after ``MAX_CLAIM_AGE``.
    """
    for name, workload_claims in list(memory.claims.items()):
        waiting = _count_waiting(memory, name, len(workload_claims))
        for claim in list(workload_claims):
            node = memory.fleet.nodes.get(claim.instance)
            obsolete = (
                len(workload_claims) > waiting
                or node is None
                or not node.open
                or world.now - claim.since > MAX_CLAIM_AGE
            )
            if obsolete:
                workload_claims.remove(claim)
                if node is not None:
                    memory.fleet.remove_claim(claim.id, node)
        if not workload_claims:
            del memory.claims[name]


def _count_waiting(memory, name, claimed):
    """Return the number of queued jobs, exact only with several claims.

    With one claim it is enough to know whether any job is queued.
    """
    if claimed > 1:
        return memory.backlog.count(name)
    return 0 if memory.backlog.peek(name) is None else 1


def claim_if_starving(memory, world, spec):
    """Make a claim for a workload whose first job has waited too long."""
    since = memory.blocked_since.setdefault(spec.name, world.now)
    if spec.name in memory.claims or world.now - since < STARVING_AFTER:
        return
    pool = memory.fleet.get_pool(spec.runs_on)
    if len(memory.claims) >= max(1, len(pool.members) * MAX_CLAIMED_SHARE):
        return
    names = pool.members.sample(memory.random, SAMPLE_SIZE)
    entries = [memory.fleet.nodes[name] for name in names]
    candidates = [
        node
        for node in entries
        if not node.claims and memory.feasibility.could_run(spec, node)
    ]
    if not candidates:
        return
    node = min(
        candidates, key=lambda e: (_compute_occupancy(world, e), e.name)
    )
    make_claim(memory, world, spec, node)
    waited = (world.now - since).total_seconds()
    log.log_decision(
        logger,
        'claim',
        reason=f'no instance had room for {waited:.0f} s',
        workload=spec.name,
        instance=node.name,
        waited_s=waited,
    )


def _compute_occupancy(world, node):
    total = node.slots
    for name, count in node.counts.items():
        spec = world.state.workloads.find(name)
        if spec is not None and spec.kind == 'watch':
            total += WATCH_OCCUPANCY_SLOTS * count
    return total
