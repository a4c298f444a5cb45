"""Registration of backend servers: what a poll may and may not change.

A poll for another server of an instance is no evidence that the former one
has ended: ended on it, its runs were started again beside themselves.
"""

import contextlib

import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.control import machine
from bilberryhaven import errors
from bilberryhaven.tables import backend
from bilberryhaven.tables import catalog
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import run_lease
from bilberryhaven.workflow import server_client
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes
from tests import workflow_replica

LEASE_S = options.Options().lease_expiry_delay.total_seconds()
STEP_S = 0.4


class SecondServerTest(test_workflow_dispatcher.DispatcherTest):
    """A second server of an instance registers while the first works."""

    def setUp(self):
        super().setUp()
        self.replace()
        self.submit('w1')
        self.first = self.poll()
        self.schedule()
        (order,) = self.poll(epoch=self.first.epoch).orders
        self.run = order.run
        self.second = self.poll(born_ms=2)

    def list_runs(self, name='w1'):
        row = self.state.workflows.find(name)
        return [(run.number, run.backend) for _, run in row.list_runs()]

    def pass_time(self, seconds, *polls):
        """Poll and schedule for a while.

        Args:
            seconds: How long.
            polls: (PollReply, born_ms) of the servers that are polled for.
        """
        end = self.clock.monotonic() + clocks.seconds(seconds)
        while self.clock.monotonic() < end:
            for reply, born_ms in polls:
                self.poll(epoch=reply.epoch, born_ms=born_ms)
            self.schedule()
            self.advance(STEP_S)


class AddressTest(test_workflow_dispatcher.DispatcherTest):
    """The agent was started again together with its server.

    Guards against tasks that wait for a lease although the next incarnation
    answers at the address of the former, and against an end on less evidence.
    """

    def register(self, first_address, second_address, *, born_ms=2):
        self.replace()
        self.submit('w1')
        self.poll(address=first_address)
        self.schedule()
        # An agent that was started again hasn't seen the start yet.
        self.poll(address='')
        self.poll(born_ms=born_ms, address=second_address)
        return self.list_runs()

    def list_runs(self):
        row = self.state.workflows.find('w1')
        return [run.backend for _, run in row.list_runs()]

    def test_answer_of_a_later_incarnation_at_its_address_ends_it(self):
        self.assertEqual([], self.register('h:1', 'h:1'))

    def test_answer_at_another_or_an_unknown_address_ends_nothing(self):
        for addresses in (('h:1', 'h:2'), ('h:1', ''), ('', 'h:1'), ('', '')):
            self.machine = machine.TableStateMachine()
            self.replica = workflow_replica.FakeReplica(self.machine)
            self.leader = self.build_leader()
            self.feeds = {}
            self.assertEqual(['s-i@1'], self.register(*addresses), addresses)

    def test_late_poll_of_an_earlier_incarnation_ends_nothing(self):
        self.assertRaises(
            errors.FencedError, self.register, 'h:1', 'h:1', born_ms=0
        )
        self.assertEqual(['s-i@1'], self.list_runs())


class FollowedServerTest(SecondServerTest):
    def test_poll_for_another_server_ends_no_run(self):
        self.schedule()
        self.assertIn(self.first.key, self.state.backends)
        self.assertEqual([(1, self.first.key)], self.list_runs())

    def test_former_runs_end_with_the_report_of_their_agent(self):
        self.report(self.first, lapsed=True)
        self.schedule()
        self.assertNotIn(self.first.key, self.state.backends)
        self.assertEqual([(2, self.second.key)], self.list_runs())

    def test_report_of_another_epoch_ends_no_run(self):
        for epoch in (0, self.first.epoch - 1, self.second.epoch):
            reply = msgspec.structs.replace(self.first, epoch=epoch)
            self.assertRaises(
                errors.FencedError, self.report, reply, lapsed=True
            )
        self.assertEqual([(1, self.first.key)], self.list_runs())

    def test_former_runs_end_with_their_lease(self):
        self.pass_time(LEASE_S - STEP_S, (self.second, 2))
        self.assertEqual([(1, self.first.key)], self.list_runs())
        self.pass_time(2 * STEP_S, (self.second, 2))
        self.assertNotIn(self.first.key, self.state.backends)
        self.assertEqual([(2, self.second.key)], self.list_runs())

    def test_end_of_a_run_on_the_former_counts(self):
        end = workflow_commands.RunEnd(1, self.run, 'done')
        self.report(self.first, end)
        self.schedule()
        self.assertEqual('completed', self.state.workflows.find('w1').state)

    def test_starts_go_to_the_followed_server_only(self):
        for number, (reply, born_ms) in enumerate(
            [(self.first, 1), (self.second, 2)] * 2
        ):
            self.poll(epoch=reply.epoch, born_ms=born_ms)
            name = f'next{number}'
            self.submit(name)
            self.schedule()
            self.assertEqual([(1, reply.key)], self.list_runs(name))

    def test_out_of_date_poll_does_not_change_the_followed_server(self):
        self.poll(epoch=self.first.epoch, sequence=5)
        self.poll(epoch=self.second.epoch, born_ms=2)
        self.poll(epoch=self.first.epoch, sequence=4)
        self.submit('next')
        self.schedule()
        self.assertEqual([(1, self.second.key)], self.list_runs('next'))

    def test_nothing_starts_on_the_former_at_a_new_leader(self):
        self.replica.term = 2
        self.poll(epoch=self.second.epoch, born_ms=2)
        self.submit('next')
        self.schedule()
        self.assertEqual([(1, self.second.key)], self.list_runs('next'))
        self.assertEqual([(1, self.first.key)], self.list_runs())

    def test_nothing_starts_on_any_until_one_is_polled_for_again(self):
        """The server that was followed last is closed."""
        self.report(self.second, lapsed=True)
        self.submit('next')
        self.schedule()
        self.assertEqual([], self.list_runs('next'))
        self.poll(epoch=self.first.epoch)
        self.schedule()
        self.assertEqual([(1, self.first.key)], self.list_runs('next'))


