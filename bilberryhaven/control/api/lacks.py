"""What each instance lacks for a workload."""

from bilberryhaven import selector
from bilberryhaven.tables import job

__all__ = ['list_instance_faults', 'list_lacks']


def list_instance_faults(row):
    """Return why an instance takes no new work at all."""
    faults = []
    if not row.connected:
        faults.append('its agent is not connected')
    if row.draining:
        faults.append('it is draining')
    if row.quarantined:
        faults.append(f'it is quarantined: {row.quarantined}')
    return faults


def list_lacks(ctx, owner):
    """Return, for each instance, what keeps ``owner``'s work from it."""
    rows = []
    for row in ctx.state.instances:
        faults = list_instance_faults(row)
        if owner is not None:
            faults += _list_mismatches(ctx, owner, row)
        rows.append({'instance': row.name, 'zone': row.zone, 'lacks': faults})
    return rows


def _list_mismatches(ctx, owner, row):
    faults = []
    labels = row.merge_labels()
    if not selector.parse_selector(owner.runs_on).match(labels):
        faults.append(f'its labels do not match runs_on: {owner.runs_on}')
    need, have = owner.resources, row.capacity
    for field in ('slots', 'cpu', 'memory_mb', 'accelerators'):
        if getattr(need, field) > getattr(have, field):
            faults.append(
                f'it has {field} {getattr(have, field)}, '
                f'{getattr(need, field)} needed'
            )
    faults += _list_neighbours(ctx.state, owner, row)
    load = ctx.get_load(row.name)
    if load is not None and load.slots_used + need.slots > have.slots:
        faults.append(f'{load.slots_used} of {have.slots} slots are in use')
    return faults


def _list_neighbours(state, owner, row):
    faults = []
    for held in state.jobs.select('instance', row.name):
        other = state.workloads.find(held.workload)
        if held.state not in job.ACTIVE_STATES or other is None:
            continue
        if other.name == owner.name:
            continue
        for one, two in ((owner, other), (other, owner)):
            if not selector.parse_selector(one.shares_with).match(two.labels):
                faults.append(
                    f'{one.name} does not share with {two.name}, '
                    f'{held.id} runs there'
                )
    return faults
