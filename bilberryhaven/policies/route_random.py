"""Baseline: any candidate, at random."""

from bilberryhaven import policies
from bilberryhaven.policies import route_base

__all__ = ['RandomPolicy']


@policies.register('random')
class RandomPolicy(route_base.RoutePolicy):
    """Chooses each candidate with the same probability."""

    def choose(self, query):
        """Return a ``Choice``, or None where no candidate is left."""
        rows = route_base.list_candidates(query)
        if not rows:
            return None
        row = self._random.choice(rows)
        return route_base.Choice(target=row, reason='random')
