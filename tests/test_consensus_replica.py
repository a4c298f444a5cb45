"""Tests of the replica's facade, on disk and over the wire."""

import pathlib
import tempfile
import threading

import msgspec
import testtools

from bilberryhaven import clock
from bilberryhaven.consensus import machine
from bilberryhaven.consensus import options
from bilberryhaven.consensus import replica
from bilberryhaven.consensus import restore
from bilberryhaven.consensus import transport
from bilberryhaven import errors
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from bilberryhaven.wire import server

TIMEOUT = clock.seconds(20)
OPTIONS = options.Options(
    election_timeout=clock.seconds(0.5),
    election_jitter=clock.seconds(0.2),
    transfer_timeout=clock.seconds(0.4),
)


class ListMachine(machine.StateMachine):
    """Keeps every entry; refuses b'bad'."""

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


class Node:
    """A replica behind a server on loopback."""

    def __init__(self, *, name, folder):
        self.name = name
        self.folder = folder
        self.replica = None
        self.leads = threading.Event()
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
            folder=self.folder / self.name,
            machine=self.machine,
            clock=clock.SystemClock(),
            transport=transport.WireTransport(client=client.Client()),
            options=OPTIONS,
            on_leadership=self.note_leadership,
        )
        self.replica.start()

    def note_leadership(self, leading, term):
        if leading:
            self.leads.set()
        else:
            self.leads.clear()

    def handle(self, batch):
        replies = self.replica.handle(batch.messages, batch.sender)
        return message.ConsensusBatch(sender=self.name, messages=replies)

    def stop(self):
        self.replica.stop()
        self.server.stop()


def stop_all(nodes):
    threads = [threading.Thread(target=node.stop) for node in nodes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class ReplicaTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.nodes = []

    def build(self, names):
        self.nodes = [Node(name=name, folder=self.folder) for name in names]
        voters = {node.name: node.server.address for node in self.nodes}
        self.addCleanup(stop_all, list(self.nodes))
        for node in self.nodes:
            node.start(voters)

    def find_leader(self):
        for _ in range(int(TIMEOUT.total_seconds() / 0.05)):
            for node in self.nodes:
                if node.leads.wait(0.05):
                    return node
        raise AssertionError('no leader was elected')


class TestOne(ReplicaTestCase):
    def test_entries_outlive_a_restart(self):
        self.build('a')
        leader = self.find_leader()
        for number in range(20):
            leader.replica.propose(b'%d' % number, timeout=TIMEOUT)
        leader.stop()
        again = Node(name='a', folder=self.folder)
        again.start({})
        self.addCleanup(again.stop)
        again.leads.wait(TIMEOUT.total_seconds())
        self.assertEqual(20, len(again.machine.items))
        self.assertEqual(21, again.replica.propose(b'x', timeout=TIMEOUT))
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

    def test_message_that_is_none_is_dropped(self):
        self.build('a')
        target = self.find_leader().replica
        self.assertEqual([], target.handle([b'', b'\xff' * 9], 'x'))
        self.assertEqual(1, target.propose(b'good', timeout=TIMEOUT))


class TestThree(ReplicaTestCase):
    def test_leader_stops_without_losing_anything(self):
        self.build('abc')
        leader = self.find_leader()
        pending = [leader.replica.propose_future(b'x') for _ in range(500)]
        leader.stop()
        accepted = [f for f in pending if f.exception() is None]
        self.assertEqual(500, len(accepted))
        self.nodes.remove(leader)
        heir = self.find_leader()
        result = heir.replica.propose(b'y', timeout=TIMEOUT)
        self.assertEqual(501, result)

    def test_proposals_during_a_hand_over_learn_the_next_leader(self):
        self.build('abc')
        leader = self.find_leader()
        stopper = threading.Thread(target=leader.replica.stop)
        stopper.start()
        addresses = {node.server.address for node in self.nodes}
        refused = None
        while refused is None:
            try:
                leader.replica.propose(b'x', timeout=TIMEOUT)
            except errors.NotLeaderError as error:
                refused = error
        stopper.join()
        self.assertIn(refused.peer, addresses - {leader.server.address})

    def test_follower_names_the_leader(self):
        self.build('abc')
        leader = self.find_leader()
        leader.replica.propose(b'x', timeout=TIMEOUT)
        other = next(node for node in self.nodes if node is not leader)
        error = self.assertRaises(
            errors.NotLeaderError, other.replica.check_read
        )
        self.assertEqual(leader.server.address, error.peer)
        leader.replica.check_read()

    def test_quorum_is_restored_from_one_folder(self):
        self.build('abc')
        leader = self.find_leader()
        for _ in range(5):
            leader.replica.propose(b'x', timeout=TIMEOUT)
        stop_all(self.nodes)
        folder = self.folder / leader.name
        restore.restore_quorum(folder=folder, name=leader.name, address='a:1')
        again = Node(name=leader.name, folder=self.folder)
        again.start({})
        self.addCleanup(again.stop)
        self.assertEqual(6, again.replica.propose(b'y', timeout=TIMEOUT))
        self.assertRaises(
            errors.RefusedError,
            restore.restore_quorum,
            folder=self.folder / 'none',
            name='a',
            address='a:1',
        )

    def test_new_member_takes_part(self):
        self.build('abc')
        leader = self.find_leader().replica
        leader.propose(b'x', timeout=TIMEOUT)
        added = Node(name='d', folder=self.folder)
        added.start({})
        self.addCleanup(added.stop)
        leader.change_members(add=('d', added.server.address))
        waiter = threading.Event()
        for _ in range(200):
            rows = {m.name: m for m in leader.status().members}
            if rows['d'].voter and added.machine.items:
                break
            waiter.wait(0.05)
        self.assertTrue(rows['d'].voter)
        self.assertEqual([b'x'], added.machine.items)
