"""Index of workflows: tasks that may start, and runs by backend server."""

import dataclasses

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow

__all__ = ['WorkflowIndex', 'Group', 'RunView']


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
        undone: Number of tasks by step that aren't done in the occurrence.
        rank: Rank of its best-effort tasks; lower ranks take precedence.
    """

    row: workflow.Workflow
    occurrence: int
    index: int
    step: workflow.Step
    keys: list[str]
    due_at: float
    undone: list[int] = dataclasses.field(default_factory=list)
    rank: float = 0.0


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
        ranker: Has ``find_rank``, as ``urgency.ValueRanker`` does, and
            ``record``, which is called once with each ``Workflow``; None
            ranks the tasks by due time.

    Attributes:
        groups: Lists of ``Group`` by workflow id.
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
        self.runs = {}
        self.speculative = {}
        self._runs_of = {}
        self._next_due = {}
        self._recorded = set()

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

    def list_groups(self, now):
        """Return all groups of tasks that may start, with current ranks.

        Args:
            now: Unix time in seconds.
        """
        groups = [group for rows in self.groups.values() for group in rows]
        for group in groups:
            if group.step.best_effort:
                group.rank = self._ranker.find_rank(
                    group.row, group.undone, group.due_at, now
                )
        return groups

    def _refresh_one(self, key, now):
        for backend, ref in self._runs_of.pop(key, ()):
            self.runs[backend].pop(ref, None)
            self._changed.add(backend)
        self.groups.pop(key, None)
        self.speculative.pop(key, None)
        self._next_due.pop(key, None)
        row = self._state.workflows.find(key)
        if row is None:
            self._recorded.discard(key)
            return
        if key not in self._recorded:
            self._recorded.add(key)
            self._ranker.record(row)
        self._index_runs(row, now)
        if row.state == workflow.WorkflowState.ACTIVE:
            groups = self._build_groups(row, now)
            if groups:
                self.groups[key] = groups

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
            rank = ranks.get(occurrence)
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

    def _build_groups(self, row, now):
        groups = []
        for occurrence in range(row.occurrences):
            due_at = _find_due(row, occurrence)
            if row.schedule is not None and due_at > now:
                self._next_due[row.id] = due_at
                break
            groups.extend(_list_occurrence_groups(row, occurrence, due_at))
        return groups


class _DueTimeRanker:
    """Ranks by due time."""

    def record(self, row):
        """Do nothing."""

    def find_rank(self, row, undone, due_at, now):
        """Return the due time."""
        return due_at


@dataclasses.dataclass(kw_only=True, slots=True)
class _StepScan:
    """Tasks of a step in one occurrence.

    Attributes:
        undone: Number of tasks that aren't done.
        startable: Keys of the tasks that are neither done nor have runs.
    """

    undone: int
    startable: list[str]


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
                if not task.runs:
                    startable.append(key)
        scans.append(_StepScan(undone=undone, startable=startable))
    return scans


def _list_occurrence_groups(row, occurrence, due_at):
    scans = _scan(row, occurrence)
    undone = [scan.undone for scan in scans]
    for index, step in enumerate(row.steps):
        if any(undone[other] for other in step.after):
            continue
        keys = scans[index].startable
        # The members of a gang start together, after all its earlier runs
        # have ended.
        if not keys or (step.gang and len(keys) < step.tasks):
            continue
        yield Group(
            row=row,
            occurrence=occurrence,
            index=index,
            step=step,
            keys=keys,
            due_at=due_at,
            undone=undone,
        )
