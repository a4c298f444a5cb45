"""Baseline routing to the candidates in rotation."""

from bilberryhaven import policies
from bilberryhaven.policies import route_base

__all__ = ['RoundRobinPolicy']


@policies.register('round_robin')
class RoundRobinPolicy(route_base.RoutePolicy):
    """Selects the candidates in rotation, ordered by name."""

    def __init__(self, *, random):
        super().__init__(random=random)
        self._position = random.randrange(1000)

    def choose(self, query):
        """Return a ``Choice``, or None if there is no candidate."""
        rows = route_base.list_candidates(query)
        if not rows:
            return None
        rows.sort(key=lambda row: row.name)
        self._position += 1
        row = rows[self._position % len(rows)]
        return route_base.Choice(target=row, reason='next in turn')
