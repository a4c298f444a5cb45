"""Tests of the rig's late answers and busy loops."""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import testtools

from soak import rig_machine_faults
from soak import rig_worker

GUARD_S = 60


class FolderCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)


class ModeTest(FolderCase):
    def setUp(self):
        super().setUp()
        self.events = self.folder / 'w.events'
        self.worker = rig_worker.Worker(
            argparse.Namespace(
                events=str(self.events),
                gangs=str(self.folder),
                id='i-1',
                clock_rate=1.0,
                seed=1,
                listen='127.0.0.1:0',
            )
        )
        self.addCleanup(self.worker.server.server_close)

    def call(self, path, *, late=False, **fields):
        fields = {'fencing_token': 1, **fields}
        return self.worker.handle(path, fields, late=late)

    def start(self, task, run):
        deadline_ms = self.worker.model.read_clock_ms() + 5_000
        return self.call(
            '/run-start',
            task=task,
            run=run,
            spec='runs 60 s',
            deadline_ms=deadline_ms,
        )

    def end_a_run(self):
        self.start('t', 1)
        self.call('/run-stop', task='t', run=1)

    def choose(self, mode, path, **fields):
        self.worker.mode, self.worker.share = mode, 1.0
        self.worker.mode_until = time.monotonic() + GUARD_S
        return self.worker.choose_mode(path, fields)

    def test_calls_that_a_mode_applies_to(self):
        rows = [
            ('late', '/run-start', {'late'}),
            ('late', '/run-stop', {'late'}),
            ('late', '/hold', {'pass'}),
            ('late-grants', '/run-start', {'pass'}),
            ('late-grants', '/hold', {'late'}),
            ('late-all', '/run-start', {'late'}),
            ('late-all', '/hold', {'late'}),
            ('late-all', '/pace', {'pass'}),
            ('lost-grants', '/run-start', {'pass'}),
            ('lost-grants', '/hold', {'mute', 'reset'}),
            ('lost-all', '/run-stop', {'mute', 'reset'}),
            ('busy', '/pace', {'busy'}),
        ]
        for mode, path, expected in rows:
            self.assertIn(self.choose(mode, path), expected, (mode, path))

    def test_only_answers_to_new_acknowledgements_are_lost(self):
        self.end_a_run()
        rows = [(0, True), (1, False), (2, False)]
        for cursor, passes in rows:
            treatment = self.choose('lost-acks', '/hold', ack_cursor=cursor)
            self.assertEqual(passes, treatment == 'pass', cursor)
        self.call('/hold', ack_cursor=1)
        treatment = self.choose('lost-acks', '/hold', ack_cursor=1)
        self.assertEqual('pass', treatment)

    def test_a_late_grant_never_shortens_a_lease(self):
        self.start('t', 1)
        model = self.worker.model
        before_s = model.find_lapse_at()
        deadline_ms = model.read_clock_ms() + 1_000
        self.call('/hold', late=True, deadline_ms=deadline_ms)
        self.assertEqual(before_s, model.find_lapse_at())

    def test_a_late_grant_is_cut_to_the_longest_lease_at_its_arrival(self):
        model = self.worker.model
        self.call(
            '/hold', late=True, deadline_ms=model.read_clock_ms() + 60_000
        )
        left_s = model.find_lapse_at() - time.monotonic()
        self.assertTrue(9.0 < left_s <= 10.0, left_s)

    def test_late_grants_are_written_down(self):
        self.call('/hold', late=True, ack_cursor=0)
        rows = [json.loads(row) for row in self.events.open()]
        self.assertIn('late grant', [row['what'] for row in rows])


class BusyLoopTest(testtools.TestCase):
    def test_loops_end_by_themselves_and_are_few(self):
        self.assertTrue(rig_machine_faults.MAX_BUSY_LOOPS <= 8)
        command = [sys.executable, '-c', rig_machine_faults.BUSY_LOOP, '0.05']
        loop = subprocess.Popen(command)
        self.assertEqual(0, loop.wait(GUARD_S))
