"""Withdrawal of an availability zone while workflows keep coming.

Load pattern: a zone is emptied and taken back under steady submissions, with
leaders lost, servers that don't answer starts, and servers that are slow
after their start.
"""

import collections
import http.client
import socket
import threading

import msgspec
import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.commands import zone as zone_commands
from bilberryhaven.control import api
from bilberryhaven.control import machine
from bilberryhaven import errors
from bilberryhaven.tables import backend
from bilberryhaven import util
from bilberryhaven.wire import message as wire_message
from bilberryhaven.wire import server
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import server_client
from bilberryhaven.workflow import session
from bilberryhaven.workflow import start_permit
from tests import test_api
from tests import test_workflow_agent
from tests import test_workflow_dispatcher
from tests import test_workflow_planner
from tests import workflow_fakes as fakes

NOW = clocks.seconds(100)
VALIDITY = clocks.seconds(2.5)
StartResult = server_client.StartResult


def withdraw(zone='north', at=1.0):
    return zone_commands.WithdrawZone(zone=zone, at=at)


def restore(zone='north', at=2.0):
    return zone_commands.RestoreZone(zone=zone, at=at)


class CommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World()
        self.world.open('a', 'north')
        self.world.open('b', 'south')

    def test_planned_start_is_refused_in_the_withdrawn_zone_only(self):
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.world.apply(withdraw())
        self.assertEqual(0, self.world.start('w', '0.0.0', 1, 'a'))
        self.assertEqual(1, self.world.start('w', '0.0.0', 1, 'b'))

    def test_start_is_possible_again_after_the_restoration(self):
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.world.apply(withdraw())
        self.world.apply(restore())
        self.assertEqual(1, self.world.start('w', '0.0.0', 1, 'a'))

    def test_gang_is_not_started_in_part(self):
        step = fakes.build_step(tasks=2, gang=True)
        self.world.submit(fakes.build_workflow('w', step))
        self.world.submit(fakes.build_workflow('other', fakes.build_step()))
        self.world.apply(withdraw())
        starts = [
            workflow_commands.RunStart('w', '0.0.0', 1, 'b'),
            workflow_commands.RunStart('w', '0.0.1', 1, 'a'),
            workflow_commands.RunStart('other', '0.0.0', 1, 'b'),
        ]
        command = workflow_commands.StartRuns(starts=starts, at=2)
        self.assertEqual(1, self.world.apply(command))
        self.assertEqual([], self.world.find('w').list_runs())

    def test_repeated_order_changes_nothing(self):
        for order, withdrawn in ((withdraw, True), (restore, False)):
            self.assertTrue(self.world.apply(order(at=1.0)))
            before = self.world.state.dump()
            self.assertFalse(self.world.apply(order(at=9.0)))
            self.assertEqual(before, self.world.state.dump())
            self.assertEqual(
                withdrawn, self.world.state.zones.is_withdrawn('north')
            )


class RecoveryTest(testtools.TestCase):
    """State of the zones after a restart, however it is recovered."""

    log = (withdraw(), withdraw('south'), restore(), withdraw(at=3.0))

    def replay(self, state_machine, entries):
        for entry in entries:
            state_machine.apply(0, commands.encode(entry))
        return state_machine

    def test_log_and_snapshot_give_the_same_state(self):
        expected = self.replay(machine.TableStateMachine(), self.log).dump()
        for split in range(len(self.log) + 1):
            first = self.replay(machine.TableStateMachine(), self.log[:split])
            second = machine.TableStateMachine()
            second.load(first.dump())
            self.replay(second, self.log[split:])
            self.assertEqual(expected, second.dump(), split)

    def test_snapshot_without_zones_is_loaded(self):
        *head, parts = msgspec.msgpack.decode(fakes.World().state.dump())
        del parts['zones']
        loaded = machine.TableStateMachine()
        loaded.load(msgspec.msgpack.encode([*head, parts]))
        self.assertFalse(loaded.state.zones.is_withdrawn('north'))


