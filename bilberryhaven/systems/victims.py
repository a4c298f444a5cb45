"""Eviction costs, and the selection of jobs to evict."""

import datetime
import math

from bilberryhaven.systems import backlog as backlogs
from bilberryhaven.tables import job

__all__ = [
    'compute_cost',
    'estimate_remaining',
    'list_evictable',
    'may_evict',
    'pick_victims',
]

# Minimum time between two evictions of a watch.
WATCH_INTERVAL = datetime.timedelta(hours=1)
MIN_RUN_TIME = datetime.timedelta(seconds=30)
EVICTION_COST = 1.0
# Seconds of lost work that cost one unit of throughput.
LOST_WORK_UNIT_S = 60.0
WATCH_COST_FACTOR = 4.0
STOPPING_STATES = (job.JobState.EVICTING, job.JobState.CANCELLING)


def list_evictable(world, node):
    """Return (row, workload) of the jobs on ``node`` that may be evicted."""
    found = []
    for job_id in node.charges:
        row = world.state.jobs.find(job_id)
        spec = world.state.workloads.find(row.workload) if row else None
        if spec is not None and may_evict(world, row, spec):
            found.append((row, spec))
    return found


def may_evict(world, row, spec):
    """Return whether the job may be evicted in favour of other work.

    Urgent jobs, jobs that cannot be repeated and jobs with a deadline may
    not; neither may watches that were evicted within the last hour.
    """
    if row.state not in (job.JobState.GRANTED, job.JobState.RUNNING):
        return False
    if not spec.repeatable or backlogs.is_urgent(spec):
        return False
    if row.deadline_at is not None:
        return False
    if spec.kind == 'watch' and row.evicted_at is not None:
        return world.now - row.evicted_at >= WATCH_INTERVAL
    return True


def has_run_min_time(world, row):
    """Return whether the job has run for ``MIN_RUN_TIME``."""
    since = row.started_at or row.granted_at
    return since is not None and world.now - since >= MIN_RUN_TIME


def estimate_remaining(memory, world, row, spec):
    """Return the expected remaining run time of the job, in seconds."""
    if spec.kind == 'watch':
        return math.inf
    expected = memory.task_estimates.get_run_seconds(spec)
    if row.started_at is None:
        return expected
    elapsed = (world.now - row.started_at).total_seconds()
    return max(expected - elapsed, 0.1 * expected, 0.25 * elapsed - expected)


def compute_lost_seconds(world, row):
    """Return the seconds of work since the last checkpoint of the job."""
    if row.started_at is None:
        return 0.0
    since = row.started_at
    if row.checkpoint_at is not None:
        since = max(since, row.checkpoint_at)
    return max((world.now - since).total_seconds(), 0.0)


def compute_cost(world, row, spec):
    """Return the cost of evicting the job, in units of the objective."""
    weights = world.objective
    cost = EVICTION_COST * (1 + row.evictions)
    if spec.kind == 'watch':
        cost *= WATCH_COST_FACTOR
    lost = compute_lost_seconds(world, row) / LOST_WORK_UNIT_S
    return weights.evictions * cost + weights.throughput * lost


def pick_victims(world, node, need, *, conflicting=(), chosen=()):
    """Return the cheapest rows whose eviction makes ``need`` fit, or None.

    Args:
        world: The ``World``.
        node: The node.
        need: The ``Resources`` to make room for.
        conflicting: Names of workloads that must be evicted in any case.
        chosen: Ids of jobs already selected for eviction in this tick.
    """
    evictable = [
        pair
        for pair in list_evictable(world, node)
        if pair[0].id not in chosen
    ]
    evictable.sort(key=lambda pair: (compute_cost(world, *pair), pair[0].id))
    stopping = _list_stopping(world, node, chosen)
    picked = [row for row, _ in evictable if row.workload in conflicting]
    removed = {row.id for row in picked + stopping}
    if any(
        charge.workload in conflicting and charge.job_id not in removed
        for charge in [*node.charges.values(), *node.claims.values()]
    ):
        return None
    for row, _ in evictable:
        if _fits_without(node, need, picked + stopping):
            break
        if row not in picked:
            picked.append(row)
    return picked if _fits_without(node, need, picked + stopping) else None


def _list_stopping(world, node, chosen):
    rows = (world.state.jobs.find(job_id) for job_id in node.charges)
    return [
        row
        for row in rows
        if row is not None
        and (row.state in STOPPING_STATES or row.id in chosen)
    ]


def _fits_without(node, need, rows):
    capacity = node.row.capacity
    freed = [node.charges[row.id].need for row in rows]
    limits = (
        ('slots', capacity.slots - node.reserve),
        ('cpu', capacity.cpu + 1e-6),
        ('memory_mb', capacity.memory_mb),
        ('accelerators', capacity.accelerators),
    )
    return all(
        getattr(node, name)
        - sum(getattr(each, name) for each in freed)
        + getattr(need, name)
        <= limit
        for name, limit in limits
    )
