"""Which nodes hold which revision."""

from bilberryhaven.control import api

__all__ = ['is_in_force', 'list_holders']


def list_holders(ctx):
    """Return what each node holds, agents of open sessions included.

    An instance whose session is open but whose agent has not reported to
    this leader may hold a lease of the former one, so it counts as behind.
    """
    now = ctx.clock.monotonic()
    holders = []
    for node in ctx.list_nodes():
        left = (node.lease_end - now).total_seconds()
        holders.append(
            {
                'name': node.name,
                'role': node.role,
                'zone': node.zone,
                'revision': node.revision,
                'lease_left_ms': max(0, round(left * 1000)),
                'live': left > 0,
            }
        )
    known = {row['name'] for row in holders if row['role'] == 'agent'}
    with ctx.read():
        for row in ctx.state.instances.select('connected', True):
            if row.name not in known:
                holders.append(_build_unreported(row))
    return holders


def _build_unreported(row):
    return {
        'name': row.name,
        'role': 'agent',
        'zone': row.zone,
        'revision': 0,
        'lease_left_ms': None,
        'live': True,
    }


def is_in_force(ctx, revision):
    """Return whether each node that may act holds ``revision``."""
    return not _list_behind(list_holders(ctx), revision)


def _list_behind(holders, revision):
    return [
        row['name']
        for row in holders
        if row['live'] and row['revision'] < revision
    ]


@api.route('GET', '/v1/in-force')
def get_in_force(request):
    """Return the revision and what each node holds."""
    with request.ctx.read():
        newest = request.ctx.state.revision
    revision = request.read_number('revision', newest)
    holders = list_holders(request.ctx)
    behind = _list_behind(holders, revision)
    return {
        'revision': revision,
        'newest': newest,
        'in_force': revision <= newest and not behind,
        'behind': behind,
        'nodes': holders,
    }


@api.route('GET', '/v1/in-force/{name}')
def get_in_force_of(request):
    """Return whether the newest change of one target is in force."""
    name = request.params['name']
    with request.ctx.read():
        changes = [
            row
            for row in request.ctx.state.changes
            if row.target.partition('/')[2] == name and row.revision
        ]
    revision = changes[-1].revision if changes else 0
    holders = list_holders(request.ctx)
    behind = _list_behind(holders, revision)
    return {
        'name': name,
        'revision': revision,
        'change_id': changes[-1].id if changes else '',
        'in_force': not behind,
        'behind': behind,
        'nodes': holders,
    }