class WithdrawalTest(test_workflow_dispatcher.DispatcherTest):
    def setUp(self):
        super().setUp()
        self.leader = dispatcher.Dispatcher(
            replica=self.replica,
            machine=self.machine,
            clock=self.clock,
            options=options.Options(max_poll_wait=clocks.seconds(0.01)),
            zones=['north', 'south', 'empty'],
        )
        self.addCleanup(self.leader.stop)
        self.replace()

    def poll_zone(self, zone, **fields):
        return self.poll(zone, zone=zone, **fields)

    def withdraw(self, zone='north'):
        return self.ask(message.Withdraw(zone=zone))

    def list_zones(self, name):
        runs = self.state.workflows.find(name).list_runs()
        return {self.state.backends.find(run.backend).zone for _, run in runs}

    def start(self, name, **fields):
        self.submit(name, fakes.build_step(**fields))
        self.schedule()
        return self.list_zones(name)

    def test_nothing_is_started_in_a_withdrawn_zone(self):
        for zone in ('north', 'south'):
            self.poll_zone(zone)
        self.assertTrue(self.withdraw().withdrawn)
        for name, fields in (
            ('task', {'max_per_backend': 1}),
            ('gang', {'tasks': 2, 'gang': True}),
            ('lasting', {'long_running': True}),
            ('filling', {'best_effort': True, 'image': 'i'}),
        ):
            self.assertEqual({'south'}, self.start(name, **fields), name)

    def test_waiting_tasks_start_once_the_zone_is_restored(self):
        self.poll_zone('north')
        self.withdraw()
        self.assertEqual(set(), self.start('w'))
        self.assertFalse(self.ask(message.Restore(zone='north')).withdrawn)
        self.schedule()
        self.assertEqual({'north'}, self.list_zones('w'))

    def test_run_is_left_to_end_and_restarts_elsewhere(self):
        first = self.poll_zone('north')
        self.assertEqual({'north'}, self.start('w', long_running=True))
        (order,) = self.poll_zone('north', epoch=first.epoch).orders
        self.poll_zone('south')
        self.withdraw()
        self.schedule()
        self.assertEqual([], self.poll_zone('north', epoch=1).orders)
        self.report(first, workflow_commands.RunEnd(1, order.run, 'stopped'))
        self.schedule()
        self.assertEqual({'south'}, self.list_zones('w'))

    def test_resend_is_acknowledged_by_the_next_leader(self):
        commit = self.replica.propose

        def lose_answer(data, **fields):
            commit(data, **fields)
            self.replica.propose = commit
            raise errors.UnavailableError(
                'lost', step='commit', outcome=errors.Outcome.UNKNOWN
            )

        self.replica.propose = lose_answer
        self.assertRaises(errors.UnavailableError, self.withdraw)
        self.replica.term += 1
        self.assertTrue(self.withdraw().withdrawn)
        self.assertTrue(self.state.zones.is_withdrawn('north'))

    def test_follower_does_not_acknowledge(self):
        self.replica.leading = False
        self.assertRaises(errors.NotLeaderError, self.withdraw)

    def test_zone_is_known_by_settings_server_or_earlier_order(self):
        self.poll('x', zone='registered')
        self.assertRaises(errors.NotFoundError, self.withdraw, 'nowhere')
        self.assertRaises(errors.NotFoundError, self.withdraw, '')
        for zone in ('empty', 'registered'):
            self.assertTrue(self.withdraw(zone).withdrawn)
        self.ask(message.Restore(zone='registered'))
        self.advance(60)
        self.schedule()
        self.assertFalse(
            self.ask(message.Restore(zone='registered')).withdrawn
        )

    def test_agents_of_the_zone_are_told(self):
        polls = {zone: self.poll_zone(zone) for zone in ('north', 'south')}
        self.withdraw()
        for zone, first in polls.items():
            reply = self.poll_zone(zone, epoch=first.epoch)
            self.assertEqual(zone == 'north', reply.withdrawn)

    def test_held_poll_is_answered_at_once(self):
        first = self.poll_zone('north')
        self.schedule()
        answered = []
        agent_session = self.leader._memory.sessions.find(first.key)
        agent_session.subscribe(
            first.feed, first.last, lambda: answered.append(1)
        )
        self.withdraw()
        self.schedule()
        self.assertEqual([1], answered)


class StartPermitTest(testtools.TestCase):
    def find_refusal(self, *, withdrawn=False, age, validity=VALIDITY):
        tested = start_permit.StartPermit(validity=validity)
        reply = message.PollReply(
            key='s@1', epoch=1, lease_ms=1, feed='f', last=0
        )
        sent_at = clocks.seconds(100)
        tested.update(
            msgspec.structs.replace(reply, withdrawn=withdrawn), sent_at
        )
        return tested.find_refusal(sent_at + clocks.seconds(age))

    def test_answer_permits_starts_for_a_limited_time(self):
        for age, permitted in ((0, True), (2.4, True), (2.5, False)):
            self.assertEqual(permitted, not self.find_refusal(age=age), age)
        self.assertEqual('', self.find_refusal(age=60, validity=None))

    def test_withdrawn_zone_permits_none(self):
        self.assertIn('withdrawn', self.find_refusal(withdrawn=True, age=0))


