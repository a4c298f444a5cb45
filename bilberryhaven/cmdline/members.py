"""Subcommand that lists and changes the control instances."""

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output

__all__ = ['build_member_table']

COLUMNS = ('name', 'address', 'voter', 'active', 'match')


def build_member_table(rows):
    """Return the headers and rows of a table of control instances."""
    headers = ['NAME', 'ADDRESS', 'VOTER', 'ACTIVE', 'NEWEST ENTRY']
    return headers, [[row.get(key, '?') for key in COLUMNS] for row in rows]


@cmdline.register('members')
class MembersCommand(cmdline.Command):
    """Lists, adds and removes control instances."""

    help = 'list, add or remove control instances'

    def add_arguments(self, parser):
        """Add the options that add or remove an instance."""
        parser.add_argument(
            '--add',
            nargs=2,
            metavar=('NAME', 'ADDRESS'),
            help='add one; it becomes a voter once it has caught up',
        )
        parser.add_argument('--remove', metavar='NAME', help='remove one')

    def run(self, opts):
        """Make the change, if one is requested, and print the members."""
        client = cmdline.connect(opts)
        if opts.add:
            body = {'name': opts.add[0], 'address': opts.add[1]}
            client.call('POST', '/v1/members', body, retry=False)
        if opts.remove:
            path = f'/v1/members/{cmdline.quote(opts.remove)}'
            client.call('DELETE', path, retry=False)
        answer = client.call('GET', '/v1/members')
        if opts.output == 'json':
            _output.print_json(answer)
            return
        _output.print_table(*build_member_table(answer['members']))
