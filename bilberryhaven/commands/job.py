"""Commands of the life cycle of jobs, from submission to expiry."""

import datetime
import enum

import msgspec

from bilberryhaven import commands
from bilberryhaven.commands import checks
from bilberryhaven import errors
from bilberryhaven.tables import job

__all__ = [
    'CancelJobs',
    'EventKind',
    'EvictJobs',
    'Eviction',
    'ExpireJobs',
    'Grant',
    'GrantJobs',
    'HoldJobs',
    'JobEvent',
    'RecordEvents',
    'ReleaseJobs',
    'SubmitJob',
]


class SubmitJob(commands.Command, kw_only=True, frozen=True):
    """Accept a job; idempotent by job id."""

    job_id: str
    workload: str
    payload: bytes
    at: datetime.datetime
    deadline_at: datetime.datetime | None = None

    def apply(self, state):
        """Store the job unless its id exists; return its row."""
        existing = state.jobs.find(self.job_id)
        if existing is not None:
            return existing
        target = state.workloads.find(self.workload)
        if target is None or target.kind == 'service':
            raise errors.NotFoundError(
                f'no batch or watch workload is named {self.workload!r}',
                step='submit job',
            )
        row = job.Job(
            id=self.job_id,
            workload=self.workload,
            payload=self.payload,
            submitted_at=self.at,
            deadline_at=self.deadline_at,
        )
        state.jobs.put(row)
        return row


class Grant(msgspec.Struct, kw_only=True, frozen=True):
    """Right of a session to run a job.

    Attributes:
        job_id: The job's id.
        instance: The instance's name.
        session: Epoch of the instance's session.
        reason: Reason for the placement, for a person.
        revision: Revision for which the selectors were checked; they are
            checked again if it is not the current one.
    """

    job_id: str
    instance: str
    session: int
    reason: str = ''
    revision: int = -1


class GrantJobs(commands.Command, kw_only=True, frozen=True):
    """Grant pending jobs to sessions in one batch."""

    grants: list[Grant]
    at: datetime.datetime

    def apply(self, state):
        """Apply each grant that is still valid; return the ids granted."""
        return [g.job_id for g in self.grants if self._grant(state, g)]

    def _grant(self, state, grant):
        row = state.jobs.find(grant.job_id)
        target = state.instances.find(grant.instance)
        if row is None or row.state != job.JobState.PENDING:
            return False
        if target is None or not target.accepts_work():
            return False
        if target.epoch != grant.session:
            return False
        spec = state.workloads.find(row.workload)
        if spec is None or not checks.has_capacity(state, target, spec):
            return False
        checked = grant.revision == state.revision
        if not checked and not checks.matches_selectors(state, target, spec):
            return False
        state.jobs.update(
            row.id,
            state=job.JobState.GRANTED,
            instance=grant.instance,
            session=grant.session,
            epoch=row.epoch + 1,
            granted_at=self.at,
            reason=grant.reason,
            slots=spec.resources.slots,
        )
        return True


class EventKind(enum.StrEnum):
    """Kind of an agent's report on a job.

    ``REFUSED``: the agent did not start the job. ``STOPPED``: the job ran and
    was stopped.
    """

    STARTED = 'started'
    CHECKPOINT = 'checkpoint'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    REFUSED = 'refused'


class JobEvent(msgspec.Struct, kw_only=True, frozen=True):
    """Report on a job; valid only for the job's current epoch."""

    job_id: str
    epoch: int
    kind: EventKind
    body: bytes = b''
    reason: str = ''


class RecordEvents(commands.Command, kw_only=True, frozen=True):
    """Record agents' reports in one batch."""

    events: list[JobEvent]
    at: datetime.datetime

    def apply(self, state):
        """Apply each report that is not fenced; return their number."""
        return sum(self._record(state, event) for event in self.events)

    def _record(self, state, event):
        row = state.jobs.find(event.job_id)
        if row is None or row.epoch != event.epoch:
            return False
        if row.state not in job.ACTIVE_STATES:
            return False
        _EVENT_HANDLERS[event.kind](state, row, event, self.at)
        return True


def _start(state, row, event, at):
    row.started_at = at
    if row.state == job.JobState.GRANTED:
        state.jobs.update(row.id, state=job.JobState.RUNNING)


def _checkpoint(state, row, event, at):
    row.checkpoint = event.body
    row.checkpoint_at = at


def _finish(state, row, event, at):
    _end(state, row, job.JobState.FINISHED, at, event.reason, event.body)


def _fail(state, row, event, at):
    row.failures.append(row.instance)
    if row.state == job.JobState.CANCELLING:
        _end(state, row, job.JobState.CANCELLED, at, 'cancelled')
    elif _is_repeatable(state, row):
        _requeue(state, row, f'failed on {row.instance}: {event.reason}')
    else:
        _end(state, row, job.JobState.FAILED, at, event.reason)


