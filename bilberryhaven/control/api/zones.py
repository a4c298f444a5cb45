"""Endpoints of availability zones: summary, withdrawal and its end."""

from bilberryhaven.commands import zone as zone_commands
from bilberryhaven.control import api
from bilberryhaven.workflow import zones as workflow_zones

__all__ = []


@api.route('GET', '/v1/zones')
def list_zones(request):
    """Return the counts of instances, slots and runs per zone."""
    ctx = request.ctx
    zones = {}
    for zone in ctx.settings.zones:
        zones[zone.name] = _build_zone(zone.name, zone.region)
    with ctx.read():
        for row in ctx.state.instances:
            if row.zone not in zones:
                zones[row.zone] = _build_zone(row.zone, '')
            _add_instance(zones[row.zone], row, ctx.get_load(row.name))
        runs = workflow_zones.count_runs(ctx.state)
        for name in [*runs, *(row.name for row in ctx.state.zones)]:
            zones.setdefault(name, _build_zone(name, ''))
        for name, zone in zones.items():
            zone['withdrawn'] = ctx.state.zones.is_withdrawn(name)
            zone['runs'] = runs.get(name, 0)
    return {'zones': list(zones.values())}


@api.route('POST', '/v1/zones/{name}/withdraw')
def withdraw_zone(request):
    """Start no workflow runs in an availability zone from now on."""
    return _commit_order(request, zone_commands.WithdrawZone)


@api.route('POST', '/v1/zones/{name}/restore')
def restore_zone(request):
    """End the withdrawal of an availability zone."""
    return _commit_order(request, zone_commands.RestoreZone)


def _commit_order(request, kind):
    ctx, name = request.ctx, request.params['name']
    command = kind(zone=name, at=ctx.clock.wall().timestamp())
    ctx.zone_orders.commit(
        ctx, command, relayed=request.relayed, by=request.by
    )
    with ctx.read():
        return {
            'name': name,
            'withdrawn': ctx.state.zones.is_withdrawn(name),
            'runs': workflow_zones.count_runs(ctx.state).get(name, 0),
        }


def _build_zone(name, region):
    return {
        'name': name,
        'region': region,
        'instances': 0,
        'connected': 0,
        'draining': 0,
        'quarantined': 0,
        'slots': 0,
        'slots_used': 0,
    }


def _add_instance(zone, row, load):
    zone['instances'] += 1
    zone['draining'] += row.draining
    zone['quarantined'] += bool(row.quarantined)
    if row.connected:
        zone['connected'] += 1
        zone['slots'] += row.capacity.slots
        zone['slots_used'] += load.slots_used if load else 0
