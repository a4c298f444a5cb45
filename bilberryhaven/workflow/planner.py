"""Placement of tasks on backend servers.

The functions are pure: they depend on their arguments alone.
"""

import collections
import dataclasses
import heapq
import zlib

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.overload import precedence
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import candidate

__all__ = ['can_take_best_effort', 'is_eligible', 'plan_starts']

# Share of a best-effort task's CPU request that must be spare on a
# server; with less, it would slow down the best-effort tasks already there.
MIN_SPARE_CPU_SHARE = 0.7
# If the best-effort tasks of a server get less than this share of the CPU that
# they request, the server has no spare CPU, whatever the claims add up to.
MIN_SATISFACTION = 0.8
# A best-effort task is placed only where it may run at this share of its full
# speed; a slower task would delay its whole workflow.
MIN_SPEED_SHARE = 0.6
# A best-effort workflow without any run waits at most this long for spare CPU
# while less than this share of the pool's CPU and of its memory is claimed.
MAX_SPARE_CPU_WAIT_S = 1.5
LOW_POOL_UTILISATION = 0.5
# Servers that are compared for a step whose tasks run equally well anywhere.
MAX_SAMPLE = 160
# Share of a pool's servers that are kept for tasks suspected of crashes: while
# other tasks wait, and once these have been placed.
SUSPECTED_SHARE = 1 / 2
MAX_SUSPECTED_SHARE = 2 / 3


def plan_starts(groups, servers, now, effects=None):
    """Decide which tasks to start and where.

    Args:
        groups: The ``Group`` rows that may start.
        servers: The ``Server`` rows; placed tasks are claimed on them.
        now: Unix time in seconds.
        effects: The ``InterferenceEffects``; None assumes no interference.

    Returns:
        The ``RunStart`` rows, most urgent first.
    """
    effects = effects or candidate.InterferenceEffects()
    starts = []
    by_pool = collections.defaultdict(list)
    for server in servers:
        if server.open:
            by_pool[server.pool].append(server)
    refusals = _Refusals()
    suspected, others = _split_suspects(sorted(groups, key=rank_group))
    # Suspected tasks need servers on which nothing has just been started, so
    # later in the round they would find none.
    for batch, share in (
        (suspected, SUSPECTED_SHARE),
        (others, 0.0),
        (suspected, MAX_SUSPECTED_SHARE),
    ):
        for group in batch:
            if not group.keys:
                continue
            servers = by_pool[group.row.pool]
            limit = max(1, int(len(servers) * share))
            placed = _place_group(
                group, servers, now, effects, refusals, limit
            )
            starts.extend(placed)
            if batch is suspected:
                _remove_placed(group, placed)
    return starts


def _remove_placed(group, starts):
    placed = {start.task for start in starts}
    group.keys = [key for key in group.keys if key not in placed]


def _split_suspects(groups):
    """Return groups of tasks suspected of crashes, and of all others.

    Gangs are not divided.
    """
    suspected, others = [], []
    for group in groups:
        keys = _list_suspects(group)
        if not keys:
            others.append(group)
            continue
        if group.step.gang:
            keys = group.keys
        rest = [key for key in group.keys if key not in keys]
        suspected.append(dataclasses.replace(group, keys=keys))
        if rest:
            others.append(dataclasses.replace(group, keys=rest))
    return suspected, others


def _list_suspects(group):
    if not group.row.started:
        return []
    tasks = group.row.tasks
    return [
        key for key in group.keys if key in tasks and tasks[key].suspected_on
    ]


class _Refusals:
    """Tasks that fit on no server in the current round.

    Placements only reduce what is left for later groups, so a task that needs
    as much as a refused one doesn't fit either.
    """

    def __init__(self):
        self._smallest = collections.defaultdict(list)

    def add(self, group):
        """Record that a task of ``group`` fits on no server."""
        step = group.step
        limited = step.rack_local or step.max_per_backend
        if not limited:
            key = _build_refusal_key(group)
            self._smallest[key].append((step.cpu, step.memory_mb, step.gpu))

    def include(self, group):
        """Return whether tasks of ``group`` certainly fit on no server."""
        step = group.step
        return any(
            step.cpu >= cpu and step.memory_mb >= memory_mb and step.gpu >= gpu
            for cpu, memory_mb, gpu in self._smallest[
                _build_refusal_key(group)
            ]
        )


