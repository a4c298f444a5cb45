"""Cost of backend servers for a task.

The functions are pure: they depend on their arguments alone.
"""

import dataclasses

from bilberryhaven.tables import workflow
from bilberryhaven.workflow import colocation
from bilberryhaven.workflow import server_speed
from bilberryhaven.workflow import warmth

__all__ = [
    'PlacementRequest',
    'can_take_best_effort',
    'estimate_cost',
    'is_eligible',
]

# Share of a best-effort task's CPU request that must be spare on a
# server; with less, it would slow down the best-effort tasks already there.
MIN_SPARE_CPU_SHARE = 0.7
# If the best-effort tasks of a server get less than this share of the CPU that
# they request, the server has no spare CPU, whatever the claims add up to.
MIN_SATISFACTION = 0.8
# A best-effort task is placed only where it may run at this share of its full
# speed; a slower task would delay its whole workflow.
MIN_SPEED_SHARE = 0.6


@dataclasses.dataclass(kw_only=True, slots=True)
class PlacementRequest:
    """A task to be placed on a server.

    Attributes:
        step: Its ``Step``.
        group: (workflow id, occurrence, step number).
        task: The ``Task``.
        rank: Rank of its workflow; lower ranks take precedence.
        starved: Whether it starts even where it interferes with others.
        separates: Whether latency-critical images get servers of their own.
    """

    step: workflow.Step
    group: tuple
    task: workflow.Task
    rank: float
    starved: bool
    separates: bool = False


def estimate_cost(server, request, effects):
    """Return the sort key of a server for a task.

    Args:
        server: The ``Server``.
        request: The ``PlacementRequest`` of the task.
        effects: The ``InterferenceEffects``.

    Returns:
        The key, lower ones are better; None if the server can't take the
        task.
    """
    step, task = request.step, request.task
    suspected = task.is_suspect
    if not server.has_capacity(step):
        return None
    if not server.accepts(request.group[0], suspected=suspected):
        return None
    if 0 < step.max_per_backend <= server.task_counts[request.group]:
        return None
    if step.best_effort:
        rating = _rate_best_effort(server, request, effects)
        if rating is None:
            return None
    else:
        rating = colocation.rate_colocation(
            server, step, separates=request.separates
        )
    return (
        # A crash of the server ends all other tasks there.
        suspected and request.group[0] not in server.suspected,
        suspected and server.task_count,
        server.key in task.failed_on,
        task.failures > 0 and not server.recent_success,
        server.suspect,
        server_speed.rate_slowness(server.speed, step),
        bool(step.data_rack) and server.rack != step.data_rack,
        warmth.compute_slow_share(step, server.warming_ms),
        *rating,
        -server.spare_cpu / max(server.cpu, 1),
    )


def _rate_best_effort(server, request, effects):
    """Return the sort key of a server for a best-effort task.

    Returns:
        The key, or None if the task would run slowly there or raise a tail
        latency too much.
    """
    step = request.step
    if not request.starved and not _has_spare_cpu(server, step):
        return None
    if not server.serving:
        return (0, 0.0)
    if server.is_interference_negligible(step, effects):
        return (1, 0.0)
    if server.probing and not request.starved:
        return None
    share = server.predict_speed_share(step, request.rank, effects)
    if share < MIN_SPEED_SHARE and not request.starved:
        return None
    return (2, -round(share, 1))


def _has_spare_cpu(server, step):
    if server.satisfaction < MIN_SATISFACTION:
        return False
    needed = step.cpu * MIN_SPARE_CPU_SHARE
    if not server.serving:
        return not server.best_effort_cpu or server.unclaimed >= needed
    return server.spare_cpu >= needed


def can_take_best_effort(server, step, rank, effects):
    """Return whether a best-effort task runs well without raising tails.

    Args:
        server: The ``Server``.
        step: The ``Step`` of the task.
        rank: Rank of its workflow; lower ranks take precedence.
        effects: The ``InterferenceEffects``.
    """
    request = PlacementRequest(
        step=step, group=(), task=workflow.Task(), rank=rank, starved=False
    )
    return _rate_best_effort(server, request, effects) is not None


def is_eligible(server, step):
    """Return whether a server has the label that a step requires."""
    return not step.required_label or step.required_label in server.labels
