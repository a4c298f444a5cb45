"""Subcommands that run a role."""

import importlib
import sys

from bilberryhaven import clock
from bilberryhaven import cmdline
from bilberryhaven import settings

__all__ = []


class RoleCommand(cmdline.Command):
    """Base of the subcommands that run one role in this process.

    Attributes:
        role: Name of the module in ``bilberryhaven.roles`` with its ``run``.
        needs_settings: Whether it can't run with default settings.
    """

    remote = False
    role = ''
    needs_settings = True

    def run(self, opts):
        """Load the settings and run the role until it stops."""
        if opts.settings is None and self.needs_settings:
            print(f'{self.role}: --settings FILE is required', file=sys.stderr)
            return cmdline.EXIT_USAGE
        loaded = settings.Settings()
        if opts.settings is not None:
            loaded = settings.load_settings(opts.settings)
        module = importlib.import_module(f'bilberryhaven.roles.{self.role}')
        return module.run(loaded, clock.SystemClock())


@cmdline.register('entry')
class EntryCommand(RoleCommand):
    """Runs an entry."""

    help = "run an entry: accepts callers' and operators' requests"
    role = 'entry'


@cmdline.register('control')
class ControlCommand(RoleCommand):
    """Runs a control instance."""

    help = 'run a control instance: holds the replicated state'
    role = 'control'


@cmdline.register('agent')
class AgentCommand(RoleCommand):
    """Runs an agent."""

    help = 'run an agent beside a backend server'
    role = 'agent'


@cmdline.register('standalone')
class StandaloneCommand(RoleCommand):
    """Runs all roles in this process."""

    help = 'run all roles in one process, with stand-in backend servers'
    role = 'standalone'
    needs_settings = False


@cmdline.register('standin')
class StandinCommand(RoleCommand):
    """Runs a stand-in backend server."""

    help = 'run a stand-in backend server'
    role = 'standin'


@cmdline.register('demo')
class DemoCommand(RoleCommand):
    """Runs the demo in standalone mode."""

    help = 'run the demo in standalone mode and report its results'
    role = 'demo'
    needs_settings = False
