"""What others say of a backend server ends none of its runs.

Guards against runs that are started elsewhere while their server works on
them: a heartbeat, a deregistration or a refused connection is no end.
"""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.workflow import agent
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import server_client

ADDRESS = '127.0.0.1:1'
ELSEWHERE = '127.0.0.1:2'
RUN = workflow_commands.RunRef('w', '0.0.0', 1)
# Longer than a lease with its margins.
LEASE_S = 6
STEP_S = 0.1


class Hosts(server_client.ServerClient):
    """Backend servers by address.

    Attributes:
        servers: (id, start) of the server that listens at an address.
        silent: Addresses at which nothing answers.
        calls: (address, call) of the calls that were answered.
    """

    def __init__(self, clock):
        self.servers = {ADDRESS: ('s', 1)}
        self.silent = set()
        self.calls = []
        self._clock = clock

    def _answer(self, target, call):
        known = self.servers.get(target.address)
        if target.address in self.silent:
            raise errors.PeerError('no answer', step=call)
        if known is None:
            raise errors.NotListeningError('refused', step=call)
        if known != (target.state.id, target.state.born_ms):
            raise errors.GoneError('another incarnation', step=call)
        self.calls.append((target.address, call))

    def start_run(self, target, order, *, deadline_ms, epoch):
        self._answer(target, 'start')
        return server_client.StartResult.STARTED

    def stop_run(self, target, run, *, epoch):
        self._answer(target, 'stop')

    def pace_run(self, target, run, *, percent, epoch):
        self._answer(target, 'pace')

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        self._answer(target, 'hold')
        return server_client.Listing(
            clock_ms=int(self._clock.monotonic().total_seconds() * 1000)
            + 1000,
            born_ms=target.state.born_ms,
            running=[message.Running(RUN)],
            ends=[],
        )

    def close(self):
        pass


class Leader:
    """Gateway to a leader that gives each incarnation its own epoch."""

    def __init__(self):
        self.polled = []
        self.lapsed = []
        self.unknown_pools = set()

    def send(self, request, *, timeout, step):
        if isinstance(request, message.Report):
            if request.lapsed:
                self.lapsed.append(request.key)
            return message.ReportReply()
        key = f'{request.server.id}@{request.server.born_ms}'
        if request.server.pool in self.unknown_pools:
            raise errors.UnknownPoolError('no such pool', step='poll')
        self.polled.append(key)
        self.refusing = request.refusing
        return message.PollReply(
            key=key, epoch=1, lease_ms=5000, feed='f', last=0
        )


def build_announcement(
    *, id='s', born_ms=1, address=ADDRESS, pool='p', sequence=1, **fields
):
    return server_client.Announcement(
        state=message.ServerState(id=id, born_ms=born_ms, pool=pool, **fields),
        address=address,
        sequence=sequence,
    )


class HearsayTest(testtools.TestCase):
    """An agent without threads, in a session with a server that answers."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.hosts, self.leader = Hosts(self.clock), Leader()
        self.agent = self.build_agent()
        self.announce()
        self.work(1)
        self.assertEqual('s@1', self.leader.polled[-1])
        self.leader.polled.clear()

    def build_agent(self):
        return agent.WorkflowAgent(
            name='a',
            gateway=self.leader,
            client=self.hosts,
            clock=self.clock,
            options=options.Options(),
        )

    def announce(self, **fields):
        self.agent.handle_announcement(build_announcement(**fields))

    def work(self, seconds):
        """Renew and poll as the agent's threads do."""
        # A wait between two attempts takes the clock's time, not the test's.
        self.agent._stopping.wait = lambda timeout: None
        for _ in range(int(seconds / STEP_S)):
            self.agent._renew_lease()
            self.agent._poll()
            self.clock.advance(clocks.seconds(STEP_S))

    def check_server_is_kept(self):
        self.hosts.calls.clear()
        self.work(LEASE_S)
        self.assertEqual([], self.leader.lapsed)
        self.assertEqual({'s@1'}, set(self.leader.polled))
        self.assertIn((ADDRESS, 'hold'), self.hosts.calls)
        self.assertFalse(self.leader.refusing)


