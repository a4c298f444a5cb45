"""Odd messages of the quorum, and odd data in the log and in snapshots.

Guards against one message that ends a replica in a process that goes on
(incident ``docs/incidents/odd-entries.md``).
"""

import hypothesis
from hypothesis import strategies as st
import msgspec
import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.consensus import frame
from bilberryhaven.consensus import machine as consensus_machine
from bilberryhaven.consensus import members
from bilberryhaven.consensus import memory
from bilberryhaven.consensus import message as consensus_message
from bilberryhaven.consensus import options as replica_options
from bilberryhaven.consensus import replica
from bilberryhaven.consensus import segment
from bilberryhaven.consensus import snapshot
from bilberryhaven.control import machine
from bilberryhaven import errors
from tests import odd

SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
FEW = hypothesis.settings(SETTINGS, max_examples=100)


class CountMachine(consensus_machine.StateMachine):
    """Counts the entries."""

    def __init__(self):
        self.count = 0

    def apply(self, index, data):
        self.count += 1
        return self.count

    def dump(self):
        return b'%d' % self.count

    def load(self, data):
        self.count = int(data)


class ReplicaTest(testtools.TestCase):
    """A replica commits on, whatever other processes send it."""

    MESSAGES = (
        consensus_message.PreVoteRequest(
            sender='x', term=0, last_index=0, last_term=0
        ),
        consensus_message.VoteRequest(
            sender='x', term=0, last_index=0, last_term=0
        ),
        consensus_message.AppendRequest(
            sender='x',
            term=0,
            prev_index=0,
            prev_term=0,
            commit=0,
            round=0,
            entries=[
                consensus_message.Entry(
                    0,
                    consensus_message.EntryKind.MEMBERS,
                    members.Members(voters={'x': '127.0.0.1:1'}).encode(),
                )
            ],
        ),
        consensus_message.AppendReply(
            sender='x', term=0, ok=True, index=1, round=1
        ),
        consensus_message.SnapshotRequest(
            sender='x',
            term=0,
            round=0,
            meta=consensus_message.SnapshotMeta(
                index=1, term=0, members=members.Members()
            ),
            offset=0,
        ),
    )

    def setUp(self):
        super().setUp()
        self.replica = replica.Replica(
            name='r',
            address='127.0.0.1:7720',
            voters={'r': '127.0.0.1:7720'},
            folder=memory.MemoryFolder(),
            machine=CountMachine(),
            clock=clocks.SystemClock(),
            options=replica_options.Options(
                election_timeout=clocks.seconds(0.5),
                election_jitter=clocks.seconds(0.1),
            ),
        )
        self.replica.start()
        self.addCleanup(self.replica.stop)

    def commit(self):
        """Commit an entry, also if an election comes between."""
        for _ in range(100):
            try:
                self.replica.check_read()
                return self.replica.propose(b'x', timeout=clocks.seconds(5))
            except errors.NotLeaderError:
                status = self.replica.status()
                self.assertNotEqual('failed', str(status.role))
                self.replica._stopping.wait(0.05)
        self.fail('nothing is committed any more')

    def test_odd_messages_do_not_stop_a_replica(self):
        for msg in self.MESSAGES:
            tree = msgspec.msgpack.decode(consensus_message.encode(msg))
            for path in odd.list_paths(tree):
                for value in odd.MSGPACK_VALUES:
                    raw = msgspec.Raw(value)
                    data = msgspec.msgpack.encode(odd.replace(tree, path, raw))
                    self.replica.handle([data], 'x')
            self.commit()

    def test_odd_members_do_not_stop_a_replica(self):
        for value in odd.MSGPACK_VALUES:
            if value == b'\x90':
                # Members with all their fields left out are valid.
                continue
            entry = consensus_message.Entry(
                0, consensus_message.EntryKind.MEMBERS, value
            )
            msg = consensus_message.AppendRequest(
                sender='x',
                term=2**20,
                prev_index=0,
                prev_term=0,
                commit=0,
                round=0,
                entries=[entry],
            )
            self.replica.handle([consensus_message.encode(msg)], 'x')
        self.commit()

    def test_terms_stay_encodable(self):
        for term in (2**53, 2**63, 2**64 - 1):
            msg = consensus_message.VoteReply(
                sender='x', term=term, granted=False, joined=True
            )
            self.replica.handle([msgspec.msgpack.encode(msg)], 'x')
        self.commit()
        self.assertTrue(self.replica.status().term < 2**40)


class StoredDataTest(testtools.TestCase):
    """What the log and snapshots hold."""

    @SETTINGS
    @hypothesis.given(data=odd.draw_msgpack({'type': 'StopRuns', 'runs': []}))
    def test_odd_command_in_the_log_is_skipped(self, data):
        tested = machine.TableStateMachine()
        try:
            tested.apply(1, data)
        except errors.BilberryhavenError as error:
            self.assertEqual(400, error.status)

    @FEW
    @hypothesis.given(payload=st.sampled_from(odd.MSGPACK_VALUES))
    def test_odd_record_in_the_log_is_a_damaged_file(self, payload):
        folder = memory.MemoryFolder()
        folder.replace('log-0000000000000001', frame.build_frame(payload))
        store = segment.SegmentStore(folder=folder, segment_bytes=1000)
        self.assertRaises(errors.DamagedFileError, store.recover)
        folder = memory.MemoryFolder()
        folder.replace('snapshot-0000000000000001', frame.build_frame(payload))
        store = snapshot.SnapshotStore(folder=folder, part_bytes=1000)
        self.assertRaises(errors.DamagedFileError, store.recover)

    def test_commands_of_all_kinds_are_known(self):
        # The decoder is built once; an odd command must not end that.
        self.assertRaises(errors.BadInputError, commands.decode, b'\x91' * 999)
        self.assertTrue(len(commands.list_commands()) > 10)
