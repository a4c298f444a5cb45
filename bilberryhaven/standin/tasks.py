"""Simulated tasks of a stand-in backend server, fenced by leases.

Progress is computed on demand from the clock, so a task whose lease has
expired counts as stopped at exactly the moment of expiry.
"""

import collections
import dataclasses
import datetime
import json

import msgspec

from bilberryhaven.agent import protocol
from bilberryhaven import errors

__all__ = ['Task', 'TaskPayload', 'TaskRunner', 'TaskState']

MAX_TASKS = 1000
MILLISECOND = datetime.timedelta(milliseconds=1)
STEP_START = 'start task'


class TaskState:
    """States of a task; all but ``RUNNING`` are final."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    ABSENT = 'absent'


class TaskPayload(msgspec.Struct, kw_only=True):
    """Simulated behaviour of a task; without ``seconds`` it never ends."""

    seconds: float | None = None
    result: msgspec.Raw = msgspec.Raw(b'null')
    fail: bool = False
    memory_mb: float = 64.0


@dataclasses.dataclass(kw_only=True)
class Task:
    """A job started under one epoch.

    Attributes:
        start: The order that started the task.
        payload: Its simulated behaviour.
        state: Its current ``TaskState``.
        done: Seconds of work done up to ``counted_at``.
        counted_at: Clock time up to which ``done`` has been computed.
        share: Fraction of full speed at which it runs.
        reason: Why it ended, or empty.
    """

    start: protocol.TaskStart
    payload: TaskPayload
    state: str
    done: float
    counted_at: datetime.timedelta
    share: float = 1.0
    reason: str = ''

    def build_checkpoint(self):
        """Return the checkpoint from which a later start can resume."""
        return json.dumps({'done': round(self.done, 6)}).encode()

    def describe(self):
        """Return the ``TaskStatus`` of the task."""
        progress = 0.0
        if self.payload.seconds:
            progress = min(self.done / self.payload.seconds, 1.0)
        ended = self.state != TaskState.RUNNING
        finished = self.state == TaskState.FINISHED
        return protocol.TaskStatus(
            id=self.start.id,
            epoch=self.start.epoch,
            session=self.start.session,
            workload=self.start.workload,
            state=self.state,
            progress=progress,
            share=self.share,
            slots=self.start.slots,
            reason=self.reason,
            checkpoint=self.build_checkpoint() if ended else b'',
            result=bytes(self.payload.result) if finished else b'',
        )


def _read_checkpoint(data):
    if not data:
        return 0.0
    try:
        return float(json.loads(data)['done'])
    except (ValueError, KeyError, TypeError) as error:
        raise errors.BadInputError(
            f'invalid checkpoint: {error!r}', step=STEP_START
        ) from error


class TaskRunner:
    """Runs tasks under a session's lease.

    Args:
        clock: The server's ``Clock``.
        resources: ``ResourceTracker`` to acquire slots from.
        faults: The injected ``Faults``.

    Attributes:
        starts: Counter of how often each job was started.
        session: The session whose lease is in force.
    """

    def __init__(self, *, clock, resources, faults):
        self._clock = clock
        self._resources = resources
        self._faults = faults
        self._tasks = collections.OrderedDict()
        self.starts = collections.Counter()
        self.session = 0
        self._lease_until = datetime.timedelta()

    def issue_ticket(self):
        """Return an opaque ticket for the current time."""
        return self._clock.monotonic() // MILLISECOND

    def get_lease_remaining(self):
        """Return the time until the lease expires, a timedelta."""
        remaining = self._lease_until - self._clock.monotonic()
        return max(remaining, datetime.timedelta())

    def renew(self, grant):
        """Extend the lease; a newer session stops the tasks of older ones.

        Raises:
            FencedError: A newer session is known.
            BadInputError: The ticket was issued before a restart.
        """
        self.advance()
        if grant.session < self.session:
            raise errors.FencedError(
                f'session {self.session} is newer than {grant.session}',
                step='renew lease',
            )
        if grant.ticket > self.issue_ticket():
            raise errors.BadInputError(
                'the ticket was issued before a restart', step='renew lease'
            )
        if grant.session > self.session:
            self._stop_all(f'session {grant.session} replaced it')
            self._lease_until = datetime.timedelta()
        self.session = grant.session
        until = (grant.ticket + grant.lease_ms) * MILLISECOND
        self._lease_until = max(self._lease_until, until)

    def start(self, order):
        """Start a task and return it; a repeated order returns the same task.

        Raises:
            FencedError: The order's session or epoch isn't the newest.
            LeaseLapsedError: The session's lease has expired.
            OverloadError: Not enough slots are free.
        """
        self.advance()
        known = self._tasks.get(order.id)
        if known is not None and known.start.epoch == order.epoch:
            return known
        self._check_fences(order, known)
        if self._faults.fail_all:
            raise errors.InternalError('failing all starts', step=STEP_START)
        payload = self._read_payload(order)
        done = _read_checkpoint(order.checkpoint)
        if known is not None:
            self._end(known, TaskState.STOPPED, 'a newer epoch replaced it')
        self._resources.acquire(order.slots, step=STEP_START)
        task = Task(
            start=order,
            payload=payload,
            state=TaskState.RUNNING,
            done=done,
            counted_at=self._clock.monotonic(),
        )
        self.starts[order.id] += 1
        self._store(task)
        return task

    def find(self, task_id):
        """Return the newest task of a job.

        Raises:
            NotFoundError: No such task was started here, or it was dropped.
        """
        self.advance()
        if task_id not in self._tasks:
            raise errors.NotFoundError(
                f'unknown task {task_id!r}', step='find task'
            )
        return self._tasks[task_id]

    def find_current(self, task_id, epoch):
        """Return the running task of exactly this epoch.

        Raises:
            FencedError: The epoch isn't the newest.
            RefusedError: The task has ended.
        """
        task = self.find(task_id)
        if task.start.epoch != epoch:
            raise errors.FencedError(
                f'epoch {task.start.epoch} is the newest, not {epoch}',
                step='find task',
            )
        if task.state != TaskState.RUNNING:
            raise errors.RefusedError(
                f'the task is {task.state}', step='find task'
            )
        return task

    def throttle(self, task_id, epoch, share):
        """Limit a running task to a fraction of its full speed."""
        task = self.find_current(task_id, epoch)
        task.share = min(max(share, 0.0), 1.0)
        return task

    def stop(self, task_id, epoch):
        """Stop a task; if it has not started, bar its start in this epoch."""
        self.advance()
        known = self._tasks.get(task_id)
        if known is None or known.start.epoch < epoch:
            if known is not None:
                self._end(known, TaskState.STOPPED, 'a newer epoch stopped it')
            known = self._record_absent(task_id, epoch)
        elif known.start.epoch == epoch:
            self._end(known, TaskState.STOPPED, 'ordered')
        return known

    def forget(self, task_id, epoch):
        """Drop an ended task; idempotent."""
        self.advance()
        known = self._tasks.get(task_id)
        if known is None or known.start.epoch != epoch:
            return
        if known.state != TaskState.RUNNING:
            del self._tasks[task_id]

    def list_tasks(self):
        """Return all retained tasks, oldest first."""
        self.advance()
        return list(self._tasks.values())

    def advance(self):
        """Advance every running task to the current time or lease expiry."""
        now = self._clock.monotonic()
        for task in self._tasks.values():
            if task.state == TaskState.RUNNING:
                self._advance_task(task, now)

    def _advance_task(self, task, now):
        until = min(now, self._lease_until)
        elapsed = max(until - task.counted_at, datetime.timedelta())
        task.done += elapsed.total_seconds() * task.share
        task.counted_at = max(until, task.counted_at)
        seconds = task.payload.seconds
        if seconds is not None and task.done >= seconds:
            task.done = seconds
            failed = task.payload.fail
            state = TaskState.FAILED if failed else TaskState.FINISHED
            self._end(task, state, 'its payload says so' if failed else '')
        elif now >= self._lease_until:
            self._end(task, TaskState.STOPPED, 'its lease ran out')

    def _check_fences(self, order, known):
        if order.session != self.session:
            raise errors.FencedError(
                f'session {self.session} is in force, not {order.session}',
                step=STEP_START,
            )
        if known is not None and known.start.epoch > order.epoch:
            raise errors.FencedError(
                f'epoch {known.start.epoch} is newer than {order.epoch}',
                step=STEP_START,
            )
        if not self.get_lease_remaining():
            raise errors.LeaseLapsedError(
                'the session has no valid lease', step=STEP_START
            )

    def _read_payload(self, order):
        return protocol.read_body(
            TaskPayload, order.payload or b'{}', step=STEP_START
        )

    def _record_absent(self, task_id, epoch):
        task = Task(
            start=protocol.TaskStart(id=task_id, epoch=epoch, session=0),
            payload=TaskPayload(),
            state=TaskState.ABSENT,
            done=0.0,
            counted_at=self._clock.monotonic(),
            reason='stopped before it started',
        )
        self._store(task)
        return task

    def _store(self, task):
        self._tasks[task.start.id] = task
        self._tasks.move_to_end(task.start.id)
        if len(self._tasks) > MAX_TASKS:
            self._evict_oldest_ended()

    def _evict_oldest_ended(self):
        for task_id, task in self._tasks.items():
            if task.state != TaskState.RUNNING:
                del self._tasks[task_id]
                return

    def _stop_all(self, reason):
        for task in self._tasks.values():
            self._end(task, TaskState.STOPPED, reason)

    def _end(self, task, state, reason):
        if task.state != TaskState.RUNNING:
            return
        task.state = state
        task.reason = reason
        self._resources.release(task.start.slots)
