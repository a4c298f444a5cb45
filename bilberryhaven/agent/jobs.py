"""Job table of an agent: reconciles control orders with the backend server.

Does no I/O: methods return the commands to execute at the backend server and
report events to the session.
"""

from bilberryhaven.agent import job
from bilberryhaven import clock
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['Jobs']

CHECKPOINT_INTERVAL = clock.seconds(10)
# Longer than a network or a stalled server holds a call back.
LATE_START_WINDOW = clock.seconds(600)
ACTIVE_STAGES = (
    job.JobStage.STARTING,
    job.JobStage.RUNNING,
    job.JobStage.ORPHANED,
)
END_KINDS = {
    'finished': 'finished',
    'failed': 'failed',
    'stopped': 'stopped',
    'absent': 'refused',
}

_logger = log.get_logger('jobs')


class Jobs:
    """All jobs that were granted to this agent and aren't yet removed.

    Args:
        report: Called with each ``JobEvent``.
        hold: Called with the id, epoch and slots of a job found running.
        release: Called with the id and epoch of a job that no longer holds
            slots.
    """

    def __init__(self, *, report, hold, release):
        self._report = report
        self._hold = hold
        self._release = release
        self._resumed = False
        self._jobs = {}

    def list_running(self):
        """Return a ``RunningJob`` for each job that may be running."""
        return [
            message.RunningJob(job_id=row.id, epoch=row.epoch)
            for row in self._jobs.values()
            if row.stage in ACTIVE_STAGES
        ]

    def resume(self):
        """Note that the session of an earlier incarnation is resumed."""
        self._resumed = True

    # Orders from control

    def apply_starts(self, orders, now):
        """Add new jobs.

        Returns:
            The orders that are new and need slots, and the commands that
            stop older epochs of the same jobs.
        """
        new_orders, commands = [], []
        for order in orders:
            known = self._jobs.get(order.job_id)
            if known is not None and known.epoch >= order.epoch:
                continue
            if known is not None and known.stage is not job.JobStage.ENDED:
                commands += self._orphan(known)
                continue
            self._jobs[order.job_id] = job.Job(
                order=order,
                stage=job.JobStage.WAITING,
                checkpoint=order.checkpoint,
                next_checkpoint_at=now + CHECKPOINT_INTERVAL,
            )
            new_orders.append(order)
        return new_orders, commands

    def apply_stops(self, orders):
        """Return the commands that execute stop orders."""
        commands = []
        for order in orders:
            known = self._jobs.get(order.job_id)
            if known is None or known.epoch < order.epoch:
                commands.append(
                    job.StopTask(job_id=order.job_id, epoch=order.epoch)
                )
            elif known.epoch == order.epoch:
                commands += self._apply_stop(known, order)
        return commands

    def _apply_stop(self, row, order):
        row.stop_reason = order.reason or 'ordered'
        if row.stage is job.JobStage.WAITING:
            self._end(row, 'refused', f'stopped: {row.stop_reason}')
            return []
        return self._stop(row)

    def apply_throttles(self, orders):
        """Return the commands that put the ordered shares in force.

        A job without an order gets its full speed back.
        """
        desired_shares = {
            (order.job_id, order.epoch): order.share for order in orders
        }
        commands = []
        for row in self._jobs.values():
            row.desired_share = desired_shares.get((row.id, row.epoch), 1.0)
            running = row.stage is job.JobStage.RUNNING
            if (
                running
                and not row.command_pending
                and row.share != row.desired_share
            ):
                row.command_pending = True
                commands.append(
                    job.ThrottleTask(
                        job_id=row.id, epoch=row.epoch, share=row.desired_share
                    )
                )
        return commands

    def run(self, job_id, epoch):
        """Return the command that starts a job whose slots are now held."""
        row = self._find(job_id, epoch)
        if row is None or row.stage is not job.JobStage.WAITING:
            self._release(job_id, epoch)
            return []
        row.stage = job.JobStage.STARTING
        row.command_pending = True
        return [job.StartTask(order=row.order)]

    def refuse(self, job_id, epoch, reason):
        """Report that a job wasn't started."""
        row = self._find(job_id, epoch)
        if row is not None and row.stage is job.JobStage.WAITING:
            self._end(row, 'refused', reason)

    def orphan_all(self):
        """Stop all jobs of a closed session without reporting them."""
        self._resumed = False
        commands = []
        for row in list(self._jobs.values()):
            commands += self._orphan(row)
        return commands

    # Results of commands

    def record_status(self, task, epoch):
        """Record the ``TaskStatus`` that a command returned."""
        row = self._find(task.id, epoch)
        if row is None:
            return
        row.command_pending = False
        self._apply_status(row, task)

    def record_throttled(self, task, epoch):
        """Record the share that is now in force."""
        row = self._find(task.id, epoch)
        if row is not None:
            row.command_pending = False
            row.share = task.share

    def record_checkpoint(self, task, epoch, now):
        """Report a checkpoint unless it equals the last one reported."""
        row = self._find(task.id, epoch)
        if row is None:
            return
        row.command_pending = False
        row.next_checkpoint_at = now + CHECKPOINT_INTERVAL
        is_new = task.checkpoint not in (b'', row.checkpoint)
        if is_new and row.stage is job.JobStage.RUNNING:
            row.checkpoint = task.checkpoint
            self._send(row, 'checkpoint', task.checkpoint)

    def record_stopped(self, task, epoch, now):
        """Record the end of a job that was ordered to stop."""
        row = self._find(task.id, epoch)
        if row is None:
            self._report_unknown(task, epoch, now)
            return
        row.command_pending = False
        row.known_there = True
        self._apply_status(row, task)

    def record_start_error(self, job_id, epoch, reason, *, ran, not_running):
        """Record that a start failed.

        After a start without an answer, only a stop excludes that the job
        runs, whatever a later start is answered.

        Args:
            job_id: Id of the job.
            epoch: Epoch of its grant.
            reason: Readable reason.
            ran: Whether the backend server tried to run it.
            not_running: Whether this start certainly isn't executed;
                otherwise it is repeated.
        """
        row = self._find(job_id, epoch)
        if row is None:
            return
        row.command_pending = False
        if not not_running:
            row.start_unknown = True
        elif row.start_unknown:
            row.stop_reason = row.stop_reason or reason
        else:
            self._end(row, 'failed' if ran else 'refused', reason)

    def record_doubtful_start(self, job_id, epoch, reason):
        """Record that a start failed and that the job may run nevertheless.

        Unless the backend server lists the job, it is stopped, after which it
        certainly doesn't run.
        """
        row = self._find(job_id, epoch)
        if row is not None:
            row.command_pending = False
            row.start_error = reason

    def record_error(self, job_id, epoch):
        """Record that a command failed; it is repeated if still needed."""
        row = self._find(job_id, epoch)
        if row is not None:
            row.command_pending = False

    # State of the backend server

    def observe(self, status, session, now):
        """Reconcile with the backend server's ``Status``; return commands."""
        tasks = {task.id: task for task in status.tasks}
        commands = []
        for row in list(self._jobs.values()):
            if row.command_pending:
                continue
            if row.stage in ACTIVE_STAGES:
                commands += self._reconcile(row, tasks.get(row.id), now)
            elif row.may_start_late:
                row.command_pending = True
                commands.append(job.StopTask(job_id=row.id, epoch=row.epoch))
        for task in tasks.values():
            if task.id not in self._jobs:
                commands += self._adopt(task, session, now)
        return commands

    def end_active_jobs(self, reason):
        """Report all jobs that may have been running as stopped."""
        for row in list(self._jobs.values()):
            if row.stage not in ACTIVE_STAGES:
                continue
            if row.stage is job.JobStage.STARTING and row.command_pending:
                row.start_unknown = True
            self._end(row, 'stopped', reason)

    def may_start_late(self):
        """Return whether a start of an ended job may still be executed."""
        return any(row.may_start_late for row in self._jobs.values())

    def forget_acknowledged(self, pending_events, now):
        """Return commands that remove ended jobs with acknowledged events.

        The backend server has to remember a job with an unanswered start for
        longer: it would execute that start otherwise.
        """
        pending = {id(event) for event in pending_events}
        commands = []
        for row in self._jobs.values():
            ended = row.stage is job.JobStage.ENDED and not row.command_pending
            if not ended or id(row.event) in pending:
                continue
            if row.start_unknown and row.forget_at is None:
                row.forget_at = now + LATE_START_WINDOW
            if row.forget_at is None or now >= row.forget_at:
                row.command_pending = True
                commands.append(job.ForgetTask(job_id=row.id, epoch=row.epoch))
        return commands

    def record_forgotten(self, job_id, epoch):
        """Remove an ended job that the backend server has removed."""
        row = self._find(job_id, epoch)
        if row is not None and row.stage is job.JobStage.ENDED:
            self._drop(row)

    # Internals

    def _find(self, job_id, epoch):
        row = self._jobs.get(job_id)
        return row if row is not None and row.epoch == epoch else None

    def _reconcile(self, row, task, now):
        if task is None or task.epoch != row.epoch:
            if row.stage is job.JobStage.STARTING:
                if row.stop_reason or row.start_error:
                    return self._stop(row)
                row.command_pending = True
                return [job.StartTask(order=row.order)]
            self._end(row, 'stopped', 'the backend server lost it')
            return []
        self._apply_status(row, task)
        if row.stage is job.JobStage.ENDED:
            return []
        if row.stop_reason or row.stage is job.JobStage.ORPHANED:
            return self._stop(row)
        if now >= row.next_checkpoint_at:
            row.command_pending = True
            return [job.CheckpointTask(job_id=row.id, epoch=row.epoch)]
        return []

    def _apply_status(self, row, task):
        if task.epoch != row.epoch:
            return
        row.known_there = True
        if row.stage not in ACTIVE_STAGES:
            return
        if task.state == 'absent' and row.start_error and not row.stop_reason:
            self._end(row, 'failed', row.start_error)
            return
        if task.state in END_KINDS:
            self._end(row, END_KINDS[task.state], task.reason, _get_body(task))
            return
        row.progress = task.progress
        if row.stage is job.JobStage.STARTING:
            row.stage = job.JobStage.RUNNING
            self._send(row, 'started')

    def _adopt(self, task, session, now):
        """Adopt a task that an earlier incarnation started.

        A task of another session is stopped, or removed if it has ended.
        """
        running = task.state == 'running'
        if task.session != session or task.state == 'absent':
            if running:
                return [job.StopTask(job_id=task.id, epoch=task.epoch)]
            return [job.ForgetTask(job_id=task.id, epoch=task.epoch)]
        order = message.StartOrder(
            job_id=task.id,
            epoch=task.epoch,
            workload=task.workload,
            slots=task.slots,
        )
        row = job.Job(
            order=order,
            stage=job.JobStage.STARTING,
            share=task.share,
            next_checkpoint_at=now,
        )
        self._jobs[task.id] = row
        if running:
            self._hold(row.id, row.epoch, task.slots)
        self._apply_status(row, task)
        return []

    def _report_unknown(self, task, epoch, now):
        """Report the end of a grant whose start order is unknown here.

        In a resumed session, an earlier incarnation may have run it, so it
        is reported as stopped instead of refused.
        """
        known = self._jobs.get(task.id)
        if known is not None and known.stage is not job.JobStage.ENDED:
            return
        kind = END_KINDS.get(task.state, 'stopped')
        if kind == 'refused' and self._resumed:
            kind = 'stopped'
        row = job.Job(
            order=message.StartOrder(job_id=task.id, epoch=epoch, workload=''),
            stage=job.JobStage.STARTING,
            next_checkpoint_at=now,
        )
        self._jobs[task.id] = row
        self._end(row, kind, task.reason, _get_body(task))

    def _orphan(self, row):
        if row.stage in (job.JobStage.WAITING, job.JobStage.ENDED):
            self._drop(row)
            return []
        row.stage = job.JobStage.ORPHANED
        return self._stop(row)

    def _stop(self, row):
        if row.command_pending or row.stage is job.JobStage.ENDED:
            return []
        row.command_pending = True
        return [job.StopTask(job_id=row.id, epoch=row.epoch)]

    def _end(self, row, kind, reason, body=b''):
        orphaned = row.stage is job.JobStage.ORPHANED
        row.stage = job.JobStage.ENDED
        log.log_decision(
            _logger,
            kind,
            reason=reason or 'done',
            job_id=row.id,
            epoch=row.epoch,
        )
        if not orphaned:
            row.event = self._send(row, kind, body, reason)
        self._release(row.id, row.epoch)

    def _drop(self, row):
        del self._jobs[row.id]
        self._release(row.id, row.epoch)

    def _send(self, row, kind, body=b'', reason=''):
        event = message.JobEvent(
            job_id=row.id,
            epoch=row.epoch,
            kind=kind,
            body=body,
            reason=reason,
        )
        self._report(event)
        return event


def _get_body(task):
    return task.result if task.state == 'finished' else task.checkpoint
