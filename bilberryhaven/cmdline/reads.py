"""Subcommands that read system state: in-force, explain, history."""

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output

__all__ = []

MAX_SHOWN_NAMES = 6
MAX_SHOWN_NODES = 40


@cmdline.register('in-force')
class InForceCommand(cmdline.Command):
    """Shows which revision is in force."""

    help = 'show the revision in force and the revision of each node'

    def add_arguments(self, parser):
        """Add the optional target."""
        parser.add_argument('name', metavar='NAME', nargs='?')

    def run(self, opts):
        """Print the revision in force and that of each node."""
        answer = cmdline.connect(opts).read('/v1/in-force', opts.name)
        if opts.output == 'json':
            _output.print_json(answer)
            return
        summary = 'in force everywhere'
        if not answer['in_force']:
            summary = f'not yet in force on {answer["behind_count"]} nodes'
        print(f'revision {answer["revision"]}: {summary}')
        _output.print_table(*_list_nodes(answer))


def _list_nodes(answer):
    """Return a table of nodes, grouped if there are many."""
    rows = answer['nodes']
    if len(rows) > MAX_SHOWN_NODES:
        return _group_nodes(rows)
    rows.sort(key=lambda row: (row['revision'], _output.build_sort_key(row)))
    headers = ['NODE', 'ROLE', 'ZONE', 'REVISION', 'LEASE LEFT']
    return headers, [
        [
            row['name'],
            row['role'],
            row['zone'] or '-',
            row['revision'],
            _describe_lease(row),
        ]
        for row in rows
    ]


def _group_nodes(rows):
    groups = {}
    for row in rows:
        key = (row['revision'], row['live'], row['role'], row['zone'])
        groups.setdefault(key, []).append(row['name'])
    headers = ['REVISION', 'LEASE', 'ROLE', 'ZONE', 'COUNT', 'NODES']
    return headers, [
        [
            revision,
            'valid' if live else 'expired',
            role,
            zone or '-',
            len(names),
            _abbreviate(names),
        ]
        for (revision, live, role, zone), names in sorted(groups.items())
    ]


def _describe_lease(row):
    if row['lease_left_ms'] is None:
        return 'unknown: no report since the leader changed'
    if not row['live']:
        return 'expired: it admits no work'
    return f'{row["lease_left_ms"] / 1000:.1f} s'


@cmdline.register('explain')
class ExplainCommand(cmdline.Command):
    """Explains placement: why something runs where it does, or waits."""

    help = 'explain the placement of a workload or job, or work on an instance'

    def add_arguments(self, parser):
        """Add the name."""
        parser.add_argument('name', metavar='NAME')

    def run(self, opts):
        """Print the summary and the verdict on each instance."""
        answer = cmdline.connect(opts).read('/v1/explain', opts.name)
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
            ['JOB', 'WORKLOAD', 'STATE', 'REASON FOR PLACEMENT'],
            [[r['job'], r['workload'], r['state'], r['reason']] for r in rows],
        )


def _print_verdicts(rows):
    """Print instances with the same verdict and reason in one row."""
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
                f'{_abbreviate(names)}: {reason}',
            ]
            for (verdict, reason), names in groups.items()
        ],
    )


def _abbreviate(names):
    shown = ', '.join(names[:MAX_SHOWN_NAMES])
    hidden = len(names) - MAX_SHOWN_NAMES
    return f'{shown} and {hidden} more' if hidden > 0 else shown


@cmdline.register('history')
class HistoryCommand(cmdline.Command):
    """Shows who changed what, and when."""

    help = 'show who changed what, and when'

    def add_arguments(self, parser):
        """Add the optional target."""
        parser.add_argument('name', metavar='NAME', nargs='?')

    def run(self, opts):
        """Print the changes, oldest first."""
        answer = cmdline.connect(opts).read('/v1/history', opts.name)
        if opts.output == 'json':
            _output.print_json(answer)
            return
        _output.print_table(
            ['WHEN', 'BY', 'REVISION', 'CHANGE'],
            [
                [
                    row['at'][:19].replace('T', ' '),
                    row['by'],
                    row['revision'] or 'refused',
                    _describe_row(row),
                ]
                for row in answer['changes']
            ],
        )


def _describe_row(row):
    fields = row['fields']
    text = '; '.join(f'{key}={fields[key]}' for key in fields if fields[key])
    text = f'{row["target"]}: {text}'
    return f'{text} ({row["error"]})' if row['error'] else text
