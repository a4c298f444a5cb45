"""Tests of the consensus core under one kind of fault each."""

import dataclasses
import datetime
import random

import testtools

from bilberryhaven import clock
from bilberryhaven.commands import change
from bilberryhaven.consensus import core
from bilberryhaven.consensus import effects
from bilberryhaven.consensus import log
from bilberryhaven.consensus import members
from bilberryhaven.consensus import message
from bilberryhaven import errors
from bilberryhaven.platform import control
from bilberryhaven.tables import workload
from tests.fuzz import cluster

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
LOW_JITTER_OPTIONS = dataclasses.replace(
    cluster.OPTIONS, election_jitter=clock.seconds(0.05)
)
STEP_SECONDS = 0.005


def build_change(number):
    return change.ApplyWorkload(
        change_id=f'c{number}',
        by='op',
        at=NOW,
        kind='workload',
        name='pump',
        spec=workload.Workload(name='pump', labels={'n': str(number)}),
    )


class ClusterTestCase(testtools.TestCase):
    def build(self, **arguments):
        self.count = 0
        self.cluster = cluster.Cluster(**arguments)
        self.leader = self.cluster.find_leader()

    def commit_change(self):
        self.count += 1
        return self.cluster.commit(build_change(self.count))

    def make_leader(self, name):
        self.leader = self.cluster.nodes[name]
        leader = self.cluster.find_leader()
        if leader is not self.leader:
            self.cluster.transfer(leader, name)
        self.wait_for(lambda: self.cluster.can_read(self.leader))

    def wait_for(self, test, seconds=20):
        end = self.cluster.now + clock.seconds(seconds)
        while not test():
            self.assertLess(self.cluster.now, end)
            self.cluster.run(0.1)

    def write_to_other_leader(self, seconds):
        """Commit at another leader; the old one must not serve reads."""
        old = self.leader
        accepted = []
        end = self.cluster.now + clock.seconds(seconds)
        while self.cluster.now < end:
            self.cluster.run(STEP_SECONDS)
            for node in self.cluster.nodes.values():
                if node.is_leading and node is not old:
                    self.count += 1
                    command = build_change(self.count)
                    self.cluster.propose(node, command, accepted.append)
            if accepted:
                self.assertFalse(self.cluster.can_read(old), 'stale read')
        self.assertTrue(accepted)


class TestLease(ClusterTestCase):
    options = LOW_JITTER_OPTIONS

    def build_with_fine_steps(self, **arguments):
        step = clock.seconds(STEP_SECONDS)
        self.build(options=self.options, step=step, **arguments)
        self.make_leader('a')
        self.cluster.run(0.5)

    def test_lease_ends_before_others_elect_despite_drift(self):
        self.build_with_fine_steps(clock_rates=(0.95, 1.05, 1.05))
        self.cluster.partition('a')
        self.write_to_other_leader(2)

    def test_lease_of_the_platform_ends_before_others_elect(self):
        """A former leader that answered polls could extend their leases."""
        self.options = dataclasses.replace(
            control.REPLICA_OPTIONS, election_jitter=clock.seconds(0.05)
        )
        for rate in (0.95, 1.0, 1.05):
            self.build_with_fine_steps(clock_rates=(rate, 1.0, 1.0))
            self.cluster.partition('a')
            self.write_to_other_leader(2)

    def test_leadership_transfer_revokes_the_lease(self):
        self.build_with_fine_steps()
        self.cluster.blocked |= {('b', 'a'), ('c', 'a')}
        self.cluster.transfer(self.leader, 'b')
        self.write_to_other_leader(0.5)

    def test_voter_in_contact_with_the_leader_grants_no_vote(self):
        self.build_with_fine_steps()
        self.cluster.blocked |= {('a', 'c'), ('c', 'a')}
        term = self.leader.driver.core.term
        self.cluster.run(5)
        self.assertTrue(self.cluster.can_read(self.leader))
        self.assertEqual(term, self.leader.driver.core.term)

    def test_restarted_voter_grants_no_vote_while_a_lease_may_run(self):
        for tenths in range(10):
            self.build_with_fine_steps()
            self.cluster.blocked |= {('a', 'c'), ('c', 'a')}
            self.cluster.run(3 + tenths / 10)
            self.cluster.partition('a')
            self.cluster.crash('b')
            self.cluster.start('b')
            self.write_to_other_leader(3)

    def test_isolated_leader_steps_down(self):
        self.build_with_fine_steps()
        for other in 'bc':
            self.cluster.blocked.add((other, 'a'))
        self.cluster.run(1)
        self.assertFalse(self.leader.is_leading)


