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
    """Where a job stands.

    ``UNKNOWN`` is the end of a job that must not be repeated and whose start
    can't be ruled out: it is never issued again.
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
    """Why a job is held.

    ``IMPOSSIBLE`` ends once an instance could run it, ``FAILING`` once its
    workload is changed.
    """

    NONE = ''
    IMPOSSIBLE = 'impossible'
    FAILING = 'failing'


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """One batch task or watch.

    Attributes:
        id: Unique id, chosen by the submitter; a resend finds the same job.
        workload: Name of its workload.
        payload: The submitter's input.
        state: Where it stands.
        submitted_at: When it was accepted, UTC.
        deadline_at: When it must have finished, or None.
        instance: Where it is granted or runs, or empty.
        session: Epoch of that instance's session.
        epoch: Number of its newest grant; fences older ones.
        granted_at: When it was granted last, or None.
        started_at: When it was started last, or None.
        ended_at: When it reached an end state, or None.
        checkpoint: Newest checkpoint, or empty.
        evictions: How often it was evicted.
        failures: Instances on which it failed, oldest first.
        result: Its answer, once finished.
        reason: Why it stands where it stands, for a person.
        slots: Slots that its newest grant takes.
        hold: Why it is held, where it is.
        checkpoint_at: When its newest checkpoint was recorded, or None.
        evicted_at: When its newest eviction was ordered, or None.
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
