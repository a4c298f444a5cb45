"""Placement of tasks on backend servers.

The functions are pure: they depend on their arguments alone. Headroom of a
latency-critical task is its target as a multiple of its tail latency.
"""

import collections
import dataclasses

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow

__all__ = ['InterferenceEffects', 'Server', 'list_relocations', 'plan_starts']

# Share of a best-effort task's CPU request that must be spare on a
# server; with less, it would slow down the best-effort tasks already there.
MIN_SPARE_CPU_SHARE = 0.7
# Share of their CPU claim that latency-critical tasks are expected to use; the
# rest counts as spare CPU.
SERVING_LOAD = 0.55
# If the best-effort tasks of a server get less than this share of the CPU that
# they request, the server has no spare CPU, whatever the claims add up to.
MIN_SATISFACTION = 0.8
# A best-effort task is placed only where it may run at this share of its full
# speed; a slower task would delay its whole workflow.
MIN_SPEED_SHARE = 0.6
# Loss of headroom up to which a best-effort task is placed without regard to
# tail latency.
NEGLIGIBLE_EFFECT = 0.08
# Headroom that a placement must leave. It is more than the pacing keeps, since
# the load of latency-critical tasks varies.
MIN_HEADROOM = 1.5
# Lower bound on a tail latency relative to its target, and on a headroom, in
# divisions; a tail below it leaves room for any best-effort task.
MIN_TAIL_RATIO = 0.01
# Effects on tail latency are per tenth of a server's CPU.
TENTHS_PER_SERVER = 10
# Progress in percent up to which a run without checkpoints is relocated: with
# less than half done, a restart at full speed ends sooner than waiting does.
MAX_LOST_PERCENT = 50
# A best-effort workflow without any run waits at most this long for spare CPU
# while less than this share of the pool's CPU and of its memory is claimed.
MAX_SPARE_CPU_WAIT_S = 1.5
LOW_POOL_UTILISATION = 0.5


