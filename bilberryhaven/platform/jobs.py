"""Callers' jobs in the infrastructure's JSON format."""

import typing

import msgspec

from bilberryhaven import border
from bilberryhaven import errors
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import message

__all__ = ['decode_job', 'encode_count', 'encode_state']

MAX_SPEC_BYTES = 4_000
# Three years; the last of a hundred thousand occurrences is a valid time.
MAX_INTERVAL_MS = 10**11
MAX_AFTER = 1_000

_GUARD = border.Guard(what='job', step='decode job')


class _Step(msgspec.Struct):
    """A step; fields that are 0, false or empty are omitted on the wire."""

    task_count: border.Count
    cpu: border.Amount = 0  # thousandths of a core
    mem_mb: border.Amount = 0
    gpu: border.Amount = 0
    estimate_ms: border.Duration = 0
    after: typing.Annotated[
        list[border.Count], msgspec.Meta(max_length=MAX_AFTER)
    ] = []
    gang: bool = False
    rack_local: bool = False
    requirements: border.Text = ''  # one label, not a list
    data_rack: border.Text = ''
    # Most tasks of the step on one backend server.
    anti_affinity: border.Count = 0
    saves_progress: bool = False
    speculative: bool = False
    long_running: bool = False
    image: border.Text = ''
    target_ms: border.Duration = 0
    fill_count: bool | int = False  # flag: uses only capacity left over
    miss_tolerance: border.Count | None = None


class _Job(msgspec.Struct):
    """A job; times are Unix milliseconds."""

    spec: str
    steps: list[_Step]
    start_at_ms: border.UnixTime = 0
    interval_ms: typing.Annotated[
        int, msgspec.Meta(ge=0, le=MAX_INTERVAL_MS)
    ] = 0
    repeat_count: border.Count = 0  # 0: run once, immediately


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
    with _GUARD:
        job = msgspec.json.decode(body, type=_Job)
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
