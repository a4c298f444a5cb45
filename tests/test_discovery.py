"""Members of the quorum as each kind of process learns them.

Guards against processes that find no member although one can be reached, and
against members that were replaced being used again.
"""

import random
import types

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import memory
from bilberryhaven.control import member_store
from bilberryhaven.control import redirector
from bilberryhaven import errors
from bilberryhaven.wire import directory
from bilberryhaven.wire import discovery
from bilberryhaven.wire import message

FIRST, SECOND, THIRD = (f'10.0.0.{n}:7000' for n in (1, 2, 3))
SEED, OTHER, WRONG = (f'10.0.1.{n}:7000' for n in (1, 2, 3))
MEMBERS = [FIRST, SECOND, THIRD]


class Network:
    """Passes messages to the processes by address, without a delay."""

    def __init__(self, clock):
        self.clock = clock
        self.processes = {}
        self.asked = []

    def send(self, address, msg, *, timeout, step):
        self.asked.append(address)
        process = self.processes.get(address)
        if process is None:
            raise errors.PeerError('no answer', step=step, peer=address)
        return process.handle(msg)

    def add(self, address, *, seeds=(), replica=None, stored=()):
        members = directory.MemberDirectory(
            clock=self.clock, seeds=seeds, local=address
        )
        members.set_stored(stored)
        process = discovery.Discovery(
            directory=members,
            client=self,
            clock=self.clock,
            replica=replica,
        )
        process.directory = members
        self.processes[address] = process
        return process


class Replica:
    """A replica whose log contains the given members."""

    def __init__(self, address, members, leader='r'):
        self.address = address
        self.members = members
        self.leader = leader

    def status(self):
        return types.SimpleNamespace(
            members=[
                types.SimpleNamespace(address=address)
                for address in self.members
            ],
            leader=self.leader,
        )


class DiscoveryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.network = Network(self.clock)

    def add_voters(self, seeds, addresses=MEMBERS):
        return [
            self.network.add(
                address, seeds=seeds, replica=Replica(address, list(addresses))
            )
            for address in addresses
        ]

    def tick(self, *processes):
        for process in processes:
            process.tick()
        self.clock.advance(discovery.INTERVAL)

    def test_each_process_learns_the_members_whatever_its_seeds(self):
        empty = Replica(OTHER, [], leader='')
        cases = (
            # (seeds, where they point, who learns)
            ([FIRST], 'a member'),
            ([SEED], 'an instance without a vote'),
            ([WRONG, SEED], 'first to nobody'),
            ([OTHER, SEED], 'first to itself'),
        )
        for seeds, where in cases:
            for replica in (None, empty):
                self.network = Network(self.clock)
                voters = self.add_voters([SEED])
                seed = self.network.add(SEED, seeds=[SEED, OTHER])
                tested = self.network.add(OTHER, seeds=seeds, replica=replica)
                self.tick(*voters, seed, tested)
                self.assertEqual(MEMBERS, tested.directory.members, where)
                self.assertEqual(MEMBERS, tested.directory.list_addresses())

    def test_leader_knows_itself_whatever_its_seeds(self):
        leader, *_ = self.add_voters([SEED, OTHER])
        leader.tick()
        self.assertIn(FIRST, leader.directory.list_addresses())

    def test_seeds_of_all_processes_are_replaced(self):
        voters = self.add_voters([FIRST])
        tested = self.network.add(OTHER, seeds=[FIRST])
        seed = self.network.add(SEED, seeds=[FIRST])
        for process in (*voters, tested, seed):
            process.directory.set_seeds([SEED, OTHER])
        self.tick(*voters, seed, tested)
        self.assertEqual(MEMBERS, seed.directory.members)
        self.assertEqual(MEMBERS, tested.directory.members)

    def test_stored_members_are_asked_while_the_seeds_are_wrong(self):
        voters = self.add_voters([WRONG])
        tested = self.network.add(OTHER, seeds=[WRONG], stored=[THIRD, WRONG])
        self.tick(*voters, tested)
        self.assertEqual(MEMBERS, tested.directory.members)

    def test_stored_members_are_not_passed_on(self):
        tested = self.network.add(OTHER, stored=MEMBERS)
        reply = tested.handle(message.MembersRequest())
        self.assertEqual([], reply.members)

    def test_control_instance_on_the_same_host_is_asked_last(self):
        voters = self.add_voters([WRONG])
        entry = self.network.add(OTHER, seeds=[WRONG])
        self.network.processes[OTHER] = voters[0]
        self.tick(*voters, entry)
        self.assertEqual(MEMBERS, entry.directory.members)
        self.assertEqual([WRONG, OTHER], self.network.asked[-2:])

    def test_replaced_members_are_not_learned_again(self):
        former = [FIRST, SECOND, WRONG]
        removed = self.network.add(WRONG, replica=Replica(WRONG, former))
        removed.tick()
        # It was removed while it was cut off, and knows no leader since.
        removed._replica.leader = ''
        self.clock.advance(directory.REFRESH_AGE)
        voters = self.add_voters([SEED])
        seed = self.network.add(SEED)
        self.tick(*voters)
        request = message.MembersRequest(members=former, age_ms=5000)
        self.assertEqual(MEMBERS, seed.handle(request).members)
        removed.directory.set_seeds([SEED])
        removed.tick()
        self.assertEqual(MEMBERS, removed.directory.members)

    def test_age_counts_from_the_first_confirmation(self):
        self.add_voters([])[0].tick()
        chain = [FIRST, SEED, OTHER]
        for known, address in zip(chain, chain[1:], strict=False):
            self.network.add(address, seeds=[known]).tick()
            self.clock.advance(clocks.seconds(1))
        members, age_ms = self.network.processes[OTHER].directory.describe()
        self.assertEqual((MEMBERS, 2000), (members, age_ms))

    def test_members_are_confirmed_again_by_any_of_them(self):
        voters = self.add_voters([])
        entry = self.network.add(OTHER, seeds=[FIRST])
        self.tick(*voters, entry)
        # All but the last voter are replaced while the seeds are wrong.
        entry.directory.set_seeds([WRONG])
        new = [THIRD, SEED, '10.0.2.1:7000']
        for address in (FIRST, SECOND):
            del self.network.processes[address]
        voters = self.add_voters([], new)
        self.clock.advance(directory.REFRESH_AGE)
        self.tick(*voters, entry)
        self.assertEqual(new, entry.directory.members)

    def test_seeds_are_tried_once_the_members_are_out_of_date(self):
        voters = self.add_voters([])
        entry = self.network.add(OTHER, seeds=[SEED])
        entry.directory.confirm(MEMBERS, self.clock.monotonic())
        self.assertEqual(MEMBERS, entry.directory.list_addresses())
        self.clock.advance(directory.STALE_AGE)
        self.assertEqual([*MEMBERS, SEED], entry.directory.list_addresses())
        self.tick(*voters, entry)
        self.assertEqual(MEMBERS, entry.directory.list_addresses())

    def test_voter_that_restarts_without_a_leader_knows_its_log(self):
        voter = self.network.add(
            FIRST,
            seeds=[WRONG],
            replica=Replica(FIRST, MEMBERS, leader=''),
            stored=MEMBERS,
        )
        voter.tick()
        self.assertEqual([], voter.directory.members)
        self.assertEqual([*MEMBERS, WRONG], voter.directory.list_addresses())

    def test_fleet_asks_rarely_while_the_members_are_known(self):
        voters = self.add_voters([])
        entry = self.network.add(OTHER, seeds=[FIRST])
        for _ in range(20):
            self.tick(*voters, entry)
        self.assertTrue(len(self.network.asked) <= 5, self.network.asked)

    def test_member_that_answers_is_asked_again(self):
        voters = self.add_voters([])
        entry = self.network.add(OTHER, seeds=[FIRST])
        for _ in range(20):
            self.tick(*voters, entry)
        asked = self.network.asked[1:]
        self.assertEqual(1, len(set(asked)), asked)
        del self.network.processes[asked[0]]
        for _ in range(20):
            self.tick(*voters, entry)
        self.assertEqual(MEMBERS, entry.directory.list_addresses())

    def test_odd_members_are_rejected(self):
        tested = self.network.add(OTHER)
        odd_lists = (
            ['nowhere'],
            ['10.0.0.1:99999'],
            ['10.0.0.1:-1'],
            [':1'],
            [FIRST] * (directory.MAX_MEMBERS + 1),
        )
        for members in odd_lists:
            self.assertRaises(
                errors.BadInputError,
                tested.handle,
                message.MembersRequest(members=members),
            )
        self.assertEqual([], tested.directory.members)


