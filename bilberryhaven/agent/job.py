"""A job of an agent, and the task commands for the backend server."""

import dataclasses
import datetime
import enum

from bilberryhaven.wire import message

__all__ = [
    'CheckpointTask',
    'ForgetTask',
    'Job',
    'JobStage',
    'StartTask',
    'StopTask',
    'ThrottleTask',
]


class JobStage(enum.Enum):
    """Stage of a job.

    A ``STARTING`` job may already be running. An ``ORPHANED`` job belongs to
    a closed session and must stop.
    """

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    ORPHANED = 'orphaned'
    ENDED = 'ended'


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """One grant of a job.

    Attributes:
        order: The start order.
        stage: Current stage.
        stop_reason: Reason of a stop order, or None.
        start_error: Error of a start whose outcome is unknown, or empty.
        start_unknown: Whether a start request got no answer, so that it may
            still be executed.
        known_there: Whether the backend server has shown that it knows the
            grant, so that a late start of it does nothing.
        command_pending: Whether a command for the job is in progress.
        share: Share of full speed that is in force.
        desired_share: Share that control orders.
        progress: Last reported progress, 0 to 1.
        checkpoint: Last checkpoint that was reported to control.
        next_checkpoint_at: Monotonic time at which the next one is due.
        event: The final event, once the job has ended.
        forget_at: Monotonic time until which the backend server has to
            remember the ended job, or None.
    """

    order: message.StartOrder
    stage: JobStage
    stop_reason: str | None = None
    start_error: str = ''
    start_unknown: bool = False
    known_there: bool = False
    command_pending: bool = False
    share: float = 1.0
    desired_share: float = 1.0
    progress: float = 0.0
    checkpoint: bytes = b''
    next_checkpoint_at: datetime.timedelta
    event: message.JobEvent | None = None
    forget_at: datetime.timedelta | None = None

    @property
    def id(self):
        """The job's id."""
        return self.order.job_id

    @property
    def epoch(self):
        """The epoch of the grant."""
        return self.order.epoch

    @property
    def may_start_late(self):
        """Whether a start may be executed although the job has ended."""
        ended = self.stage is JobStage.ENDED
        return ended and self.start_unknown and not self.known_there


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class StartTask:
    """Start the job at the backend server."""

    order: message.StartOrder


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class StopTask:
    """Checkpoint and stop the job at the backend server."""

    job_id: str
    epoch: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class CheckpointTask:
    """Take a checkpoint of the job."""

    job_id: str
    epoch: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ThrottleTask:
    """Limit the job to a share of its full speed."""

    job_id: str
    epoch: int
    share: float


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ForgetTask:
    """Make the backend server remove the ended job."""

    job_id: str
    epoch: int
