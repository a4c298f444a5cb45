"""Order in which waiting workloads get the next free place.

Teams take turns by slots held relative to their weight; every
``OLDEST_EVERY``-th place goes to the job that is due first, whoever it
belongs to, so that no team's backlog waits for ever. Urgent jobs go before
all others.
"""

import heapq

from bilberryhaven.systems import backlog as backlogs

__all__ = ['FairOrder']

OLDEST_EVERY = 4


class FairOrder:
    """The workloads with pending jobs in one tick.

    Args:
        state: The replicated tables.
        fleet: The ``Fleet``; its ``used`` is followed as jobs are placed.
        backlog: The ``Backlog``.
        served: Number of places given so far, in all ticks.

    Attributes:
        served: The same, kept up to date.
    """

    def __init__(self, *, state, fleet, backlog, served):
        self._state = state
        self._fleet = fleet
        self._backlog = backlog
        self.served = served
        self._urgent = []
        self._teams = {}
        for name in backlog.list_workloads():
            self._add(name)
        self._by_share = [(self._get_share(t), t) for t in self._teams]
        heapq.heapify(self._by_share)
        self._by_age = [(heap[0], t) for t, heap in self._teams.items()]
        heapq.heapify(self._by_age)

    def _add(self, name):
        target = self._state.workloads.find(name)
        if target is None or target.held:
            return
        item = (self._backlog.peek(name), name)
        if backlogs.is_urgent(target):
            heapq.heappush(self._urgent, item)
        else:
            heapq.heappush(self._teams.setdefault(target.team, []), item)

    def _get_share(self, team):
        row = self._state.teams.find(team)
        weight = row.weight if row is not None else 1.0
        return self._fleet.used.get(team, 0) / max(weight, 1e-6)

    def take(self):
        """Return the name of the workload to serve next, or None.

        Call ``put_back`` once a job of it was placed; else it gets no
        further turn in this tick.
        """
        if self._urgent:
            return heapq.heappop(self._urgent)[1]
        if self.served % OLDEST_EVERY == OLDEST_EVERY - 1:
            name = self._take_oldest()
            if name is not None:
                return name
        return self._take_fairest()

    def _take_oldest(self):
        while self._by_age:
            item, team = heapq.heappop(self._by_age)
            heap = self._teams[team]
            if heap and heap[0] == item:
                heapq.heappop(heap)
                self._push_age(team)
                return item[1]
            if heap and heap[0] > item:
                self._push_age(team)
        return None

    def _take_fairest(self):
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
            self._push_age(team)
            return item[1]
        return None

    def _push_age(self, team):
        heap = self._teams[team]
        if heap:
            heapq.heappush(self._by_age, (heap[0], team))

    def put_back(self, name):
        """Count a place given to ``name`` and let it have further ones."""
        self.served += 1
        if self._backlog.peek(name) is None:
            return
        target = self._state.workloads.get(name)
        self._add(name)
        if not backlogs.is_urgent(target):
            share = (self._get_share(target.team), target.team)
            heapq.heappush(self._by_share, share)
            self._push_age(target.team)