class HeartbeatTest(HearsayTest):
    """A heartbeat of another writer ends no run and moves no call."""

    def check(self, **fields):
        self.announce(**fields)
        self.check_server_is_kept()

    def test_other_id(self):
        self.check(id='other')

    def test_other_id_and_unnamed_pool(self):
        self.check(id='other', pool='unnamed')

    def test_other_id_at_another_address(self):
        self.check(id='other', address=ELSEWHERE)

    def test_other_id_born_later(self):
        self.check(id='other', born_ms=9)

    def test_own_id_born_later(self):
        self.check(born_ms=9)

    def test_own_id_without_its_start(self):
        self.check(born_ms=0)

    def test_own_id_at_an_address_where_nothing_listens(self):
        self.check(address=ELSEWHERE, sequence=2)

    def test_own_id_at_the_address_of_another_server(self):
        self.hosts.servers[ELSEWHERE] = ('other', 5)
        self.check(address=ELSEWHERE, sequence=2)

    def test_own_id_and_unnamed_pool_that_drains(self):
        self.check(pool='unnamed', sequence=2, draining=True)
        self.assertFalse(self.agent._supervisor.draining)

    def test_second_server_while_the_first_drains(self):
        self.announce(sequence=2, draining=True)
        self.hosts.servers[ELSEWHERE] = ('second', 5)
        self.check(id='second', born_ms=5, address=ELSEWHERE)

    def test_strange_heartbeats_hide_no_later_one(self):
        self.announce(pool='unnamed', sequence=1000, cpu=1)
        self.announce(id='other', born_ms=9, sequence=1000)
        self.announce(sequence=2, cpu=5, draining=True)
        self.assertEqual(5, self.agent._supervisor.target.state.cpu)
        self.assertTrue(self.agent._supervisor.draining)


class RefusalTest(HearsayTest):
    """A refused connection ends no run: a server may close its listener."""

    def refuse(self):
        del self.hosts.servers[ADDRESS]

    def check_lease_is_waited_for(self):
        self.refuse()
        self.work(4)
        self.assertEqual([], self.leader.lapsed)
        self.assertTrue(self.leader.refusing)
        self.work(3)
        self.assertEqual(['s@1'], self.leader.lapsed)

    def test_leave_that_the_agent_did_not_hear_of(self):
        self.check_lease_is_waited_for()

    def test_drain(self):
        self.announce(sequence=2, draining=True)
        self.check_lease_is_waited_for()

    def test_silent_server_lapses(self):
        """Guards against runs that wait for ever for a server that is gone."""
        self.hosts.silent.add(ADDRESS)
        self.work(5)
        self.assertEqual([], self.leader.lapsed)
        self.work(7)
        self.assertEqual(['s@1'], self.leader.lapsed)

    def test_server_that_answers_again_in_time_is_kept(self):
        self.hosts.silent.add(ADDRESS)
        self.work(4)
        self.hosts.silent.clear()
        self.check_server_is_kept()

    def test_deregistration(self):
        self.agent.handle_deregistration('s', 1)
        self.check_lease_is_waited_for()

    def test_deregistration_of_another_writer_during_a_drain(self):
        self.announce(sequence=2, draining=True)
        self.agent.handle_deregistration('s', 0)
        self.check_lease_is_waited_for()

    def test_next_incarnation_at_its_address_ends_it(self):
        self.refuse()
        self.work(1)
        self.hosts.servers[ADDRESS] = ('next', 7)
        self.announce(id='next', born_ms=7)
        self.work(1)
        self.assertEqual(['s@1'], self.leader.lapsed)
        self.assertEqual('next@7', self.leader.polled[-1])


class RestartTest(HearsayTest):
    """An agent that was started again follows no heartbeat on its word."""

    def restart(self):
        self.agent = self.build_agent()
        self.leader.polled.clear()

    def test_strange_heartbeat_comes_first(self):
        for fields in (
            {'id': 'other'},
            {'id': 'other', 'address': ELSEWHERE, 'born_ms': 9},
            {'address': ELSEWHERE, 'sequence': 1000},
            {'born_ms': 9},
        ):
            self.restart()
            self.announce(**fields)
            self.work(1)
            self.assertEqual([], self.leader.polled)
            self.announce(sequence=2)
            self.work(1)
            self.check_server_is_kept()

    def test_pool_without_a_name_is_not_served(self):
        self.leader.unknown_pools.add('unnamed')
        self.restart()
        self.announce(pool='unnamed', sequence=1000)
        self.work(1)
        self.assertEqual([], self.leader.polled)
        self.announce(sequence=2)
        self.work(2)
        self.check_server_is_kept()

    def test_pool_that_a_later_catalog_names_is_served(self):
        self.leader.unknown_pools.add('p')
        self.restart()
        self.announce(sequence=2)
        self.work(2)
        self.assertEqual([], self.leader.polled)
        self.leader.unknown_pools.clear()
        self.work(2)
        self.check_server_is_kept()

    def test_pool_that_is_dropped_after_its_server_was_closed(self):
        """Guards against an agent that repeats a refused poll at once."""
        self.leader.unknown_pools.add('p')
        self.work(1)
        self.assertEqual(0, self.agent._supervisor.epoch)
        self.leader.unknown_pools.clear()
        self.work(1)
        self.check_server_is_kept()
