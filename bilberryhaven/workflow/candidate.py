"""Backend servers as candidates for the placement of tasks.

Headroom of a latency-critical task is its target as a multiple of its tail
latency.
"""

import collections
import dataclasses

__all__ = [
    'MIN_HEADROOM',
    'NEGLIGIBLE_EFFECT',
    'TENTHS_PER_SERVER',
    'BestEffortRun',
    'InterferenceEffects',
    'Server',
]

# Share of their CPU claim that latency-critical tasks are expected to use; the
# rest counts as spare CPU.
SERVING_LOAD = 0.55
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
        zone: Its availability zone.
        rack: Its rack.
        labels: Its labels.
        cpu: Its capacity in thousandths of a core.
        memory_mb: Its memory in MB.
        gpu: Its accelerators.
        open: Whether it accepts new tasks.
        suspect: Whether runs failed or were slow there recently.
        warming_ms: How much longer it is slow after its start, in ms.
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
        fresh: Ids of the workflows of which it has started tasks a short time
            ago.
        suspected: Those among them whose tasks are suspected of crashes, or
            that wait to start such a task there.
        is_modified: Whether tasks were placed on it since it was built.
    """

    key: str
    pool: str
    zone: str = ''
    rack: str = ''
    labels: frozenset = frozenset()
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    open: bool = True
    suspect: bool = False
    warming_ms: int = 0
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
    fresh: set = dataclasses.field(default_factory=set)
    suspected: set = dataclasses.field(default_factory=set)
    is_modified: bool = False

    @property
    def task_count(self):
        """Number of its tasks."""
        return sum(self.task_counts.values())

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
        for image in self.serving:
            if not effects.is_known(image, step.image):
                return False
            effect = effects.get_effect(image, step.image)
            if weight * effect > NEGLIGIBLE_EFFECT:
                return False
        return True

    def is_interference_known(self, step, effects):
        """Return whether the effects of a best-effort task here are known.

        Args:
            step: The ``Step`` of the task.
            effects: The ``InterferenceEffects``.
        """
        return all(
            effects.is_known(image, step.image) for image in self.serving
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

    def accepts(self, workflow_id, *, suspected):
        """Return whether a task can start as far as crashes are concerned.

        A suspected task and the newly started tasks of other workflows are
        kept apart.

        Args:
            workflow_id: Id of the task's workflow.
            suspected: Whether the task is suspected of a crash.
        """
        own = {workflow_id}
        return self.suspected <= own and (not suspected or self.fresh <= own)

    def add_fresh(self, workflow_id, *, suspected):
        """Record a task that has just been started here."""
        self.fresh.add(workflow_id)
        if suspected:
            self.suspected.add(workflow_id)

    def reserve(self, workflow_id):
        """Accept no other workflow in this round, for a suspected task."""
        self.is_modified = True
        self.suspected.add(workflow_id)

    def claim(self, step, group):
        """Claim the resources of one task of ``step``."""
        self.is_modified = True
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
        A server that has shrunk below its claims takes nothing.
        """
        if self.used_memory_mb + step.memory_mb > self.memory_mb:
            return False
        if self.used_gpu + step.gpu > self.gpu:
            return False
        cpu = 0 if step.best_effort else step.cpu
        return self.used_cpu + cpu <= self.cpu
