"""Proposing an operator's change and answering whether it is in force."""

import threading

from bilberryhaven.control.api import inforce
from bilberryhaven.control.api import serializers
from bilberryhaven import errors
from bilberryhaven import util

__all__ = ['propose_change']

DEFAULT_WAIT_SECONDS = 3
MAX_WAIT_SECONDS = 4
POLL_SECONDS = 0.05
MAX_WAITERS = 6
TABLES = {'workload': 'workloads', 'instance': 'instances', 'team': 'teams'}

_waiters = threading.BoundedSemaphore(MAX_WAITERS)


def propose_change(request, body, command_class, *, kind, **fields):
    """Propose an operator's change and return the answer to it.

    Args:
        request: The API request; its ``name`` variable is the target.
        body: Its ``ChangeBody``.
        command_class: Class of the change.
        kind: ``workload``, ``instance`` or ``team``.
        **fields: The command's own fields.
    """
    wait_seconds = _read_wait(request)
    name = request.params['name']
    change_id = body.change_id or request.read_key()
    command = command_class(
        change_id=change_id or util.create_id('change'),
        by=_name_author(request, body),
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
            _add_current(request.ctx, error, kind, name)
        raise
    if (row.target, row.fields) != (f'{kind}/{name}', command.describe()):
        raise errors.ConflictError(
            f'change id {row.id!r} was used for another change of '
            f'{row.target}; use a new one',
            step='propose change',
            request_id=row.id,
        )
    answer = {
        'change_id': row.id,
        'revision': row.revision,
        'version': row.version,
    }
    if wait_seconds:
        answer['in_force'] = _wait_in_force(
            request.ctx, row.revision, wait_seconds
        )
    return answer


def _name_author(request, body):
    """Return who the body names and who the receiver knows."""
    names = dict.fromkeys(name for name in (body.by, request.by) if name)
    return ' via '.join(names) or 'unknown'


def _read_wait(request):
    wait = request.query.get('wait')
    if wait is None:
        return 0
    if wait != 'in-force':
        raise errors.BadInputError(
            f'wait={wait!r} is not allowed; write wait=in-force',
            step='read query',
        )
    return request.read_number(
        'wait_seconds', DEFAULT_WAIT_SECONDS, low=1, high=MAX_WAIT_SECONDS
    )


def _add_current(ctx, error, kind, name):
    with ctx.read():
        row = getattr(ctx.state, TABLES[kind]).find(name)
        error.current = None if row is None else serializers.show_row(row)
    head = error.message.partition(': ')[0]
    error.message = f'{head}. It is now: {_write_plain(error.current)}'


def _write_plain(fields):
    if fields is None:
        return 'absent'
    pairs = [f'{k}={v}' for k, v in fields.items() if v not in ('', {}, [])]
    return ', '.join(pairs)


def _wait_in_force(ctx, revision, seconds):
    """Return whether ``revision`` came into force within ``seconds``."""
    if not _waiters.acquire(blocking=False):
        return inforce.is_in_force(ctx, revision)
    try:
        pause = threading.Event()
        for _ in range(int(seconds / POLL_SECONDS)):
            if inforce.is_in_force(ctx, revision):
                return True
            pause.wait(POLL_SECONDS)
        return inforce.is_in_force(ctx, revision)
    finally:
        _waiters.release()
