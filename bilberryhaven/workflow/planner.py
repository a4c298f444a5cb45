"""Placement of tasks on backend servers: a pure function of what is known."""

import collections
import dataclasses

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow

__all__ = ['InterferenceEffects', 'Server', 'list_relocations', 'plan_starts']

# A best-effort task is started only where this share of what it asks for is
# left over; with less it would slow down those that run there already.
MIN_SPARE_CPU_SHARE = 0.7
# Share of their claim that tasks which serve users work at; the rest is left
# over for others.
SERVING_LOAD = 0.55
# Best-effort tasks that get less than this share of what they ask for show
# that nothing is left over, whatever the claims say.
MIN_SATISFACTION = 0.8
# A best-effort task goes only where it may work at this share of its speed:
# elsewhere it would hold its workflow up.
MIN_SPEED_SHARE = 0.6
# A best-effort task that costs less headroom than this isn't kept away.
NEGLIGIBLE_EFFECT = 0.08
# Headroom that a placement must leave; more than the pacing keeps, since the
# load of tasks that serve users swings.
MIN_HEADROOM = 1.5
# A tail below this share of its target leaves room for anything.
MIN_TAIL_RATIO = 0.01
# Effects on tails are counted for each tenth of a server.
TENTHS_PER_SERVER = 10
# A run that saves no progress is moved only before this percentage: with less
# than half done, starting anew at full speed ends sooner than waiting does.
MAX_LOST_PERCENT = 50
# A workflow with nothing running waits no longer than this for processor
# time that is left over, as long as the pool is not half full.
MAX_SPARE_CPU_WAIT_S = 1.5
LOW_POOL_UTILISATION = 0.5


class InterferenceEffects:
    """Effects of best-effort images on tails; this base knows of none."""

    def get_effect(self, serving, image):
        """Return the loss of headroom by a tenth of a server."""
        return 0.0

    def is_known(self, serving, image):
        """Return whether the effect was observed often enough."""
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class BestEffortRun:
    """A best-effort run that works on a server.

    Attributes:
        image: What it runs.
        tenths: Tenths of the server that it uses.
        rank: Lower ones come first.
    """

    image: str
    tenths: float
    rank: float


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
        trying: Whether a best-effort task has just been started there of
            which it isn't known whether it raises a tail.
        speed: Speed of its work relative to others; 1 is normal.
        used_cpu: Thousandths of a core that its tasks have claimed.
        used_memory_mb: Memory that its tasks have claimed.
        used_gpu: Accelerators that its tasks have claimed.
        best_effort_cpu: Thousandths of a core that best-effort tasks want.
        serving: Thousandths of a core of the tasks that serve users, by
            their image.
        satisfaction: Share of what they ask for that its best-effort tasks
            get.
        tails: (image, share of the target that its tail has reached) pairs
            of the tasks that serve users.
        fillers: The ``Filler`` rows of its best-effort runs.
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
    suspect: bool = False
    recent_success: bool = True
    probing: bool = False
    speed: float = 1.0
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    best_effort_cpu: int = 0
    serving: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(int)
    )
    satisfaction: float = 1.0
    tails: list = dataclasses.field(default_factory=list)
    best_effort_runs: list = dataclasses.field(default_factory=list)
    task_counts: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(int)
    )

    @property
    def serving_cpu(self):
        """Thousandths of a core of all tasks that serve users."""
        return sum(self.serving.values())

    @property
    def unclaimed(self):
        """Thousandths of a core that nobody asks for."""
        return self.cpu - self.used_cpu - self.best_effort_cpu

    @property
    def spare_cpu(self):
        """Thousandths of a core that nobody works on."""
        idle = (1 - SERVING_LOAD) * self.serving_cpu
        return self.unclaimed + idle

    def is_interference_negligible(self, step, effects):
        """Return whether a best-effort task surely raises no tail here."""
        weight = step.cpu / max(self.cpu, 1) * TENTHS_PER_SERVER
        return all(
            effects.is_known(image, step.image)
            and weight * effects.get_effect(image, step.image)
            <= NEGLIGIBLE_EFFECT
            for image in self.serving
        )

    def predict_speed_share(self, step, rank, effects):
        """Return how fast one more best-effort task of ``step`` may work.

        Args:
            step: The ``Step``.
            rank: Rank of its workflow; later ones give way to it.
            effects: The ``Effects``.

        Returns:
            The share of its speed, 0 to 1, that keeps all tails low enough.
        """
        weight = step.cpu / max(self.cpu, 1) * TENTHS_PER_SERVER
        pace = 1.0
        for image, tail in self.tails:
            effect = weight * effects.get_effect(image, step.image)
            if effect <= NEGLIGIBLE_EFFECT:
                continue
            room = 1 / max(tail, MIN_TAIL_RATIO) - MIN_HEADROOM
            room += sum(
                filler.tenths * effects.get_effect(image, filler.image)
                for filler in self.best_effort_runs
                if filler.rank > rank
            )
            pace = min(pace, room / effect)
        return max(0.0, pace)

    def add_best_effort_run(self, step, rank, effects):
        """Count one best-effort task as working until it is measured."""
        weight = step.cpu / max(self.cpu, 1) * TENTHS_PER_SERVER
        raised = []
        for image, tail in self.tails:
            effect = weight * effects.get_effect(image, step.image)
            headroom = 1 / max(tail, MIN_TAIL_RATIO) - effect
            raised.append((image, 1 / max(headroom, MIN_TAIL_RATIO)))
        self.tails = raised
        self.best_effort_runs.append(
            BestEffortRun(image=step.image, tenths=weight, rank=rank)
        )

    def claim(self, step, group):
        """Count one task of ``step`` as present."""
        self._count(step, group, 1)

    def release(self, step, group):
        """Undo ``claim``."""
        self._count(step, group, -1)

    def _count(self, step, group, sign):
        self.used_memory_mb += sign * step.memory_mb
        self.used_gpu += sign * step.gpu
        if step.best_effort:
            self.best_effort_cpu += sign * step.cpu
        else:
            self.used_cpu += sign * step.cpu
        if step.target_ms:
            self.serving[step.image] += sign * step.cpu
            if not self.serving[step.image]:
                del self.serving[step.image]
        self.task_counts[group] += sign

    def has_room(self, step):
        """Return whether one more task of ``step`` fits in its capacity."""
        if self.used_memory_mb + step.memory_mb > self.memory_mb:
            return False
        if self.used_gpu + step.gpu > self.gpu:
            return False
        return step.best_effort or self.used_cpu + step.cpu <= self.cpu


