"""Jobs: batch tasks and watches, from submission to outcome."""

import dataclasses
import datetime
import enum

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = [
    'ACTIVE_STATES',
    'END_STATES',
    'Hold',
    'Job',
    'JobState',
    'JobTable',
]


class JobState(enum.StrEnum):
    """Life cycle state of a job.

    ``UNKNOWN`` is the end state of a job that must not be repeated and may
    have been started: it is never granted again.
    """

    PENDING = 'pending'
    GRANTED = 'granted'
    RUNNING = 'running'
    EVICTING = 'evicting'
    CANCELLING = 'cancelling'
    HELD = 'held'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


ACTIVE_STATES = frozenset(
    {
        JobState.GRANTED,
        JobState.RUNNING,
        JobState.EVICTING,
        JobState.CANCELLING,
    }
)
END_STATES = frozenset(
    {
        JobState.FINISHED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.UNKNOWN,
    }
)


class Hold(enum.StrEnum):
    """Cause for which a job is held.

    ``IMPOSSIBLE`` ends once an instance can run the job, ``FAILING`` once its
    workload is changed.
    """

    NONE = ''
    IMPOSSIBLE = 'impossible'
    FAILING = 'failing'


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """One batch task or watch.

    Attributes:
        id: Unique id chosen by the submitter; the idempotency key of the
            submission.
        workload: Name of its workload.
        payload: Input from the submitter.
        state: Life cycle state.
        submitted_at: Time at which it was accepted, UTC.
        deadline_at: Time by which it must have finished, or None.
        instance: Instance to which it is granted, or empty.
        session: Epoch of that instance's session.
        epoch: Number of its latest grant; fences older ones.
        granted_at: Time of its latest grant, or None.
        started_at: Time of its latest start, or None.
        ended_at: Time at which it reached an end state, or None.
        checkpoint: Latest checkpoint, or empty.
        evictions: Number of evictions.
        failures: Instances on which it failed, oldest first.
        result: Its answer, once finished.
        reason: Reason for its state, for a person.
        slots: Slots that its latest grant occupies.
        hold: Cause for which it is held, if it is.
        checkpoint_at: Time at which its latest checkpoint was recorded, or
            None.
        evicted_at: Time at which its latest eviction was ordered, or None.
    """

    id: str
    workload: str
    payload: bytes = b''
    state: JobState = JobState.PENDING
    submitted_at: datetime.datetime
    deadline_at: datetime.datetime | None = None
    instance: str = ''
    session: int = 0
    epoch: int = 0
    granted_at: datetime.datetime | None = None
    started_at: datetime.datetime | None = None
    ended_at: datetime.datetime | None = None
    checkpoint: bytes = b''
    evictions: int = 0
    failures: list[str] = dataclasses.field(default_factory=list)
    result: bytes = b''
    reason: str = ''
    slots: int = 1
    hold: Hold = Hold.NONE
    checkpoint_at: datetime.datetime | None = None
    evicted_at: datetime.datetime | None = None


@tables.register('jobs')
class JobTable(table.Table):
    """Jobs by id."""

    name = 'jobs'
    row_class = Job
    key = 'id'
    indexes = ('state', 'instance', 'workload')
