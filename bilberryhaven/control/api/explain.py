"""Explanations of placements and of work that cannot be placed."""

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
WAITING_STATES = frozenset({job.JobState.PENDING, job.JobState.HELD})
PLACED_STATES = frozenset({job.JobState.GRANTED, job.JobState.RUNNING})


@api.route('GET', '/v1/explain/{name}')
def explain(request):
    """Return the explanation of a job, workload or instance."""
    name = request.params['name']
    limit = request.read_integer('limit', DEFAULT_LIMIT, high=MAX_LIMIT)
    ctx = request.ctx
    with ctx.read():
        if name in ctx.state.jobs:
            response = _explain_job(ctx, ctx.state.jobs.get(name))
        elif name in ctx.state.workloads:
            response = _explain_workload(ctx, ctx.state.workloads.get(name))
        elif name in ctx.state.instances:
            response = _explain_instance(ctx, ctx.state.instances.get(name))
        else:
            raise errors.NotFoundError(
                f'no workload, job or instance is called {name!r}',
                step='look-up',
            )
    response['rows'] = response['rows'][:limit]
    return response


def _build_explanation(kind, row, state, summary, *, rows=(), notes=()):
    return {
        'kind': kind,
        'name': row.id if kind == 'job' else row.name,
        'state': state,
        'summary': summary,
        'notes': list(notes),
        'rows': list(rows),
    }


def _explain_job(ctx, row):
    rows = []
    if row.state in WAITING_STATES and row.workload in ctx.state.workloads:
        verdicts = explanation.explain_job(
            ctx.state,
            row.id,
            service_reserve=ctx.settings.service_reserve,
            nodes_by_name=ctx.get_nodes_by_name(),
        )
        rows = _build_verdict_rows(verdicts, row.failures)
    return _build_explanation(
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
    if row.state in PLACED_STATES:
        notes += _list_placed_notes(ctx.state, row)
    if row.evictions:
        origin = 'from its checkpoint' if row.checkpoint else 'from the start'
        notes.append(
            f'It was evicted {row.evictions} times, resumes {origin}.'
        )
    if row.failures:
        notes.append(f'It failed on: {", ".join(row.failures)}.')
    if row.state in WAITING_STATES:
        workload_row = ctx.state.workloads.find(row.workload)
        notes += (
            _list_blockers(ctx.state, workload_row) if workload_row else []
        )
        notes += _summarize_fits(rows)
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
    workload_row = state.workloads.find(row.workload)
    instance_row = state.instances.find(row.instance)
    if (
        workload_row is not None
        and instance_row is not None
        and workload_row.runs_on
    ):
        rule = selector.parse_selector(workload_row.runs_on)
        matches = rule.match(instance_row.merge_labels())
        verb = 'matches' if matches else 'no longer matches'
        notes.append(
            f'runs_on {workload_row.runs_on!r} {verb} {instance_row.name}.'
        )
    colocated = {
        job_row.workload
        for job_row in state.jobs.select('instance', row.instance)
        if job_row.id != row.id
    }
    if colocated:
        notes.append(f'Beside it run jobs of: {", ".join(sorted(colocated))}.')
    return notes


def _summarize_fits(rows):
    fits = sum(row['verdict'] == explanation.Verdict.FITS for row in rows)
    if fits:
        return [f'It fits on {fits} of {len(rows)} instances now.']
    if rows:
        return [f'It fits on none of {len(rows)} instances now.']
    return ['There are no instances.']


def _list_blockers(state, workload_row):
    """Return the reasons why no work of a workload is started."""
    notes = []
    if workload_row.held:
        notes.append(
            f'Workload {workload_row.name} is held: {workload_row.held}.'
        )
    team = state.teams.find(workload_row.team)
    if team is not None and team.quota:
        used = teams.count_slots(state).get(team.name, 0)
        if used + workload_row.resources.slots > team.quota:
            notes.append(
                f'Team {team.name} holds {used} of its quota of '
                f'{team.quota} slots.'
            )
    return notes


def _explain_workload(ctx, row):
    verdicts = explanation.explain_workload(
        ctx.state,
        row.name,
        service_reserve=ctx.settings.service_reserve,
        nodes_by_name=ctx.get_nodes_by_name(),
    )
    rows = _build_verdict_rows(verdicts, ())
    if row.kind == workload.Kind.SERVICE:
        rows = [_ignore_reserve(entry) for entry in rows]
    fits = sum(e['verdict'] == explanation.Verdict.FITS for e in rows)
    summary = (
        f'{row.kind.capitalize()} {row.name} can get new work on {fits} of '
        f'{len(rows)} instances.'
    )
    notes = _list_blockers(ctx.state, row)
    counts = _count_states(ctx.state, row.name)
    if counts:
        listed = ', '.join(f'{counts[key]} {key}' for key in counts)
        notes.append(f'Its jobs: {listed}.')
    state = 'held' if row.held else 'ready' if fits else 'waiting'
    response = _build_explanation(
        'workload', row, state, summary, rows=rows, notes=notes
    )
    response['jobs'] = counts
    return response


def _ignore_reserve(entry):
    """Return the verdict on a service regardless of reserved resources.

    The slots of a service are counted by its agent only.
    """
    if entry['verdict'] in (
        explanation.Verdict.RESOURCES,
        explanation.Verdict.FITS,
    ):
        reason = 'serves it while its agent has a slot free'
        return {**entry, 'verdict': 'fits', 'reason': reason}
    return entry


def _build_verdict_rows(verdicts, failures):
    rows = []
    for entry in verdicts:
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
    closed_reasons = _list_closed_reasons(row)
    summary = f'Instance {row.name} takes new work.'
    if closed_reasons:
        summary = f'Instance {row.name} takes no new work: '
        summary += f'{"; ".join(closed_reasons)}.'
    rows = [
        {
            'job': job_row.id,
            'workload': job_row.workload,
            'state': str(job_row.state),
            'reason': job_row.reason,
        }
        for job_row in ctx.state.jobs.select('instance', row.name)
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
    state = 'closed' if closed_reasons else 'open'
    return _build_explanation(
        'instance', row, state, summary, rows=rows, notes=notes
    )


def _list_services(state, row):
    labels = row.merge_labels()
    return [
        workload_row.name
        for workload_row in state.workloads.select(
            'kind', workload.Kind.SERVICE
        )
        if selector.parse_selector(workload_row.runs_on).match(labels)
    ]


def _list_closed_reasons(row):
    closed_reasons = []
    if not row.connected:
        closed_reasons.append(
            'its agent has no session, it stopped or is cut off'
        )
    if row.draining:
        closed_reasons.append('it is draining')
    if row.leaving:
        closed_reasons.append('its agent is stopping')
    if row.quarantined:
        closed_reasons.append(f'it is quarantined: {row.quarantined}')
    return closed_reasons
