"""Index of workflows: tasks that may start, and runs by backend server."""

import dataclasses

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow

__all__ = ['Group', 'Occurrence', 'RunView', 'WorkflowIndex', 'estimate_size']

# Estimated memory of a workflow and of each of its tasks in the leader.
WORKFLOW_BYTES = 600
TASK_BYTES = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class Group:
    """Tasks of one step, in one occurrence, that may start now.

    Attributes:
        row: The ``Workflow``.
        occurrence: Number of the occurrence.
        index: Number of the step.
        step: The ``Step``.
        keys: Keys of the tasks that may start.
        due_at: When the occurrence was due, Unix time in seconds.
        rank: Rank of its workflow, the due time by default; lower ranks take
            precedence.
    """

    row: workflow.Workflow
    occurrence: int
    index: int
    step: workflow.Step
    keys: list[str]
    due_at: float
    rank: float | None = None

    def __post_init__(self):
        if self.rank is None:
            self.rank = self.due_at


@dataclasses.dataclass(kw_only=True, slots=True)
class Occurrence:
    """An occurrence of an active workflow that is due and isn't done.

    Attributes:
        row: The ``Workflow``.
        number: Number of the occurrence.
        due_at: When it was due, Unix time in seconds.
        undone: Number of tasks by step that aren't done.
        extent: What the ranker has measured of it, or None. The row is
            replaced when its workflow changes.
    """

    row: workflow.Workflow
    number: int
    due_at: float
    undone: list[int]
    extent: object = None

    @property
    def key(self):
        """(workflow id, occurrence) pair."""
        return (self.row.id, self.number)

    @property
    def best_effort(self):
        """Whether its tasks run on CPU time that others leave unused."""
        return any(step.best_effort for step in self.row.steps)

    @property
    def long_running(self):
        """Whether its tasks run until the workflow is cancelled."""
        return any(step.long_running for step in self.row.steps)

    @property
    def room_key(self):
        """What occurrences have in common that compete for room."""
        return (self.row.pool, self.best_effort)


@dataclasses.dataclass(kw_only=True, slots=True)
class RunView:
    """A run that counts against its backend server's capacity.

    Attributes:
        ref: The run.
        row: Its ``Workflow``.
        step: Its ``Step``.
        group: (workflow id, occurrence, step number) of its task.
        backend: Key of the backend server.
        stopping: Whether its stop was ordered.
        checkpoint: Checkpoint that it resumes from, or empty.
        ordered_at: When its start was ordered, Unix time in seconds.
        rank: Rank of a best-effort run; lower ranks take precedence.
    """

    ref: workflow_commands.RunRef
    row: workflow.Workflow
    step: workflow.Step
    group: tuple
    backend: str
    stopping: bool
    checkpoint: str
    ordered_at: float
    rank: float = 0.0