class TestElection(ClusterTestCase):
    def test_rejoining_replica_does_not_depose_the_leader(self):
        self.build()
        self.make_leader('a')
        term = self.leader.driver.core.term
        self.cluster.partition('c')
        self.cluster.run(30)
        self.cluster.heal()
        self.cluster.run(5)
        self.assertTrue(self.leader.is_leading)
        self.assertEqual(term, self.leader.driver.core.term)

    def test_entry_of_an_older_term_is_committed_by_a_newer_one(self):
        voters = members.Members(voters={name: name for name in 'abc'})
        entries = [message.Entry(1), message.Entry(2)]
        node = core.Core(
            name='a',
            options=LOW_JITTER_OPTIONS,
            random=random.Random(1),
            hard_state=effects.HardState(term=3, vote='a'),
            log=log.EntryLog(entries=entries),
            history=members.MemberHistory(index=0, members=voters),
        )
        now = clock.seconds(1)
        node.start(now)
        node.become_leader(now)

        def acknowledge(sender, index):
            reply = message.AppendReply(
                sender=sender, term=3, ok=True, index=index, round=1
            )
            node.step(reply, now)

        acknowledge('a', 3)
        acknowledge('b', 2)
        self.assertEqual(0, node.commit)
        acknowledge('b', 3)
        self.assertEqual(3, node.commit)


class TestDisk(ClusterTestCase):
    def test_committed_changes_survive_power_loss_of_all_replicas(self):
        self.build()
        for _ in range(5):
            self.commit_change()
        for name in self.cluster.nodes:
            self.cluster.crash(name)
        self.cluster.heal()
        leader = self.cluster.find_leader()
        self.assertEqual(5, leader.machine.state.revision)

    def test_failed_sync_fails_the_replica_until_it_has_recovered(self):
        self.build()
        self.commit_change()
        self.leader.folder.fail_sync = True
        result = self.commit_change()
        self.assertEqual(errors.Outcome.UNKNOWN, result.outcome)
        self.assertIsInstance(self.leader.driver.fault, errors.StorageError)
        self.cluster.run(3)
        self.assertEqual('failed', self.leader.driver.core.role)
        self.assertIsNot(self.leader, self.cluster.find_leader())
        self.assertGreaterEqual(self.commit_change().revision, 2)
        self.leader.folder.fail_sync = False
        self.cluster.run(3)
        self.assertIsNone(self.leader.driver.fault)
        self.assertEqual('follower', self.leader.driver.core.role)
        self.cluster.wait_until_applied(self.cluster.find_leader())

    def test_full_disk_makes_the_leader_step_down(self):
        self.build()
        self.leader.folder.capacity = 0
        self.commit_change()
        self.assertFalse(self.leader.is_leading)
        self.assertIsNot(self.leader, self.cluster.find_leader())

    def test_disk_use_is_bounded_and_lagging_replica_catches_up(self):
        self.build()
        lagging = next(n for n in self.cluster.nodes if n != self.leader.name)
        self.cluster.crash(lagging)
        for _ in range(400):
            self.commit_change()
        names = self.leader.folder.list_names()
        self.assertEqual(2, sum(n.startswith('snapshot') for n in names))
        self.assertLess(len(names), 12)
        self.cluster.start(lagging)
        self.cluster.wait_until_applied(self.leader)


