"""Baseline: the least load that was reported."""

from bilberryhaven import policies
from bilberryhaven.policies import route_base

__all__ = ['LeastReportedPolicy']


@policies.register('least_reported')
class LeastReportedPolicy(route_base.RoutePolicy):
    """Chooses the candidate whose newest report shows the least load."""

    def choose(self, query):
        """Return a ``Choice``, or None where no candidate is left."""
        rows = route_base.list_candidates(query)
        if not rows:
            return None
        self._random.shuffle(rows)
        row = min(rows, key=lambda row: row.used / max(row.slots, 1))
        return route_base.Choice(target=row, reason='least reported load')
