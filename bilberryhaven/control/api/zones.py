"""Endpoint of availability zones, summarized from their instances."""

from bilberryhaven.control import api

__all__ = []


@api.route('GET', '/v1/zones')
def list_zones(request):
    """Return the counts of instances and slots per availability zone."""
    ctx = request.ctx
    zones = {}
    for zone in ctx.settings.zones:
        zones[zone.name] = _build_zone(zone.name, zone.region)
    with ctx.read():
        for row in ctx.state.instances:
            if row.zone not in zones:
                zones[row.zone] = _build_zone(row.zone, '')
            _add_instance(zones[row.zone], row, ctx.get_load(row.name))
    return {'zones': list(zones.values())}


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
