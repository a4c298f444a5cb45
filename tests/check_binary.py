"""End-to-end test of the binary dist/bilberryhaven; ``make check-binary``."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

import testtools

ROOT = pathlib.Path(__file__).parent.parent
BINARY = ROOT / 'dist' / 'bilberryhaven'
EXAMPLES = ROOT / 'examples'
TIMEOUT_S = 60
SETTINGS = """
listen: 127.0.0.1:0
data: {folder}/data
zones: [{{name: a}}, {{name: b}}]
standalone: {{instances: 3, instances_per_rack: 1}}
"""


class TestBinary(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.env = {
            'PATH': os.environ['PATH'],
            'HOME': str(self.folder),
            'SHIV_ROOT': str(self.folder / 'cache'),
        }
        self.server = ''

    def run_command(self, *args, status=0):
        env = {**self.env, 'BILBERRYHAVEN_SERVER': self.server}
        completed = subprocess.run(
            [BINARY, *args],
            env=env,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(status, completed.returncode, completed.stderr)
        return completed.stdout

    def get_json(self, *args):
        return json.loads(self.run_command(*args, '--output', 'json'))

    def wait(self, condition):
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.2)
        self.fail('condition not met in time')

    def start(self):
        path = self.folder / 'settings.yaml'
        path.write_text(SETTINGS.format(folder=self.folder))
        self.log = self.folder / 'log'
        with self.log.open('w') as log:
            process = subprocess.Popen(
                [BINARY, '--settings', path, 'standalone'],
                env=self.env,
                stderr=log,
                stdout=log,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.wait(self.find_address)
        return process

    def find_address(self):
        for line in self.log.read_text().splitlines():
            fields = json.loads(line)
            if fields['message'].endswith(' listens'):
                self.server = fields['address']
        return self.server

    def list_children(self, process):
        tasks = pathlib.Path(f'/proc/{process.pid}/task')
        return [
            path.read_text().strip()
            for path in tasks.glob('*/children')
            if path.read_text().strip()
        ]

    def test_examples_are_valid(self):
        for name in ('lianhe', 'al-harthy', 'control', 'entry', 'agent'):
            self.run_command('check', str(EXAMPLES / f'{name}.yaml'))
        self.run_command('check', str(ROOT / 'Makefile'), status=1)
        self.assertTrue((self.folder / 'cache').is_dir())

    def test_standalone_serves_workloads_in_one_process(self):
        process = self.start()
        self.wait(
            lambda: (
                [
                    row['connected']
                    for row in self.get_json('get', 'instances')['instances']
                ]
                == [True] * 3
            )
        )
        self.run_command('apply', str(EXAMPLES / 'al-harthy-workloads.yaml'))
        self.run_command('label', 'workload', 'price-check', 'season=rush')
        self.assertTrue(self.get_json('in-force', 'price-check')['in_force'])
        self.run_command(
            'submit', 'recipe', '--id', 'r1', '--payload', '{"seconds": 0.5}'
        )
        self.wait(lambda: self.get_json('status', 'r1')['state'] == 'finished')
        self.run_command('get', 'workloads', 'none', status=1)
        self.assertEqual([], self.list_children(process))
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(TIMEOUT_S))
