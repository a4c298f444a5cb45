"""Why something runs where it runs, or why it doesn't."""

from bilberryhaven.control import api
from bilberryhaven.control.api import teams
from bilberryhaven import errors
from bilberryhaven import selector
from bilberryhaven.systems import explanation
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

__all__ = []

DEFAULT_LIMIT = 1000
MAX_LIMIT = 10_000
WAITING = frozenset({job.JobState.PENDING, job.JobState.HELD})
PLACED = frozenset({job.JobState.GRANTED, job.JobState.RUNNING})


@api.route('GET', '/v1/explain/{name}')
def explain(request):
    """Explain the workload, job or instance called ``name``."""
    name = request.params['name']
    limit = request.read_number('limit', DEFAULT_LIMIT, high=MAX_LIMIT)
    ctx = request.ctx
    with ctx.read():
        if name in ctx.state.jobs:
            answer = _explain_job(ctx, ctx.state.jobs.get(name))
        elif name in ctx.state.workloads:
            answer = _explain_workload(ctx, ctx.state.workloads.get(name))
        elif name in ctx.state.instances:
            answer = _explain_instance(ctx, ctx.state.instances.get(name))
        else:
            raise errors.NotFoundError(
                f'no workload, job or instance is called {name!r}',
                step='look-up',
            )
    answer['rows'] = answer['rows'][:limit]
    return answer


def _build(kind, row, stand, summary, *, rows=(), notes=()):
    return {
        'kind': kind,
        'name': row.id if kind == 'job' else row.name,
        'state': stand,
        'summary': summary,
        'notes': list(notes),
        'rows': list(rows),
    }


def _explain_job(ctx, row):
    rows = []
    if row.state in WAITING and row.workload in ctx.state.workloads:
        found = explanation.explain_job(
            ctx.state, row.id, service_reserve=ctx.settings.service_reserve
        )
        rows = _show_verdicts(found, row.failures)
    return _build(
        'job',
        row,
        str(row.state),
        _summarize_job(row),
        rows=rows,
        notes=_list_job_notes(ctx, row, rows),
    )


def _summarize_job(row):
    text = f'Job {row.id} of {row.workload} is {row.state}'
    if row.instance:
        text = f'{text} on {row.instance}'
    return f'{text}: {row.reason}.' if row.reason else f'{text}.'


def _list_job_notes(ctx, row, rows):
    notes = []
    if row.state in PLACED:
        notes += _list_placed_notes(ctx.state, row)
    if row.evictions:
        held = 'from its checkpoint' if row.checkpoint else 'from the start'
        notes.append(f'It was evicted {row.evictions} times, resumes {held}.')
    if row.failures:
        notes.append(f'It failed on: {", ".join(row.failures)}.')
    if row.state in WAITING:
        owner = ctx.state.workloads.find(row.workload)
        notes += _list_blocks(ctx.state, owner) if owner else []
        notes += _describe_fits(rows)
    if row.state == job.JobState.UNKNOWN:
        notes.append(
            'It may have started and must not be repeated, so it is never '
            'issued again. Find out at the backend server whether it ran; '
            'submit it under a new id only if it did not.'
        )
    return notes


def _list_placed_notes(state, row):
    notes = [
        'It was placed where the expected cost to tail latency, throughput '
        'and evictions, weighted as in the settings, was lowest among the '
        'instances that fit.'
    ]
    owner = state.workloads.find(row.workload)
    where = state.instances.find(row.instance)
    if owner is not None and where is not None and owner.runs_on:
        rule = selector.parse_selector(owner.runs_on)
        matches = rule.match(where.merge_labels())
        verb = 'matches' if matches else 'no longer matches'
        notes.append(f'runs_on {owner.runs_on!r} {verb} {where.name}.')
    beside = {
        held.workload
        for held in state.jobs.select('instance', row.instance)
        if held.id != row.id
    }
    if beside:
        notes.append(f'Beside it run jobs of: {", ".join(sorted(beside))}.')
    return notes


def _describe_fits(rows):
    fits = sum(row['verdict'] == explanation.Verdict.FITS for row in rows)
    if fits:
        return [f'It fits on {fits} of {len(rows)} instances now.']
    if rows:
        return [f'It fits on none of {len(rows)} instances now.']
    return ['There are no instances.']


