"""Choice of the backend servers of a step's tasks in one round."""

import heapq
import zlib

from bilberryhaven.workflow import colocation
from bilberryhaven.workflow import server_cost

__all__ = ['ServerChooser']

# Servers that are compared for a step whose tasks run equally well anywhere.
MAX_SAMPLE = 160


class ServerChooser:
    """Chooses the servers of a step's tasks and claims their resources.

    Args:
        group: The ``Group``.
        servers: The ``Server`` rows.
        effects: The ``InterferenceEffects``.
        starved: Whether the first task starts even where it interferes with
            others.
        max_suspected: Number of servers that may be kept for suspected tasks.

    Attributes:
        group: (workflow id, occurrence, step number).
    """

    def __init__(self, *, group, servers, effects, starved, max_suspected):
        self.group = (group.row.id, group.occurrence, group.index)
        self._step = group.step
        self._rank = group.rank
        self._servers = servers
        self._effects = effects
        self._starved = starved
        self._ranking = None
        self._max_suspected = max_suspected
        self._separates = colocation.separates_images(servers, group.step)

    def choose(self, task):
        """Return the server on which ``task`` was placed, or None."""
        request = server_cost.PlacementRequest(
            step=self._step,
            group=self.group,
            task=task,
            rank=self._rank,
            starved=self._starved,
            separates=self._separates,
        )
        if task.is_suspect:
            self._ranking = None
            server = self._choose_apart(request)
        elif self._starved or task.failures:
            # The cost depends on the task, and the placement would make the
            # ranking outdated.
            self._ranking = None
            server = _choose_server(request, self._servers, self._effects)
        else:
            if self._ranking is None:
                self._ranking = _ServerRanking(
                    request, self._servers, self._effects
                )
            server = self._ranking.take()
        self._starved = False
        if server is not None:
            _claim(server, request, self._effects)
            if self._ranking is not None:
                self._ranking.put_back(server)
        return server

    def _choose_apart(self, request):
        """Return a server for a task that is suspected of a crash, or None.

        If none is ready for it, one is reserved until it is.
        """
        workflow_id = self.group[0]
        servers = self._servers
        kept = [server for server in servers if server.suspected]
        if len(kept) >= self._max_suspected and not self._step.gang:
            servers = [row for row in kept if workflow_id in row.suspected]
        server = _choose_server(request, servers, self._effects)
        if server is None:
            waiting = [
                row
                for row in servers
                if row.accepts(workflow_id, suspected=False)
                and row.has_capacity(self._step)
            ]
            if waiting:
                best = min(
                    waiting,
                    key=lambda row: (len(row.fresh), row.task_count, row.key),
                )
                best.reserve(workflow_id)
        return server


def _claim(server, request, effects):
    step = request.step
    server.claim(step, request.group)
    suspected = request.task.is_suspect
    server.add_fresh(request.group[0], suspected=suspected)
    if step.best_effort and server.serving:
        server.probing |= not server.is_interference_known(step, effects)
        server.add_best_effort_run(step, request.rank, effects)


class _ServerRanking:
    """Servers that can take a task that has never failed, cheapest first.

    A placement changes the cost of its own server only, so the other servers
    keep their positions from one task of a step to the next. In a large fleet
    only a sample of the servers is compared, and the next ones when none of
    them can take a task.

    Args:
        request: The ``PlacementRequest`` of one of the tasks.
        servers: The ``Server`` rows.
        effects: The ``InterferenceEffects``.
    """

    def __init__(self, request, servers, effects):
        self._request = request
        self._effects = effects
        self._taken = None
        self._heap = []
        self._remaining = list(enumerate(servers))
        if len(servers) > MAX_SAMPLE and not _needs_all_servers(request.step):
            # Different workflows start with different servers.
            start = zlib.crc32(repr(request.group).encode()) % len(servers)
            self._remaining = [
                *self._remaining[start:],
                *self._remaining[:start],
            ]
            self._sample_size = MAX_SAMPLE
        else:
            self._sample_size = len(servers)

    def take(self):
        """Return the cheapest server and remove it; None if there is none."""
        while not self._heap and self._remaining:
            self._add_sample()
        if not self._heap:
            return None
        _, self._taken, server = heapq.heappop(self._heap)
        return server

    def _add_sample(self):
        sample = self._remaining[: self._sample_size]
        del self._remaining[: self._sample_size]
        for position, server in sample:
            cost = server_cost.estimate_cost(
                server, self._request, self._effects
            )
            if cost is not None:
                self._heap.append((cost, position, server))
        heapq.heapify(self._heap)

    def put_back(self, server):
        """Add the server taken last again, if it can take another task."""
        cost = server_cost.estimate_cost(server, self._request, self._effects)
        if cost is not None:
            heapq.heappush(self._heap, (cost, self._taken, server))


def _needs_all_servers(step):
    """Return whether the choice of a server matters beyond its spare CPU."""
    return bool(step.target_ms or step.data_rack or step.rack_local)


def _choose_server(request, servers, effects):
    """Return the cheapest server that can take a task, or None."""
    best = None
    best_cost = None
    for server in servers:
        cost = server_cost.estimate_cost(server, request, effects)
        if cost is not None and (best is None or cost < best_cost):
            best, best_cost = server, cost
    return best
