"""Tests of replicas whose disk fails for a while and then works again."""

import random

from bilberryhaven.consensus import memory
from bilberryhaven import errors
from tests import test_consensus

# Longer than the longest delay between two attempts to recover, an election
# and the replication of the missed entries.
RETURN_SECONDS = 5
OUTAGE_SECONDS = 3
FAULTS = tuple(memory.DiskFault)
LOG = 'log-'
SNAPSHOT = 'snapshot-'
# Changes that fill more than one segment and cause a snapshot.
MANY_CHANGES = 60


class DiskTestCase(test_consensus.ClusterTestCase):
    """Commits changes, and checks that no accepted one is lost."""

    def build(self, **arguments):
        super().build(**arguments)
        self.accepted = {}
        self.acknowledged = 0
        self.commit(3)

    def commit(self, count):
        """Submit changes at whichever replica leads; record the accepted."""
        for _ in range(count):
            result = self.commit_change()
            if not isinstance(result, (Exception, type(None))):
                self.accepted[result.id] = result.revision

    def pick(self, role):
        leader = self.cluster.find_leader()
        if role == 'leader':
            return leader
        return next(
            node
            for name, node in sorted(self.cluster.nodes.items())
            if node is not leader
        )

    def break_disk(self, node, fault, prefix=''):
        node.folder.fault = fault
        node.folder.fault_prefix = prefix

    def repair_disk(self, node):
        node.folder.fault = None

    def lose_power_of_all(self, seed=0):
        self.cluster.random = random.Random(seed)
        for name, node in self.cluster.nodes.items():
            if node.is_up:
                self.cluster.crash(name)
        self.cluster.heal()

    def assert_participates(self, node, driver, case):
        """Check that the same driver is back, with all entries stored."""
        leader = self.cluster.find_leader()
        self.wait_for(
            lambda: node.driver.applied >= leader.driver.applied,
            seconds=RETURN_SECONDS,
        )
        self.assertIs(driver, node.driver, case)
        self.assertIsNone(node.driver.fault, case)
        peer = leader.driver.core.peers[node.name]
        self.wait_for(
            lambda: peer.match >= leader.driver.core.commit,
            seconds=RETURN_SECONDS,
        )

    def assert_nothing_lost(self, case):
        leader = self.cluster.find_leader()
        self.cluster.wait_until_applied(leader)
        for node in self.cluster.nodes.values():
            changes = node.machine.state.changes
            for change_id, revision in self.accepted.items():
                row = changes.find(change_id)
                self.assertIsNotNone(row, f'{case}: {change_id} is lost')
                self.assertEqual(revision, row.revision, case)