class FenceTest(SecondServerTest):
    """Polls of a new agent for a server born before a registered one."""

    def check_fenced(self):
        self.assertRaises(errors.FencedError, self.poll)

    def test_held_up_poll_takes_nothing_over(self):
        for seconds in (0, LEASE_S, LEASE_S):
            self.pass_time(seconds, (self.second, 2))
            self.check_fenced()
        self.assertEqual([(2, self.second.key)], self.list_runs())

    def test_strange_server_blocks_for_its_lease_at_most(self):
        self.advance(LEASE_S - 0.01)
        self.check_fenced()
        self.advance(0.02)
        self.poll()

    def test_strange_server_blocks_for_one_lease_at_a_new_leader(self):
        self.replica.term = 2
        self.leader.ensure_ready()
        self.advance(LEASE_S - 0.01)
        self.check_fenced()
        self.advance(0.02)
        self.poll()

    def test_strange_server_that_is_no_longer_followed_blocks_nothing(self):
        """An agent that is restarted keeps the runs of its server."""
        self.poll(epoch=self.first.epoch)
        again = self.poll()
        self.assertEqual([self.run], [item.run for item in again.orders])

    def test_server_whose_clock_stepped_back_registers_once_it_is_closed(self):
        self.report(self.first, lapsed=True)
        self.check_fenced()
        self.report(self.second, lapsed=True)
        third = self.poll()
        self.schedule()
        self.assertEqual([(2, third.key)], self.list_runs())


