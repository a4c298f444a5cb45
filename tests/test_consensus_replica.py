"""Tests of the replica facade with disk files and TCP connections."""

import pathlib
import tempfile
import threading

import msgspec
import testtools

from bilberryhaven import clock
from bilberryhaven.consensus import files
from bilberryhaven.consensus import machine
from bilberryhaven.consensus import options
from bilberryhaven.consensus import replica
from bilberryhaven.consensus import restore
from bilberryhaven.consensus import transport
from bilberryhaven import errors
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from bilberryhaven.wire import server

# Ends a test that would wait forever.
TIMEOUT = clock.seconds(120)
OPTIONS = options.Options(
    election_timeout=clock.seconds(0.5),
    election_jitter=clock.seconds(0.2),
    transfer_timeout=TIMEOUT,
)


class PacedClock(clock.ManualClock):
    """Advances by a tick once each replica has handled a message.

    Replicas that wait for a processor hold back the time of all of them.
    """

    def __init__(self):
        super().__init__()
        self.addresses = []
        self.stopping = threading.Event()
        self.client = client.Client()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopping.wait(OPTIONS.tick_interval.total_seconds()):
            for address in list(self.addresses):
                self.wait_for_reply(address)
            self.advance(OPTIONS.tick_interval)

    def wait_for_reply(self, address):
        batch = message.ConsensusBatch(sender='clock', messages=[])
        try:
            self.client.send(address, batch, timeout=TIMEOUT, step='pace')
        except errors.BilberryhavenError:
            self.addresses.remove(address)

    def stop(self):
        self.stopping.set()
        self.thread.join()
        self.client.close()


class PatientClient(client.Client):
    """Keeps a message that is late because of a busy processor."""

    def send(self, address, msg, *, timeout, step):
        return super().send(address, msg, timeout=TIMEOUT, step=step)


class ListMachine(machine.StateMachine):
    """Stores each entry, but refuses b'bad' and raises for b'fault'."""

    def __init__(self):
        self.items = []

    def apply(self, index, data):
        if data == b'bad':
            return errors.RefusedError('bad', step='apply')
        if data == b'fault':
            raise ValueError('fault')
        self.items.append(data)
        return len(self.items)

    def dump(self):
        return msgspec.msgpack.encode(self.items)

    def load(self, data):
        self.items = msgspec.msgpack.decode(data, type=list[bytes])


class StallingFolder(files.DiskFolder):
    """A folder on a disk whose syncs wait while ``is_running`` is clear."""

    def __init__(self, *, path):
        super().__init__(path=path)
        self.is_running = threading.Event()
        self.is_running.set()

    def open_appender(self, name):
        appender = super().open_appender(name)
        sync = appender.sync

        def sync_later():
            self.is_running.wait(TIMEOUT.total_seconds())
            sync()

        appender.sync = sync_later
        return appender


class Node:
    """A replica behind a server on the loopback interface."""

    def __init__(self, *, name, folder, clock):
        self.name = name
        self.folder = StallingFolder(path=folder / name)
        self.clock = clock
        self.replica = None
        self.leading_event = threading.Event()
        self.following_event = threading.Event()
        self.following_event.set()
        self.server = server.Server(
            address='127.0.0.1:0',
            handlers={message.ConsensusBatch: self.handle},
        )
        self.server.start()

    def start(self, voters):
        self.machine = ListMachine()
        self.replica = replica.Replica(
            name=self.name,
            address=self.server.address,
            voters=voters,
            folder=self.folder,
            machine=self.machine,
            clock=self.clock,
            transport=transport.WireTransport(client=PatientClient()),
            options=OPTIONS,
            on_leadership=self.record_leadership,
        )
        self.replica.start()
        self.clock.addresses.append(self.server.address)

    def record_leadership(self, leading, term):
        if leading:
            self.following_event.clear()
            self.leading_event.set()
        else:
            self.leading_event.clear()
            self.following_event.set()

    def handle(self, batch):
        replies = self.replica.handle(batch.messages, batch.sender)
        return message.ConsensusBatch(sender=self.name, messages=replies)

    def stop(self):
        self.replica.stop()
        self.server.stop()


def stop_all(nodes):
    """Cut the nodes off first, so that none waits for a successor."""
    for node in nodes:
        node.server.stop()
    for node in nodes:
        if len(nodes) > 1:
            node.following_event.wait(TIMEOUT.total_seconds())
        node.replica.stop()


class ReplicaTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.clock = PacedClock()
        self.addCleanup(self.clock.stop)
        self.nodes = []

    def build_node(self, name):
        return Node(name=name, folder=self.folder, clock=self.clock)

    def build(self, names):
        self.nodes = [self.build_node(name) for name in names]
        voters = {node.name: node.server.address for node in self.nodes}
        self.addCleanup(stop_all, list(self.nodes))
        for node in self.nodes:
            node.start(voters)

    def find_leader(self):
        for _ in range(int(TIMEOUT.total_seconds() / 0.05)):
            for node in self.nodes:
                if node.leading_event.wait(0.05):
                    return node
        raise AssertionError('no leader was elected')