def plan_starts(groups, servers, now, effects=None):
    """Decide which tasks to start and where.

    Args:
        groups: The ``Group`` rows that may start.
        servers: The ``Server`` rows; what is placed is claimed there.
        now: Unix time in seconds.
        effects: ``Effects`` of best-effort images on tails; without them
            there are none.

    Returns:
        The ``RunStart`` rows, most urgent first.
    """
    effects = effects or InterferenceEffects()
    starts = []
    by_pool = collections.defaultdict(list)
    for server in servers:
        if server.open:
            by_pool[server.pool].append(server)
    for group in sorted(groups, key=rank_group):
        servers = by_pool[group.row.pool]
        starts.extend(_place_group(group, servers, now, effects))
    return starts


def rank_group(group):
    """Return the sort key of a group; the lowest is placed first."""
    row = group.row
    due_at = group.rank if group.step.best_effort else group.due_at
    return (row.priority, due_at, row.id, group.index)


def _place_group(group, servers, now, effects):
    step = group.step
    servers = [item for item in servers if _is_eligible(item, step)]
    if not servers:
        return []
    if step.rack_local:
        servers = _choose_rack(group, servers)
    number = 1 + max(group.row.find_task(key).last_run for key in group.keys)
    name = (group.row.id, group.occurrence, group.index)
    starved = _is_starved(group, servers, now)
    placed = []
    for key in group.keys:
        task = group.row.find_task(key)
        request = PlacementRequest(
            step=step,
            group=name,
            task=task,
            rank=group.rank,
            starved=starved,
        )
        server = _choose_server(request, servers, effects)
        starved = False
        if server is None:
            if step.gang:
                for _, claimed in placed:
                    claimed.release(step, name)
                return []
            if not task.failures:
                break
            continue
        server.claim(step, name)
        if step.best_effort and server.serving:
            server.probing |= not server.is_interference_negligible(
                step, effects
            )
            server.add_best_effort_run(step, group.rank, effects)
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


