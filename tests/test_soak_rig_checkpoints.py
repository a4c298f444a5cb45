"""Tests of what the runs of the rig's workers leave and carry on from."""

import argparse
import pathlib
import shutil
import tempfile
import time

import testtools

from soak import rig_worker


class CheckpointTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        self.worker = rig_worker.Worker(
            argparse.Namespace(
                events=str(folder / 'w.events'),
                gangs=str(folder),
                id='i-1',
                clock_rate=1.0,
                seed=1,
                listen='127.0.0.1:0',
                stop_ms=400,
                save_ms=2_000,
                restore_ms=600,
            )
        )
        self.addCleanup(self.worker.server.server_close)
        self.model = self.worker.model
        self.now = time.monotonic()
        self.patch(rig_worker.time, 'monotonic', lambda: self.now)

    def call(self, path, **fields):
        fields = {'fencing_token': 1, 'task': 't', 'run': 1, **fields}
        return self.worker.handle(path, fields)

    def start(self, spec='runs 60 s, saves', **fields):
        deadline_ms = self.model.read_clock_ms() + 9_000
        return self.call(
            '/run-start', spec=spec, deadline_ms=deadline_ms, **fields
        )

    def hold(self):
        with self.model.condition:
            self.model.advance()
        return self.call('/hold')[1]

    def test_is_made_after_each_interval(self):
        self.start()
        self.now += 1.9
        self.assertEqual('', self.hold()['running'][0][2])
        self.now += 3
        self.assertEqual('00000fa0', self.hold()['running'][0][2])

    def test_run_goes_on_from_it(self):
        self.start('runs 5 s, saves', checkpoint='00000fa0')
        self.now += 0.5
        self.assertEqual('00000fa0', self.hold()['running'][0][2])
        self.now += 1.05
        self.assertEqual([], self.hold()['finished'])
        self.now += 0.1
        self.assertEqual('done', self.hold()['finished'][0][3])

    def test_stop_takes_a_while_and_saves(self):
        self.start()
        self.now += 3
        self.assertEqual(200, self.call('/run-stop')[0])
        self.assertEqual(1, len(self.hold()['running']))
        self.assertEqual(409, self.start(run=2)[0])
        self.now += 0.4
        answer = self.hold()
        self.assertEqual([], answer['running'])
        self.assertEqual('stopped', answer['finished'][0][3])
        self.assertTrue(int(answer['finished'][0][4], 16) >= 3_000)
        self.assertEqual(200, self.start(run=2)[0])

    def test_run_without_checkpoints(self):
        self.start('runs 60 s')
        self.now += 5
        self.assertEqual('', self.hold()['running'][0][2])

    def test_share_of_runs_fails(self):
        self.start('runs 60 s, fails 1.0')
        self.now += rig_worker.FAIL_S
        self.assertEqual('failed', self.hold()['finished'][0][3])

    def test_modes_of_starts(self):
        self.worker.share, self.worker.mode_until = 1.0, self.now + 60
        for mode in ('shed', 'fail'):
            self.worker.mode = mode
            self.assertEqual(mode, self.worker.choose_mode('/run-start', {}))
            self.assertEqual('pass', self.worker.choose_mode('/hold', {}))
