"""Placement of tasks on backend servers: a pure function of what is known."""

import collections
import dataclasses

from bilberryhaven.commands import workflow as workflow_commands

__all__ = ['Server', 'plan_starts']

# A best-effort task is started only where this share of what it asks for is
# left over; with less it would slow down those that run there already.
MIN_LEFTOVER_SHARE = 0.7
# A server whose best-effort tasks are paced below this percentage gets no
# more of them.
MIN_SHARE_PERCENT = 100


@dataclasses.dataclass(kw_only=True, slots=True)
class Server:
    """A backend server as a place for tasks.

    Attributes:
        key: Its key.
        pool: Pool that it serves.
        rack: Its rack.
        labels: Its labels.
        cpu: Its capacity in thousandths of a core.
        memory_mb: Its memory in MB.
        gpu: Its accelerators.
        open: Whether it may be given new tasks.
        doubtful: Whether it has failed of late.
        proven: Whether a task has ended well there since its last failure.
        share: Percentage at which its best-effort tasks may work.
        speed: Speed of its work relative to others; 1 is normal.
        used_cpu: Thousandths of a core that its tasks have claimed.
        used_memory_mb: Memory that its tasks have claimed.
        used_gpu: Accelerators that its tasks have claimed.
        leftover_used: Thousandths of a core that best-effort tasks want.
        held: Tasks that it holds, by group.
    """

    key: str
    pool: str
    rack: str = ''
    labels: frozenset = frozenset()
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    open: bool = True
    doubtful: bool = False
    proven: bool = True
    share: int = 100
    speed: float = 1.0
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    leftover_used: int = 0
    held: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(int)
    )

    @property
    def leftover(self):
        """Thousandths of a core that nobody wants."""
        return self.cpu - self.used_cpu - self.leftover_used

    def claim(self, step, group):
        """Count one task of ``step`` as present."""
        self.used_memory_mb += step.memory_mb
        self.used_gpu += step.gpu
        if step.best_effort:
            self.leftover_used += step.cpu
        else:
            self.used_cpu += step.cpu
        self.held[group] += 1

    def release(self, step, group):
        """Undo ``claim``."""
        self.used_memory_mb -= step.memory_mb
        self.used_gpu -= step.gpu
        if step.best_effort:
            self.leftover_used -= step.cpu
        else:
            self.used_cpu -= step.cpu
        self.held[group] -= 1

    def has_room(self, step):
        """Return whether one more task of ``step`` fits in its capacity."""
        if self.used_memory_mb + step.memory_mb > self.memory_mb:
            return False
        if self.used_gpu + step.gpu > self.gpu:
            return False
        return step.best_effort or self.used_cpu + step.cpu <= self.cpu


def plan_starts(groups, servers):
    """Decide which tasks to start and where.

    Args:
        groups: The ``Group`` rows that may start.
        servers: The ``Server`` rows; what is placed is claimed there.

    Returns:
        The ``RunStart`` rows, most urgent first.
    """
    starts = []
    by_pool = collections.defaultdict(list)
    for server in servers:
        if server.open:
            by_pool[server.pool].append(server)
    for group in sorted(groups, key=rank_group):
        starts.extend(_place_group(group, by_pool[group.row.pool]))
    return starts


def rank_group(group):
    """Return the sort key of a group; the lowest is placed first."""
    return (group.row.priority, group.due_at, group.row.id, group.index)


def _place_group(group, servers):
    step = group.step
    servers = [item for item in servers if _is_eligible(item, step)]
    if not servers:
        return []
    if step.rack_local:
        servers = _choose_rack(group, servers)
    number = 1 + max(group.row.find_task(key).last_run for key in group.keys)
    name = (group.row.id, group.occurrence, group.index)
    placed = []
    for key in group.keys:
        task = group.row.find_task(key)
        server = _choose_server(step, name, task, servers)
        if server is None:
            if step.gang:
                for _, claimed in placed:
                    claimed.release(step, name)
                return []
            if not task.failures:
                break
            continue
        server.claim(step, name)
        placed.append((key, server))
    return [
        workflow_commands.RunStart(
            group.row.id,
            key,
            number if step.gang else group.row.find_task(key).last_run + 1,
            server.key,
        )
        for key, server in placed
    ]


def _is_eligible(server, step):
    return not step.required_label or step.required_label in server.labels


def _choose_rack(group, servers):
    """Return the servers of the rack that holds most of the tasks."""
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
            server.leftover
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


def _choose_server(step, name, task, servers):
    best = None
    best_cost = None
    for server in servers:
        if not server.has_room(step):
            continue
        if 0 < step.max_per_backend <= server.held[name]:
            continue
        if step.best_effort and not _has_leftover(server, step):
            continue
        cost = _estimate_cost(server, step, task)
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best


def _has_leftover(server, step):
    if server.share < MIN_SHARE_PERCENT:
        return False
    if not server.leftover_used and not server.used_cpu:
        return True
    return server.leftover >= step.cpu * MIN_LEFTOVER_SHARE


def _estimate_cost(server, step, task):
    fragile = task.failures > 0
    load = server.used_cpu + server.leftover_used
    return (
        server.key in task.failed_on,
        fragile and not server.proven,
        server.doubtful,
        bool(step.data_rack) and server.rack != step.data_rack,
        load / max(server.cpu, 1) / server.speed,
    )
