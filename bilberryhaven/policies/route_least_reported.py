"""Baseline routing to the candidate with the least reported load."""

from bilberryhaven import policies
from bilberryhaven.policies import route_base

__all__ = ['LeastReportedPolicy']


@policies.register('least_reported')
class LeastReportedPolicy(route_base.RoutePolicy):
    """Selects the candidate whose latest report shows the least load."""

    def choose(self, query):
        """Return a ``Choice``, or None if there is no candidate."""
        rows = route_base.list_candidates(query)
        if not rows:
            return None
        self._random.shuffle(rows)
        row = min(rows, key=lambda row: row.used / max(row.slots, 1))
        return route_base.Choice(target=row, reason='least reported load')
