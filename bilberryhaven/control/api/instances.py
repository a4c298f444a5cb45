"""Endpoints of instances: read, label and drain."""

from bilberryhaven.commands import change
from bilberryhaven.control import api
from bilberryhaven.control.api import changes
from bilberryhaven.control.api import models
from bilberryhaven.control.api import pagination
from bilberryhaven.control.api import serializers

__all__ = []


@api.route('GET', '/v1/instances')
def list_instances(request):
    """Return a page of instances with their latest loads."""
    ctx = request.ctx
    return pagination.build_page(
        request,
        'instances',
        ctx.state.instances,
        lambda row: serializers.serialize_instance(
            row, ctx.get_load(row.name)
        ),
    )


@api.route('GET', '/v1/instances/{name}')
def get_instance(request):
    """Return an instance and the ids of the jobs on it."""
    ctx = request.ctx
    name = request.params['name']
    with ctx.read():
        row = ctx.state.instances.get(name)
        serialized = serializers.serialize_instance(row, ctx.get_load(name))
        jobs = ctx.state.jobs.select('instance', name)
        serialized['jobs'] = [row.id for row in jobs]
    return serialized


@api.route('PATCH', '/v1/instances/{name}/labels')
def patch_labels(request):
    """Set or remove labels of an instance."""
    body = request.decode(models.LabelsBody)
    models.check_labels('instance', body.labels)
    return changes.propose_change(
        request,
        body,
        change.ChangeLabels,
        kind='instance',
        labels=body.labels,
    )


@api.route('POST', '/v1/instances/{name}/drain')
def drain_instance(request):
    """Start or end the draining of an instance."""
    body = request.decode(models.DrainBody)
    return changes.propose_change(
        request,
        body,
        change.DrainInstance,
        kind='instance',
        draining=body.draining,
    )
