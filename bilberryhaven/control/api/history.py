"""Who changed what, when."""

from bilberryhaven.control import api
from bilberryhaven.control.api import views
from bilberryhaven import errors

__all__ = []

DEFAULT_LIMIT = 100
MAX_LIMIT = 5000


@api.route('GET', '/v1/history')
def list_history(request):
    """Return the newest changes of all targets."""
    with request.ctx.read():
        rows = list(request.ctx.state.changes)
    return _show(request, rows)


@api.route('GET', '/v1/history/{name}')
def get_history(request):
    """Return the newest changes of one target."""
    name = request.params['name']
    state = request.ctx.state
    with request.ctx.read():
        rows = [r for r in state.changes if _names(r.target, name)]
        known = any(
            name in table
            for table in (state.workloads, state.instances, state.teams)
        )
    if not rows and not known:
        raise errors.NotFoundError(
            f'no workload, instance or team is called {name!r}',
            step='look-up',
        )
    return _show(request, rows)


def _names(target, name):
    return target == name or target.partition('/')[2] == name


def _show(request, rows):
    limit = request.read_number('limit', DEFAULT_LIMIT, high=MAX_LIMIT)
    newest = rows[max(0, len(rows) - limit) :]
    return {
        'total': len(rows),
        'changes': [views.show_row(row) for row in newest],
    }
