"""Subcommand that lists entities or shows a single one."""

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven.cmdline import members
from bilberryhaven import errors

__all__ = []

JOB_FILTERS = ('state', 'workload', 'instance')


def _build_workload_table(rows):
    headers = ['NAME', 'KIND', 'TEAM', 'VERSION', 'LABELS AND SELECTORS']
    return headers, [
        [
            row['name'],
            row['kind'],
            row['team'],
            row['version'],
            _describe_workload(row),
        ]
        for row in rows
    ]


def _describe_workload(row):
    parts = [_output.format_labels(row['labels'])]
    if row['runs_on']:
        parts.append(f'runs on: {row["runs_on"]}')
    if row['shares_with']:
        parts.append(f'shares with: {row["shares_with"]}')
    if not row['repeatable']:
        parts.append('not repeatable')
    if row['held']:
        parts.append(f'HELD: {row["held"]}')
    return '; '.join(part for part in parts if part)


def _build_instance_table(rows):
    headers = ['NAME', 'ZONE', 'RACK', 'SLOTS', 'STATE', 'LABELS']
    return headers, [
        [
            row['name'],
            row['zone'],
            row['rack'],
            _describe_slots(row),
            _describe_instance(row),
            _output.format_labels({**row['announced'], **row['set_labels']}),
        ]
        for row in rows
    ]


def _describe_slots(row):
    used = row['load']['slots_used'] if row['load'] else '?'
    return f'{used}/{row["capacity"]["slots"]}'


def _describe_instance(row):
    states = ['connected' if row['connected'] else 'lost']
    if row['draining']:
        states.append('draining')
    if row['leaving']:
        states.append('stopping')
    if row['quarantined']:
        states.append('quarantined')
    return ','.join(states)


def _build_zone_table(rows):
    headers = [
        'NAME',
        'REGION',
        'CONNECTED',
        'DRAINING',
        'SLOTS',
        'WITHDRAWN',
        'RUNS',
    ]
    return headers, [
        [
            row['name'],
            row['region'],
            f'{row["connected"]}/{row["instances"]}',
            row['draining'],
            f'{row["slots_used"]}/{row["slots"]}',
            'yes' if row['withdrawn'] else 'no',
            row['runs'],
        ]
        for row in rows
    ]


def _build_team_table(rows):
    headers = ['NAME', 'QUOTA', 'HELD', 'WEIGHT', 'VERSION']
    return headers, [
        [
            row['name'],
            row['quota'] or 'none',
            row['slots_held'],
            row['weight'],
            row['version'],
        ]
        for row in rows
    ]


def _build_job_table(rows):
    headers = ['ID', 'WORKLOAD', 'STATE', 'INSTANCE', 'REASON']
    return headers, [
        [
            row['id'],
            row['workload'],
            row['state'],
            row['instance'] or '-',
            row['reason'],
        ]
        for row in rows
    ]


TABLE_BUILDERS = {
    'workloads': _build_workload_table,
    'instances': _build_instance_table,
    'zones': _build_zone_table,
    'teams': _build_team_table,
    'members': members.build_member_table,
    'jobs': _build_job_table,
}


@cmdline.register('get')
class GetCommand(cmdline.Command):
    """Lists entities, or shows one."""

    help = 'list workloads, instances, zones, teams, members or jobs'

    def add_arguments(self, parser):
        """Add the kind, the name and the filters of jobs."""
        parser.add_argument(
            'kind', metavar='KIND', choices=list(TABLE_BUILDERS)
        )
        parser.add_argument('name', metavar='NAME', nargs='?')
        for option in JOB_FILTERS:
            parser.add_argument(
                f'--{option}',
                metavar=option.upper(),
                help=f'show only jobs of this {option}',
            )
        parser.add_argument(
            '--limit',
            type=int,
            metavar='N',
            help='number of newest jobs to show',
        )

    def run(self, opts):
        """Print a list, or one entity in full."""
        base = f'/v1/{opts.kind}'
        list_only = opts.kind in ('zones', 'members')
        name = None if list_only else opts.name
        query = {option: getattr(opts, option) for option in JOB_FILTERS}
        query['limit'] = opts.limit
        client = cmdline.connect(opts)
        if name:
            answer = client.read(base, name)
        else:
            answer = client.read_all(base, opts.kind, query)
        if opts.output == 'json':
            _output.print_json(answer)
        elif name:
            _print_entity(answer)
        else:
            rows = answer[opts.kind]
            if opts.kind != 'jobs':
                rows = sorted(rows, key=_output.build_sort_key)
            if opts.name:
                rows = _select_rows(rows, opts.kind, opts.name)
            _output.print_table(*TABLE_BUILDERS[opts.kind](rows))
            if answer.get('total', 0) > len(rows):
                print(f'(the newest {len(rows)} of {answer["total"]})')


def _select_rows(rows, kind, name):
    found = [row for row in rows if row['name'] == name]
    if not found:
        raise errors.NotFoundError(f'{kind} contains no {name!r}', step='get')
    return found


def _print_entity(answer):
    rows = [[key, _format_value(answer[key])] for key in answer]
    _output.print_table(['FIELD', 'VALUE'], rows)


def _format_value(value):
    if isinstance(value, dict):
        return _output.format_labels(value) or '-'
    if isinstance(value, list):
        return ', '.join(str(item) for item in value) or '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return '-' if value in ('', None) else str(value)
