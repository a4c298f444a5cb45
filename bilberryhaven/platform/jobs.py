"""Callers' jobs in the infrastructure's JSON format."""

import msgspec

from bilberryhaven import errors
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import message

__all__ = ['decode_job', 'encode_count', 'encode_state']

MAX_SPEC_BYTES = 4_000


class _Step(msgspec.Struct):
    """A step; fields that are 0, false or empty are omitted on the wire."""

    task_count: int
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    gang: bool = False
    rack_local: bool = False
    requirements: str = ''  # one label, not a list
    data_rack: str = ''
    anti_affinity: int = 0  # most tasks of the step on one backend server
    saves_progress: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fill_count: bool | int = False  # flag: uses only capacity left over
    miss_tolerance: int | None = None


class _Job(msgspec.Struct):
    """A job; times are Unix milliseconds."""

    spec: str
    steps: list[_Step]
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0  # 0: run once, immediately


def decode_job(body, *, host, path, zone=''):
    """Return the ``Submit`` request for a job's body.

    Args:
        body: JSON of the job, as bytes.
        host: Host that the request was sent to, without a port.
        path: Path that the request was sent to.
        zone: Availability zone of the entry.

    Raises:
        BadInputError: The body is not a valid job.
    """
    try:
        job = msgspec.json.decode(body, type=_Job)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.BadInputError(
            f'invalid job: {error}', step='decode job'
        ) from error
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise errors.BadInputError(
            f'the spec exceeds {MAX_SPEC_BYTES} bytes',
            step='decode job',
        )
    schedule = None
    if job.repeat_count:
        schedule = workflow.Schedule(
            first_at=job.start_at_ms / 1000,
            interval_s=job.interval_ms / 1000,
            count=job.repeat_count,
        )
    return message.Submit(
        host=host,
        path=path,
        spec=job.spec,
        steps=[_convert_step(step) for step in job.steps],
        schedule=schedule,
        zone=zone,
    )


def _convert_step(step):
    return workflow.Step(
        tasks=step.task_count,
        cpu=step.cpu,
        memory_mb=step.mem_mb,
        gpu=step.gpu,
        estimate_ms=step.estimate_ms,
        after=step.after,
        gang=step.gang,
        rack_local=step.rack_local,
        required_label=step.requirements,
        data_rack=step.data_rack,
        max_per_backend=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        saves_progress=step.saves_progress,
        image=step.image,
        target_ms=step.target_ms,
        best_effort=bool(step.fill_count),
        disruption_budget=step.miss_tolerance,
    )


def encode_state(reply):
    """Return the response body with a job's state."""
    return msgspec.json.encode({'state': reply.state})


def encode_count(reply):
    """Return the response body with the number of jobs waiting in a queue."""
    return msgspec.json.encode({'pending': reply.waiting})
