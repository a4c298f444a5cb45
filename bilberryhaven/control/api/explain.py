"""Why something runs where it runs, or why it doesn't."""

from bilberryhaven.control import api
from bilberryhaven.control.api import lacks
from bilberryhaven import errors
from bilberryhaven.tables import job

__all__ = []


@api.route('GET', '/v1/explain/{name}')
def explain(request):
    """Explain the workload, job or instance called ``name``."""
    name = request.params['name']
    ctx = request.ctx
    with ctx.read():
        state = ctx.state
        if name in state.jobs:
            return _explain_job(ctx, state.jobs.get(name))
        if name in state.workloads:
            return _explain_workload(ctx, state.workloads.get(name))
        if name in state.instances:
            return _explain_instance(ctx, state.instances.get(name))
    raise errors.NotFoundError(
        f'no workload, job or instance is called {name!r}', step='look-up'
    )


def _build(kind, name, stand, summary, rows):
    return {
        'kind': kind,
        'name': name,
        'state': stand,
        'summary': summary,
        'rows': rows,
    }


def _explain_job(ctx, row):
    where = f' on {row.instance}' if row.instance else ''
    summary = f'job {row.id} of {row.workload} is {row.state}{where}'
    if row.reason:
        summary = f'{summary}: {row.reason}'
    rows = []
    if row.state in (job.JobState.PENDING, job.JobState.HELD):
        owner = ctx.state.workloads.find(row.workload)
        rows = lacks.list_lacks(ctx, owner)
        _mark_failures(rows, row.failures)
    answer = _build('job', row.id, str(row.state), summary, rows)
    answer['evictions'] = row.evictions
    answer['failures'] = list(row.failures)
    return answer


def _mark_failures(rows, failures):
    for row in rows:
        count = failures.count(row['instance'])
        if count:
            row['lacks'].append(f'it failed here {count} times')


def _explain_workload(ctx, row):
    rows = lacks.list_lacks(ctx, row)
    fitting = sum(1 for entry in rows if not entry['lacks'])
    counts = _count_states(ctx.state, row.name)
    stand = 'held' if row.held else 'ready' if fitting else 'waiting'
    summary = (
        f'{row.kind} {row.name} can use {fitting} of {len(rows)} instances'
    )
    if row.held:
        summary = f'{row.kind} {row.name} is held: {row.held}'
    answer = _build('workload', row.name, stand, summary, rows)
    answer['jobs'] = counts
    return answer


def _count_states(state, workload):
    counts = {}
    for row in state.jobs.select('workload', workload):
        counts[str(row.state)] = counts.get(str(row.state), 0) + 1
    return counts


def _explain_instance(ctx, row):
    reasons = lacks.list_instance_faults(row)
    stand = 'ready' if not reasons else 'closed'
    summary = f'instance {row.name} takes new work'
    if reasons:
        summary = (
            f'instance {row.name} takes no new work: {"; ".join(reasons)}'
        )
    rows = [
        {'job': held.id, 'workload': held.workload, 'reason': held.reason}
        for held in ctx.state.jobs.select('instance', row.name)
    ]
    return _build('instance', row.name, stand, summary, rows)