def _list_blocks(state, owner):
    """Return what keeps all work of a workload from being started."""
    notes = []
    if owner.held:
        notes.append(f'Workload {owner.name} is held: {owner.held}.')
    team = state.teams.find(owner.team)
    if team is not None and team.quota:
        used = teams.count_slots(state).get(team.name, 0)
        if used + owner.resources.slots > team.quota:
            notes.append(
                f'Team {team.name} holds {used} of its quota of '
                f'{team.quota} slots.'
            )
    return notes


def _explain_workload(ctx, row):
    found = explanation.explain_workload(
        ctx.state, row.name, service_reserve=ctx.settings.service_reserve
    )
    rows = _show_verdicts(found, ())
    if row.kind == workload.Kind.SERVICE:
        rows = [_ignore_reserve(entry) for entry in rows]
    fits = sum(e['verdict'] == explanation.Verdict.FITS for e in rows)
    summary = (
        f'{row.kind.capitalize()} {row.name} can get new work on {fits} of '
        f'{len(rows)} instances.'
    )
    notes = _list_blocks(ctx.state, row)
    counts = _count_states(ctx.state, row.name)
    if counts:
        listed = ', '.join(f'{counts[key]} {key}' for key in counts)
        notes.append(f'Its jobs: {listed}.')
    stand = 'held' if row.held else 'ready' if fits else 'waiting'
    answer = _build('workload', row, stand, summary, rows=rows, notes=notes)
    answer['jobs'] = counts
    return answer


def _ignore_reserve(entry):
    """Return a service's verdict; its agent alone counts its slots."""
    if entry['verdict'] in (
        explanation.Verdict.RESOURCES,
        explanation.Verdict.FITS,
    ):
        reason = 'serves it while its agent has a slot free'
        return {**entry, 'verdict': 'fits', 'reason': reason}
    return entry


def _show_verdicts(found, failures):
    rows = []
    for entry in found:
        reason = entry.reason
        count = failures.count(entry.instance)
        if count:
            reason = f'{reason}; it failed here {count} times'
        rows.append(
            {
                'instance': entry.instance,
                'verdict': str(entry.verdict),
                'reason': reason,
            }
        )
    return rows


def _count_states(state, name):
    counts = {}
    for row in state.jobs.select('workload', name):
        counts[str(row.state)] = counts.get(str(row.state), 0) + 1
    return counts


def _explain_instance(ctx, row):
    faults = _list_faults(row)
    summary = f'Instance {row.name} takes new work.'
    if faults:
        summary = f'Instance {row.name} takes no new work: '
        summary += f'{"; ".join(faults)}.'
    rows = [
        {
            'job': held.id,
            'workload': held.workload,
            'state': str(held.state),
            'reason': held.reason,
        }
        for held in ctx.state.jobs.select('instance', row.name)
    ]
    load = ctx.get_load(row.name)
    notes = []
    if row.quarantined:
        notes.append(
            'It gets one probe at a time and takes work again by itself once '
            'one succeeds.'
        )
    services = _list_services(ctx.state, row)
    if services:
        notes.append(f'Services that may run here: {", ".join(services)}.')
    if load is not None:
        notes.append(
            f'By its last report {load.slots_used} of {load.slots} slots and '
            f'{load.connections_used} of {load.connections} connections are '
            'in use.'
        )
    stand = 'closed' if faults else 'open'
    return _build('instance', row, stand, summary, rows=rows, notes=notes)


def _list_services(state, row):
    labels = row.merge_labels()
    return [
        owner.name
        for owner in state.workloads.select('kind', workload.Kind.SERVICE)
        if selector.parse_selector(owner.runs_on).match(labels)
    ]


def _list_faults(row):
    faults = []
    if not row.connected:
        faults.append('its agent has no session, it stopped or is cut off')
    if row.draining:
        faults.append('it is draining')
    if row.leaving:
        faults.append('its agent is stopping')
    if row.quarantined:
        faults.append(f'it is quarantined: {row.quarantined}')
    return faults
