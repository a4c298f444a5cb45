"""Tests of the replacement of failed members without an operator."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import status
from bilberryhaven.control import membership
from bilberryhaven.workflow import message


class FakeReplica:
    name = 'r1'
    fault = ''

    def __init__(self, clock):
        self._clock = clock
        self.rows = {}
        self.changes = []

    def put_member(self, name, *, voter=True, age=0.0):
        self.rows[name] = status.MemberStatus(
            name=name,
            address=f'{name}:1',
            voter=voter,
            answered_at=self._clock.monotonic() - clocks.seconds(age),
        )

    def status(self):
        return status.ReplicaStatus(
            name=self.name,
            members=tuple(self.rows.values()),
            fault=self.fault,
        )

    def leadership_duration(self):
        return clocks.seconds(100)

    def change_members(self, **change):
        self.changes.append(change)


class MembershipControllerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        clock = clocks.ManualClock()
        clock.advance(clocks.seconds(100))
        self.replica = FakeReplica(clock)
        self.controller = membership.MembershipController(
            replica=self.replica, clock=clock, voters=3
        )
        for name in ('r1', 'r2', 'r3'):
            self.replica.put_member(name)

    def admit(self, name='r4'):
        return self.controller.admit(message.Join(name=name, address='a:1'))

    def test_complete_quorum_admits_no_instance(self):
        self.assertFalse(self.admit())
        self.assertEqual([], self.replica.changes)

    def test_join_of_a_member_is_confirmed(self):
        self.assertTrue(self.admit('r2'))

    def test_instance_joins_once_a_voter_is_unresponsive(self):
        self.replica.put_member('r3', age=2.1)
        self.assertTrue(self.admit())
        self.assertEqual([{'add': ('r4', 'a:1')}], self.replica.changes)

    def test_voter_within_its_timeout_is_not_replaced(self):
        self.replica.put_member('r3', age=1.9)
        self.assertFalse(self.admit())

    def test_instance_joins_a_quorum_that_lacks_a_voter(self):
        del self.replica.rows['r3']
        self.assertTrue(self.admit())

    def test_no_instance_joins_while_there_is_a_learner(self):
        self.replica.put_member('r3', age=2.1)
        self.replica.put_member('r4', voter=False)
        self.assertFalse(self.admit('r5'))

    def test_failed_voter_is_removed_only_after_its_successor_votes(self):
        self.replica.put_member('r3', age=9)
        self.replica.put_member('r4', voter=False)
        self.controller.tick()
        self.assertEqual([], self.replica.changes)
        self.replica.put_member('r4')
        self.controller.tick()
        self.assertEqual([{'remove': 'r3'}], self.replica.changes)

    def test_no_voter_is_removed_while_all_answer(self):
        self.replica.put_member('r4')
        self.controller.tick()
        self.assertEqual([], self.replica.changes)

    def test_unresponsive_learner_is_removed(self):
        self.replica.put_member('r4', voter=False, age=3.1)
        self.controller.tick()
        self.assertEqual([{'remove': 'r4'}], self.replica.changes)


class FakeGateway:
    def __init__(self):
        self.sent = []

    def send(self, msg, *, timeout, step):
        self.sent.append(msg)


class JoinRequesterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.replica = FakeReplica(clocks.ManualClock())
        self.replica.address = 'a:1'
        self.gateway = FakeGateway()
        self.requester = membership.JoinRequester(
            replica=self.replica,
            gateway=self.gateway,
            clock=clocks.ManualClock(),
        )

    def test_instance_that_is_no_member_asks_to_join(self):
        self.requester.tick()
        self.assertEqual(1, len(self.gateway.sent))

    def test_instance_does_not_ask_while_its_disk_fails(self):
        """Guards against learners that never answer."""
        self.replica.fault = 'storage: no space left'
        self.requester.tick()
        self.assertEqual([], self.gateway.sent)
