"""Tests of the rig's callers and of the verdict on what they have seen."""

import itertools
import random

import testtools

from soak import rig_callers
from soak import rig_oracle
from tests import rig_fakes

DRAWS = 300


class RigCase(rig_fakes.RigTestCase):
    def read_notes(self):
        return [(row['what'], row['job']) for row in self.rig._read_jobs()]


class SettingsTest(RigCase):
    def test_are_those_of_the_sheet(self):
        # Guards against a quorum of three where the sheet needs five.
        name = self.rig.seeds[0]
        text = self.rig._write_settings(name, 'control').read_text()
        fields = dict(line.split('=', 1) for line in text.splitlines())
        self.assertEqual('2', fields['fault_tolerance.machines'])
        self.assertEqual('10000', fields['bounds.max_lease_ms'])
        self.assertEqual('5000', fields['bounds.evacuate_ms'])


class JobTest(testtools.TestCase):
    def build(self, extras=0.0, **changes):
        row = {**rig_fakes.CLASS, **changes}
        row['jobs'] = {**rig_fakes.CLASS['jobs'], **changes.get('jobs', {})}
        choices = random.Random(1)
        return [
            rig_callers.build_job(row, choices, extras) for _ in range(DRAWS)
        ]

    def list_steps(self, jobs):
        return [step for job in jobs for step in job['steps']]

    def test_plain(self):
        for job in self.build():
            self.assertEqual(
                {'task_count', 'cpu', 'mem_mb', 'estimate_ms', 'after'},
                set().union(*job['steps'], ['after']),
            )
            self.assertNotIn('repeat_count', job)

    def test_shares_of_the_class(self):
        jobs = self.build(
            jobs={'saves': 0.5, 'apart': 0.5, 'timed': 0.5}, error_share=0.2
        )
        steps = self.list_steps(jobs)
        for name in ('saves_progress', 'anti_affinity'):
            self.assertEqual({False, True}, {name in step for step in steps})
        self.assertEqual({False, True}, {'repeat_count' in j for j in jobs})
        self.assertIn('fails 0.2', jobs[0]['spec'])

    def test_gang_is_one_step_of_its_size(self):
        for job in self.build(jobs={'gang': 1.0}):
            (step,) = job['steps']
            self.assertTrue(step['gang'])
            self.assertIn(f'{step["task_count"]} together', job['spec'])

    def test_extras(self):
        jobs = self.build(extras=0.3)
        steps = self.list_steps(jobs)
        for name in ('gang', 'speculative'):
            self.assertTrue(any(name in step for step in steps), name)
        self.assertTrue(any('repeat_count' in job for job in jobs))

    def test_those_that_last_have_no_extras(self):
        for job in self.build(extras=1.0, jobs={'lasts': True}):
            (step,) = job['steps']
            self.assertTrue(step['long_running'])
            self.assertNotIn('gang', step)
            self.assertNotIn('runs', job['spec'])


class CallersTest(RigCase):
    def setUp(self):
        super().setUp()
        self.calls = []
        self.answers = itertools.repeat((200, '{"state": "completed"}'))
        self.patch(rig_callers, 'call', self.answer)
        self.patch(rig_callers, 'RETRY_INTERVAL_S', 0)

    def answer(self, address, method, path, timeout, body=None):
        self.calls.append((address, method, path, body))
        return next(self.answers)

    def submit(self):
        _, path, body = self.rig.callers.build(self.choices)
        return self.rig.callers.submit(path, body, self.choices)

    def test_accepted_job_is_sent_once(self):
        self.assertEqual(200, self.submit())
        self.assertEqual(1, len(self.calls))

    def test_lost_acceptance_is_sent_again_unchanged(self):
        self.rig.callers.set_trouble('answers lost', 1.0, 60)
        self.assertEqual('lost', self.submit())
        self.assertEqual(rig_callers.ATTEMPTS, len(self.calls))
        self.assertEqual(1, len({str(call[2:]) for call in self.calls}))
        self.assertTrue(len({address for address, *_ in self.calls}) > 1)

    def test_trouble_ends(self):
        self.rig.callers.set_trouble('answers lost', 1.0, 0)
        self.assertEqual(200, self.submit())

    def test_rejected_job_is_given_up(self):
        self.answers = iter([(503, ''), (429, '')])
        self.assertEqual(429, self.submit())

    def test_completed_job_is_noted(self):
        self.assertTrue(self.rig.callers.ask('/render/j1', self.choices))
        self.assertEqual([('completed', 'j1')], self.read_notes())

    def test_unknown_state_is_asked_for_again(self):
        self.answers = iter([('TimeoutError', ''), (503, '{}')])
        for _ in range(2):
            self.assertFalse(self.rig.callers.ask('/render/j', self.choices))

    def test_caller_asks_and_cancels(self):
        self.rig.callers.set_trouble('cancel', 1.0, 60)
        self.patch(rig_callers, 'CANCEL_RANGE_S', (0.0, 0.0))
        self.patch(rig_callers, 'ASK_RANGE_S', (0.0, 0.0))
        self.patch(rig_callers, 'CHECK_INTERVAL_S', 0.01)
        self.rig.callers.call_for(1, 0.1)
        methods = {method for _, method, *_ in self.calls}
        self.assertEqual({'POST', 'GET', 'DELETE'}, methods)


class VerdictTest(testtools.TestCase):
    def find(self, *later, copied=(), shown_at=None):
        jobs = [{'what': 'accepted', 'job': 'j', 'at': 0, 'copied': copied}]
        if shown_at is not None:
            jobs.append(
                {'what': 'completed', 'job': 'j', 'at': shown_at, 'copied': []}
            )
        task = {'worker': 'i', 'task': 'j.0.1.0'}
        first = [{'at': 1, 'what': 'start', 'run': 1, **task}]
        later = [{**task, 'run': 2, **event} for event in later]
        return rig_oracle.find_breaks({'a': first, 'b': later}, jobs)

    def test_copies_may_run_at_once(self):
        start = {'at': 2, 'what': 'start'}
        self.assertEqual([], self.find(start, copied=[1]))
        self.assertEqual(1, len(self.find(start, copied=[0])))
        self.assertEqual(1, len(self.find(start)))

    def test_start_after_the_job_was_shown_as_completed(self):
        start = {'at': 5.5, 'what': 'start'}
        broken = self.find(start, copied=[1], shown_at=4)
        self.assertIn('shown as completed', broken[0])
        self.assertEqual([], self.find(start, copied=[1], shown_at=5))

    def test_late_order_may_come_after_that(self):
        start = {'at': 9, 'what': 'start'}
        order = {'at': 9, 'what': 'order', 'late': True}
        self.assertEqual([], self.find(start, order, copied=[1], shown_at=4))