def _build_refusal_key(group):
    """Return what tasks have in common that are refused alike."""
    step = group.step
    return (
        group.row.pool,
        step.required_label,
        step.best_effort and (step.image, group.row.priority),
    )


def rank_group(group):
    """Return the sort key of a group; lower keys are placed first."""
    row = group.row
    key = precedence.build_sort_key(row.priority, group.rank)
    return (*key, row.id, group.index)


def _place_group(group, servers, now, effects, refusals, max_suspected):
    step = group.step
    starved = _is_starved(group, servers, now)
    suspected = bool(_list_suspects(group))
    if refusals.include(group) and not starved and not suspected:
        return []
    servers = [item for item in servers if is_eligible(item, step)]
    if not servers:
        return []
    if step.rack_local:
        servers = _choose_rack(group, servers)
    placed = []
    chooser = _ServerChooser(
        group,
        servers,
        effects,
        starved=starved,
        max_suspected=max_suspected,
    )
    for key in group.keys:
        task = group.row.find_task(key)
        server = chooser.choose(task)
        if server is not None:
            placed.append((key, server))
            continue
        if not placed and not starved and not suspected:
            refusals.add(group)
        if step.gang:
            for _, claimed in placed:
                claimed.release(step, chooser.group)
            return []
        if not task.failures:
            break
    return _build_starts(group, placed)


class _ServerChooser:
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

    def __init__(self, group, servers, effects, *, starved, max_suspected):
        self.group = (group.row.id, group.occurrence, group.index)
        self._step = group.step
        self._rank = group.rank
        self._servers = servers
        self._effects = effects
        self._starved = starved
        self._ranking = None
        self._max_suspected = max_suspected

    def choose(self, task):
        """Return the server on which ``task`` was placed, or None."""
        request = PlacementRequest(
            step=self._step,
            group=self.group,
            task=task,
            rank=self._rank,
            starved=self._starved,
        )
        if task.suspected_on:
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
    suspected = bool(request.task.suspected_on)
    server.add_fresh(request.group[0], suspected=suspected)
    if step.best_effort and server.serving:
        server.probing |= not server.is_interference_negligible(step, effects)
        server.add_best_effort_run(step, request.rank, effects)


def _build_starts(group, placed):
    row = group.row
    gang_number = 0
    if group.step.gang:
        # All members of a gang have the same number.
        gang_number = 1 + max(
            row.find_task(key).last_run for key in group.keys
        )
    return [
        workflow_commands.RunStart(
            row.id,
            key,
            gang_number or row.find_task(key).last_run + 1,
            server.key,
        )
        for key, server in placed
    ]


def _is_starved(group, servers, now):
    """Return whether a best-effort workflow waits in a pool of low load."""
    if not group.step.best_effort or group.row.list_runs():
        return False
    if now - group.due_at < MAX_SPARE_CPU_WAIT_S:
        return False
    cpu = sum(server.cpu for server in servers)
    memory_mb = sum(server.memory_mb for server in servers)
    used_cpu = sum(server.used_cpu for server in servers)
    used_memory_mb = sum(server.used_memory_mb for server in servers)
    return (
        used_cpu < LOW_POOL_UTILISATION * cpu
        and used_memory_mb < LOW_POOL_UTILISATION * memory_mb
    )


def is_eligible(server, step):
    """Return whether a server has the label that a step requires."""
    return not step.required_label or step.required_label in server.labels


def _choose_rack(group, servers):
    """Return the servers of the rack that fits most of the tasks."""
    racks = collections.defaultdict(list)
    for server in servers:
        racks[server.rack].append(server)

    def count(rack):
        fits = sum(_count_fitting(server, group.step) for server in rack)
        local = rack[0].rack == group.step.data_rack
        return (min(fits, len(group.keys)), local, fits)

    return max(racks.values(), key=count)


