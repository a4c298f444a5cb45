"""Tests of the command line, run against the API on a loopback port."""

import contextlib
import io
import json
import pathlib
import shlex
import subprocess
import sys
import tempfile

import testtools
from testtools import matchers

from bilberryhaven import clock
from bilberryhaven import cmdline
from bilberryhaven.cmdline import _client
from bilberryhaven.cmdline import _output
from bilberryhaven.control import api
from bilberryhaven import errors
from bilberryhaven.wire import server
from tests import test_api

ROOT = pathlib.Path(__file__).parent.parent
WORKLOADS = """
teams:
  ponds: {quota: 20}
---
workloads:
  survey:
    kind: batch
    team: ponds
    runs_on: zone=a
  watch: {kind: watch}
"""


class CommandLineTestCase(test_api.ApiTestCase):
    def setUp(self):
        super().setUp()
        self.answers_to_lose = 0
        self.server = server.Server(
            address='127.0.0.1:0', handlers={}, fallback=self.answer
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.folder = self.useTempDir()

    def useTempDir(self):  # noqa: N802
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(folder.name)

    def answer(self, environ, body):
        status, data = api.handle(
            self.ctx,
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            environ['QUERY_STRING'],
            body,
            '',
        )
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return server.Response(status=502, body=b'lost')
        return server.Response(status=status, body=data)

    def run_line(self, *args, status=0):
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                exit_status = cmdline.main(
                    [*args, '--server', self.server.address]
                )
            except SystemExit as stop:
                exit_status = stop.code
        self.assertEqual(status, exit_status, err.getvalue())
        return out.getvalue() if status == 0 else err.getvalue()

    def write_file(self, text):
        path = self.folder / 'file.yaml'
        path.write_text(text)
        return str(path)


class TestSubcommands(CommandLineTestCase):
    def test_second_apply_changes_nothing(self):
        path = self.write_file(WORKLOADS)
        self.assertIn('in force everywhere', self.run_line('apply', path))
        again = self.run_line('apply', path)
        self.assertEqual(3, again.count('unchanged'))
        self.assertEqual(3, self.ctx.state.revision)

    def test_apply_lists_all_problems_and_sends_nothing(self):
        path = self.write_file(
            'workloads: {a: {kind: nap}, "b c": {kind: batch}}\nlabels: {}\n'
        )
        text = self.run_line('apply', path, status=1)
        for part in ('workloads.a', 'kind: ', "'b c'", 'labels'):
            self.assertIn(part, text)
        self.assertEqual(0, self.ctx.state.revision)

    def test_changes_can_be_read_back(self):
        self.declare()
        self.open_session()
        self.hold_lease('i1', revision=99)
        self.run_line('label', 'workload', 'survey', 'noise=high')
        self.run_line('label', 'instance', 'i1', 'disk=fast')
        self.run_line('select', 'survey', '--runs-on', 'disk=fast')
        table = self.run_line('get', 'workloads')
        self.assertIn('noise=high; runs on: disk=fast', table)
        self.assertIn('1 of 1', self.run_line('explain', 'survey'))
        self.assertIn('disk=fast', self.run_line('history', 'i1'))
        self.assertIn('revision 4', self.run_line('in-force', 'survey'))

    def test_error_code_is_printed_on_stderr(self):
        text = self.run_line('get', 'workloads', 'none', status=1)
        self.assertThat(text, matchers.StartsWith('not_found: '))
        self.declare()
        text = self.run_line('select', 'survey', '--runs-on', 'a=(', status=1)
        self.assertIn('bad_selector', text)

    def test_usage_errors_exit_with_status_2(self):
        self.run_line('label', 'zone', 'a', 'b=c', status=2)
        self.run_line('select', 'survey', status=2)
        self.run_line('nothing', status=2)

    def test_job_from_submission_to_cancellation(self):
        self.declare()
        line = self.run_line('submit', 'survey', '--id', 'j', '--payload', '1')
        self.assertEqual('j: pending\n', line)
        self.assertIn('pending', self.run_line('status', 'j'))
        self.run_line('cancel', 'j')
        job = json.loads(self.run_line('status', 'j', '--output', 'json'))
        self.assertEqual('cancelled', job['state'])
        self.run_line('cancel', 'none', status=1)

    def test_every_kind_can_be_listed(self):
        self.declare()
        self.open_session()
        for kind in ('workloads', 'instances', 'zones', 'teams', 'members'):
            self.run_line('get', kind)
            json.loads(self.run_line('get', kind, '--output', 'json'))
        self.run_line('get', 'zones', 'none', status=1)

    def test_zone_is_withdrawn_and_restored(self):
        for args, withdrawn in (((), 'yes'), ((), 'yes'), (('--end',), 'no')):
            self.run_line('withdraw-zone', 'a', *args)
            table = self.run_line('get', 'zones').split()
            self.assertEqual(withdrawn, table[table.index('a') + 4], table)
        text = self.run_line('withdraw-zone', 'none', status=1)
        self.assertThat(text, matchers.StartsWith('not_found: '))

    def test_long_lists_are_paginated(self):
        for number in range(5):
            self.open_session(f'i{number}')
        page = self.call('GET', '/v1/instances', query='limit=2')
        self.assertEqual(
            (2, 'i1'), (len(page['instances']), page['next_after'])
        )
        args = ('get', 'instances', '--limit', '2', '--output', 'json')
        rows = json.loads(self.run_line(*args))['instances']
        self.assertEqual(
            [f'i{number}' for number in range(5)],
            [row['name'] for row in rows],
        )

    def test_many_nodes_are_grouped(self):
        self.declare()
        for number in range(100):
            self.hold_lease(f'i{number}', revision=number % 2)
        lines = self.run_line('in-force').splitlines()
        self.assertIn('not yet in force on 50 nodes', lines[0])
        self.assertThat(len(lines), matchers.LessThan(10))

    def test_jobs_are_filtered_and_limited(self):
        self.declare()
        for number in range(5):
            self.run_line('submit', 'survey', '--id', f'j{number}')
        text = self.run_line('get', 'jobs', '--limit', '2')
        self.assertIn('(the newest 2 of 5)', text)
        text = self.run_line('get', 'jobs', '--state', 'held')
        self.assertNotIn('survey', text)
        self.run_line('get', 'jobs', '--state', 'x', status=1)

    def test_members_can_be_added_and_removed(self):
        text = self.run_line('members', '--add', 'c2', '127.0.0.1:2')
        self.assertIn('c2', text)
        self.assertNotIn('c2', self.run_line('members', '--remove', 'c2'))


class TestClient(CommandLineTestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.pauses = []

    def build_client(self, *servers):
        return _client.ApiClient(
            servers=[*servers, self.server.address],
            clock=self.clock,
            pause=self.pauses.append,
        )

    def test_write_with_lost_answers_is_applied_once(self):
        self.declare()
        self.answers_to_lose = 2
        path = '/v1/workloads/survey/labels'
        answer = self.build_client().change(
            'PATCH', path, {'labels': {'a': '1'}}
        )
        self.assertEqual((2, 2), (answer['version'], len(self.pauses)))
        self.assertEqual(2, self.ctx.state.revision)

    def test_next_server_is_tried_after_a_failure(self):
        client = self.build_client('127.0.0.1:1')
        self.assertEqual([], client.call('GET', '/v1/workloads')['workloads'])

    def test_final_error_contains_the_id_for_a_retry(self):
        self.answers_to_lose = 100
        body = {'workload': 'survey', 'id': 'j'}
        error = self.assertRaises(
            errors.PeerError,
            lambda: self.build_client('127.0.0.1:1').submit(
                'POST', '/v1/jobs', body, key='j'
            ),
        )
        self.assertEqual(
            ('j', errors.Outcome.UNKNOWN), (error.request_id, error.outcome)
        )

    def test_retries_stop_after_the_time_limit(self):
        self.answers_to_lose = 100

        def pause(seconds):
            self.pauses.append(seconds)
            self.clock.advance(clock.seconds(11))

        client = _client.ApiClient(
            servers=[self.server.address], clock=self.clock, pause=pause
        )
        self.assertRaises(
            errors.PeerError, client.call, 'GET', '/v1/workloads'
        )
        self.assertEqual(2, len(self.pauses))


class TestDocumentation(testtools.TestCase):
    def test_documented_commands_can_be_parsed(self):
        parser = cmdline.build_parser()
        pages = [ROOT / 'README.md', *sorted((ROOT / 'docs').glob('*.md'))]
        found = []
        for page in pages:
            for line in page.read_text().splitlines():
                if line.startswith('    bilberryhaven '):
                    words = shlex.split(line, comments=True)[1:]
                    found.append(parser.parse_args(words).command)
        for name in ('standalone', 'apply', 'label', 'explain', 'drain'):
            self.assertIn(name, found)

    def test_role_imports_no_other_subcommands(self):
        code = (
            'import sys; from bilberryhaven import cmdline; '
            "cmdline.build_parser(['--settings', 'x', 'agent']); "
            "print([name for name in ('bilberryhaven.cmdline.get', "
            "'bilberryhaven.tables', 'lark', 'urllib3') "
            'if name in sys.modules])'
        )
        done = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual('[]\n', done.stdout, done.stderr)


class TestTable(testtools.TestCase):
    def test_rows_fit_the_output_width(self):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            _output.print_table(['A', 'B'], [['x' * 20, 'word ' * 60]])
        lines = out.getvalue().splitlines()
        self.assertThat(max(map(len, lines)), matchers.LessThan(81))
