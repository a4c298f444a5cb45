"""Endpoints of jobs: submit, read and cancel."""

import datetime

import msgspec

from bilberryhaven import border
from bilberryhaven.commands import job as job_commands
from bilberryhaven.control import api
from bilberryhaven.control.api import models
from bilberryhaven.control.api import serializers
from bilberryhaven import errors
from bilberryhaven.tables import job
from bilberryhaven import util

__all__ = []

DEFAULT_LIMIT = 200
MAX_LIMIT = 5000
MAX_PAYLOAD_BYTES = 256 * 1024

_PAYLOAD_GUARD = border.Guard(what='payload', step='read body')


@api.route('POST', '/v1/jobs')
def submit_job(request):
    """Submit a job; idempotent by the job's id."""
    body = request.decode(models.JobBody)
    now = request.ctx.clock.wall()
    key = body.id or request.read_idempotency_key()
    command = job_commands.SubmitJob(
        job_id=key or util.create_id('job'),
        workload=body.workload,
        payload=_convert_payload(body.payload),
        at=now,
        deadline_at=_compute_deadline(now, body.deadline_ms),
    )
    request.request_id = command.job_id
    row = request.ctx.propose(command)
    if (row.workload, row.payload) != (command.workload, command.payload):
        raise errors.ConflictError(
            f'job {row.id!r} of workload {row.workload!r} already exists '
            'with a different workload or payload; use another id',
            step='submit job',
        )
    status = 201 if row.submitted_at == now else 200
    return api.Response(value=serializers.serialize_job(row), status=status)


def _convert_payload(raw):
    with _PAYLOAD_GUARD:
        value = msgspec.json.decode(raw)
    data = value.encode() if isinstance(value, str) else bytes(raw)
    if len(data) > MAX_PAYLOAD_BYTES:
        raise errors.BadInputError(
            f'payload: {len(data)} bytes, at most {MAX_PAYLOAD_BYTES} allowed',
            step='read body',
        )
    return data


def _compute_deadline(now, deadline_ms):
    if deadline_ms is None:
        return None
    return now + datetime.timedelta(milliseconds=deadline_ms)


@api.route('GET', '/v1/jobs')
def list_jobs(request):
    """Return the newest jobs, filtered by the indexed query fields."""
    limit = request.read_integer('limit', DEFAULT_LIMIT, high=MAX_LIMIT)
    with request.ctx.read():
        rows = _select_jobs(request.ctx.state.jobs, request.query)
        serialized = [
            serializers.serialize_job(r)
            for r in rows[max(0, len(rows) - limit) :]
        ]
    return {'total': len(rows), 'jobs': serialized}


def _select_jobs(table, query):
    filters = {f: query[f] for f in table.indexes if query.get(f)}
    states = list(job.JobState)
    if filters.get('state', job.JobState.PENDING) not in states:
        raise errors.BadInputError(
            f'state={filters["state"]!r} is not a job state; allowed: '
            f'{", ".join(states)}',
            step='read query',
        )
    if not filters:
        return list(table)
    field = next(iter(filters))
    rows = table.select(field, filters[field])
    return [
        row
        for row in rows
        if all(getattr(row, key) == filters[key] for key in filters)
    ]


@api.route('GET', '/v1/jobs/{id}')
def get_job(request):
    """Return a job."""
    with request.ctx.read():
        return serializers.serialize_job(
            request.ctx.state.jobs.get(request.params['id'])
        )


@api.route('DELETE', '/v1/jobs/{id}')
def cancel_job(request):
    """Cancel a job; idempotent."""
    job_id = request.params['id']
    state = _propose_cancel(request, [job_id])[job_id]
    if not state:
        raise errors.NotFoundError(
            f'no job has the id {job_id!r}', step='cancel'
        )
    return {'id': job_id, 'state': state}


@api.route('DELETE', '/v1/jobs')
def cancel_jobs(request):
    """Cancel several jobs; the state of an unknown id is empty."""
    body = request.decode(models.CancelBody)
    return {'states': _propose_cancel(request, body.ids)}


def _propose_cancel(request, job_ids):
    command = job_commands.CancelJobs(
        job_ids=job_ids, at=request.ctx.clock.wall()
    )
    return request.ctx.propose(command)
