"""Subcommands that change labels, selectors and drains."""

import sys

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven import errors

__all__ = ['add_change_options', 'describe_change', 'send_change']

KINDS = {
    'workload': 'workloads',
    'workloads': 'workloads',
    'instance': 'instances',
    'instances': 'instances',
}


def add_change_options(parser):
    """Add the options that all writes take."""
    parser.add_argument(
        '--expect',
        type=int,
        metavar='VERSION',
        help='refuse unless this version is current; 0: must not exist',
    )
    parser.add_argument(
        '--change-id',
        metavar='ID',
        help='idempotency key; a resend gets the first answer',
    )
    parser.add_argument(
        '--no-wait',
        action='store_true',
        help="don't wait until the change is in force",
    )


def send_change(opts, method, path, body):
    """Send a write, wait until it is in force and report it."""
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
    """Return a line on an accepted change and whether it is in force."""
    text = f'revision {answer["revision"]}, version {answer["version"]}'
    if answer.get('in_force'):
        return f'{text}, in force everywhere'
    text = f'{text}, accepted as change {answer["change_id"]}'
    if 'in_force' not in answer:
        return text
    if answer['in_force'] is None:
        return f'{text}; the leader could not be asked if it is in force yet'
    behind = ', '.join(answer['behind'])
    return (
        f'{text}; NOT yet in force on {behind}. It will not revert; see '
        '"bilberryhaven in-force"'
    )


def _parse_labels(words):
    labels = {}
    for word in words:
        key, sep, value = word.partition('=')
        if not sep and word.endswith('-'):
            key, value = word[:-1], None
        elif not sep or not value:
            raise errors.OptionError(
                f'{word!r} is no label; write KEY=VALUE, or KEY- to remove it',
                step='read labels',
            )
        if key in labels:
            raise errors.OptionError(
                f'label {key!r} is given twice', step='read labels'
            )
        labels[key] = value
    return labels


@cmdline.register('label')
class LabelCommand(cmdline.Command):
    """Sets labels."""

    help = 'set labels of a workload or instance'

    def add_arguments(self, parser):
        """Add the target and its labels."""
        parser.add_argument('kind', metavar='KIND', choices=sorted(KINDS))
        parser.add_argument('name', metavar='NAME')
        parser.add_argument(
            'labels',
            metavar='KEY=VALUE',
            nargs='+',
            help='KEY- removes the label',
        )
        add_change_options(parser)

    def run(self, opts):
        """Send the labels."""
        name = cmdline.quote(opts.name)
        path = f'/v1/{KINDS[opts.kind]}/{name}/labels'
        body = {'labels': _parse_labels(opts.labels)}
        return send_change(opts, 'PATCH', path, body)


@cmdline.register('select')
class SelectCommand(cmdline.Command):
    """Sets selectors."""

    help = 'set the selectors of a workload'

    def add_arguments(self, parser):
        """Add the workload and its selectors."""
        parser.add_argument('name', metavar='WORKLOAD')
        parser.add_argument(
            '--runs-on',
            metavar='EXPR',
            help="over instances' labels: where it may run; '' is anywhere",
        )
        parser.add_argument(
            '--shares-with',
            metavar='EXPR',
            help="over workloads' labels: beside what; '' is anything",
        )
        add_change_options(parser)

    def run(self, opts):
        """Send the selectors."""
        pairs = {'runs_on': opts.runs_on, 'shares_with': opts.shares_with}
        body = {k: v for k, v in pairs.items() if v is not None}
        if not body:
            print(
                'select: --runs-on or --shares-with is needed', file=sys.stderr
            )
            return cmdline.EXIT_USAGE
        path = f'/v1/workloads/{cmdline.quote(opts.name)}/selectors'
        return send_change(opts, 'PATCH', path, body)


@cmdline.register('drain')
class DrainCommand(cmdline.Command):
    """Drains an instance."""

    help = 'start or end the planned stop of an instance'

    def add_arguments(self, parser):
        """Add the instance."""
        parser.add_argument('name', metavar='INSTANCE')
        parser.add_argument(
            '--end', action='store_true', help='let it take work again'
        )
        add_change_options(parser)

    def run(self, opts):
        """Send the drain."""
        path = f'/v1/instances/{cmdline.quote(opts.name)}/drain'
        return send_change(opts, 'POST', path, {'draining': not opts.end})
