"""Base of the routing policies, and what they decide."""

import dataclasses
import datetime

__all__ = ['Choice', 'RoutePolicy']


@dataclasses.dataclass(kw_only=True, slots=True)
class Choice:
    """Where a request goes, and why.

    Attributes:
        target: The instance.
        wait_ms: Estimated time until its answer.
        cost_ms: That time with all penalties.
        reason: Why, for a person.
        rivals: Cost of each instance that was compared, by name.
    """

    target: object
    wait_ms: float = 0.0
    cost_ms: float = 0.0
    reason: str = ''
    rivals: dict = dataclasses.field(default_factory=dict)


class RoutePolicy:
    """Chooses among the candidates of a pool.

    Args:
        random: Source of random numbers.
    """

    def __init__(self, *, random):
        self._random = random

    def choose(self, query):
        """Return a ``Choice``, or None where no candidate is left.

        Args:
            question: The ``Question`` that is to be decided.
        """
        raise NotImplementedError


def list_candidates(query):
    """Return all candidates of a small pool; for baselines only."""
    found = query.pool
    rows = [*found.local]
    for zone in found.remote.values():
        rows += zone
    rows += found.quarantined
    return [row for row in rows if row not in query.excluded]


@dataclasses.dataclass(kw_only=True, slots=True)
class RoutingQuery:
    """A request that needs an instance.

    Attributes:
        workload: Name of its workload.
        pool: The workload's candidates.
        now: Monotonic time.
        excluded: Instances that must not be chosen.
        mean_ms: Mean service time of the workload.
        slowdowns: Factors by (service, beside, band).
    """

    workload: str
    pool: object
    now: datetime.timedelta = datetime.timedelta()
    excluded: list = dataclasses.field(default_factory=list)
    mean_ms: float = 0.0
    slowdowns: dict = dataclasses.field(default_factory=dict)
