"""Replacement of lost members without an operator."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import status
from bilberryhaven.control import membership
from bilberryhaven.workflow import message


class FakeReplica:
    name = 'r1'

    def __init__(self, clock):
        self._clock = clock
        self.rows = {}
        self.changes = []

    def put(self, name, *, voter=True, age=0.0):
        self.rows[name] = status.MemberStatus(
            name=name,
            address=f'{name}:1',
            voter=voter,
            answered_at=self._clock.monotonic() - clocks.seconds(age),
        )

    def status(self):
        return status.ReplicaStatus(
            name=self.name, members=tuple(self.rows.values())
        )

    def leadership_duration(self):
        return clocks.seconds(100)

    def change_members(self, **change):
        self.changes.append(change)


class KeeperTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        clock = clocks.ManualClock()
        clock.advance(clocks.seconds(100))
        self.replica = FakeReplica(clock)
        self.keeper = membership.MembershipController(
            replica=self.replica, clock=clock, voters=3
        )
        for name in ('r1', 'r2', 'r3'):
            self.replica.put(name)

    def admit(self, name='r4'):
        return self.keeper.admit(message.Join(name=name, address='a:1'))

    def test_whole_quorum_takes_nobody(self):
        self.assertFalse(self.admit())
        self.assertEqual([], self.replica.changes)

    def test_member_is_told_so(self):
        self.assertTrue(self.admit('r2'))

    def test_waiting_instance_joins_once_a_voter_is_silent(self):
        self.replica.put('r3', age=2.1)
        self.assertTrue(self.admit())
        self.assertEqual([{'add': ('r4', 'a:1')}], self.replica.changes)

    def test_short_silence_replaces_nobody(self):
        self.replica.put('r3', age=1.9)
        self.assertFalse(self.admit())

    def test_small_quorum_grows(self):
        del self.replica.rows['r3']
        self.assertTrue(self.admit())

    def test_one_learner_at_a_time(self):
        self.replica.put('r3', age=2.1)
        self.replica.put('r4', voter=False)
        self.assertFalse(self.admit('r5'))

    def test_lost_voter_leaves_only_after_its_successor_votes(self):
        self.replica.put('r3', age=9)
        self.replica.put('r4', voter=False)
        self.keeper.tick()
        self.assertEqual([], self.replica.changes)
        self.replica.put('r4')
        self.keeper.tick()
        self.assertEqual([{'remove': 'r3'}], self.replica.changes)

    def test_no_voter_leaves_while_all_answer(self):
        self.replica.put('r4')
        self.keeper.tick()
        self.assertEqual([], self.replica.changes)

    def test_silent_learner_is_given_up(self):
        self.replica.put('r4', voter=False, age=3.1)
        self.keeper.tick()
        self.assertEqual([{'remove': 'r4'}], self.replica.changes)