class PoolTest(test_workflow_dispatcher.DispatcherTest):
    """Servers of pools that no catalog names aren't used.

    Guards against strange servers that an agent polls for after a heartbeat
    of another writer: registered, they took the place of the real one.
    """

    def name_pools(self, version, *names):
        self.ask(
            message.Replace(
                version=version,
                queues=[],
                pools=[catalog.Pool(name=name) for name in names],
                document=b'',
            )
        )

    def poll_pool(self, pool, **fields):
        server = message.ServerState(
            id='s-i', born_ms=1, pool=pool, cpu=64_000, memory_mb=256_000
        )
        return self.ask(message.Poll(agent='i', server=server, **fields))

    def check_refused(self, pool, **fields):
        before = self.machine.dump()
        error = self.assertRaises(
            errors.UnknownPoolError, self.poll_pool, pool, **fields
        )
        self.assertEqual('not_run', str(error.outcome))
        self.assertEqual(before, self.machine.dump())
        self.assertEqual([], list(self.leader._memory.sessions))

    def test_only_servers_of_named_pools_are_opened(self):
        for names, pool, allowed in (
            (None, 'desk', False),
            ([], 'desk', False),
            (['other'], 'desk', False),
            (['other', 'desk'], 'desk', True),
            (['desk'], '', False),
            (['desk'], 'Desk', False),
            (['desk2'], 'desk', False),
        ):
            self.machine = machine.TableStateMachine()
            self.replica = workflow_replica.FakeReplica(self.machine)
            self.leader = self.build_leader()
            if names is not None:
                self.name_pools(1, *names)
            if allowed:
                self.assertEqual('s-i@1', self.poll_pool(pool).key)
            else:
                self.check_refused(pool)

    def test_token_of_a_server_that_is_gone_opens_nothing(self):
        self.name_pools(1, 'other')
        self.check_refused('desk', epoch=4)

    def test_pool_that_a_later_catalog_names(self):
        self.check_refused('desk')
        self.name_pools(1, 'other')
        self.check_refused('desk')
        self.name_pools(2, 'desk')
        self.assertEqual('desk', self.open_row('desk').pool)

    def open_row(self, pool):
        return self.state.backends.find(self.poll_pool(pool).key)

    def test_server_with_another_named_pool_is_registered_again(self):
        self.name_pools(1, 'desk', 'lab')
        first = self.open_row('desk')
        second = self.open_row('lab')
        self.assertEqual('lab', second.pool)
        self.assertTrue(second.epoch > first.epoch)

    def test_server_with_another_unnamed_pool_keeps_its_registration(self):
        self.name_pools(1, 'desk')
        first = self.poll_pool('desk')
        self.assertRaises(errors.UnknownPoolError, self.poll_pool, 'lab')
        row = self.state.backends.find(first.key)
        self.assertEqual(('desk', first.epoch), (row.pool, row.epoch))
        self.assertEqual(
            first.epoch, self.poll_pool('desk', epoch=first.epoch).epoch
        )

    def restart_nothing(self, first):
        return self.poll_pool('desk', epoch=first.epoch)

    def restart_agent(self, first):
        return self.poll_pool('desk')

    def change_leader(self, first):
        self.leader.stop()
        self.replica.term += 1
        self.leader = self.build_leader()
        return self.poll_pool('desk', epoch=first.epoch)

    def change_leader_and_restart_agent(self, first):
        self.change_leader(first)
        return self.poll_pool('desk')

    def test_pool_that_a_later_catalog_drops(self):
        """The session and its runs stay."""
        for number, event in enumerate(
            (
                self.restart_nothing,
                self.restart_agent,
                self.change_leader,
                self.change_leader_and_restart_agent,
            )
        ):
            self.replace(version=2 * number + 1)
            name = f'w{number}'
            first = self.poll_pool('desk')
            self.report(first)
            self.submit(name)
            self.schedule()
            self.name_pools(2 * number + 2, 'other')
            again = event(first)
            self.schedule()
            runs = self.state.workflows.find(name).list_runs()
            self.assertEqual(
                [(1, first.key)],
                [(run.number, run.backend) for _, run in runs],
            )
            self.assertIn(name, [order.run.workflow for order in again.orders])


class OlderLeaderTest(test_workflow_dispatcher.DispatcherTest):
    """A poll that the former leader answers just before the term begins.

    If its lease outlasted the wait of the new leader, the runs would be
    started again while they work.
    """

    HOLD_S = 0.4

    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.machine = machine.TableStateMachine()
        self.replica = workflow_replica.FakeReplica(self.machine)
        self.leader = self.build_leader()
        self.feeds = {}
        self.replace()
        self.submit('w1')
        self.first = self.poll()
        self.schedule()
        self.older_replica = self.replica

    def begin_term(self):
        """Let another replica lead; its tables are the same."""
        self.older_replica.leading = False
        self.replica = workflow_replica.FakeReplica(self.machine)
        self.replica.term = 2
        self.leader = self.build_leader()
        self.leader.ensure_ready()

    def grant(self, held_for):
        """Return until when the runs last by a poll to the older leader.

        Args:
            held_for: Time until the reply to it is built, a timedelta.
        """
        lease = run_lease.RunLease()
        sent_at = self.clock.monotonic()
        listing = server_client.Listing(
            clock_ms=0, born_ms=1, running=[], ends=[]
        )
        lease.handle_listing(listing, sent_at)
        reply = self.poll(epoch=self.first.epoch)
        self.clock.advance(held_for)
        lease.renew(reply, sent_at)
        deadline = lease.grant(self.clock.monotonic())
        # The server's clock may be slow.
        drift = 1 + options.MAX_DRIFT
        return sent_at + clocks.seconds(deadline / 1000 * drift)

    def test_new_leader_waits_for_each_lease_of_the_older_one(self):
        for hold_s in (0, self.HOLD_S):
            self.begin()
            ends_at = self.grant(clocks.seconds(hold_s))
            self.begin_term()
            while self.first.key in self.state.backends:
                self.schedule()
                self.advance(0.01)
            closed_at = self.clock.monotonic() - clocks.seconds(0.01)
            margin = options.Options().lease_margin
            self.assertTrue(ends_at + margin <= closed_at, hold_s)

    def test_poll_held_over_the_change_is_not_answered(self):
        """Its lease would be of the time at which it came."""
        check_read = self.older_replica.check_read
        passed = []

        def lose_after_the_poll_came():
            check_read()
            passed.append(None)
            self.older_replica.leading = False

        self.older_replica.check_read = lose_after_the_poll_came
        self.assertRaises(
            errors.NotLeaderError, self.poll, epoch=self.first.epoch
        )
        self.assertEqual(1, len(passed))

    def test_decision_of_an_older_term_closes_no_server(self):
        """Leadership comes back while a round of the former term runs.

        Another leader may have renewed the lease in between.
        """
        for lost_sessions in (False, True):
            self.begin()
            if lost_sessions:
                self.replica.term = 2
                self.leader.ensure_ready()
            self.advance(LEASE_S + 1)
            propose = self.replica.propose

            def lead_again(data, propose=propose, **fields):
                self.replica.propose = propose
                self.replica.term += 2
                self.leader.ensure_ready()
                return propose(data, **fields)

            self.replica.propose = lead_again
            with contextlib.suppress(errors.NotLeaderError):
                self.leader._closer.close_lapsed()
            (run,) = self.state.workflows.find('w1').find_task('0.0.0').runs
            self.assertEqual((1, self.first.key), (run.number, run.backend))
            orders = self.poll(epoch=self.first.epoch).orders
            self.assertEqual([1], [order.run.number for order in orders])


