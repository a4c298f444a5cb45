"""Command line."""

import argparse
import sys

from bilberryhaven import errors
from bilberryhaven import settings

__all__ = ['main', 'run']

EXIT_DONE = 0
EXIT_REFUSED = 1


def check_settings(opts):
    """Validate a settings file."""
    settings.load_settings(opts.file)
    print(f'{opts.file}: ok')


def build_parser():
    """Return the parser of all subcommands."""
    parser = argparse.ArgumentParser(prog='bilberryhaven')
    subs = parser.add_subparsers(dest='command', required=True)
    check = subs.add_parser('check', help='validate a settings file')
    check.add_argument('file')
    check.set_defaults(func=check_settings)
    return parser


def main(args):
    """Run the command line ``args`` and return the exit status."""
    opts = build_parser().parse_args(args)
    try:
        return opts.func(opts) or EXIT_DONE
    except errors.BilberryhavenError as error:
        print(error, file=sys.stderr)
        return EXIT_REFUSED


def run():
    """Run the process's command line and exit."""
    sys.exit(main(sys.argv[1:]))
