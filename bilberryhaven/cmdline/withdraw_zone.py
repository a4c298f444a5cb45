"""Subcommand that withdraws an availability zone and restores it."""

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output

__all__ = []


@cmdline.register('withdraw-zone')
class WithdrawZoneCommand(cmdline.Command):
    """Withdraws or restores an availability zone."""

    help = 'start no workflow runs in an availability zone, or end that'

    def add_arguments(self, parser):
        """Add the zone and the option that restores it."""
        parser.add_argument('name', metavar='ZONE')
        parser.add_argument(
            '--end', action='store_true', help='let it accept work again'
        )

    def run(self, opts):
        """Send the order and print how much still runs there."""
        order = 'restore' if opts.end else 'withdraw'
        path = f'/v1/zones/{cmdline.quote(opts.name)}/{order}'
        answer = cmdline.connect(opts).call('POST', path)
        if opts.output == 'json':
            _output.print_json(answer)
            return
        state = 'withdrawn' if answer['withdrawn'] else 'available'
        print(f'{answer["name"]}: {state}, {answer["runs"]} runs')