class RestoredRowTest(test_workflow_dispatcher.DispatcherTest):
    """Strange servers that an earlier version has registered.

    A leader that is restarted with them must take neither their runs nor
    those of the real server for ended.
    """

    STRANGE = (
        ('other@9', 'i', 'unnamed'),
        ('other@1', 'i', fakes.POOL),
        ('s-i@0', 'i', fakes.POOL),
        ('elsewhere@5', 'j', fakes.POOL),
    )

    def setUp(self):
        super().setUp()
        self.replace()
        self.first = self.poll()
        for key, instance, pool in self.STRANGE:
            row = backend.Backend(
                key=key,
                id=key.partition('@')[0],
                instance=instance,
                pool=pool,
                cpu=64_000,
                memory_mb=256_000,
            )
            self.apply(backend_commands.OpenBackend(backend=row, at=0))
        keys = [self.first.key, *(row[0] for row in self.STRANGE)]
        for key in keys:
            self.submit(f'on-{key[:-2]}-{key[-1]}')
            start = workflow_commands.RunStart(
                f'on-{key[:-2]}-{key[-1]}', '0.0.0', 1, key
            )
            self.apply(workflow_commands.StartRuns(starts=[start], at=0))
        self.restart()

    def apply(self, command):
        commands.apply(self.state, commands.decode(commands.encode(command)))

    def restart(self):
        """Restart the leader from a snapshot."""
        self.leader.stop()
        snapshot = self.machine.dump()
        self.machine = machine.TableStateMachine()
        self.machine.load(snapshot)
        self.replica = workflow_replica.FakeReplica(self.machine)
        self.replica.term = 2
        self.leader = self.build_leader()
        self.leader.ensure_ready()

    def list_runs(self):
        return {
            row.id: [(run.number, run.backend) for _, run in row.list_runs()]
            for row in self.state.workflows
        }

    def test_they_are_closed_by_their_leases_only(self):
        before = self.list_runs()
        self.assertEqual(5, len(before))
        end = self.clock.monotonic() + clocks.seconds(LEASE_S)
        number = 0
        while self.clock.monotonic() < end - clocks.seconds(STEP_S):
            self.poll(epoch=self.first.epoch)
            number += 1
            self.submit(f'new{number}')
            self.schedule()
            runs = self.list_runs()
            for name, expected in before.items():
                self.assertEqual(expected, runs.pop(name))
            for found in runs.values():
                self.assertEqual([(1, self.first.key)], found)
            self.advance(STEP_S)
        self.advance(STEP_S)
        self.poll(epoch=self.first.epoch)
        self.schedule()
        self.assertEqual(
            [self.first.key], [r.key for r in self.state.backends]
        )
        runs = self.list_runs()
        self.assertEqual([(1, self.first.key)], runs['on-s-i-1'])
        self.assertEqual([(2, self.first.key)], runs['on-other-9'])

    def test_nothing_starts_there_without_the_real_server(self):
        self.submit('new')
        self.schedule()
        self.assertEqual([], self.list_runs()['new'])
