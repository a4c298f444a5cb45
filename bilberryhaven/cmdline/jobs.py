"""Subcommands that submit, show and cancel jobs."""

import argparse
import json
import pathlib
import sys

from bilberryhaven import cmdline
from bilberryhaven.cmdline import _output
from bilberryhaven import errors
from bilberryhaven import util

__all__ = []


def _read_payload(text):
    if not text.startswith('@'):
        return _parse_payload(text)
    try:
        return _parse_payload(pathlib.Path(text[1:]).read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise errors.OptionError(
            f'--payload {text}: {error}', step='read payload'
        ) from error


def _parse_payload(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


def _parse_seconds(text):
    value = float(text)
    if not 0 < value < 1e8:
        raise argparse.ArgumentTypeError(
            'must be greater than 0 and less than 100000000'
        )
    return value


@cmdline.register('submit')
class SubmitCommand(cmdline.Command):
    """Submits a job."""

    help = 'submit a job of a batch or watch workload'

    def add_arguments(self, parser):
        """Add the workload and the job's fields."""
        parser.add_argument('workload', metavar='WORKLOAD')
        parser.add_argument(
            '--id', help='idempotency key; a retry returns the same job'
        )
        parser.add_argument(
            '--payload',
            default='',
            metavar='JSON|@FILE',
            help='input of the job, or the file that contains it',
        )
        parser.add_argument(
            '--deadline',
            type=_parse_seconds,
            metavar='SECONDS',
            help='time within which the job must finish',
        )

    def run(self, opts):
        """Submit the job and print its id and state."""
        body = {
            'workload': opts.workload,
            'id': opts.id or util.create_id('job'),
            'payload': _read_payload(opts.payload),
        }
        if opts.deadline is not None:
            body['deadline_ms'] = max(1, round(opts.deadline * 1000))
        client = cmdline.connect(opts)
        answer = client.submit('POST', '/v1/jobs', body, key=body['id'])
        if opts.output == 'json':
            _output.print_json(answer)
        else:
            print(f'{answer["id"]}: {answer["state"]}')


def _format_value(key, value):
    if key in ('payload', 'result'):
        return json.dumps(value)
    return ', '.join(value) if isinstance(value, list) else value


@cmdline.register('status')
class StatusCommand(cmdline.Command):
    """Shows a job."""

    help = 'show the state and the result of a job'

    def add_arguments(self, parser):
        """Add the job."""
        parser.add_argument('id', metavar='JOB')

    def run(self, opts):
        """Print the job's fields."""
        answer = cmdline.connect(opts).read('/v1/jobs', opts.id)
        if opts.output == 'json':
            _output.print_json(answer)
            return
        rows = [
            [key, _format_value(key, answer[key])]
            for key in answer
            if answer[key] not in ('', None, []) and key != 'session'
        ]
        _output.print_table(['FIELD', 'VALUE'], rows)


@cmdline.register('cancel')
class CancelCommand(cmdline.Command):
    """Cancels jobs."""

    help = 'cancel jobs; safe to repeat'

    def add_arguments(self, parser):
        """Add the jobs."""
        parser.add_argument(
            'ids', metavar='JOB', nargs='+', help='- reads the ids from stdin'
        )

    def run(self, opts):
        """Cancel all jobs in one call; unknown ids are an error."""
        ids = opts.ids
        if ids == ['-']:
            ids = sys.stdin.read().split()
        answer = cmdline.connect(opts).call('DELETE', '/v1/jobs', {'ids': ids})
        states = answer['states']
        if opts.output == 'json':
            _output.print_json(answer)
        else:
            rows = [[i, states[i] or 'unknown id'] for i in states]
            _output.print_table(['JOB', 'STATE'], rows)
        missing = [job_id for job_id in states if not states[job_id]]
        if missing:
            raise errors.NotFoundError(
                f'unknown jobs: {", ".join(missing)}', step='cancel'
            )