def _is_starved(group, servers, now):
    """Return whether a best-effort workflow waits though there is room."""
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
    """A task that a server is looked for.

    Attributes:
        step: Its ``Step``.
        group: (workflow id, occurrence, step number).
        task: The ``Task``.
        rank: Lower ones come first.
        starved: Whether it starts even where it disturbs others.
    """

    step: workflow.Step
    group: tuple
    task: workflow.Task
    rank: float
    starved: bool


def _choose_server(request, servers, effects):
    best = None
    best_cost = None
    step = request.step
    for server in servers:
        if not server.has_room(step):
            continue
        if 0 < step.max_per_backend <= server.task_counts[request.group]:
            continue
        avoids_interference = step.best_effort and not request.starved
        if avoids_interference and not _can_take_best_effort(
            server, step, request.rank, effects
        ):
            continue
        cost = _estimate_cost(server, request, effects)
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best


def _can_take_best_effort(server, step, rank, effects):
    """Return whether a best-effort task would work well on the server."""
    if server.satisfaction < MIN_SATISFACTION:
        return False
    needed = step.cpu * MIN_SPARE_CPU_SHARE
    if not server.serving:
        return not server.best_effort_cpu or server.unclaimed >= needed
    if server.spare_cpu < needed:
        return False
    if server.is_interference_negligible(step, effects):
        return True
    if server.probing:
        return False
    return server.predict_speed_share(step, rank, effects) >= MIN_SPEED_SHARE


def _estimate_cost(server, request, effects):
    step, task = request.step, request.task
    return (
        server.key in task.failed_on,
        task.failures > 0 and not server.recent_success,
        server.suspect,
        bool(step.data_rack) and server.rack != step.data_rack,
        *_build_colocation_key(server, request, effects),
        -server.spare_cpu / max(server.cpu, 1),
    )


def _build_colocation_key(server, request, effects):
    """Return the sort key of a server by what runs there.

    How much a best-effort task disturbs one that serves users depends on
    the pair of their images. So tasks that serve users are packed on few
    servers, a best-effort task goes where there are none or where it is
    known to raise no tail, and other tasks fill up the servers that
    best-effort tasks avoid.
    """
    step = request.step
    if step.best_effort:
        if not server.serving:
            return (0, 0.0)
        if server.is_interference_negligible(step, effects):
            return (1, 0.0)
        return (
            2,
            -round(server.predict_speed_share(step, request.rank, effects), 1),
        )
    disturbed = round(server.best_effort_cpu / max(server.cpu, 1), 1)
    if step.target_ms:
        return (disturbed, -server.serving_cpu)
    return (not server.serving, disturbed)


def list_relocations(views, slow, present, server, others, effects):
    """Return the slow runs that can do better on another server.

    Args:
        views: ``RunView`` by run, all that count on the server.
        slow: Runs that have been slowed down there for long.
        present: ``Presence`` by run, as the server listed them.
        server: The ``Server`` that they are on.
        others: The other ``Server`` rows.
        effects: The ``Effects``.
    """
    relocations = []
    ranked = [views[ref] for ref in slow if ref in views]
    for view in sorted(ranked, key=lambda item: item.rank):
        if view.stopping or not _is_cheap_to_relocate(view, present):
            continue
        rank = view.rank
        fits = [
            other
            for other in others
            if other.key != server.key
            and other.open
            and other.pool == server.pool
            and _is_eligible(other, view.step)
            and other.has_room(view.step)
            and _can_take_best_effort(other, view.step, rank, effects)
        ]
        if fits:
            best = max(
                fits,
                key=lambda item: item.predict_speed_share(
                    view.step, rank, effects
                ),
            )
            best.claim(view.step, view.group)
            best.add_best_effort_run(view.step, rank, effects)
            relocations.append(view.ref)
    return relocations


def _is_cheap_to_relocate(view, present):
    """Return whether little of a run's work is lost by a move."""
    if view.step.saves_progress:
        return True
    seen = present.get(view.ref)
    return seen is not None and seen.running.percent < MAX_LOST_PERCENT
