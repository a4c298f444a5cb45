"""Workflows: jobs of dependent steps whose tasks run on backend servers."""

import dataclasses
import enum

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = [
    'Run',
    'Schedule',
    'Step',
    'Task',
    'Workflow',
    'WorkflowState',
    'WorkflowTable',
    'build_task_key',
    'split_task_key',
]


# Crashes of a task that another cause may explain without its being started
# apart from other tasks.
MAX_EXCUSED_CRASHES = 1


class WorkflowState(enum.StrEnum):
    """State of a workflow; all but ``ACTIVE`` are final."""

    ACTIVE = 'active'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


def build_task_key(occurrence, step, index):
    """Return the key of a task within its workflow.

    Args:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number of the task within the step.
    """
    return f'{occurrence}.{step}.{index}'


def split_task_key(key):
    """Return the (occurrence, step, index) triple of a task's key."""
    occurrence, step, index = key.split('.')
    return int(occurrence), int(step), int(index)


@dataclasses.dataclass(kw_only=True, slots=True)
class Step:
    """Identical tasks of a workflow, with their requirements.

    Attributes:
        tasks: Number of tasks.
        cpu: Thousandths of a core that each task requests.
        memory_mb: Memory of each task in MB.
        gpu: Accelerators of each task.
        estimate_ms: Declared run time in ms; a rough estimate.
        after: Numbers of the steps that must be done before it starts.
        gang: Whether the tasks can only run all at the same time.
        rack_local: Whether the tasks are slower if spread over several racks.
        required_label: Label that the backend server must have, or empty.
        data_rack: Rack that holds the input data, or empty.
        max_per_backend: Limit on the tasks per backend server; 0 for no
            limit.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether tasks run until the workflow is cancelled.
        saves_progress: Whether tasks write checkpoints.
        image: Image that the tasks run; tasks of one image behave alike.
        target_ms: Bound on the tail latency of a latency-critical task, in
            ms; 0 for other tasks.
        best_effort: Whether tasks run on CPU time that others leave unused,
            without claiming CPU capacity.
        disruption_budget: How many tasks the scheduler may evict at once;
            None for no limit.
    """

    tasks: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = dataclasses.field(default_factory=list)
    gang: bool = False
    rack_local: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_backend: int = 0
    speculative: bool = False
    long_running: bool = False
    saves_progress: bool = False
    image: str = ''
    target_ms: int = 0
    best_effort: bool = False
    disruption_budget: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Schedule:
    """Periodic occurrences of a workflow.

    Attributes:
        first_at: When the first occurrence is due, Unix time in seconds.
        interval_s: Seconds between two occurrences.
        count: Number of occurrences.
    """

    first_at: float = 0.0
    interval_s: float = 0.0
    count: int = 1

    def find_due(self, occurrence):
        """Return the due time of an occurrence, Unix time in seconds."""
        return self.first_at + occurrence * self.interval_s


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """One run of a task that has not ended yet.

    Attributes:
        number: The run's number within its task.
        backend: Key of the backend server that it was ordered on.
        stopping: Whether its stop was ordered.
        ordered_at: When its start was ordered, Unix time in seconds.
    """

    number: int
    backend: str
    stopping: bool = False
    ordered_at: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """State of a task.

    Attributes:
        done: Whether one of its runs has succeeded.
        failures: Number of its failed runs.
        last_run: Number of its newest run.
        runs: Its runs that have not ended.
        checkpoint: Newest checkpoint to resume from, or empty.
        failed_on: Keys of the backend servers on which it failed last, oldest
            first.
        crashes: Number of backend servers that crashed soon after they had
            started it.
        suspected_on: Keys of those among them for whose crash no other cause
            is known.
    """

    done: bool = False
    failures: int = 0
    last_run: int = 0
    runs: list[Run] = dataclasses.field(default_factory=list)
    checkpoint: str = ''
    failed_on: list[str] = dataclasses.field(default_factory=list)
    crashes: int = 0
    suspected_on: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_suspect(self):
        """Whether it is started apart from other tasks.

        That a crash may have another cause no longer clears a task under
        which several servers have crashed.
        """
        return bool(self.suspected_on) or self.crashes > MAX_EXCUSED_CRASHES


@dataclasses.dataclass(kw_only=True, slots=True)
class Workflow:
    """A workflow, with the parameters of its queue.

    Those marked with (*) are the ones in force, or the last ones if the queue
    is no longer in the catalog; the others are those of the submission.

    Attributes:
        id: Id chosen by the caller.
        queue: Name of the queue that it was submitted to.
        pool: Pool of the backend servers that run its tasks (*).
        spec: Opaque text that each of its tasks is started with.
        steps: Its steps.
        schedule: When its occurrences run; None to run once, immediately.
        priority: The queue's priority (*); 0 is the highest.
        max_attempts: The queue's ``max_attempts``.
        slack_factor: The queue's ``slack_factor`` (*).
        latency_ms: The queue's ``latency_ms`` (*).
        submitted_at: When it was accepted, Unix time in seconds.
        state: Its state.
        tasks: Tasks by key; a task that has never run may be missing.
        ended_at: When it ended, Unix time in seconds; 0 before its end.
        reason: Why it ended, or empty.
        started: Whether any of its tasks has ever been started.
        zone: Availability zone of its caller, or empty if unknown.
        address: Host and path prefix of its queue, or empty if it was
            accepted by an earlier version.
    """

    id: str
    queue: str
    pool: str
    spec: str
    steps: list[Step]
    schedule: Schedule | None = None
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    latency_ms: int = 0
    submitted_at: float = 0.0
    state: WorkflowState = WorkflowState.ACTIVE
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    ended_at: float = 0.0
    reason: str = ''
    started: bool = False
    zone: str = ''
    address: str = ''

    @property
    def occurrences(self):
        """Number of times that its steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def attempts(self):
        """Failed runs of one task after which the workflow fails.

        The first run is made in any case: a workflow that was accepted has to
        end, and fails only if a run of it does.
        """
        return max(1, self.max_attempts)

    def has_attempt_left(self, step, task):
        """Return whether another run of a task may be started.

        Args:
            step: The ``Step`` of the task.
            task: The ``Task``.
        """
        # Each run that hasn't ended may use up another attempt.
        used = task.failures + len(task.runs)
        return step.long_running or used < self.attempts

    def find_task(self, key):
        """Return the task at ``key``; a blank one if it has never run."""
        return self.tasks.get(key) or Task()

    def is_step_done(self, occurrence, step):
        """Return whether all tasks of a step are done in an occurrence."""
        for index in range(self.steps[step].tasks):
            key = build_task_key(occurrence, step, index)
            task = self.tasks.get(key)
            if task is None or not task.done:
                return False
        return True

    def is_done(self):
        """Return whether all tasks of all occurrences are done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.occurrences)
            for step in range(len(self.steps))
        )

    def list_runs(self):
        """Return the (task key, ``Run``) pairs of all runs not ended."""
        return [
            (key, run) for key, task in self.tasks.items() for run in task.runs
        ]


@tables.register('workflows')
class WorkflowTable(table.Table):
    """Workflows by id."""

    name = 'workflows'
    row_class = Workflow
    key = 'id'
    indexes = ('state',)
