"""Subcommand that checks a file before it is used or sent."""

import argparse
import dataclasses
import json
import pathlib
import sys

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven.cmdline import apply
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import settings
from bilberryhaven import yamlfile

__all__ = []


@cmdline.register('check')
class CheckCommand(cmdline.Command):
    """Checks a file of settings, of workloads and teams, or of a catalog."""

    help = 'check a file of settings, workloads, or queues and pools'
    remote = False

    def add_arguments(self, parser):
        """Add the file and the one to compare it with."""
        parser.add_argument('file', metavar='FILE')
        group = parser.add_mutually_exclusive_group()
        group.add_argument(
            '--against',
            metavar='FILE',
            help='list what differs from this catalog of queues and pools',
        )
        group.add_argument(
            '--in-force',
            action='store_true',
            help="list what differs from the server's catalog",
        )
        cmdline.add_server(parser, default=argparse.SUPPRESS)
        cmdline.add_output(parser, default=argparse.SUPPRESS)

    def run(self, opts):
        """Check the file; errors of settings and workloads are raised."""
        # What is odd about the file is printed as a finding.
        with log.silence():
            return self._check(opts)

    @staticmethod
    def _check(opts):
        from bilberryhaven.platform import catalogs

        body = _read_file(opts.file)
        if catalogs.is_configuration(body):
            return _check_catalog(opts, body)
        if _compares(opts):
            print(
                'check: --against and --in-force compare catalogs only',
                file=sys.stderr,
            )
            return cmdline.EXIT_USAGE
        kind = 'settings'
        if _contains_declarations(opts.file):
            kind = 'workloads'
            apply.read_declarations(opts.file)
        else:
            settings.load_settings(opts.file)
        _print_answer(opts, {'kind': kind, 'findings': []})
        return cmdline.EXIT_OK


def _read_file(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f'{path}: {error}', step='read file'
        ) from error


def _contains_declarations(path):
    return any(
        isinstance(document, dict)
        and not document.keys().isdisjoint(apply.COLLECTIONS)
        for document in yamlfile.load_documents(path)
    )


def _check_catalog(opts, body):
    from bilberryhaven.platform import catalogs
    from bilberryhaven.workflow import catalog_check

    answer = {'kind': 'catalog', 'findings': []}
    try:
        request = catalogs.decode_configuration(body)
    except errors.BadInputError as error:
        findings = [
            catalog_check.Finding(
                kind=catalog_check.Kind.ERROR,
                place=catalogs.find_place(error),
                message=error.message,
                code=error.code,
            )
        ]
    else:
        findings = catalog_check.find_all(
            request.version, request.queues, request.pools
        )
        if _compares(opts):
            differences, overtaken = _compare(opts, request)
            answer['differences'] = differences
            findings += overtaken
    for finding in findings:
        row = dataclasses.asdict(finding)
        row['place'] = catalogs.translate_place(finding.place)
        answer['findings'].append(row)
    _print_answer(opts, answer)
    note = catalog_check.Kind.NOTE
    if all(finding.kind == note for finding in findings):
        return cmdline.EXIT_OK
    return cmdline.EXIT_ERROR


def _compares(opts):
    return opts.in_force or opts.against is not None


def _read_other(opts):
    """Return the request for the catalog to compare with."""
    import msgspec

    from bilberryhaven.platform import catalogs

    if opts.in_force:
        tree = cmdline.connect(opts).call('GET', catalogs.READ_PATH)
        return catalogs.decode_configuration(msgspec.json.encode(tree))
    try:
        return catalogs.decode_configuration(_read_file(opts.against))
    except errors.BadInputError as error:
        error.peer = opts.against
        raise


def _compare(opts, request):
    """Return the differences from the other catalog, and findings."""
    from bilberryhaven.platform import catalogs
    from bilberryhaven.workflow import catalog_check
    from bilberryhaven.workflow import catalog_diff

    before = _read_other(opts)
    differences = catalog_diff.compare(
        catalogs.decode_tree(before.document),
        catalogs.decode_tree(request.document),
    )
    findings = catalog_check.find_overtaken(
        request.version, before.version, differs=bool(differences)
    )
    return [dataclasses.asdict(row) for row in differences], findings


def _print_answer(opts, answer):
    if opts.output == 'json':
        _output.print_json({'file': opts.file, **answer})
        return
    findings = answer['findings']
    if findings:
        keys = ('kind', 'place', 'code', 'message')
        _output.print_table(
            [key.upper() for key in keys],
            [[row[key] or '-' for key in keys] for row in findings],
        )
    else:
        print(f'{opts.file}: ok')
    if 'differences' in answer:
        _print_differences(answer['differences'])


def _print_differences(differences):
    if not differences:
        print('no differences')
        return
    _output.print_table(
        ['DIFFERENCE', 'PLACE', 'BEFORE', 'AFTER'],
        [
            [
                row['kind'],
                row['place'],
                _format_value(row['before']),
                _format_value(row['after']),
            ]
            for row in differences
        ],
    )


def _format_value(value):
    if isinstance(value, dict | list):
        return 'entry'
    return '-' if value is None else json.dumps(value)
