"""Commands on workflows: submission, cancellation, runs and their ends."""

import msgspec

from bilberryhaven import commands
from bilberryhaven.commands import catalog
from bilberryhaven import errors
from bilberryhaven.tables import cancellation
from bilberryhaven.tables import workflow

__all__ = [
    'CancelWorkflow',
    'Cancelled',
    'ClearSuspects',
    'EndHow',
    'ExpireWorkflows',
    'FailWorkflow',
    'RecordEnds',
    'RecordedEnds',
    'RunCheckpoint',
    'RunEnd',
    'RunRef',
    'RunStart',
    'SaveCheckpoints',
    'StartRuns',
    'StopRuns',
    'SubmitWorkflow',
    'Suspicion',
    'find_refusal',
    'record_crash',
    'save_checkpoints',
]

DONE = 'done'
FAILED = 'failed'
MAX_FAILED_ON = 8
# Runs of a task that may work at the same time.
MAX_COPIES = 2
# Crashes soon after the start of a task after which its workflow fails: those
# of which the task is suspected, and all, also if something else explains
# them. Servers that crash in waves hit the same task twice by chance.
MAX_SUSPICIONS = 3
MAX_CRASHES = 4


class EndHow:
    """How a run ended, as reported by its backend server.

    Attributes:
        DONE: It succeeded.
        FAILED: It failed, which counts as an attempt of its task.
        STOPPED: It was stopped.
        LAPSED: Its lease expired.
        REJECTED: Its start was rejected.
    """

    DONE = DONE
    FAILED = FAILED
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    REJECTED = 'rejected'


class RunRef(msgspec.Struct, frozen=True, array_like=True):
    """One run of a task.

    Attributes:
        workflow: Id of the workflow.
        task: Key of the task within it.
        number: Number of the run.
    """

    workflow: str
    task: str
    number: int


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A task that may have crashed a backend server.

    Attributes:
        workflow: Id of the workflow.
        task: Key of the task within it.
        backend: Key of the backend server.
    """

    workflow: str
    task: str
    backend: str


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """A run to be started on a backend server.

    Attributes:
        workflow: Id of the workflow.
        task: Key of the task within it.
        number: Number of the run.
        backend: Key of the backend server.
    """

    workflow: str
    task: str
    number: int
    backend: str


class RunCheckpoint(msgspec.Struct, frozen=True, array_like=True):
    """A checkpoint that a run has written.

    Attributes:
        run: The run.
        checkpoint: The checkpoint.
    """

    run: RunRef
    checkpoint: str


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run, as its backend server lists it.

    Attributes:
        number: Number of the end; 0 for a start that was rejected.
        run: The run.
        how: One of ``EndHow``; other values are handled like ``STOPPED``.
        checkpoint: Checkpoint to resume from, or empty.
    """

    number: int
    run: RunRef
    how: str
    checkpoint: str = ''


class RecordedEnds(msgspec.Struct, frozen=True, kw_only=True):
    """Result of ``RecordEnds``.

    Attributes:
        acked: Number of the newest end that is acknowledged.
        ignored: Runs whose ends were acknowledged without effect, since the
            runs weren't assigned to the backend server.
    """

    acked: int
    ignored: list[RunRef]


class Cancelled(msgspec.Struct, frozen=True, kw_only=True):
    """Result of ``CancelWorkflow``.

    Attributes:
        state: State of the workflow; None if it isn't stored.
        dropped: Ids of older cancels that were dropped to store this one.
    """

    state: workflow.WorkflowState | None
    dropped: list[str] = []


class SubmitWorkflow(commands.Command):
    """Accepts a workflow; resubmission of the same id changes nothing.

    Attributes:
        workflow: The workflow.
        catalog_version: Version of the catalog that it was checked with; 0
            in entries of earlier versions.
    """

    workflow: workflow.Workflow
    catalog_version: int = 0

    def apply(self, state):
        """Store the workflow unless its id exists.

        Returns:
            The stored ``Workflow``; None if the id was cancelled before.
        """
        found = state.workflows.find(self.workflow.id)
        if found is None and self.workflow.id not in state.cancellations:
            state.workflows.put(self.workflow)
            found = self.workflow
            current = state.catalogs.find_current()
            if current and current.version != self.catalog_version:
                catalog.follow_queues(state, [found])
        return found