class TestReturn(DiskTestCase):
    """Guards against a replica that stays failed after a short disk fault."""

    def check(self, fault, role, prefix, changes, seed=0):
        case = f'{fault}, {role}, {prefix or "any file"}, seed {seed}'
        self.build(seed=seed)
        node = self.pick(role)
        driver = node.driver
        self.break_disk(node, fault, prefix)
        self.commit(changes)
        self.cluster.run(OUTAGE_SECONDS)
        self.assertGreater(node.folder.fault_count, 0, case)
        self.repair_disk(node)
        self.cluster.run(RETURN_SECONDS)
        self.commit(3)
        self.assert_participates(node, driver, case)
        self.assertGreaterEqual(len(self.accepted), changes, case)
        self.lose_power_of_all(seed)
        self.assert_nothing_lost(case)

    def test_each_fault_of_an_entry_in_each_role(self):
        for fault in FAULTS[:-1]:
            for role in ('leader', 'follower'):
                self.check(fault, role, LOG, 5)

    def test_each_fault_of_a_new_segment_or_snapshot_in_each_role(self):
        for fault in FAULTS:
            for role in ('leader', 'follower'):
                for prefix in ('', SNAPSHOT):
                    self.check(fault, role, prefix, MANY_CHANGES)

    def test_new_segment_whose_name_is_not_durable(self):
        for seed in range(6):
            for role in ('leader', 'follower'):
                fault = memory.DiskFault.FOLDER_SYNC
                self.check(fault, role, LOG, MANY_CHANGES, seed)

    def test_each_fault_of_a_vote(self):
        for fault in FAULTS[:-1]:
            self.build()
            voter = self.pick('follower')
            driver = voter.driver
            self.break_disk(voter, fault)
            self.cluster.crash(self.cluster.find_leader().name)
            self.cluster.run(OUTAGE_SECONDS)
            self.assertGreater(voter.folder.fault_count, 0, fault)
            self.assertEqual('', self.find_other_leader(voter), fault)
            self.repair_disk(voter)
            self.cluster.run(RETURN_SECONDS)
            self.commit(3)
            self.assert_participates(voter, driver, fault)
            self.lose_power_of_all()
            self.assert_nothing_lost(fault)

    def find_other_leader(self, node):
        """Return a leader; only votes that are on disk elect one."""
        others = [n for n in self.cluster.nodes.values() if n is not node]
        return next((n.name for n in others if n.is_leading), '')

    def test_each_fault_of_a_joiner(self):
        for fault in FAULTS:
            self.build()
            self.commit(MANY_CHANGES)
            joiner = self.cluster.add_node('d')
            driver = joiner.driver
            self.break_disk(joiner, fault)
            self.cluster.call_driver(
                self.leader, 'change_members', add=('d', 'd:1')
            )
            self.cluster.run(OUTAGE_SECONDS)
            self.assertGreater(joiner.folder.fault_count, 0, fault)
            self.repair_disk(joiner)
            self.cluster.run(RETURN_SECONDS)
            self.commit(3)
            self.assert_participates(joiner, driver, fault)
            self.lose_power_of_all()
            self.assert_nothing_lost(fault)

    def test_each_fault_at_the_start(self):
        for fault in FAULTS:
            self.build()
            node = self.pick('follower')
            self.cluster.crash(node.name)
            self.break_disk(node, fault)
            self.cluster.start(node.name)
            driver = node.driver
            self.commit(3)
            self.cluster.run(OUTAGE_SECONDS)
            self.assertGreater(node.folder.fault_count, 0, fault)
            self.repair_disk(node)
            self.cluster.run(RETURN_SECONDS)
            self.assert_participates(node, driver, fault)
            self.assert_nothing_lost(fault)

    def test_each_fault_of_an_empty_folder_at_the_start(self):
        for fault in FAULTS:
            self.build()
            node = self.pick('follower')
            self.cluster.crash(node.name)
            node.folder = memory.MemoryFolder()
            self.break_disk(node, fault)
            self.cluster.start(node.name)
            driver = node.driver
            self.cluster.run(OUTAGE_SECONDS)
            self.assertGreater(node.folder.fault_count, 0, fault)
            self.repair_disk(node)
            self.cluster.run(RETURN_SECONDS)
            self.assert_participates(node, driver, fault)
            self.assert_nothing_lost(fault)

    def test_twice_on_one_disk(self):
        for fault in FAULTS[:-1]:
            for role in ('leader', 'follower'):
                self.build()
                node = self.pick(role)
                driver = node.driver
                for _ in range(2):
                    self.break_disk(node, fault)
                    self.commit(3)
                    self.cluster.run(OUTAGE_SECONDS)
                    self.repair_disk(node)
                    self.cluster.run(RETURN_SECONDS)
                self.assert_participates(node, driver, fault)
                self.lose_power_of_all()
                self.assert_nothing_lost(fault)

    def test_in_turn_on_all_disks(self):
        for fault in FAULTS[:-1]:
            for seed in range(3):
                self.build(seed=seed)
                for node in list(self.cluster.nodes.values()):
                    self.break_disk(node, fault)
                    self.commit(3)
                    self.cluster.run(OUTAGE_SECONDS)
                    self.repair_disk(node)
                    self.cluster.run(RETURN_SECONDS)
                self.commit(3)
                self.assertGreaterEqual(len(self.accepted), 12, fault)
                self.lose_power_of_all(seed)
                self.assert_nothing_lost(fault)

    def test_at_once_on_all_disks(self):
        """Service is suspended; no accepted change is lost."""
        for fault in FAULTS:
            self.build()
            nodes = list(self.cluster.nodes.values())
            for node in nodes:
                self.break_disk(node, fault)
            self.commit_change()
            self.cluster.run(OUTAGE_SECONDS)
            for node in nodes:
                self.repair_disk(node)
            self.cluster.run(RETURN_SECONDS)
            self.commit(3)
            self.assertGreaterEqual(len(self.accepted), 6, fault)
            self.assert_nothing_lost(fault)

    def test_power_loss_while_the_disk_still_fails(self):
        for fault in FAULTS:
            for role in ('leader', 'follower'):
                for seed in range(3):
                    self.build(seed=seed)
                    node = self.pick(role)
                    self.break_disk(node, fault)
                    self.commit(MANY_CHANGES)
                    self.lose_power_of_all(seed)
                    self.assert_nothing_lost(f'{fault}, {role}, {seed}')