class TestSingleReplica(ReplicaTestCase):
    def test_entry_of_another_term_is_not_proposed(self):
        """A decision of a former term could undo one made in between."""
        self.build('a')
        leader = self.find_leader()
        term = leader.replica.status().term
        for other in (term - 1, term + 1):
            self.assertRaises(
                errors.NotLeaderError,
                leader.replica.propose,
                b'x',
                timeout=TIMEOUT,
                term=other or 99,
            )
        leader.replica.propose(b'y', timeout=TIMEOUT, term=term)
        leader.replica.propose(b'z', timeout=TIMEOUT)
        self.assertEqual([b'y', b'z'], leader.machine.items)

    def test_entries_survive_a_restart(self):
        self.build('a')
        leader = self.find_leader()
        for number in range(20):
            leader.replica.propose(b'%d' % number, timeout=TIMEOUT)
        leader.stop()
        restarted = self.build_node('a')
        restarted.start({})
        self.addCleanup(restarted.stop)
        restarted.leading_event.wait(TIMEOUT.total_seconds())
        self.assertEqual(20, len(restarted.machine.items))
        self.assertEqual(21, restarted.replica.propose(b'x', timeout=TIMEOUT))
        self.assertRaises(
            errors.NotLeaderError,
            leader.replica.propose,
            b'x',
            timeout=TIMEOUT,
        )

    def test_refusals_faults_and_sizes(self):
        self.build('a')
        target = self.find_leader().replica
        cases = [
            (b'bad', errors.RefusedError),
            (b'fault', errors.InternalError),
            (bytes(5 * 1024 * 1024), errors.BadInputError),
        ]
        for data, kind in cases:
            self.assertRaises(kind, target.propose, data, timeout=TIMEOUT)
        self.assertEqual(1, target.propose(b'good', timeout=TIMEOUT))

    def test_undecodable_message_is_dropped(self):
        self.build('a')
        target = self.find_leader().replica
        self.assertEqual([], target.handle([b'', b'\xff' * 9], 'x'))
        self.assertEqual(1, target.propose(b'good', timeout=TIMEOUT))


class TestThreeReplicas(ReplicaTestCase):
    def test_stopping_leader_loses_no_proposal(self):
        self.build('abc')
        leader = self.find_leader()
        pending = [leader.replica.propose_future(b'x') for _ in range(500)]
        leader.stop()
        accepted = [f for f in pending if f.exception() is None]
        self.assertEqual(500, len(accepted))
        self.nodes.remove(leader)
        next_leader = self.find_leader()
        result = next_leader.replica.propose(b'y', timeout=TIMEOUT)
        self.assertEqual(501, result)

    def test_proposals_during_a_transfer_are_given_the_next_leader(self):
        self.build('abc')
        leader = self.find_leader()
        stop_thread = threading.Thread(target=leader.replica.stop)
        stop_thread.start()
        addresses = {node.server.address for node in self.nodes}
        refused = None
        while refused is None:
            try:
                leader.replica.propose(b'x', timeout=TIMEOUT)
            except errors.NotLeaderError as error:
                refused = error
        stop_thread.join()
        self.assertIn(refused.peer, addresses - {leader.server.address})

    def test_follower_returns_the_leader_address(self):
        self.build('abc')
        leader = self.find_leader()
        leader.replica.propose(b'x', timeout=TIMEOUT)
        other = next(node for node in self.nodes if node is not leader)
        error = self.assertRaises(
            errors.NotLeaderError, other.replica.check_read
        )
        self.assertEqual(leader.server.address, error.peer)
        leader.replica.check_read()

    def test_stalled_disk_of_the_leader(self):
        """Guards against entries of a leader that was deposed meanwhile."""
        self.build('abc')
        stalled = self.find_leader()
        stalled.replica.propose(b'before', timeout=TIMEOUT)
        stalled.folder.is_running.clear()
        self.addCleanup(stalled.folder.is_running.set)
        self.clock.addresses.remove(stalled.server.address)
        pending = stalled.replica.propose_future(b'stalled')
        self.nodes.remove(stalled)
        successor = self.find_leader()
        successor.replica.propose(b'during', timeout=TIMEOUT)
        self.assertRaises(errors.NotLeaderError, stalled.replica.check_read)
        stalled.folder.is_running.set()
        self.clock.addresses.append(stalled.server.address)
        stalled.following_event.wait(TIMEOUT.total_seconds())
        successor.replica.propose(b'after', timeout=TIMEOUT)
        waiter = threading.Event()
        while stalled.machine.items != successor.machine.items:
            waiter.wait(0.05)
        items = successor.machine.items
        acknowledged = pending.exception(TIMEOUT.total_seconds()) is None
        self.assertLessEqual({b'before', b'during', b'after'}, {*items})
        self.assertTrue(not acknowledged or b'stalled' in items)

    def test_quorum_is_restored_from_one_folder(self):
        self.build('abc')
        leader = self.find_leader()
        for _ in range(5):
            leader.replica.propose(b'x', timeout=TIMEOUT)
        stop_all(self.nodes)
        folder = self.folder / leader.name
        restore.restore_quorum(folder=folder, name=leader.name, address='a:1')
        restarted = self.build_node(leader.name)
        restarted.start({})
        self.addCleanup(restarted.stop)
        self.assertEqual(6, restarted.replica.propose(b'y', timeout=TIMEOUT))
        self.assertRaises(
            errors.RefusedError,
            restore.restore_quorum,
            folder=self.folder / 'none',
            name='a',
            address='a:1',
        )

    def test_added_member_becomes_voter_and_applies_entries(self):
        self.build('abc')
        leader = self.find_leader().replica
        leader.propose(b'x', timeout=TIMEOUT)
        added = self.build_node('d')
        added.start({})
        self.addCleanup(added.stop)
        leader.change_members(add=('d', added.server.address))
        waiter = threading.Event()
        for _ in range(int(TIMEOUT.total_seconds() / 0.05)):
            rows = {m.name: m for m in leader.status().members}
            if rows['d'].voter and added.machine.items:
                break
            waiter.wait(0.05)
        self.assertTrue(rows['d'].voter)
        self.assertEqual([b'x'], added.machine.items)