def _stop(state, row, event, at):
    if event.body:
        row.checkpoint = event.body
        row.checkpoint_at = at
    if row.state == job.JobState.CANCELLING:
        _end(state, row, job.JobState.CANCELLED, at, 'cancelled')
    elif event.body or _is_repeatable(state, row):
        row.evictions += 1
        _requeue(state, row, f'stopped on {row.instance}: {event.reason}')
    else:
        _end(state, row, job.JobState.UNKNOWN, at, event.reason)


def _refuse(state, row, event, at):
    if row.state == job.JobState.CANCELLING:
        _end(state, row, job.JobState.CANCELLED, at, 'cancelled')
    else:
        _requeue(state, row, f'refused by {row.instance}: {event.reason}')


_EVENT_HANDLERS = {
    EventKind.STARTED: _start,
    EventKind.CHECKPOINT: _checkpoint,
    EventKind.FINISHED: _finish,
    EventKind.FAILED: _fail,
    EventKind.STOPPED: _stop,
    EventKind.REFUSED: _refuse,
}


def _is_repeatable(state, row):
    target = state.workloads.find(row.workload)
    return target is None or target.repeatable


def _requeue(state, row, reason):
    state.jobs.update(
        row.id,
        state=job.JobState.PENDING,
        instance='',
        session=0,
        reason=reason,
        hold=job.Hold.NONE,
    )


def _end(state, row, end_state, at, reason, result=b''):
    state.jobs.update(
        row.id,
        state=end_state,
        instance='',
        session=0,
        ended_at=at,
        reason=reason,
        result=result,
    )


class Eviction(msgspec.Struct, kw_only=True, frozen=True):
    """Order to stop the current grant of a job and requeue the job."""

    job_id: str
    epoch: int
    reason: str = ''


class EvictJobs(commands.Command, kw_only=True, frozen=True):
    """Start evictions; the agent's ``STOPPED`` report completes them."""

    evictions: list[Eviction]
    at: datetime.datetime

    def apply(self, state):
        """Mark each job still granted under the epoch; return their ids."""
        marked = []
        for eviction in self.evictions:
            row = state.jobs.find(eviction.job_id)
            if row is None or row.epoch != eviction.epoch:
                continue
            if row.state in (job.JobState.GRANTED, job.JobState.RUNNING):
                state.jobs.update(
                    row.id,
                    state=job.JobState.EVICTING,
                    reason=eviction.reason,
                    evicted_at=self.at,
                )
                marked.append(row.id)
        return marked


class CancelJobs(commands.Command, kw_only=True, frozen=True):
    """Cancel jobs; idempotent, and unknown ids are ignored."""

    job_ids: list[str]
    at: datetime.datetime

    def apply(self, state):
        """Cancel each job; return their states by id, empty if unknown."""
        return {job_id: self._cancel(state, job_id) for job_id in self.job_ids}

    def _cancel(self, state, job_id):
        row = state.jobs.find(job_id)
        if row is None:
            return ''
        if row.state in (job.JobState.PENDING, job.JobState.HELD):
            _end(state, row, job.JobState.CANCELLED, self.at, 'cancelled')
        elif row.state in job.ACTIVE_STATES:
            state.jobs.update(row.id, state=job.JobState.CANCELLING)
        return str(row.state)


class HoldJobs(commands.Command, kw_only=True, frozen=True):
    """Hold pending jobs that can't run, with the reason."""

    reasons: dict[str, str]
    hold: job.Hold = job.Hold.IMPOSSIBLE

    def apply(self, state):
        """Hold each job that is pending; return their ids."""
        held_ids = []
        for job_id, reason in self.reasons.items():
            row = state.jobs.find(job_id)
            if row is not None and row.state == job.JobState.PENDING:
                state.jobs.update(
                    job_id,
                    state=job.JobState.HELD,
                    reason=reason,
                    hold=self.hold,
                )
                held_ids.append(job_id)
        return held_ids


class ReleaseJobs(commands.Command, kw_only=True, frozen=True):
    """Make held jobs pending again and clear their failures."""

    job_ids: list[str]
    reason: str = ''

    def apply(self, state):
        """Release each job that is held; return their ids."""
        released = []
        for job_id in self.job_ids:
            row = state.jobs.find(job_id)
            if row is not None and row.state == job.JobState.HELD:
                row.failures.clear()
                _requeue(state, row, self.reason)
                released.append(job_id)
        return released


class ExpireJobs(commands.Command, kw_only=True, frozen=True):
    """Remove jobs that ended long ago."""

    job_ids: list[str]

    def apply(self, state):
        """Remove each job that has ended; return their number."""
        rows = [state.jobs.find(job_id) for job_id in self.job_ids]
        ended = [row for row in rows if row and row.state in job.END_STATES]
        for row in ended:
            state.jobs.remove(row.id)
        return len(ended)
