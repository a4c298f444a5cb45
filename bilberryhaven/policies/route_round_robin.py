"""Baseline: candidates in turn."""

from bilberryhaven import policies
from bilberryhaven.policies import route_base

__all__ = ['RoundRobinPolicy']


@policies.register('round_robin')
class RoundRobinPolicy(route_base.RoutePolicy):
    """Chooses the candidates one after the other, by name."""

    def __init__(self, *, random):
        super().__init__(random=random)
        self._turn = random.randrange(1000)

    def choose(self, query):
        """Return a ``Choice``, or None where no candidate is left."""
        rows = route_base.list_candidates(query)
        if not rows:
            return None
        rows.sort(key=lambda row: row.name)
        self._turn += 1
        row = rows[self._turn % len(rows)]
        return route_base.Choice(target=row, reason='next in turn')