class TestBelief(DiskTestCase):
    """Guards against votes and replies that no sync has confirmed."""

    def test_bytes_of_a_failed_sync_are_written_again(self):
        for seed in range(20):
            self.build(seed=seed)
            node = self.pick('follower')
            self.break_disk(node, memory.DiskFault.SYNC)
            self.commit(2)
            self.repair_disk(node)
            self.cluster.run(RETURN_SECONDS)
            self.assert_participates(node, node.driver, seed)
            other = next(
                n
                for n in self.cluster.nodes.values()
                if n is not node and not n.is_leading
            )
            self.cluster.crash(other.name)
            self.commit(2)
            self.lose_power_of_all(seed)
            self.assert_nothing_lost(seed)

    def test_failed_replica_sends_nothing(self):
        self.build()
        node = self.pick('follower')
        self.break_disk(node, memory.DiskFault.REFUSES)
        self.commit(1)
        self.cluster.run(OUTAGE_SECONDS)
        sent = []
        node.driver._send = lambda to, data: sent.append(to)
        self.commit(1)
        self.cluster.run(1)
        self.assertEqual([], sent)
        self.assertEqual('failed', node.driver.core.role)

    def test_folder_that_lost_confirmed_entries_is_not_used(self):
        self.build()
        self.commit(5)
        node = self.pick('follower')
        name = [n for n in node.folder.list_names() if n.startswith(LOG)][-1]
        self.break_disk(node, memory.DiskFault.FULL)
        self.commit(1)
        node.folder.fault = None
        content = node.folder.read(name)
        node.folder.replace(name, content[: len(content) // 2])
        self.cluster.run(RETURN_SECONDS)
        self.assertIsInstance(node.driver.fault, errors.DamagedFileError)
        self.assertEqual('failed', node.driver.core.role)


class TestHandover(DiskTestCase):
    """Guards against a leader that keeps the quorum waiting for its disk."""

    def test_another_replica_leads_before_an_election_timeout(self):
        for fault in FAULTS[:-1]:
            for seed in range(5):
                self.build(seed=seed)
                self.break_disk(self.leader, fault)
                self.commit_change()
                start = self.cluster.now
                self.wait_for_other_leader()
                self.assertLess(
                    self.cluster.now - start,
                    self.cluster.options.election_timeout / 2,
                    f'{fault}, seed {seed}',
                )

    def wait_for_other_leader(self):
        others = [
            node
            for node in self.cluster.nodes.values()
            if node is not self.leader
        ]
        while not any(self.cluster.can_read(node) for node in others):
            self.cluster.run(0.025)


class TestRetries(DiskTestCase):
    """Guards against a failing disk that is read over and over."""

    def test_attempts_are_bounded_and_counted(self):
        self.build()
        node = self.pick('follower')
        self.break_disk(node, memory.DiskFault.FULL)
        self.commit(1)
        self.cluster.run(30)
        status = node.driver.build_status()
        self.assertEqual(1, status.storage_faults)
        self.assertIn('storage', status.fault)
        self.assertLessEqual(status.recovery_attempts, 40)
        self.assertGreaterEqual(status.recovery_attempts, 20)
        self.repair_disk(node)
        self.cluster.run(RETURN_SECONDS)
        status = node.driver.build_status()
        self.assertEqual('', status.fault)
        self.assertEqual('follower', status.role)

    def test_disk_that_can_be_read_but_not_written_is_not_read_at_once(self):
        self.build()
        node = self.pick('follower')
        for _ in range(100):
            self.break_disk(node, memory.DiskFault.SHORT_WRITE)
            self.commit(1)
            self.repair_disk(node)
            self.cluster.run(0.05)
        attempts = node.driver.build_status().recovery_attempts
        self.assertLess(attempts, 40)