class InterferenceEffects:
    """Effects of best-effort images on tail latency.

    This base class is the model without any interference.
    """

    def get_effect(self, serving, image):
        """Return the loss of headroom per tenth of a server.

        Args:
            serving: Image of the latency-critical task.
            image: Image of the best-effort task.
        """
        return 0.0

    def is_known(self, serving, image):
        """Return whether the effect is backed by enough observations."""
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class BestEffortRun:
    """A best-effort run that uses CPU of a server.

    Attributes:
        image: Its image.
        tenths: CPU that it uses, in tenths of the server.
        rank: Rank of its workflow; lower ranks take precedence.
    """

    image: str
    tenths: float
    rank: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Server:
    """A backend server as a candidate for placement.

    Attributes:
        key: Its key.
        pool: Pool that it serves.
        rack: Its rack.
        labels: Its labels.
        cpu: Its capacity in thousandths of a core.
        memory_mb: Its memory in MB.
        gpu: Its accelerators.
        open: Whether it accepts new tasks.
        suspect: Whether runs failed or were slow there recently.
        recent_success: Whether a run has succeeded there since its last
            failure.
        probing: Whether a best-effort task was started there recently whose
            effect on tail latency hasn't been measured yet.
        speed: Its speed relative to other servers; 1 is normal.
        used_cpu: Thousandths of a core that its tasks have claimed.
        used_memory_mb: Memory that its tasks have claimed, in MB.
        used_gpu: Accelerators that its tasks have claimed.
        best_effort_cpu: Thousandths of a core that its best-effort tasks
            request.
        serving: Thousandths of a core that its latency-critical tasks claim,
            by image.
        satisfaction: Share of the CPU that its best-effort tasks request
            which they get.
        tails: (image, tail latency as a share of its target) pairs of its
            latency-critical tasks.
        best_effort_runs: The ``BestEffortRun`` rows.
        task_counts: Number of its tasks by group.
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
        """Thousandths of a core that latency-critical tasks claim."""
        return sum(self.serving.values())

    @property
    def unclaimed(self):
        """Thousandths of a core that no task requests."""
        return self.cpu - self.used_cpu - self.best_effort_cpu

    @property
    def spare_cpu(self):
        """Thousandths of a core that are expected to be idle."""
        idle = (1 - SERVING_LOAD) * self.serving_cpu
        return self.unclaimed + idle

    def is_interference_negligible(self, step, effects):
        """Return whether a best-effort task is known not to raise a tail here.

        Args:
            step: The ``Step`` of the task.
            effects: The ``InterferenceEffects``.
        """
        weight = step.cpu / max(self.cpu, 1) * TENTHS_PER_SERVER
        return all(
            effects.is_known(image, step.image)
            and weight * effects.get_effect(image, step.image)
            <= NEGLIGIBLE_EFFECT
            for image in self.serving
        )

    def predict_speed_share(self, step, rank, effects):
        """Predict how fast one more best-effort task may run.

        Args:
            step: The ``Step`` of the task.
            rank: Rank of its workflow; runs of higher ranks are slowed down
                in its favour.
            effects: The ``InterferenceEffects``.

        Returns:
            The share of its full speed that leaves every latency-critical
            task ``MIN_HEADROOM``: at least 0, at most 1.
        """
        weight = step.cpu / max(self.cpu, 1) * TENTHS_PER_SERVER
        share = 1.0
        for image, tail in self.tails:
            effect = weight * effects.get_effect(image, step.image)
            if effect <= NEGLIGIBLE_EFFECT:
                continue
            headroom = 1 / max(tail, MIN_TAIL_RATIO) - MIN_HEADROOM
            headroom += sum(
                run.tenths * effects.get_effect(image, run.image)
                for run in self.best_effort_runs
                if run.rank > rank
            )
            share = min(share, headroom / effect)
        return max(0.0, share)

    def add_best_effort_run(self, step, rank, effects):
        """Add the predicted effect of a task that isn't measured yet.

        Args:
            step: The ``Step`` of the best-effort task.
            rank: Rank of its workflow.
            effects: The ``InterferenceEffects``.
        """
        weight = step.cpu / max(self.cpu, 1) * TENTHS_PER_SERVER
        tails = []
        for image, tail in self.tails:
            effect = weight * effects.get_effect(image, step.image)
            headroom = 1 / max(tail, MIN_TAIL_RATIO) - effect
            tails.append((image, 1 / max(headroom, MIN_TAIL_RATIO)))
        self.tails = tails
        self.best_effort_runs.append(
            BestEffortRun(image=step.image, tenths=weight, rank=rank)
        )

    def claim(self, step, group):
        """Claim the resources of one task of ``step``."""
        self._count(step, group, 1)

    def release(self, step, group):
        """Release the resources that ``claim`` took."""
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

    def has_capacity(self, step):
        """Return whether one more task of ``step`` fits into the capacity.

        Best-effort tasks need no CPU claim, only memory and accelerators.
        """
        if self.used_memory_mb + step.memory_mb > self.memory_mb:
            return False
        if self.used_gpu + step.gpu > self.gpu:
            return False
        return step.best_effort or self.used_cpu + step.cpu <= self.cpu


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
    """Return the sort key of a group; lower keys are placed first."""
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


def _is_eligible(server, step):
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


def _choose_server(request, servers, effects):
    best = None
    best_cost = None
    step = request.step
    for server in servers:
        if not server.has_capacity(step):
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
    """Return whether a best-effort task runs well without raising tails."""
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
    """Return the sort key of a server by the tasks that run there.

    How much a best-effort task interferes with a latency-critical one depends
    on the pair of their images. So latency-critical tasks are packed on few
    servers, a best-effort task is placed where there are none or where it is
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
    best_effort_share = round(server.best_effort_cpu / max(server.cpu, 1), 1)
    if step.target_ms:
        return (best_effort_share, -server.serving_cpu)
    return (not server.serving, best_effort_share)


def list_relocations(views, slow, present, server, others, effects):
    """Return the throttled runs that would run faster on another server.

    Args:
        views: ``RunView`` by run, all that count on the server.
        slow: Runs that have been throttled there for long.
        present: ``Presence`` by run, as the server listed them.
        server: The ``Server`` that they are on.
        others: The ``Server`` rows to choose from; ``server`` itself is
            skipped. Relocated runs are claimed on them.
        effects: The ``InterferenceEffects``.

    Returns:
        The ``RunRef`` of each run to relocate, lowest rank first.
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
            and other.has_capacity(view.step)
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
    """Return whether a relocation loses little of a run's work."""
    if view.step.saves_progress:
        return True
    seen = present.get(view.ref)
    return seen is not None and seen.running.percent < MAX_LOST_PERCENT
