"""Command line; subcommands are registered by a decorator.

Each module contains related subcommands. A role's process should import no
more than it needs, so modules here import HTTP and tables only in the
functions that use them.
"""

import argparse
import functools
import importlib
import json
import os
import pkgutil
import sys
import urllib.parse

from bilberryhaven import clock
from bilberryhaven import errors
from bilberryhaven import registry
from bilberryhaven import tls

__all__ = [
    'Command',
    'add_output',
    'add_server',
    'build_parser',
    'connect',
    'main',
    'quote',
    'register',
    'run',
]

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_USAGE = 2
WIDTH = 79
ROLES_MODULE = 'roles'
DEFAULT_SERVER = '127.0.0.1:7070'
EPILOG = 'Exit status: 0 success, 1 error (with a code on stderr), 2 usage.'

_registry = registry.Registry(family='subcommand')
register = _registry.register


class Command:
    """Base of all subcommands.

    Attributes:
        help: One line for ``--help``.
        remote: Whether it calls a server and so takes the options for that.
    """

    help = ''
    remote = True

    def add_arguments(self, parser):
        """Add the subcommand's own arguments."""

    def run(self, opts):
        """Run the subcommand and return the exit status; None is success."""
        raise NotImplementedError


def connect(opts):
    """Return a client for the servers given in ``opts``."""
    from bilberryhaven.cmdline import _client

    return _client.ApiClient(
        servers=opts.server.split(','), clock=clock.SystemClock()
    )


def quote(name):
    """Return ``name`` quoted as one segment of a URL path."""
    return urllib.parse.quote(name, safe='')


def _list_commands(args):
    """Return the subcommands; only those of roles if ``args`` name one.

    A role's process keeps imported modules in memory for as long as it runs.
    """
    importlib.import_module(f'{__name__}.{ROLES_MODULE}')
    if _find_command(args) in _registry.names():
        return _registry.items()
    for module in pkgutil.iter_modules(__path__):
        if not module.name.startswith('_'):
            importlib.import_module(f'{__name__}.{module.name}')
    return _registry.items()


def _find_command(args):
    """Return the first word that is neither an option nor its value."""
    words = iter(args)
    for word in words:
        if not word.startswith('-'):
            return word
        if '=' not in word:
            next(words, None)
    return None


def _add_settings(parser, **options):
    parser.add_argument(
        '--settings', metavar='FILE', help='settings file in YAML', **options
    )


def add_server(parser, **options):
    """Add the option of the servers' addresses."""
    parser.add_argument(
        '--server',
        metavar='ADDRESS[,ADDRESS...]',
        help='entry or control instances; default: BILBERRYHAVEN_SERVER, or '
        f'{DEFAULT_SERVER}',
        **options,
    )


def add_output(parser, **options):
    """Add the option of the output's format."""
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        help='output format: table for people, json for programs',
        **options,
    )


def _add_remote(parser):
    add_server(parser, default=argparse.SUPPRESS)
    add_output(parser, default=argparse.SUPPRESS)


def build_parser(args=()):
    """Return the parser of all subcommands that ``args`` may name."""
    formatter = functools.partial(argparse.HelpFormatter, width=WIDTH)
    parser = argparse.ArgumentParser(
        formatter_class=formatter,
        prog='bilberryhaven',
        description='Scheduler for latency-critical and batch work.',
        epilog=EPILOG,
    )
    _add_settings(parser)
    add_server(
        parser,
        default=os.environ.get('BILBERRYHAVEN_SERVER', DEFAULT_SERVER),
    )
    add_output(parser, default='table')
    subs = parser.add_subparsers(
        dest='command', required=True, metavar='COMMAND', prog=parser.prog
    )
    for name, cls in _list_commands(args):
        command = cls()
        sub = subs.add_parser(
            name,
            help=cls.help,
            description=cls.help,
            formatter_class=formatter,
        )
        command.add_arguments(sub)
        if cls.remote:
            _add_remote(sub)
        else:
            _add_settings(sub, default=argparse.SUPPRESS)
        sub.set_defaults(run=command.run)
    return parser


def main(args):
    """Run the command line ``args`` and return the exit status."""
    opts = build_parser(args).parse_args(args)
    try:
        return opts.run(opts) or EXIT_OK
    except errors.BilberryhavenError as error:
        _print_error(opts, error)
        return EXIT_ERROR
    except KeyboardInterrupt:
        return EXIT_ERROR


def _print_error(opts, error):
    if opts.output == 'json':
        print(json.dumps(error.to_dict()), file=sys.stderr)
        return
    print(error, file=sys.stderr)
    if error.request_id and error.outcome == errors.Outcome.UNKNOWN:
        print(
            'The request may have been carried out. A retry with the same id '
            f'shows whether it was and runs nothing twice: {error.request_id}',
            file=sys.stderr,
        )


def run():
    """Run the command line of this process and exit."""
    tls.disable_tls()
    sys.exit(main(sys.argv[1:]))