class QueuedStartTest(test_workflow_agent.OneOrderTest):
    """A start that waits on the agent when its zone is withdrawn."""

    options = options.Options(start_validity=VALIDITY)

    def setUp(self):
        super().setUp()
        # A start that is sent is carried out.
        self.client.starts = [StartResult.STARTED]

    def answer(self, *, withdrawn):
        reply = message.PollReply(
            key='s@1',
            epoch=1,
            lease_ms=5000,
            feed='f1',
            last=1,
            withdrawn=withdrawn,
        )
        poll, sent_at = self.supervisor.build_poll(), self.clock.monotonic()
        self.agent._dispatch_orders(poll, reply, sent_at)

    def test_queued_start_is_not_sent(self):
        self.answer(withdrawn=True)
        self.start()
        self.assertEqual(['stop'], self.client.calls)
        self.assertEqual([self.order.run], self.list_rejected())

    def test_unanswered_start_is_not_repeated(self):
        self.answer(withdrawn=False)
        lost = errors.PeerError('no answer', step='start')
        self.client.starts.insert(0, lost)
        self.client.before_answer['start'] = lambda: self.answer(
            withdrawn=True
        )
        self.start()
        self.assertEqual(['start', 'stop'], self.client.calls)
        self.assertEqual([self.order.run], self.list_rejected())

    def test_agent_cut_off_from_the_leader_sends_no_late_start(self):
        self.answer(withdrawn=False)
        self.clock.advance(VALIDITY)
        self.start()
        self.assertEqual(['stop'], self.client.calls)

    def test_run_that_is_present_is_kept(self):
        self.answer(withdrawn=True)
        self.supervisor._listed = {self.order.run}
        self.start()
        self.assertEqual([], self.client.calls)


class WarmthTest(testtools.TestCase):
    """Servers of a restored zone that are slow after their start."""

    def place(self, step, *, warming_ms, **fields):
        servers = [
            fakes.build_server('cold', warming_ms=warming_ms),
            fakes.build_server('warm', **fields),
        ]
        group = test_workflow_planner.build_group('w', step)
        starts = planner.plan_starts([group], servers, now=10.0)
        return collections.Counter(start.backend for start in starts)

    def test_quick_and_latency_critical_tasks_prefer_warm_servers(self):
        for fields, warming_ms, expected in (
            ({'estimate_ms': 1000}, 800, {'warm': 1}),
            ({'estimate_ms': 1000}, 10, {'cold': 1}),
            ({'estimate_ms': 60_000}, 800, {'cold': 1}),
            ({'estimate_ms': 60_000, 'target_ms': 9}, 800, {'warm': 1}),
            ({'estimate_ms': 0}, 800, {'warm': 1}),
            ({'estimate_ms': 1, 'best_effort': True}, 800, {'cold': 1}),
        ):
            step = fakes.build_step(**fields)
            found = self.place(step, warming_ms=warming_ms)
            self.assertEqual(expected, found, fields)

    def test_cold_servers_take_what_warm_ones_cannot(self):
        step = fakes.build_step(tasks=3, estimate_ms=1000)
        found = self.place(step, warming_ms=9000, cpu=2000)
        self.assertEqual({'warm': 2, 'cold': 1}, found)

    def test_newest_heartbeat_says_how_long_the_server_stays_slow(self):
        server = message.ServerState(id='a', born_ms=1, pool=fakes.POOL)
        poll = message.Poll(agent='a', server=server)
        tested = session.Session(key='a', epoch=1, lease_end=NOW, poll=poll)
        for age, sequence, warming_ms, expected in (
            (0, 1, 4000, 4.0),
            # Repeated by a later poll, delayed, and cold again.
            (1, 1, 4000, 4.0),
            (1, 0, 9000, 4.0),
            (2, 2, 0, 2.0),
            (3, 3, 5000, 8.0),
        ):
            state = msgspec.structs.replace(server, warming_ms=warming_ms)
            poll = message.Poll(agent='a', server=state, sequence=sequence)
            tested.update_warming(poll, NOW + clocks.seconds(age))
            found = (tested.warm_at - NOW).total_seconds()
            self.assertEqual(expected, found, age)


