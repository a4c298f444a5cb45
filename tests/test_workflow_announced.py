"""Announced servers; guards against heartbeats that hide one another."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import announced
from tests import test_workflow_hearsay

at = clocks.seconds
RETRY = at(0.5)


class AnnouncedServersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.servers = announced.AnnouncedServers()

    def record(self, now, **fields):
        announcement = test_workflow_hearsay.build_announcement(**fields)
        self.servers.record(announcement, at(now))
        return announcement

    def take(self, now):
        due = self.servers.take_due(at(now), at(now) + RETRY)
        return [(row.state.id, row.sequence) for row in due]

    def test_newest_heartbeat_of_a_server_counts(self):
        for sequence in (5, 9, 7):
            self.record(1, sequence=sequence)
        self.assertEqual([('s', 9)], self.take(1))

    def test_what_stays_the_same_keeps_servers_apart(self):
        for fields in (
            {'id': 'other'},
            {'born_ms': 9},
            {'address': test_workflow_hearsay.ELSEWHERE},
            {'pool': 'unnamed'},
        ):
            self.record(1, sequence=100, **fields)
        self.record(2, sequence=1)
        due = self.take(2)
        self.assertEqual(5, len(due))
        self.assertEqual(('s', 1), due[0])

    def test_servers_are_due_again_after_the_interval(self):
        self.record(1)
        self.assertEqual([('s', 1)], self.take(1))
        self.record(1.2, sequence=2)
        self.assertEqual([], self.take(1.4))
        self.assertEqual([('s', 2)], self.take(1.5))

    def test_server_that_was_put_off_or_removed_is_not_due(self):
        put_off = self.record(1)
        removed = self.record(1, id='other')
        self.servers.put_off(put_off, at(3))
        self.servers.remove(removed)
        self.assertEqual([], self.take(2))
        self.assertEqual([('s', 1)], self.take(3))

    def test_old_and_surplus_servers_are_dropped(self):
        for number in range(announced.MAX_SERVERS + 3):
            self.record(1, id=f's{number}')
        due = self.take(1)
        self.assertEqual(announced.MAX_SERVERS, len(due))
        self.assertNotIn(('s0', 1), due)
        self.assertEqual([], self.take(1 + announced.MAX_AGE.total_seconds()))