class CancelWorkflow(commands.Command):
    """Cancels a workflow and orders its runs to stop.

    If it isn't stored, the cancel is, so that a submission that arrives later
    isn't accepted.
    """

    id: str
    at: float

    def apply(self, state):
        """Cancel the workflow unless it has ended.

        Returns:
            The ``Cancelled``.
        """
        row = state.workflows.find(self.id)
        if row is None:
            dropped = state.cancellations.record(
                cancellation.Cancellation(id=self.id, at=self.at)
            )
            return Cancelled(state=None, dropped=dropped)
        if row.state == workflow.WorkflowState.ACTIVE:
            _end_workflow(
                state,
                row,
                workflow.WorkflowState.CANCELLED,
                self.at,
                'cancelled by its caller',
            )
        return Cancelled(state=row.state)


class FailWorkflow(commands.Command):
    """Ends a workflow that can't be completed."""

    id: str
    at: float
    reason: str

    def apply(self, state):
        """Mark the workflow as failed unless it has ended."""
        row = state.workflows.get(self.id)
        if row.state == workflow.WorkflowState.ACTIVE:
            _end_workflow(
                state,
                row,
                workflow.WorkflowState.FAILED,
                self.at,
                self.reason,
            )


class StartRuns(commands.Command):
    """Orders runs to start.

    The command must be committed before any of the orders is sent to an
    agent.
    """

    starts: list[RunStart]
    at: float

    def apply(self, state):
        """Record the runs that may still start; return their number."""
        allowed = 0
        withdrawn = self._list_withdrawn(state)
        for start in self.starts:
            if withdrawn and _build_unit(state, start) in withdrawn:
                continue
            if not find_refusal(state, start):
                self._record_start(state, start)
                allowed += 1
        return allowed

    def _list_withdrawn(self, state):
        """Return the units with a start in a withdrawn availability zone.

        The zone may have been withdrawn since the starts were planned.
        """
        units = set()
        for start in self.starts:
            row = state.backends.find(start.backend)
            if row is not None and state.zones.is_withdrawn(row.zone):
                units.add(_build_unit(state, start))
        return units

    def _record_start(self, state, start):
        row = state.workflows.get(start.workflow)
        task = row.tasks.setdefault(start.task, workflow.Task())
        task.last_run = start.number
        task.runs.append(
            workflow.Run(
                number=start.number,
                backend=start.backend,
                ordered_at=self.at,
            )
        )
        state.workflows.update(row.id, started=True)


def find_refusal(state, start):
    """Return why a run may not start, or an empty string.

    Args:
        state: The replicated tables.
        start: The ``RunStart``.
    """
    row = state.workflows.find(start.workflow)
    if row is None or row.state != workflow.WorkflowState.ACTIVE:
        return 'its workflow has ended'
    if start.backend not in state.backends:
        return 'its backend server is gone'
    _, index, _ = workflow.split_task_key(start.task)
    step, task = row.steps[index], row.find_task(start.task)
    if task.done or start.number <= task.last_run:
        return 'its task is done, or has a newer run'
    if not row.has_attempt_left(step, task):
        return f'its task has used up its {row.attempts} attempts'
    if task.runs and not _may_copy(step, task, start):
        return 'its task has another run'
    return ''


def _build_unit(state, start):
    """Return the unit of a start, all of which starts or nothing of it.

    That is the step of a gang, and otherwise the task alone.
    """
    row = state.workflows.find(start.workflow)
    occurrence, index, _ = workflow.split_task_key(start.task)
    if row is not None and row.steps[index].gang:
        return (start.workflow, occurrence, index)
    return (start.workflow, start.task, start.backend)


def _may_copy(step, task, start):
    """Return whether a run may start beside another one of its task."""
    return (
        step.speculative
        and len(task.runs) < MAX_COPIES
        and all(run.backend != start.backend for run in task.runs)
    )


class StopRuns(commands.Command):
    """Orders runs to stop; their tasks are started again elsewhere."""

    runs: list[RunRef]

    def apply(self, state):
        """Mark the runs as stopping."""
        for ref in self.runs:
            row = state.workflows.find(ref.workflow)
            if row is None:
                continue
            for run in row.find_task(ref.task).runs:
                if run.number == ref.number:
                    run.stopping = True
            state.workflows.update(row.id)


