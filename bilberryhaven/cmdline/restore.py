"""Subcommand that restores the control quorum from a single data folder."""

import sys

from bilberryhaven import cmdline
from bilberryhaven import settings

__all__ = ['RestoreCommand']


@cmdline.register('restore')
class RestoreCommand(cmdline.Command):
    """Makes a stopped control instance the only voter."""

    help = (
        'after the loss of a quorum: make this control instance the only voter'
    )
    remote = False

    def add_arguments(self, parser):
        """Add the option that confirms the loss of data."""
        parser.add_argument(
            '--force',
            action='store_true',
            help='required: entries held only by lost instances are discarded',
        )

    def run(self, opts):
        """Rewrite the membership in the data folder of the settings."""
        from bilberryhaven.consensus import restore

        if opts.settings is None or not opts.force:
            print(
                'restore: --settings FILE and --force are required',
                file=sys.stderr,
            )
            return cmdline.EXIT_USAGE
        loaded = settings.load_settings(opts.settings)
        last_index = restore.restore_quorum(
            folder=loaded.data,
            name=loaded.name,
            address=loaded.advertise or loaded.listen,
        )
        print(f'{loaded.name} is the only voter, up to entry {last_index}')
        return None
