"""Endpoints of workloads: declare, read and change."""

from bilberryhaven.commands import change
from bilberryhaven.control import api
from bilberryhaven.control.api import changes
from bilberryhaven.control.api import models
from bilberryhaven.control.api import pagination
from bilberryhaven.control.api import serializers
from bilberryhaven.tables import workload

__all__ = []


@api.route('GET', '/v1/workloads')
def list_workloads(request):
    """Return a page of workloads."""
    return pagination.build_page(
        request,
        'workloads',
        request.ctx.state.workloads,
        serializers.serialize_row,
    )


@api.route('GET', '/v1/workloads/{name}')
def get_workload(request):
    """Return a workload."""
    with request.ctx.read():
        row = request.ctx.state.workloads.get(request.params['name'])
        return serializers.serialize_row(row)


@api.route('PUT', '/v1/workloads/{name}')
def put_workload(request):
    """Create a workload or replace its declaration."""
    body = request.decode(models.WorkloadBody)
    name = models.check_name(request.params['name'])
    models.check_labels('workload', body.labels)
    models.check_selector('runs_on', body.runs_on)
    models.check_selector('shares_with', body.shares_with)
    resources = body.resources
    spec = workload.Workload(
        name=name,
        kind=body.kind,
        team=body.team,
        labels=body.labels,
        runs_on=body.runs_on,
        shares_with=body.shares_with,
        resources=workload.Resources(
            slots=resources.slots,
            cpu=resources.cpu,
            memory_mb=resources.memory_mb,
            accelerators=resources.accelerators,
        ),
        run_seconds=body.run_seconds,
        repeatable=body.repeatable,
    )
    return changes.propose_change(
        request, body, change.ApplyWorkload, kind='workload', spec=spec
    )


@api.route('PATCH', '/v1/workloads/{name}/labels')
def patch_labels(request):
    """Set or remove labels of a workload."""
    body = request.decode(models.LabelsBody)
    models.check_labels('workload', body.labels)
    return changes.propose_change(
        request,
        body,
        change.ChangeLabels,
        kind='workload',
        labels=body.labels,
    )


@api.route('PATCH', '/v1/workloads/{name}/selectors')
def patch_selectors(request):
    """Set selectors of a workload."""
    body = request.decode(models.SelectorsBody)
    models.check_selector('runs_on', body.runs_on or '')
    models.check_selector('shares_with', body.shares_with or '')
    return changes.propose_change(
        request,
        body,
        change.ChangeSelectors,
        kind='workload',
        runs_on=body.runs_on,
        shares_with=body.shares_with,
    )
