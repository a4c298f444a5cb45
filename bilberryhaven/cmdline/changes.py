"""Subcommands that change labels and selectors, and drain instances."""

import sys

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven import errors

__all__ = ['add_change_options', 'describe_change', 'send_change']

COLLECTIONS_BY_KIND = {
    'workload': 'workloads',
    'workloads': 'workloads',
    'instance': 'instances',
    'instances': 'instances',
}


def add_change_options(parser):
    """Add the options common to all writes."""
    parser.add_argument(
        '--expect',
        type=int,
        metavar='VERSION',
        help='fail unless this is the current version; 0: must not exist',
    )
    parser.add_argument(
        '--change-id',
        metavar='ID',
        help='idempotency key; a retry gets the first answer',
    )
    parser.add_argument(
        '--no-wait',
        action='store_true',
        help='do not wait until the change is in force',
    )


def send_change(opts, method, path, body):
    """Send a write, wait until it is in force and print the outcome."""
    client = cmdline.connect(opts)
    if opts.expect is not None:
        body = {**body, 'expect': opts.expect}
    answer = client.change(method, path, body, change_id=opts.change_id)
    if not opts.no_wait:
        answer.update(client.wait_in_force(answer['revision']))
    if opts.output == 'json':
        _output.print_json(answer)
    else:
        _output.print_text(describe_change(answer))


def describe_change(answer):
    """Return a line that describes an accepted change and its state."""
    text = f'revision {answer["revision"]}, version {answer["version"]}'
    if answer.get('in_force'):
        return f'{text}, in force everywhere'
    text = f'{text}, accepted as change {answer["change_id"]}'
    if 'in_force' not in answer:
        return text
    if answer['in_force'] is None:
        return f'{text}; unknown if it is in force: no server was reached'
    behind = ', '.join(answer['behind'])
    return (
        f'{text}; NOT yet in force on {behind}. It will not be reverted; see '
        '"bilberryhaven in-force"'
    )


def _parse_labels(arguments):
    labels = {}
    for item in arguments:
        key, sep, value = item.partition('=')
        if not sep and item.endswith('-'):
            key, value = item[:-1], None
        elif not sep or not value:
            raise errors.OptionError(
                f'{item!r} is no label: KEY=VALUE sets one, KEY- removes it',
                step='read labels',
            )
        if key in labels:
            raise errors.OptionError(
                f'label {key!r} is specified twice', step='read labels'
            )
        labels[key] = value
    return labels


@cmdline.register('label')
class LabelCommand(cmdline.Command):
    """Sets labels."""

    help = 'set labels of a workload or instance'

    def add_arguments(self, parser):
        """Add the target, its labels and the options of changes."""
        parser.add_argument(
            'kind', metavar='KIND', choices=sorted(COLLECTIONS_BY_KIND)
        )
        parser.add_argument('name', metavar='NAME')
        parser.add_argument(
            'labels',
            metavar='KEY=VALUE',
            nargs='+',
            help='KEY- removes the label',
        )
        add_change_options(parser)

    def run(self, opts):
        """Set or remove the labels."""
        name = cmdline.quote(opts.name)
        path = f'/v1/{COLLECTIONS_BY_KIND[opts.kind]}/{name}/labels'
        body = {'labels': _parse_labels(opts.labels)}
        return send_change(opts, 'PATCH', path, body)


@cmdline.register('select')
class SelectCommand(cmdline.Command):
    """Sets selectors."""

    help = 'set the selectors of a workload'

    def add_arguments(self, parser):
        """Add the workload, its selectors and the options of changes."""
        parser.add_argument('name', metavar='WORKLOAD')
        parser.add_argument(
            '--runs-on',
            metavar='EXPR',
            help="expression over instances' labels: where the workload may "
            "run; '' allows any",
        )
        parser.add_argument(
            '--shares-with',
            metavar='EXPR',
            help="expression over workloads' labels: which workloads it may "
            "share an instance with; '' allows any",
        )
        add_change_options(parser)

    def run(self, opts):
        """Set the selectors that are given."""
        selectors = {'runs_on': opts.runs_on, 'shares_with': opts.shares_with}
        body = {k: v for k, v in selectors.items() if v is not None}
        if not body:
            print(
                'select: --runs-on or --shares-with is required',
                file=sys.stderr,
            )
            return cmdline.EXIT_USAGE
        path = f'/v1/workloads/{cmdline.quote(opts.name)}/selectors'
        return send_change(opts, 'PATCH', path, body)


@cmdline.register('drain')
class DrainCommand(cmdline.Command):
    """Drains an instance."""

    help = 'start or end the draining of an instance'

    def add_arguments(self, parser):
        """Add the instance and the options of changes."""
        parser.add_argument('name', metavar='INSTANCE')
        parser.add_argument(
            '--end', action='store_true', help='let it accept work again'
        )
        add_change_options(parser)

    def run(self, opts):
        """Start or end the drain."""
        path = f'/v1/instances/{cmdline.quote(opts.name)}/drain'
        return send_change(opts, 'POST', path, {'draining': not opts.end})