class RecordEnds(commands.Command):
    """Records the ends of runs that a backend server lists.

    The backend server may discard an end only after this command has been
    committed. An end whose run isn't assigned to the server is acknowledged
    without effect.

    Attributes:
        backend: Key of the backend server.
        ends: Ends in order of their numbers.
        upto: Number of the newest end that this acknowledges.
        at: Unix time in seconds.
        epoch: Epoch of the agent that reported the ends. If another agent
            has registered since, it may have started these runs again. 0 in
            entries of earlier versions, which applies to any.
    """

    backend: str
    ends: list[RunEnd]
    upto: int
    at: float
    epoch: int = 0

    def apply(self, state):
        """Record new ends; return the ``RecordedEnds``.

        Raises:
            FencedError: The agent was replaced.
        """
        server = state.backends.get(self.backend)
        if self.epoch not in (0, server.epoch):
            raise errors.FencedError(
                f'epoch {self.epoch} of backend server {self.backend} was '
                f'replaced by epoch {server.epoch}',
                step='record ends',
                peer=server.instance,
            )
        ignored = [
            end.run
            for end in self.ends
            if (end.number == 0 or end.number > server.acked)
            and not _record_end(state, self.backend, end, self.at)
        ]
        if self.upto > server.acked:
            state.backends.update(self.backend, acked=self.upto)
        return RecordedEnds(acked=server.acked, ignored=ignored)


class SaveCheckpoints(commands.Command):
    """Stores the newest checkpoints of runs.

    A task whose run is lost with its backend server resumes from there.
    """

    checkpoints: list[RunCheckpoint]

    def apply(self, state):
        """Store the checkpoints of the runs that have not ended."""
        save_checkpoints(state, self.checkpoints)


class ExpireWorkflows(commands.Command):
    """Removes workflows whose retention after their end has passed.

    Attributes:
        ids: Ids of the workflows.
        cancellations: (id, time) pairs of stored cancels whose retention has
            passed likewise, the time as in the ``Cancellation``.
    """

    ids: list[str]
    cancellations: list[tuple[str, float]] = []

    def apply(self, state):
        """Remove those that have ended and have no remaining runs."""
        for workflow_id, at in self.cancellations:
            found = state.cancellations.find(workflow_id)
            if found is not None and found.at == at:
                state.cancellations.remove(workflow_id)
        for workflow_id in self.ids:
            row = state.workflows.find(workflow_id)
            if row is None or row.state == workflow.WorkflowState.ACTIVE:
                continue
            if not row.list_runs():
                state.workflows.remove(workflow_id)


class ClearSuspects(commands.Command):
    """Takes back the suspicion of crashes that a task has not caused.

    Attributes:
        backends: Keys of backend servers of whose crash no task is suspected
            any more; in entries of earlier versions only.
        suspicions: The ``Suspicion`` rows that are taken back; the crashes
            still count for ``MAX_CRASHES``.
        settled: Runs that have been at work for long, so that their tasks
            don't crash servers; none of their crashes counts any more.
    """

    backends: list[str] = []
    suspicions: list[Suspicion] = []
    settled: list[RunRef] = []

    def apply(self, state):
        """Drop the suspicions; return the number of tasks concerned."""
        cleared = self._clear_settled(state)
        for row in self._list_rows(state):
            found = [
                task
                for key, task in row.tasks.items()
                if self._clear(row.id, key, task)
            ]
            if found:
                cleared += len(found)
                state.workflows.update(row.id)
        return cleared

    def _clear_settled(self, state):
        cleared = 0
        for ref in self.settled:
            row = state.workflows.find(ref.workflow)
            task = row.tasks.get(ref.task) if row else None
            if task is not None and task.crashes:
                task.crashes = 0
                task.suspected_on = []
                cleared += 1
                state.workflows.update(row.id)
        return cleared

    def _list_rows(self, state):
        if self.backends:
            return list(state.workflows)
        ids = sorted({item.workflow for item in self.suspicions})
        rows = [state.workflows.find(workflow_id) for workflow_id in ids]
        return [row for row in rows if row is not None]

    def _clear(self, workflow_id, key, task):
        kept = [
            backend
            for backend in task.suspected_on
            if backend not in self.backends
            and Suspicion(workflow_id, key, backend) not in self.suspicions
        ]
        changed = len(kept) < len(task.suspected_on)
        task.suspected_on = kept
        return changed


def save_checkpoints(state, checkpoints):
    """Store the checkpoints of the runs that have not ended.

    Args:
        state: The replicated tables.
        checkpoints: The ``RunCheckpoint`` rows.
    """
    for row in checkpoints:
        found = state.workflows.find(row.run.workflow)
        task = found.tasks.get(row.run.task) if found else None
        if task is None:
            continue
        if any(run.number == row.run.number for run in task.runs):
            # No reader depends on the checkpoint of a run that works, so the
            # change isn't recorded in the table's journals.
            task.checkpoint = row.checkpoint