class WorkflowIndex:
    """Incremental index over the workflow table for placement.

    Not thread-safe: callers must hold the state machine's lock.

    Args:
        state: The replicated tables.
        ranker: Has ``find_rank`` and ``choose_ranks``, as
            ``urgency.ValueRanker`` does, and ``record``, which is called once
            with each ``Workflow``; None ranks the tasks by due time.

    Attributes:
        groups: Lists of ``Group`` by workflow id.
        occurrences: Lists of ``Occurrence`` by workflow id.
        size_bytes: Estimated memory that the active workflows occupy.
        runs: ``RunView`` by run, by key of the backend server.
        speculative: Lists of the ``RunView`` rows of tasks that may be
            copied, by workflow id.
    """

    def __init__(self, state, *, ranker=None):
        self._state = state
        self._ranker = ranker or _DueTimeRanker()
        self._journal = state.workflows.open_journal()
        self._changed = set()
        self._clear()

    def _clear(self):
        self.groups = {}
        self.occurrences = {}
        self.runs = {}
        self.speculative = {}
        self._runs_of = {}
        self._next_due = {}
        self._recorded = set()
        self._ranks = {}
        self._sizes = {}
        self.size_bytes = 0

    def refresh(self, now):
        """Update the index with the changes since the last call.

        Args:
            now: Unix time in seconds.
        """
        keys = self._journal.take()
        if keys is None:
            self._clear()
            keys = [row.id for row in self._state.workflows]
        due = [key for key, at in self._next_due.items() if at <= now]
        for key in dict.fromkeys([*keys, *due]):
            self._refresh_one(key, now)

    def take_changed(self):
        """Return keys of servers whose runs changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def list_groups(self, now, rates=None):
        """Return all groups of tasks that may start, with current ranks.

        Args:
            now: Unix time in seconds.
            rates: CPU that competing work gets in total, by ``room_key``, as
                far as it is known.
        """
        groups = [group for rows in self.groups.values() for group in rows]
        if groups:
            self._ranks = self._ranker.choose_ranks(
                self.list_occurrences(), rates or {}, now
            )
        for group in groups:
            group.rank = self._ranks[group.row.id, group.occurrence]
        return groups

    def list_occurrences(self):
        """Return the ``Occurrence`` rows of all workflows."""
        return [item for rows in self.occurrences.values() for item in rows]

    def _refresh_one(self, key, now):
        for backend, ref in self._runs_of.pop(key, ()):
            self.runs[backend].pop(ref, None)
            self._changed.add(backend)
        self.groups.pop(key, None)
        self.occurrences.pop(key, None)
        self.speculative.pop(key, None)
        self._next_due.pop(key, None)
        self.size_bytes -= self._sizes.pop(key, 0)
        row = self._state.workflows.find(key)
        if row is None:
            self._recorded.discard(key)
            return
        if key not in self._recorded:
            self._recorded.add(key)
            self._ranker.record(row)
        self._index_runs(row, now)
        if row.state == workflow.WorkflowState.ACTIVE:
            self._sizes[key] = estimate_size(row)
            self.size_bytes += self._sizes[key]
            self._index_occurrences(row, now)

    def _index_runs(self, row, now):
        indexed = []
        speculative = []
        ranks = {}
        for key, task in row.tasks.items():
            for run in task.runs:
                view = self._build_run_view(row, key, task, run, ranks, now)
                self.runs.setdefault(run.backend, {})[view.ref] = view
                indexed.append((run.backend, view.ref))
                if view.step.speculative:
                    speculative.append(view)
                self._changed.add(run.backend)
        if indexed:
            self._runs_of[row.id] = indexed
        if speculative:
            self.speculative[row.id] = speculative

    def _build_run_view(self, row, key, task, run, ranks, now):
        occurrence, step, _ = workflow.split_task_key(key)
        rank = 0.0
        if row.steps[step].best_effort:
            # The rank by which the run was started, as long as it is known.
            rank = self._ranks.get((row.id, occurrence), ranks.get(occurrence))
            if rank is None:
                undone = [scan.undone for scan in _scan(row, occurrence)]
                due_at = _find_due(row, occurrence)
                rank = self._ranker.find_rank(row, undone, due_at, now)
                ranks[occurrence] = rank
        return RunView(
            ref=workflow_commands.RunRef(row.id, key, run.number),
            row=row,
            step=row.steps[step],
            group=(row.id, occurrence, step),
            backend=run.backend,
            stopping=run.stopping,
            checkpoint=task.checkpoint,
            ordered_at=run.ordered_at,
            rank=rank,
        )

    def _index_occurrences(self, row, now):
        groups, occurrences = [], []
        for number in range(row.occurrences):
            due_at = _find_due(row, number)
            if row.schedule is not None and due_at > now:
                self._next_due[row.id] = due_at
                break
            scans = _scan(row, number)
            item = Occurrence(
                row=row,
                number=number,
                due_at=due_at,
                undone=[scan.undone for scan in scans],
            )
            if any(item.undone):
                occurrences.append(item)
            groups.extend(_list_occurrence_groups(item, scans))
        if occurrences:
            self.occurrences[row.id] = occurrences
        if groups:
            self.groups[row.id] = groups


class _DueTimeRanker:
    """Ranks by due time."""

    def record(self, row):
        """Do nothing."""

    def find_rank(self, row, undone, due_at, now):
        """Return the due time."""
        return due_at

    def choose_ranks(self, occurrences, rates, now):
        """Return the due times by key."""
        return {item.key: item.due_at for item in occurrences}


@dataclasses.dataclass(kw_only=True, slots=True)
class _StepScan:
    """Tasks of a step in one occurrence.

    Attributes:
        undone: Number of tasks that aren't done.
        startable: Keys of the tasks that are neither done nor have runs.
    """

    undone: int
    startable: list[str]


def estimate_size(row):
    """Return the estimated memory that a workflow occupies, in bytes."""
    tasks = row.occurrences * sum(step.tasks for step in row.steps)
    return WORKFLOW_BYTES + len(row.spec) + TASK_BYTES * tasks


def _find_due(row, occurrence):
    if row.schedule is None:
        return row.submitted_at
    return row.schedule.find_due(occurrence)


def _scan(row, occurrence):
    """Return the ``_StepScan`` of each step."""
    scans = []
    for index, step in enumerate(row.steps):
        undone = 0
        startable = []
        for number in range(step.tasks):
            key = workflow.build_task_key(occurrence, index, number)
            task = row.tasks.get(key)
            if task is None:
                undone += 1
                startable.append(key)
            elif not task.done:
                undone += 1
                if not task.runs and row.has_attempt_left(step, task):
                    startable.append(key)
        scans.append(_StepScan(undone=undone, startable=startable))
    return scans


def _list_occurrence_groups(item, scans):
    for index, step in enumerate(item.row.steps):
        if any(item.undone[other] for other in step.after):
            continue
        keys = scans[index].startable
        # The members of a gang start together, after all its earlier runs
        # have ended.
        if not keys or (step.gang and len(keys) < step.tasks):
            continue
        yield Group(
            row=item.row,
            occurrence=item.number,
            index=index,
            step=step,
            keys=keys,
            due_at=item.due_at,
        )