def _count_fitting(server, step):
    counts = []
    if step.cpu:
        free = (
            server.spare_cpu
            if step.best_effort
            else (server.cpu - server.used_cpu)
        )
        counts.append(max(0, free) // step.cpu)
    if step.memory_mb:
        free = server.memory_mb - server.used_memory_mb
        counts.append(max(0, free) // step.memory_mb)
    if step.gpu:
        counts.append(max(0, server.gpu - server.used_gpu) // step.gpu)
    return min(counts, default=step.tasks)


@dataclasses.dataclass(kw_only=True, slots=True)
class PlacementRequest:
    """A task to be placed on a server.

    Attributes:
        step: Its ``Step``.
        group: (workflow id, occurrence, step number).
        task: The ``Task``.
        rank: Rank of its workflow; lower ranks take precedence.
        starved: Whether it starts even where it interferes with others.
    """

    step: workflow.Step
    group: tuple
    task: workflow.Task
    rank: float
    starved: bool


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
            cost = _estimate_cost(server, self._request, self._effects)
            if cost is not None:
                self._heap.append((cost, position, server))
        heapq.heapify(self._heap)

    def put_back(self, server):
        """Add the server taken last again, if it can take another task."""
        cost = _estimate_cost(server, self._request, self._effects)
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
        cost = _estimate_cost(server, request, effects)
        if cost is not None and (best is None or cost < best_cost):
            best, best_cost = server, cost
    return best


def _estimate_cost(server, request, effects):
    """Return the sort key of a server for a task.

    Returns:
        The key, lower ones are better; None if the server can't take the
        task.
    """
    step, task = request.step, request.task
    suspected = bool(task.suspected_on)
    if not server.has_capacity(step):
        return None
    if not server.accepts(request.group[0], suspected=suspected):
        return None
    if 0 < step.max_per_backend <= server.task_counts[request.group]:
        return None
    if step.best_effort:
        colocation = _rate_best_effort(server, request, effects)
        if colocation is None:
            return None
    else:
        colocation = _rate_colocation(server, step)
    return (
        # A crash of the server ends all other tasks there.
        suspected and request.group[0] not in server.suspected,
        suspected and server.task_count,
        server.key in task.failed_on,
        task.failures > 0 and not server.recent_success,
        server.suspect,
        bool(step.data_rack) and server.rack != step.data_rack,
        *colocation,
        -server.spare_cpu / max(server.cpu, 1),
    )


def _rate_colocation(server, step):
    """Return the sort key of a server by the tasks that run there.

    How much a best-effort task interferes with a latency-critical one depends
    on the pair of their images. So latency-critical tasks are packed on few
    servers, a best-effort task is placed where there are none or where it is
    known to raise no tail, and other tasks fill up the servers that
    best-effort tasks avoid.
    """
    best_effort_share = round(server.best_effort_cpu / max(server.cpu, 1), 1)
    if step.target_ms:
        return (best_effort_share, -server.serving_cpu)
    return (not server.serving, best_effort_share)


def _rate_best_effort(server, request, effects):
    """Return the sort key of a server for a best-effort task.

    Returns:
        The key, or None if the task would run slowly there or raise a tail
        latency too much.
    """
    step = request.step
    if not request.starved and not _has_spare_cpu(server, step):
        return None
    if not server.serving:
        return (0, 0.0)
    if server.is_interference_negligible(step, effects):
        return (1, 0.0)
    if server.probing and not request.starved:
        return None
    share = server.predict_speed_share(step, request.rank, effects)
    if share < MIN_SPEED_SHARE and not request.starved:
        return None
    return (2, -round(share, 1))


def _has_spare_cpu(server, step):
    if server.satisfaction < MIN_SATISFACTION:
        return False
    needed = step.cpu * MIN_SPARE_CPU_SHARE
    if not server.serving:
        return not server.best_effort_cpu or server.unclaimed >= needed
    return server.spare_cpu >= needed


def can_take_best_effort(server, step, rank, effects):
    """Return whether a best-effort task runs well without raising tails.

    Args:
        server: The ``Server``.
        step: The ``Step`` of the task.
        rank: Rank of its workflow; lower ranks take precedence.
        effects: The ``InterferenceEffects``.
    """
    request = PlacementRequest(
        step=step, group=(), task=workflow.Task(), rank=rank, starved=False
    )
    return _rate_best_effort(server, request, effects) is not None