class RedirectTest(testtools.TestCase):
    def find_peer(self, *, local, known='', peer=''):
        clock = clocks.ManualClock()
        members = directory.MemberDirectory(clock=clock, local=local)
        members.confirm([known] if known else [], clock.monotonic())

        def refuse(msg):
            raise errors.NotLeaderError('no', step='test', peer=peer)

        error = self.assertRaises(
            errors.NotLeaderError, redirector.redirect(refuse, members), None
        )
        return error.peer

    def test_instance_without_a_vote_names_a_member(self):
        self.assertEqual(FIRST, self.find_peer(local=SEED, known=FIRST))
        self.assertEqual('', self.find_peer(local=SEED))

    def test_known_leader_is_named_in_any_case(self):
        peer = self.find_peer(local=SEED, known=FIRST, peer=SECOND)
        self.assertEqual(SECOND, peer)

    def test_members_without_a_leader_do_not_redirect_to_each_other(self):
        self.assertEqual('', self.find_peer(local=FIRST, known=FIRST))


class MemberStoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()

    def build_store(self, folder):
        return member_store.MemberStore(folder=folder, clock=self.clock)

    def test_members_are_kept_over_a_restart(self):
        folder = memory.MemoryFolder()
        store = self.build_store(folder)
        store.save(MEMBERS)
        store.tick()
        self.assertEqual(MEMBERS, self.build_store(folder).load())

    def test_missing_or_damaged_file_names_no_contact(self):
        empty = self.build_store(memory.MemoryFolder())
        self.assertEqual([], empty.load())
        damaged = (
            b'',
            b'\xff\xfe',
            b'["10.0.0.1:7000"',
            b'["10.0.0.1:99999"]',
            b'{}',
            b'[1]',
            b'[' * 100_000,
        )
        for data in damaged:
            folder = memory.MemoryFolder()
            folder.replace(member_store.FILE_NAME, data)
            store = self.build_store(folder)
            self.assertEqual([], store.load(), data[:20])

    def test_full_disk_is_no_error(self):
        folder = memory.MemoryFolder()
        folder.capacity = 0
        store = self.build_store(folder)
        store.save(MEMBERS)
        store.tick()
        self.assertEqual([], folder.list_names())

    def test_members_are_stored_once_the_disk_works_again(self):
        """Guards against old members after a restart, for a short fault."""
        for fault in memory.DiskFault:
            folder = memory.MemoryFolder()
            store = self.build_store(folder)
            folder.fault = fault
            store.save(MEMBERS[:1])
            self.pass_time(store, seconds=60)
            store.save(MEMBERS)
            self.assertLessEqual(folder.fault_count, 20, fault)
            self.assertGreater(folder.fault_count, 5, fault)
            folder.fault = None
            self.pass_time(store, seconds=6)
            folder.crash(random.Random(0))
            self.assertEqual(MEMBERS, self.build_store(folder).load())

    def pass_time(self, store, seconds):
        end = self.clock.monotonic() + clocks.seconds(seconds)
        while self.clock.monotonic() < end:
            store.tick()
            self.clock.advance(member_store.INTERVAL)
