"""Base class of the routing policies, with their input and output."""

import dataclasses
import datetime

__all__ = ['Choice', 'RoutePolicy']


@dataclasses.dataclass(kw_only=True, slots=True)
class Choice:
    """The instance selected for a request, with the reason.

    Attributes:
        target: The instance.
        wait_ms: Estimated time until its answer, in milliseconds.
        cost_ms: That time including all penalties.
        reason: Human-readable reason.
        rivals: Cost of each instance that was compared, by name.
    """

    target: object
    wait_ms: float = 0.0
    cost_ms: float = 0.0
    reason: str = ''
    rivals: dict = dataclasses.field(default_factory=dict)


class RoutePolicy:
    """Base class; a policy selects among the candidates of a pool.

    Args:
        random: Source of random numbers.
    """

    def __init__(self, *, random):
        self._random = random

    def choose(self, query):
        """Return a ``Choice``, or None if there is no candidate.

        Args:
            query: The ``RoutingQuery`` to decide.
        """
        raise NotImplementedError


def list_candidates(query):
    """Return all candidates of a pool.

    Only for baselines: the time taken grows with the size of the pool.
    """
    found = query.pool
    rows = [*found.local]
    for zone in found.remote.values():
        rows += zone
    rows += found.quarantined
    return [row for row in rows if row not in query.excluded]


@dataclasses.dataclass(kw_only=True, slots=True)
class RoutingQuery:
    """A request to be routed to an instance.

    Attributes:
        workload: Name of its workload.
        pool: Candidates for the workload.
        now: Monotonic time.
        excluded: Instances that must not be selected.
        mean_ms: Mean service time of the workload, in milliseconds.
        slowdowns: Latency factors by (service, co-located workload, load
            band).
    """

    workload: str
    pool: object
    now: datetime.timedelta = datetime.timedelta()
    excluded: list = dataclasses.field(default_factory=list)
    mean_ms: float = 0.0
    slowdowns: dict = dataclasses.field(default_factory=dict)