class WarmingServerTest(test_workflow_dispatcher.DispatcherTest):
    def test_load_returns_once_the_server_is_warm(self):
        self.replace()
        self.poll('a', warming_ms=1500)
        self.poll('b')
        expected = {'first': 's-b@1', 'second': 's-a@1'}
        for name, key in expected.items():
            self.submit(name, fakes.build_step(estimate_ms=1000, cpu=40_000))
            self.schedule()
            runs = self.state.workflows.find(name).list_runs()
            self.assertEqual([key], [run.backend for _, run in runs])
            self.report(
                message.PollReply(
                    key=key,
                    epoch=self.state.backends.find(key).epoch,
                    lease_ms=1,
                    feed='',
                    last=0,
                ),
                workflow_commands.RunEnd(
                    1, workflow_commands.RunRef(name, '0.0.0', 1), 'done'
                ),
            )
            self.advance(1)
            self.poll('a', epoch=1, warming_ms=0, sequence=2)


class LateOrderTest(testtools.TestCase):
    """An order read long after its sender has turned to another instance.

    Carried out after a newer one, it would undo that one.
    """

    def setUp(self):
        super().setUp()
        self.reached, self.handled = threading.Event(), threading.Event()
        self.resume = threading.Event()
        self.errors = []
        self.server = server.Server(
            address='127.0.0.1:0', handlers={}, fallback=self.answer
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def answer(self, environ, body):
        self.reached.set()
        self.resume.wait(10)
        try:
            server.check_connected(environ, step='withdraw')
        except errors.UnavailableError as error:
            self.errors.append(error)
        self.handled.set()
        return server.Response()

    def connect(self):
        return http.client.HTTPConnection(
            *util.parse_address(self.server.address), timeout=10
        )

    def test_order_whose_sender_has_gone_is_not_carried_out(self):
        connection = self.connect()
        connection.request('POST', '/')
        self.reached.wait(10)
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()
        self.resume.set()
        self.assertTrue(self.handled.wait(10))
        (error,) = self.errors
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)

    def test_order_whose_sender_waits_is_carried_out(self):
        self.resume.set()
        connection = self.connect()
        self.addCleanup(connection.close)
        for _ in range(2):
            connection.request('POST', '/')
            response = connection.getresponse()
            self.assertEqual((200, b''), (response.status, response.read()))
        self.assertEqual([], self.errors)


class ApiTest(test_api.ApiTestCase):
    def open_server(self):
        row = backend.Backend(
            key='s@1', id='s', instance='i', pool=fakes.POOL, zone='north'
        )
        self.ctx.propose(backend_commands.OpenBackend(backend=row, at=0))

    def find_zone(self, name):
        rows = self.call('GET', '/v1/zones')['zones']
        (row,) = [row for row in rows if row['name'] == name]
        return row['withdrawn'], row['runs']

    def test_orders_are_acknowledged_each_time(self):
        for order, withdrawn in (('withdraw', True), ('restore', False)):
            for _ in range(2):
                answer = self.call('POST', f'/v1/zones/a/{order}')
                self.assertEqual(withdrawn, answer['withdrawn'])
            self.assertEqual((withdrawn, 0), self.find_zone('a'))

    def test_order_that_may_be_older_than_the_last_one_is_refused(self):
        # It was held up on its way and took back a later withdrawal.
        call = wire_message.CallRequest(method='POST', path='/x')
        call.note_received(self.ctx.clock.monotonic())
        self.ctx.zone_orders.begin_term(1)
        for order in ('withdraw', 'restore', 'withdraw'):
            self.ctx.clock.advance(clocks.seconds(1))
            self.call('POST', f'/v1/zones/a/{order}')
        args = (self.ctx, 'POST', '/v1/zones/a/restore', '', b'', 'op')
        status, _ = api.handle(*args, relayed=call)
        self.assertEqual(errors.OutdatedError.status, status)
        self.assertEqual((True, 0), self.find_zone('a'))
        self.ctx.clock.advance(clocks.seconds(1))
        call.note_received(self.ctx.clock.monotonic())
        status, _ = api.handle(*args, relayed=call)
        self.assertEqual(200, status)

    def test_runs_left_in_the_zone_are_counted(self):
        self.open_server()
        row = fakes.build_workflow('w', fakes.build_step())
        start = workflow_commands.RunStart('w', '0.0.0', 1, 's@1')
        for command in (
            workflow_commands.SubmitWorkflow(workflow=row),
            workflow_commands.StartRuns(starts=[start], at=1),
        ):
            self.ctx.propose(command)
        answer = self.call('POST', '/v1/zones/north/withdraw')
        self.assertEqual(
            {'name': 'north', 'withdrawn': True, 'runs': 1}, answer
        )
        self.assertEqual((True, 1), self.find_zone('north'))

    def test_unknown_zone_is_refused(self):
        answer = self.call('POST', '/v1/zones/none/withdraw', status=404)
        self.assertEqual('not_found', answer['code'])
