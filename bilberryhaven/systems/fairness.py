"""Weighted fair order in which workloads are placed.

The team that holds the fewest slots relative to its weight is served next.
Every ``EARLIEST_DUE_EVERY``-th placement instead goes to the job with the
earliest due time of any team, so that no team's backlog starves. Urgent jobs
precede all others.
"""

import heapq

from bilberryhaven.systems import backlog as backlogs

__all__ = ['FairOrder']

EARLIEST_DUE_EVERY = 4


class FairOrder:
    """Priority queues of the workloads with pending jobs in one tick.

    Args:
        state: The replicated tables.
        fleet: The ``Fleet``, whose ``used`` changes as jobs are placed.
        backlog: The ``Backlog``.
        placed_count: Number of placements in all earlier ticks.

    Attributes:
        placed_count: Number of placements, including those of this tick.
    """

    def __init__(self, *, state, fleet, backlog, placed_count):
        self._state = state
        self._fleet = fleet
        self._backlog = backlog
        self.placed_count = placed_count
        self._urgent = []
        self._teams = {}
        for name in backlog.list_workloads():
            self._add(name)
        self._by_share = [(self._get_share(t), t) for t in self._teams]
        heapq.heapify(self._by_share)
        self._by_due = [(heap[0], t) for t, heap in self._teams.items()]
        heapq.heapify(self._by_due)

    def _add(self, name):
        spec = self._state.workloads.find(name)
        if spec is None or spec.held:
            return
        item = (self._backlog.peek(name), name)
        if backlogs.is_urgent(spec):
            heapq.heappush(self._urgent, item)
        else:
            heapq.heappush(self._teams.setdefault(spec.team, []), item)

    def _get_share(self, team):
        row = self._state.teams.find(team)
        weight = row.weight if row is not None else 1.0
        return self._fleet.used.get(team, 0) / max(weight, 1e-6)

    def pop(self):
        """Return the name of the workload to serve next, or None.

        The workload is not returned again in this tick unless
        ``record_placement`` reports that one of its jobs was placed.
        """
        if self._urgent:
            return heapq.heappop(self._urgent)[1]
        if self.placed_count % EARLIEST_DUE_EVERY == EARLIEST_DUE_EVERY - 1:
            name = self._pop_earliest_due()
            if name is not None:
                return name
        return self._pop_lowest_share()

    def _pop_earliest_due(self):
        while self._by_due:
            item, team = heapq.heappop(self._by_due)
            heap = self._teams[team]
            if heap and heap[0] == item:
                heapq.heappop(heap)
                self._push_due(team)
                return item[1]
            if heap and heap[0] > item:
                self._push_due(team)
        return None

    def _pop_lowest_share(self):
        while self._by_share:
            share, team = heapq.heappop(self._by_share)
            heap = self._teams[team]
            if not heap:
                continue
            current = self._get_share(team)
            if current > share:
                heapq.heappush(self._by_share, (current, team))
                continue
            item = heapq.heappop(heap)
            heapq.heappush(self._by_share, (share, team))
            self._push_due(team)
            return item[1]
        return None

    def _push_due(self, team):
        heap = self._teams[team]
        if heap:
            heapq.heappush(self._by_due, (heap[0], team))

    def record_placement(self, name):
        """Count a placement of workload ``name`` and queue it again."""
        self.placed_count += 1
        if self._backlog.peek(name) is None:
            return
        spec = self._state.workloads.get(name)
        self._add(name)
        if not backlogs.is_urgent(spec):
            share = (self._get_share(spec.team), spec.team)
            heapq.heappush(self._by_share, share)
            self._push_due(spec.team)
