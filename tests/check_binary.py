"""Runs dist/bilberryhaven as an operator would; ``make check-binary``."""

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
WAIT_SECONDS = 60
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

    def run_line(self, *args, status=0):
        env = {**self.env, 'BILBERRYHAVEN_SERVER': self.server}
        done = subprocess.run(
            [BINARY, *args],
            env=env,
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
        )
        self.assertEqual(status, done.returncode, done.stderr)
        return done.stdout

    def read(self, *args):
        return json.loads(self.run_line(*args, '--output', 'json'))

    def wait(self, condition):
        end = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.2)
        self.fail('the condition never came true')

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
            self.run_line('check', str(EXAMPLES / f'{name}.yaml'))
        self.run_line('check', str(ROOT / 'Makefile'), status=1)
        self.assertTrue((self.folder / 'cache').is_dir())

    def test_whole_path_in_one_process(self):
        process = self.start()
        self.wait(
            lambda: (
                [
                    row['connected']
                    for row in self.read('get', 'instances')['instances']
                ]
                == [True] * 3
            )
        )
        self.run_line('apply', str(EXAMPLES / 'al-harthy-workloads.yaml'))
        self.run_line('label', 'workload', 'price-check', 'season=rush')
        self.assertTrue(self.read('in-force', 'price-check')['in_force'])
        self.run_line(
            'submit', 'recipe', '--id', 'r1', '--payload', '{"seconds": 0.5}'
        )
        self.wait(lambda: self.read('status', 'r1')['state'] == 'finished')
        self.run_line('get', 'workloads', 'none', status=1)
        self.assertEqual([], self.list_children(process))
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(WAIT_SECONDS))