def record_crash(state, backend, suspects, at, *, excused=()):
    """Count a crash of a backend server for the tasks started there last.

    A workflow fails once several servers have crashed under a task of it. To
    be called before the runs of the server are ended; a run that has ended
    isn't counted.

    Args:
        state: The replicated tables.
        backend: Key of the backend server.
        suspects: The ``RunRef`` rows of the runs that may have caused it.
        at: Unix time in seconds.
        excused: The ``RunRef`` rows of further runs that it had just started,
            but for whose tasks another cause is known; their crashes count
            for ``MAX_CRASHES`` only.
    """
    counted = []
    for ref in [*suspects, *excused]:
        row = state.workflows.find(ref.workflow)
        if row is None or row.state != workflow.WorkflowState.ACTIVE:
            continue
        task = row.find_task(ref.task)
        known = any(
            run.number == ref.number and run.backend == backend
            for run in task.runs
        )
        if known and not task.done:
            task.crashes += 1
            if ref not in excused:
                task.suspected_on = [*task.suspected_on, backend]
            state.workflows.update(row.id)
            counted.append((row, ref.task, task))
    given_up = [
        item
        for item in counted
        if len(item[2].suspected_on) >= MAX_SUSPICIONS
        or item[2].crashes >= MAX_CRASHES
    ]
    for row, key, task in given_up:
        if row.state != workflow.WorkflowState.ACTIVE:
            continue
        _end_workflow(
            state,
            row,
            workflow.WorkflowState.FAILED,
            at,
            f'{task.crashes} backend servers crashed under task {key}',
        )
        _clear_suspects(state, task.suspected_on)


def _clear_suspects(state, backends):
    """Drop the suspicion of crashes whose cause has been found."""
    for row in list(state.workflows):
        if row.state != workflow.WorkflowState.ACTIVE or not row.started:
            continue
        for task in row.tasks.values():
            if any(key in backends for key in task.suspected_on):
                task.suspected_on = [
                    key for key in task.suspected_on if key not in backends
                ]
                state.workflows.update(row.id)


def end_all_runs(state, backend, at):
    """End all runs of a backend server that is known to run none any more.

    Args:
        state: The replicated tables.
        backend: Key of the backend server.
        at: Unix time in seconds.
    """
    for row in list(state.workflows):
        for key, run in row.list_runs():
            if run.backend == backend:
                ref = RunRef(row.id, key, run.number)
                end = RunEnd(0, ref, EndHow.LAPSED)
                _record_end(state, backend, end, at)


def _record_end(state, backend, end, at):
    """Record the end of a run; return whether the run was assigned there."""
    row = state.workflows.find(end.run.workflow)
    task = row.tasks.get(end.run.task) if row else None
    known = [
        run
        for run in (task.runs if task else [])
        if run.number == end.run.number and run.backend == backend
    ]
    if not known:
        return False
    task.runs.remove(known[0])
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    _, index, _ = workflow.split_task_key(end.run.task)
    step = row.steps[index]
    if row.state == workflow.WorkflowState.ACTIVE:
        _apply_end(state, row, step, task, end, backend, at)
    state.workflows.update(row.id)
    return True


def _apply_end(state, row, step, task, end, backend, at):
    if end.how == DONE and not step.long_running:
        task.done = True
        _finish_step(row, step, end)
        for run in task.runs:
            run.stopping = True
        if row.is_done():
            _end_workflow(
                state,
                row,
                workflow.WorkflowState.COMPLETED,
                at,
                'all tasks are done',
            )
    elif end.how == FAILED:
        task.failures += 1
        task.failed_on = [*task.failed_on, backend][-MAX_FAILED_ON:]
        attempts_exhausted = task.failures >= row.attempts and not task.done
        if attempts_exhausted and not step.long_running:
            _end_workflow(
                state,
                row,
                workflow.WorkflowState.FAILED,
                at,
                f'task {end.run.task} failed {task.failures} times',
            )


def _finish_step(row, step, end):
    if not step.gang:
        return
    # The end of one member of a gang counts as the end of all members.
    occurrence, index, _ = workflow.split_task_key(end.run.task)
    for member in range(step.tasks):
        key = workflow.build_task_key(occurrence, index, member)
        row.tasks.setdefault(key, workflow.Task()).done = True


def _end_workflow(state, row, outcome, at, reason):
    for task in row.tasks.values():
        for run in task.runs:
            run.stopping = True
    state.workflows.update(row.id, state=outcome, ended_at=at, reason=reason)