class TestLostDisk(ClusterTestCase):
    def test_voter_with_an_empty_disk_elects_no_outdated_candidate(self):
        self.build()
        self.make_leader('a')
        self.commit_change()
        self.cluster.blocked.add(('a', 'b'))
        self.assertEqual(2, self.commit_change().revision)
        self.cluster.wipe('c')
        self.cluster.crash('a')
        self.cluster.run(10)
        for name in 'bc':
            self.assertFalse(self.cluster.nodes[name].is_leading)
        self.cluster.heal()
        leader = self.cluster.find_leader()
        self.assertEqual(2, leader.machine.state.revision)

    def test_voter_with_an_empty_disk_receives_all_entries(self):
        self.build()
        self.commit_change()
        name = next(n for n in 'abc' if n != self.leader.name)
        self.cluster.wipe(name)
        self.cluster.wait_until_applied(self.leader)
        self.assertTrue(self.cluster.nodes[name].driver.core.joined)

    def test_first_leader_may_crash_before_replicating_entries(self):
        self.build()
        self.cluster.crash(self.leader.name)
        names = [n for n in 'abc' if n != self.leader.name]
        self.cluster.wipe(names[0])
        self.cluster.wipe(names[1])
        self.cluster.heal()
        self.assertEqual(self.leader, self.cluster.find_leader())


class TestMembers(ClusterTestCase):
    def change_members(self, **arguments):
        leader = self.cluster.find_leader()
        return self.cluster.call_driver(leader, 'change_members', **arguments)

    def list_voters(self):
        leader = self.cluster.find_leader()
        return ''.join(sorted(leader.driver.core.members.voters))

    def test_learner_that_has_not_caught_up_is_not_promoted(self):
        self.build()
        self.change_members(add=('d', 'd:1'))
        self.cluster.run(10)
        self.assertEqual('abc', self.list_voters())

    def test_learner_with_slow_link_is_promoted_under_writes(self):
        self.build()
        for _ in range(100):
            self.commit_change()
        self.cluster.add_node('d')
        self.cluster.delays['d'] = clock.seconds(0.1)
        self.change_members(add=('d', 'd:1'))
        for _ in range(300):
            self.count += 1
            command = build_change(self.count)
            self.cluster.propose(self.leader, command, lambda result: None)
            self.cluster.run(0.025)
        self.assertEqual('abcd', self.list_voters())

    def test_leader_crash_after_replacing_a_failed_member(self):
        self.build()
        for _ in range(100):
            self.commit_change()
        self.make_leader('a')
        self.cluster.crash('c')
        self.cluster.add_node('d')
        self.change_members(add=('d', 'd:1'))
        self.wait_for(lambda: self.list_voters() == 'abcd')
        self.cluster.run(1)
        self.change_members(remove='c')
        self.wait_for(lambda: self.list_voters() == 'abd')
        self.cluster.crash('a')
        self.assertEqual(101, self.commit_change().revision)

    def test_second_membership_change_in_progress_is_refused(self):
        self.build()
        self.cluster.partition(self.leader.name)
        self.cluster.call_driver(
            self.leader, 'change_members', add=('d', 'd:1')
        )
        (refusal,) = self.cluster.call_driver(
            self.leader, 'change_members', remove='c'
        )
        self.assertIsInstance(refusal, errors.RefusedError)

    def test_removed_leader_steps_down(self):
        self.build()
        self.change_members(remove=self.leader.name)
        self.cluster.run(1)
        self.assertIsNot(self.leader, self.cluster.find_leader())
        self.assertEqual(2, len(self.list_voters()))

    def test_removal_that_leaves_no_quorum_is_refused(self):
        self.build()
        self.make_leader('c')
        self.cluster.run(1)
        self.cluster.crash('a')
        self.cluster.run(1)
        (error,) = self.change_members(remove='b')
        self.assertIsInstance(error, errors.RefusedError)
        self.assertIn('only c', error.message)
        self.change_members(remove='a')

    def test_removed_leader_campaigns_until_the_removal_is_committed(self):
        self.build()
        self.make_leader('c')
        self.cluster.run(1)
        self.cluster.partition('c')
        self.change_members(remove='c')
        self.cluster.wipe('b')
        self.cluster.run(2)
        self.cluster.heal()
        self.assertEqual('ab', self.list_voters())

    def test_five_voters_tolerate_two_failures(self):
        self.build(names='abcde')
        self.cluster.crash('a')
        self.cluster.crash('b')
        self.assertEqual(1, self.commit_change().revision)
