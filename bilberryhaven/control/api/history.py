"""History of operators' changes."""

from bilberryhaven.control import api
from bilberryhaven.control.api import serializers
from bilberryhaven import errors

__all__ = ['list_changes']

DEFAULT_LIMIT = 100
MAX_LIMIT = 5000
KINDS = ('workload', 'instance', 'team')


def list_changes(state, name, kinds=KINDS):
    """Return the changes of the targets called ``name``, oldest first.

    Args:
        state: The replicated tables.
        name: Name of the targets.
        kinds: Kinds of targets to include.

    Raises:
        NotFoundError: There are no changes and no target has that name.
    """
    rows = []
    for kind in kinds:
        rows += state.changes.select('target', f'{kind}/{name}')
    tables = (state.workloads, state.instances, state.teams)
    if not rows and not any(name in table for table in tables):
        raise errors.NotFoundError(
            f'no workload, instance or team is called {name!r}',
            step='look-up',
        )
    return sorted(rows, key=lambda row: row.at)


@api.route('GET', '/v1/history')
def get_history(request):
    """Return the newest changes of all targets."""
    with request.ctx.read():
        rows = list(request.ctx.state.changes)
    return _build_response(request, rows)


@api.route('GET', '/v1/history/{name}')
def get_target_history(request):
    """Return the newest changes of all targets of one name."""
    with request.ctx.read():
        rows = list_changes(request.ctx.state, request.params['name'])
    return _build_response(request, rows)


@api.route('GET', '/v1/history/{kind}/{name}')
def get_target_history_of_kind(request):
    """Return the newest changes of the target of the given kind."""
    params = request.params
    with request.ctx.read():
        rows = list_changes(
            request.ctx.state, params['name'], kinds=[params['kind']]
        )
    return _build_response(request, rows)


def _build_response(request, rows):
    limit = request.read_integer('limit', DEFAULT_LIMIT, high=MAX_LIMIT)
    newest = rows[max(0, len(rows) - limit) :]
    return {
        'total': len(rows),
        'changes': [serializers.serialize_row(row) for row in newest],
    }
