"""Proposes operators' changes and waits until they are in force."""

import threading

from bilberryhaven.control.api import in_force
from bilberryhaven.control.api import serializers
from bilberryhaven import errors
from bilberryhaven import util

__all__ = ['propose_change']

DEFAULT_WAIT_SECONDS = 3
MAX_WAIT_SECONDS = 4
POLL_SECONDS = 0.05
MAX_WAITERS = 6
TABLE_NAMES = {
    'workload': 'workloads',
    'instance': 'instances',
    'team': 'teams',
}

_waiters = threading.BoundedSemaphore(MAX_WAITERS)


def propose_change(request, body, command_class, *, kind, **fields):
    """Propose an operator's change and return the response.

    Args:
        request: The API ``Request``; its ``name`` variable is the target.
        body: The ``ChangeBody`` of the request.
        command_class: Class of the command to propose.
        kind: ``workload``, ``instance`` or ``team``.
        **fields: Fields specific to the command class.
    """
    wait_seconds = _read_wait_seconds(request)
    name = request.params['name']
    change_id = body.change_id or request.read_idempotency_key()
    command = command_class(
        change_id=change_id or util.create_id('change'),
        by=_format_author(request, body),
        at=request.ctx.clock.wall(),
        kind=kind,
        name=name,
        expect=body.expect,
        **fields,
    )
    try:
        row = request.ctx.propose(command)
    except errors.BilberryhavenError as error:
        error.request_id = error.request_id or command.change_id
        if isinstance(error, errors.ConflictError):
            _attach_current(request.ctx, error, kind, name)
        raise
    if (row.target, row.fields) != (f'{kind}/{name}', command.describe()):
        raise errors.ConflictError(
            f'change id {row.id!r} was already used for another change of '
            f'{row.target}; use a new one',
            step='propose change',
            request_id=row.id,
        )
    response = {
        'change_id': row.id,
        'revision': row.revision,
        'version': row.version,
    }
    if wait_seconds:
        response['in_force'] = _wait_in_force(
            request.ctx, row.revision, wait_seconds
        )
    return response


def _format_author(request, body):
    """Return the author in the body and the one the receiver knows."""
    names = dict.fromkeys(name for name in (body.by, request.by) if name)
    return ' via '.join(names) or 'unknown'


def _read_wait_seconds(request):
    wait = request.query.get('wait')
    if wait is None:
        return 0
    if wait != 'in-force':
        raise errors.BadInputError(
            f'invalid wait={wait!r}; the only allowed value is in-force',
            step='read query',
        )
    return request.read_integer(
        'wait_seconds', DEFAULT_WAIT_SECONDS, low=1, high=MAX_WAIT_SECONDS
    )


def _attach_current(ctx, error, kind, name):
    with ctx.read():
        row = getattr(ctx.state, TABLE_NAMES[kind]).find(name)
        error.current = None if row is None else serializers.serialize_row(row)
    prefix = error.message.partition(': ')[0]
    error.message = f'{prefix}. Current state: {_format_fields(error.current)}'


def _format_fields(fields):
    if fields is None:
        return 'absent'
    pairs = [f'{k}={v}' for k, v in fields.items() if v not in ('', {}, [])]
    return ', '.join(pairs)


def _wait_in_force(ctx, revision, seconds):
    """Return whether ``revision`` came into force within ``seconds``.

    Waits only if fewer than ``MAX_WAITERS`` requests are waiting.
    """
    if not _waiters.acquire(blocking=False):
        return in_force.is_in_force(ctx, revision)
    try:
        timer = threading.Event()
        for _ in range(int(seconds / POLL_SECONDS)):
            if in_force.is_in_force(ctx, revision):
                return True
            timer.wait(POLL_SECONDS)
        return in_force.is_in_force(ctx, revision)
    finally:
        _waiters.release()
