"""One job of an agent, and the commands that a job needs."""

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
    """Where a job stands.

    ``STARTING`` may already run; ``ORPHANED`` belongs to a session that is
    gone and must stop.
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
        order: The order that started it.
        stage: Where it stands.
        stopping: Reason of a stop order, or None.
        busy: Whether a command for it is being carried out.
        share: Share of its speed that is in force.
        desired_share: Share that control wants.
        progress: As last reported, 0 to 1.
        checkpoint: The newest checkpoint that was reported.
        next_checkpoint_at: When the next one is due.
        event: Its last report, once it has ended.
    """

    order: message.StartOrder
    stage: JobStage
    stop_reason: str | None = None
    command_pending: bool = False
    share: float = 1.0
    desired_share: float = 1.0
    progress: float = 0.0
    checkpoint: bytes = b''
    next_checkpoint_at: datetime.timedelta
    event: message.JobEvent | None = None

    @property
    def id(self):
        """The job's id."""
        return self.order.job_id

    @property
    def epoch(self):
        """The grant's epoch."""
        return self.order.epoch


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
    """Limit the job to a share of its speed."""

    job_id: str
    epoch: int
    share: float


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ForgetTask:
    """Let the backend server drop the ended job."""

    job_id: str
    epoch: int
