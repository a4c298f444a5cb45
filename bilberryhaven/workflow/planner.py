"""Placement of tasks on backend servers.

The functions are pure: they depend on their arguments alone.
"""

import collections
import dataclasses

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.overload import precedence
from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import server_choice
from bilberryhaven.workflow import server_cost

__all__ = ['plan_starts', 'rank_group']

# A best-effort workflow without any run waits at most this long for spare CPU
# while less than this share of the pool's CPU and of its memory is claimed.
MAX_SPARE_CPU_WAIT_S = 1.5
LOW_POOL_UTILISATION = 0.5
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
        key for key in group.keys if key in tasks and tasks[key].is_suspect
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
    """Return the sort key of a group; lower keys are placed first.

    Args:
        group: The ``Group``.
    """
    row = group.row
    key = precedence.build_sort_key(row.priority, group.rank)
    return (*key, row.id, group.index)


def _place_group(group, servers, now, effects, refusals, max_suspected):
    step = group.step
    starved = _is_starved(group, servers, now)
    suspected = bool(_list_suspects(group))
    if refusals.include(group) and not starved and not suspected:
        return []
    servers = [item for item in servers if server_cost.is_eligible(item, step)]
    if not servers:
        return []
    if step.rack_local:
        servers = _choose_rack(group, servers)
    placed = []
    chooser = server_choice.ServerChooser(
        group=group,
        servers=servers,
        effects=effects,
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
