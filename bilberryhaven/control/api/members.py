"""Endpoints of control instances: read, add and remove."""

from bilberryhaven import border
from bilberryhaven import clock
from bilberryhaven.control import api
from bilberryhaven.control.api import models
from bilberryhaven.control.api import serializers

__all__ = []

# A member that answered the leader within this time is shown as active.
MAX_ANSWER_AGE = clock.seconds(3)


@api.route('GET', '/v1/members')
def list_members(request):
    """Return the control instances."""
    now = request.ctx.clock.monotonic()
    members = request.ctx.list_members()
    return {'members': [_serialize_member(row, now) for row in members]}


def _serialize_member(row, now):
    """Return a member as a JSON value, with ``active`` for its liveness."""
    fields = serializers.serialize_row(row)
    if 'answered_at' in fields:
        del fields['answered_at']
        answered_at = row.answered_at
        fields['active'] = (
            answered_at is not None and now - answered_at < MAX_ANSWER_AGE
        )
    return fields


@api.route('POST', '/v1/members')
def add_member(request):
    """Add a control instance as a learner; it votes once caught up."""
    body = request.decode(models.MemberBody)
    border.parse_peer(body.address)
    request.ctx.change_members(add=(body.name, body.address))
    return list_members(request)


@api.route('DELETE', '/v1/members/{name}')
def remove_member(request):
    """Remove a control instance."""
    request.ctx.change_members(remove=request.params['name'])
    return list_members(request)
