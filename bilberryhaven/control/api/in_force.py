"""Revisions that agents and entries hold."""

import dataclasses

from bilberryhaven.control import api
from bilberryhaven.control.api import history
from bilberryhaven.control.api import serializers

__all__ = ['is_in_force']

MAX_NODES = 100_000
MAX_LISTED_BEHIND = 20


@dataclasses.dataclass(kw_only=True, slots=True)
class NodeRevision:
    """Revision that an agent or entry holds.

    Attributes:
        name: Name of the process.
        role: ``agent`` or ``entry``.
        zone: Its availability zone.
        revision: Oldest revision that it may still act on.
        lease_left_ms: Remaining time of its lease in milliseconds, or None
            if it has not yet reported to this leader.
        live: Whether its lease has not expired.
    """

    name: str
    role: str
    zone: str
    revision: int
    lease_left_ms: int | None
    live: bool


def _list_node_revisions(ctx):
    """Return the ``NodeRevision`` of each agent and entry.

    Agents with an open session that have not reported to this leader are
    included: they may hold a lease of the previous leader, so they count as
    behind.
    """
    now = ctx.clock.monotonic()
    node_revisions = []
    for node in ctx.list_nodes():
        remaining_s = (node.lease_end - now).total_seconds()
        node_revisions.append(
            NodeRevision(
                name=node.name,
                role=node.role,
                zone=node.zone,
                revision=node.revision,
                lease_left_ms=max(0, round(remaining_s * 1000)),
                live=remaining_s > 0,
            )
        )
    reported_agents = {
        row.name for row in node_revisions if row.role == 'agent'
    }
    with ctx.read():
        for row in ctx.state.instances.select('connected', True):
            if row.name not in reported_agents:
                node_revisions.append(_build_unreported_agent(row))
    return node_revisions


def _build_unreported_agent(row):
    return NodeRevision(
        name=row.name,
        role='agent',
        zone=row.zone,
        revision=0,
        lease_left_ms=None,
        live=True,
    )


def _list_behind(node_revisions, revision):
    return [
        row.name
        for row in node_revisions
        if row.live and row.revision < revision
    ]


def is_in_force(ctx, revision):
    """Return whether each node with a live lease holds ``revision``."""
    return not _list_behind(_list_node_revisions(ctx), revision)


@api.route('GET', '/v1/in-force')
def get_in_force(request):
    """Return whether a revision is in force and what each node holds."""
    with request.ctx.read():
        newest = request.ctx.state.revision
    revision = request.read_integer('revision', newest)
    return _build_response(request, revision, newest)


@api.route('GET', '/v1/in-force/{name}')
def get_target_in_force(request):
    """Return whether the newest change of one target is in force."""
    name = request.params['name']
    with request.ctx.read():
        newest = request.ctx.state.revision
        changes = history.list_changes(request.ctx.state, name)
    revision = max((row.revision for row in changes), default=0)
    return {'name': name, **_build_response(request, revision, newest)}


def _build_response(request, revision, newest):
    limit = request.read_integer('nodes', MAX_NODES, high=MAX_NODES)
    node_revisions = _list_node_revisions(request.ctx)
    behind = _list_behind(node_revisions, revision)
    return {
        'revision': revision,
        'newest': newest,
        'in_force': revision <= newest and not behind,
        'behind': behind[:MAX_LISTED_BEHIND],
        'behind_count': len(behind),
        'node_count': len(node_revisions),
        'nodes': [
            serializers.serialize_row(row) for row in node_revisions[:limit]
        ],
    }
