"""Subcommand that restores the control quorum from one data folder."""

import sys

from bilberryhaven import cmdline
from bilberryhaven import settings

__all__ = ['RestoreCommand']


@cmdline.register('restore')
class RestoreCommand(cmdline.Command):
    """Makes a stopped control instance the only voter."""

    help = 'after the loss of most control instances: go on with this one'
    remote = False

    def add_arguments(self, parser):
        """Add the confirmation."""
        parser.add_argument(
            '--force',
            action='store_true',
            help='needed: what only the lost instances held is given up',
        )

    def run(self, opts):
        """Change the data folder that the settings name."""
        from bilberryhaven.consensus import restore

        if opts.settings is None or not opts.force:
            print('restore: --settings FILE and --force', file=sys.stderr)
            return cmdline.EXIT_USAGE
        loaded = settings.load_settings(opts.settings)
        newest = restore.restore_quorum(
            folder=loaded.data,
            name=loaded.name,
            address=loaded.advertise or loaded.listen,
        )
        print(f'{loaded.name} is the only voter, up to entry {newest}')
        return None
