"""Index of the workflows: tasks that may start, and runs by server."""

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
        due_at: Since when they may start at the earliest, Unix time.
        rank: Best-effort tasks with a lower one come first.
    """

    row: workflow.Workflow
    occurrence: int
    index: int
    step: workflow.Step
    keys: list[str]
    due_at: float
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
        checkpoint: What it is started with.
        ordered_at: When it was ordered, Unix time in seconds.
        rank: Best-effort runs with a lower one come first.
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
    """Follows the workflow table and keeps what placement needs of it.

    Not thread-safe: use it with the machine's lock held.

    Args:
        state: The replicated tables.
        find_rank: Function of a ``Workflow``, when an occurrence was due and
            the time, which returns the rank of its best-effort tasks; None
            ranks them as they come.

    Attributes:
        groups: Lists of ``Group`` by workflow id.
        runs: ``RunView`` by run, by key of the backend server.
    """

    def __init__(self, state, *, find_rank=None):
        self._state = state
        self._find_rank = find_rank or _rank_by_due_time
        self._journal = state.workflows.open_journal()
        self._changed = set()
        self._clear()

    def _clear(self):
        self.groups = {}
        self.runs = {}
        self._runs_of = {}
        self._next_due = {}

    def refresh(self, now):
        """Take over what changed since the last call.

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
        """Return the servers whose runs changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def list_groups(self, now):
        """Return all groups of tasks that may start, ranked anew.

        Args:
            now: Unix time in seconds.
        """
        groups = [group for rows in self.groups.values() for group in rows]
        for group in groups:
            group.rank = self._find_rank(group.row, group.due_at, now)
        return groups

    def _refresh_one(self, key, now):
        for backend, ref in self._runs_of.pop(key, ()):
            self.runs[backend].pop(ref, None)
            self._changed.add(backend)
        self.groups.pop(key, None)
        self._next_due.pop(key, None)
        row = self._state.workflows.find(key)
        if row is None:
            return
        self._index_runs(row, now)
        if row.state == workflow.WorkflowState.ACTIVE:
            groups = self._build_groups(row, now)
            if groups:
                self.groups[key] = groups

    def _index_runs(self, row, now):
        held = []
        for key, task in row.tasks.items():
            for run in task.runs:
                view = self._build_run_view(row, key, task, run, now)
                self.runs.setdefault(run.backend, {})[view.ref] = view
                held.append((run.backend, view.ref))
                self._changed.add(run.backend)
        if held:
            self._runs_of[row.id] = held

    def _build_run_view(self, row, key, task, run, now):
        occurrence, step, _ = workflow.split_task_key(key)
        return RunView(
            ref=workflow_commands.RunRef(row.id, key, run.number),
            row=row,
            step=row.steps[step],
            group=(row.id, occurrence, step),
            backend=run.backend,
            stopping=run.stopping,
            checkpoint=task.checkpoint,
            ordered_at=run.ordered_at,
            rank=self._find_rank(row, _find_due(row, occurrence), now),
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


def _rank_by_due_time(row, due_at, now):
    return due_at


def _find_due(row, occurrence):
    if row.schedule is None:
        return row.submitted_at
    return row.schedule.find_due(occurrence)


def _list_occurrence_groups(row, occurrence, due_at):
    done = [
        row.is_step_done(occurrence, index) for index in range(len(row.steps))
    ]
    for index, step in enumerate(row.steps):
        if done[index] or not all(done[other] for other in step.after):
            continue
        keys = _list_startable(row, occurrence, index, step)
        if keys:
            yield Group(
                row=row,
                occurrence=occurrence,
                index=index,
                step=step,
                keys=keys,
                due_at=due_at,
            )


def _list_startable(row, occurrence, index, step):
    keys = []
    for number in range(step.tasks):
        key = workflow.build_task_key(occurrence, index, number)
        task = row.tasks.get(key)
        if task is None or not (task.done or task.runs):
            keys.append(key)
    if step.gang and len(keys) < step.tasks:
        # The members of a gang start together, once all earlier have ended.
        return []
    return keys
