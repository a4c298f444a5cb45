"""Subcommand that runs a role on the users' infrastructure."""

import importlib

from bilberryhaven import clock
from bilberryhaven import cmdline

__all__ = ['PlatformCommand']

ROLES = ('entry', 'control', 'agent')


@cmdline.register('platform')
class PlatformCommand(cmdline.Command):
    """Runs a role with the infrastructure's settings file."""

    help = "run a role with the infrastructure's own settings file"
    remote = False

    def add_arguments(self, parser):
        """Add the role."""
        parser.add_argument('role', choices=ROLES)

    def run(self, opts):
        """Run the role until it stops."""
        roles = importlib.import_module('bilberryhaven.platform.roles')
        return roles.run(opts.role, clock.SystemClock())
