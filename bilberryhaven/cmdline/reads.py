"""Subcommands that read: get, in-force, explain, history."""

import re

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven.cmdline import members

__all__ = []

MAX_NAMES = 6


def _fetch(opts, path, query=None):
    from bilberryhaven.cmdline import _client

    return _client.connect(opts).call('GET', path, query=query)


def _build_path(base, name):
    from bilberryhaven.cmdline import _client

    return f'{base}/{_client.quote(name)}' if name else base


def _list_workloads(rows):
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


def _list_instances(rows):
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


def _list_zones(rows):
    headers = ['NAME', 'REGION', 'CONNECTED', 'DRAINING', 'SLOTS']
    return headers, [
        [
            row['name'],
            row['region'],
            f'{row["connected"]}/{row["instances"]}',
            row['draining'],
            f'{row["slots_used"]}/{row["slots"]}',
        ]
        for row in rows
    ]


def _list_teams(rows):
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


def _list_jobs(rows):
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


LISTERS = {
    'workloads': _list_workloads,
    'instances': _list_instances,
    'zones': _list_zones,
    'teams': _list_teams,
    'members': members.list_members,
    'jobs': _list_jobs,
}


@cmdline.register('get')
class GetCommand(cmdline.Command):
    """Lists or shows entities."""

    help = 'list workloads, instances, zones, teams, members or jobs'

    def add_arguments(self, parser):
        """Add the kind and name."""
        parser.add_argument('kind', metavar='KIND', choices=list(LISTERS))
        parser.add_argument('name', metavar='NAME', nargs='?')
        parser.add_argument('--state', help='only jobs in this state')

    def run(self, opts):
        """Print a list, or one entity in full."""
        base = f'/v1/{opts.kind}'
        whole = opts.kind in ('zones', 'members')
        name = None if whole else opts.name
        query = {'state': opts.state}
        answer = _fetch(opts, _build_path(base, name), query)
        if opts.output == 'json':
            _output.print_json(answer)
        elif name:
            _print_one(answer)
        else:
            rows = answer[opts.kind]
            if opts.kind != 'jobs':
                rows = sorted(rows, key=_build_sort_key)
            if opts.name:
                rows = [row for row in rows if row['name'] == opts.name]
            _output.print_table(*LISTERS[opts.kind](rows))


def _build_sort_key(row):
    """Return a key that puts ``a-9`` before ``a-10``."""
    parts = re.split(r'(\d+)', row['name'])
    parts[1::2] = [int(number) for number in parts[1::2]]
    return parts


def _print_one(answer):
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


@cmdline.register('in-force')
class InForceCommand(cmdline.Command):
    """Says which revision is in force."""

    help = 'show the revision in force and which nodes hold it'

    def add_arguments(self, parser):
        """Add the optional target."""
        parser.add_argument('name', metavar='NAME', nargs='?')

    def run(self, opts):
        """Print the revision and each node's."""
        answer = _fetch(opts, _build_path('/v1/in-force', opts.name))
        if opts.output == 'json':
            _output.print_json(answer)
            return
        stand = 'in force everywhere'
        if not answer['in_force']:
            stand = f'not yet in force on: {", ".join(answer["behind"])}'
        print(f'revision {answer["revision"]}: {stand}')
        _output.print_table(
            ['NODE', 'ROLE', 'ZONE', 'REVISION', 'LEASE LEFT'],
            [
                [
                    row['name'],
                    row['role'],
                    row['zone'],
                    row['revision'],
                    _describe_lease(row),
                ]
                for row in answer['nodes']
            ],
        )


def _describe_lease(row):
    if row['lease_left_ms'] is None:
        return 'not reported since the leader changed'
    if not row['live']:
        return 'run out: it admits nothing'
    return f'{row["lease_left_ms"] / 1000:.1f} s'


@cmdline.register('explain')
class ExplainCommand(cmdline.Command):
    """Explains why something runs where it runs."""

    help = 'say why a workload, job or instance is where it is, or waits'

    def add_arguments(self, parser):
        """Add the name."""
        parser.add_argument('name', metavar='NAME')

    def run(self, opts):
        """Print the summary and what each instance lacks."""
        answer = _fetch(opts, _build_path('/v1/explain', opts.name))
        if opts.output == 'json':
            _output.print_json(answer)
            return
        for line in [answer['summary'], *answer['notes']]:
            _output.print_text(line)
        rows = answer['rows']
        if answer['kind'] == 'instance':
            _print_jobs(rows)
        elif rows:
            _print_verdicts(rows)


def _print_jobs(rows):
    if rows:
        _output.print_table(
            ['JOB', 'WORKLOAD', 'STATE', 'WHY IT IS HERE'],
            [[r['job'], r['workload'], r['state'], r['reason']] for r in rows],
        )


def _print_verdicts(rows):
    """Print instances of one verdict and reason as one row."""
    groups = {}
    for row in rows:
        key = (row['verdict'], row['reason'])
        groups.setdefault(key, []).append(row['instance'])
    _output.print_table(
        ['VERDICT', 'COUNT', 'INSTANCES AND REASON'],
        [
            [
                verdict,
                len(names),
                f'{_shorten(names)}: {reason}',
            ]
            for (verdict, reason), names in groups.items()
        ],
    )


def _shorten(names):
    shown = ', '.join(names[:MAX_NAMES])
    more = len(names) - MAX_NAMES
    return f'{shown} and {more} more' if more > 0 else shown


@cmdline.register('history')
class HistoryCommand(cmdline.Command):
    """Says who changed what, when."""

    help = 'show who changed what, when'

    def add_arguments(self, parser):
        """Add the optional target."""
        parser.add_argument('name', metavar='NAME', nargs='?')

    def run(self, opts):
        """Print the changes, oldest first."""
        answer = _fetch(opts, _build_path('/v1/history', opts.name))
        if opts.output == 'json':
            _output.print_json(answer)
            return
        _output.print_table(
            ['WHEN', 'BY', 'REVISION', 'TARGET', 'CHANGE'],
            [
                [
                    row['at'][:19].replace('T', ' '),
                    row['by'],
                    row['revision'] or 'refused',
                    row['target'],
                    _describe_row(row),
                ]
                for row in answer['changes']
            ],
        )


def _describe_row(row):
    fields = row['fields']
    text = '; '.join(f'{key}={fields[key]}' for key in fields if fields[key])
    return f'{text} ({row["error"]})' if row['error'] else text
