"""Endpoints of teams: their quotas and the slots in use."""

from bilberryhaven.commands import change
from bilberryhaven.control import api
from bilberryhaven.control.api import changes
from bilberryhaven.control.api import models
from bilberryhaven.control.api import serializers
from bilberryhaven.tables import job

__all__ = ['count_slots']


@api.route('GET', '/v1/teams')
def list_teams(request):
    """Return all teams with the slots that their jobs hold."""
    state = request.ctx.state
    with request.ctx.read():
        slots_by_team = count_slots(state)
        rows = [_serialize_team(row, slots_by_team) for row in state.teams]
    return {'teams': rows}


@api.route('GET', '/v1/teams/{name}')
def get_team(request):
    """Return a team with the slots that its jobs hold."""
    state = request.ctx.state
    with request.ctx.read():
        row = state.teams.get(request.params['name'])
        return _serialize_team(row, count_slots(state))


def _serialize_team(row, slots_by_team):
    return {
        **serializers.serialize_row(row),
        'slots_held': slots_by_team.get(row.name, 0),
    }


def count_slots(state):
    """Return the slots held by active jobs, by team."""
    slots_by_team = {}
    for job_state in job.ACTIVE_STATES:
        for row in state.jobs.select('state', job_state):
            workload = state.workloads.find(row.workload)
            if workload is not None:
                slots = (
                    slots_by_team.get(workload.team, 0)
                    + workload.resources.slots
                )
                slots_by_team[workload.team] = slots
    return slots_by_team


@api.route('PUT', '/v1/teams/{name}')
def put_team(request):
    """Create a team or replace its quota and weight."""
    models.check_name(request.params['name'])
    body = request.decode(models.TeamBody)
    return changes.propose_change(
        request,
        body,
        change.ApplyTeam,
        kind='team',
        quota=body.quota,
        weight=body.weight,
    )
