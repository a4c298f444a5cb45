"""Workflows: jobs made of steps, whose tasks run on backend servers."""

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


class WorkflowState(enum.StrEnum):
    """Where a workflow stands."""

    ACTIVE = 'active'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


def build_task_key(occurrence, step, index):
    """Return the key of a task within its workflow."""
    return f'{occurrence}.{step}.{index}'


def split_task_key(key):
    """Return the (occurrence, step, index) triple of a task's key."""
    occurrence, step, index = key.split('.')
    return int(occurrence), int(step), int(index)


@dataclasses.dataclass(kw_only=True, slots=True)
class Step:
    """Tasks of one kind, and what they need.

    Attributes:
        tasks: How many tasks it has.
        cpu: Thousandths of a core that each task asks for.
        memory_mb: Memory of each task in MB.
        gpu: Accelerators of each task.
        estimate_ms: Declared run time; a rough guess.
        after: Numbers of the steps that must be done before it starts.
        gang: Whether the tasks work only all together.
        rack_local: Whether they are slower on more than one rack.
        required_label: Label that the backend server must have, or empty.
        data_rack: Rack that holds the data, or empty.
        max_per_backend: How many tasks one backend server may run; 0 for
            any number.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether tasks run until the workflow is cancelled.
        saves_progress: Whether tasks write checkpoints.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Bound on the tail latency of a task that serves users;
            0 for none.
        best_effort: Whether tasks run on the processor time that others
            leave, and need none of the capacity.
        disruption_budget: How many tasks the scheduler may take away at
            once; None where it isn't limited.
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
    """Times at which the steps of a workflow run.

    Attributes:
        first_at: When the first occurrence is due, Unix time in seconds.
        interval_s: Seconds between two occurrences.
        count: How many occurrences there are.
    """

    first_at: float = 0.0
    interval_s: float = 0.0
    count: int = 1

    def find_due(self, occurrence):
        """Return when an occurrence is due, Unix time in seconds."""
        return self.first_at + occurrence * self.interval_s


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """One run of a task that has not ended yet.

    Attributes:
        number: The run's number within its task.
        backend: Key of the backend server that it was ordered at.
        stopping: Whether its stop was ordered.
        ordered_at: When it was ordered, Unix time in seconds.
    """

    number: int
    backend: str
    stopping: bool = False
    ordered_at: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """What is known of a task.

    Attributes:
        done: Whether a run of it has ended well.
        failures: How many of its runs have failed.
        last_run: Number of its newest run.
        runs: Its runs that have not ended.
        checkpoint: Newest checkpoint to resume from, or empty.
        failed_on: Keys of the backend servers on which it failed.
    """

    done: bool = False
    failures: int = 0
    last_run: int = 0
    runs: list[Run] = dataclasses.field(default_factory=list)
    checkpoint: str = ''
    failed_on: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True, slots=True)
class Workflow:
    """A job of steps, with the terms of its queue at submission.

    Attributes:
        id: Chosen by the caller.
        queue: Name of the queue that it was submitted to.
        pool: Pool of the backend servers that run its tasks.
        spec: Text that each of its tasks is started with.
        steps: Its steps.
        schedule: When its occurrences run; None where it runs once, at once.
        priority: The queue's priority; 0 comes first.
        max_attempts: Failed runs of one task after which it fails.
        slack_factor: The queue's allowance on top of the run time.
        latency_ms: The queue's allowance for waiting.
        submitted_at: When it was accepted, Unix time in seconds.
        state: Where it stands.
        tasks: Tasks by key; a task that has never run may be missing.
        ended_at: When it ended, Unix time in seconds; 0 before.
        reason: Why it ended as it did.
        started: Whether any of its tasks was ever started.
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

    @property
    def occurrences(self):
        """How many times its steps run."""
        return self.schedule.count if self.schedule else 1

    def find_task(self, key):
        """Return the task at ``key``; a new one if it has never run."""
        return self.tasks.get(key) or Task()

    def is_step_done(self, occurrence, step):
        """Return whether all tasks of a step have ended well."""
        for index in range(self.steps[step].tasks):
            key = build_task_key(occurrence, step, index)
            task = self.tasks.get(key)
            if task is None or not task.done:
                return False
        return True

    def is_done(self):
        """Return whether all tasks of all occurrences have ended well."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.occurrences)
            for step in range(len(self.steps))
        )

    def list_runs(self):
        """Return the (task key, ``Run``) pairs that have not ended."""
        return [
            (key, run) for key, task in self.tasks.items() for run in task.runs
        ]


@tables.register('workflows')
class WorkflowTable(table.Table):
    """Workflows by id."""

    name = 'workflows'
    row_class = Workflow
    key = 'id'
    indexes = ('state', 'queue')
