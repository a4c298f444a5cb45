"""Tests of what the rig's kinds on hearsay send."""

import random

import testtools

from soak import rig_faults
from soak import rig_hearsay

BODY = {
    'service': 'desk',
    'address': '127.0.0.1:1',
    'sequence': 7,
    'born': 1_000,
    'state': 'ready',
}
KINDS = (
    'agent restart, strange first',
    'hearsay: address of another worker',
    'hearsay: born missing',
    'hearsay: closed address',
    'hearsay: deregistration',
    'hearsay: deregistration, listener closed',
    'hearsay: high sequence, unnamed service',
    'hearsay: later born',
    'hearsay: leave, agent restarted',
    'hearsay: leave, agent stopped',
    'hearsay: leave, heartbeats lost',
    'hearsay: own id, unnamed service',
    'late poll',
    'leader restart, strange heartbeats',
    'second agent',
    'second worker',
    'second worker, second agent',
)


class KindsTest(testtools.TestCase):
    """Guards against a belief of the record that no kind attacks."""

    def test_all_are_registered(self):
        self.assertEqual([], sorted(set(KINDS) - set(rig_faults.list_kinds())))

    def test_each_can_be_chosen_alone(self):
        for name in KINDS:
            self.assertEqual(name, rig_faults.choose(random, [name]))


class HeartbeatTest(testtools.TestCase):
    """Guards against a strange heartbeat that is one of the worker's."""

    def build(self, **changes):
        return rig_hearsay.build_heartbeat(
            'i-1', BODY, random.Random(1), **changes
        )

    def test_own_id(self):
        worker_id, body = self.build(id='own', service='unnamed')
        self.assertNotEqual('i-1', worker_id)
        expected = {**BODY, 'sequence': 1, 'service': 'unnamed'}
        self.assertEqual(expected, body)

    def test_high_sequence(self):
        worker_id, body = self.build(id='worker', sequence='high')
        self.assertEqual('i-1', worker_id)
        expected = {**BODY, 'sequence': rig_hearsay.HIGH_SEQUENCE}
        self.assertEqual(expected, body)

    def test_next_sequence_and_other_address(self):
        worker_id, body = self.build(id='worker', address='127.0.0.1:2')
        self.assertEqual('i-1', worker_id)
        expected = {**BODY, 'sequence': 8, 'address': '127.0.0.1:2'}
        self.assertEqual(expected, body)

    def test_later_born(self):
        for writer in ('own', 'worker'):
            _, body = self.build(id=writer, born='later')
            self.assertGreater(body['born'], BODY['born'])

    def test_born_missing(self):
        for writer in ('own', 'worker'):
            _, body = self.build(id=writer, born='missing')
            self.assertNotIn('born', body)

    def test_worker_heartbeat_is_left_as_it_is(self):
        before = dict(BODY)
        self.build(id='own', born='missing', service='unnamed')
        self.assertEqual(before, BODY)

    def test_deregistration(self):
        for with_born, expected in ((True, {'born': 1_000}), (False, {})):
            fields = rig_hearsay.build_deregistration(
                BODY, with_born=with_born
            )
            self.assertEqual(expected, fields)
