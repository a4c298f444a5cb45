"""Dispatcher on the leader, with a log that commits immediately."""

import concurrent.futures
import threading

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.control import machine
from bilberryhaven import errors
from bilberryhaven.tables import backend
from bilberryhaven.tables import catalog
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from tests import workflow_fakes as fakes
from tests import workflow_replica

HOST = 'ponds.example'
PREFIX = '/surveys/'


class DispatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.machine = machine.TableStateMachine()
        self.replica = workflow_replica.FakeReplica(self.machine)
        self.leader = self.build_leader()
        self.feeds = {}

    def build_leader(self):
        leader = dispatcher.Dispatcher(
            replica=self.replica,
            machine=self.machine,
            clock=self.clock,
            options=options.Options(max_poll_wait=clocks.seconds(0.01)),
        )
        self.addCleanup(leader.stop)
        return leader

    @property
    def state(self):
        return self.machine.state

    def ask(self, request):
        body = message.encode(request)
        reply = self.leader.handle(wire_message.WorkRequest(body=body))
        if isinstance(reply, concurrent.futures.Future):
            reply = reply.result()
        return message.decode_reply(reply.body)

    def replace(
        self,
        version=1,
        prefix=PREFIX,
        *,
        name='surveys',
        max_attempts=2,
        others=(),
    ):
        queue = catalog.Queue(
            name=name,
            host=HOST,
            prefix=prefix,
            pool=fakes.POOL,
            timeout_ms=3000,
            max_attempts=max_attempts,
        )
        return self.ask(
            message.Replace(
                version=version,
                queues=[queue, *others],
                pools=[catalog.Pool(name=fakes.POOL)],
                document=b'v%d' % version,
            )
        )

    def submit(self, name, *steps, **fields):
        return self.ask(
            message.Submit(
                host=HOST,
                path=PREFIX + name,
                spec='spec',
                steps=list(steps) or [fakes.build_step()],
                **fields,
            )
        )

    def poll(
        self,
        agent='i',
        *,
        epoch=0,
        born_ms=1,
        draining=False,
        cpu=64_000,
        memory_mb=256_000,
        zone='',
        warming_ms=0,
        **fields,
    ):
        server = message.ServerState(
            id=f's-{agent}',
            born_ms=born_ms,
            pool=fakes.POOL,
            zone=zone,
            cpu=cpu,
            memory_mb=memory_mb,
            draining=draining,
            warming_ms=warming_ms,
        )
        feed, seen = self.feeds.get(agent, ('', 0))
        reply = self.ask(
            message.Poll(
                agent=agent,
                server=server,
                epoch=epoch,
                feed=feed,
                seen=seen,
                **fields,
            )
        )
        self.feeds[agent] = (reply.feed, reply.last)
        return reply

    def report(self, poll, *ends, running=(), **fields):
        fields.setdefault('listed', True)
        return self.ask(
            message.Report(
                agent='i',
                key=poll.key,
                epoch=poll.epoch,
                ends=list(ends),
                upto=max((end.number for end in ends), default=0),
                running=[message.Running(ref) for ref in running],
                **fields,
            )
        )

    def schedule(self):
        self.leader.ensure_ready()
        self.leader._schedule()

    def advance(self, seconds):
        self.clock.advance(clocks.seconds(seconds))


class CallerTest(DispatcherTest):
    def test_submission_without_catalog_is_reported_as_not_run(self):
        error = self.assertRaises(errors.UnavailableError, self.submit, 'w1')
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)

    def test_unknown_queue(self):
        self.replace(prefix='/other/')
        self.assertRaises(errors.NotFoundError, self.submit, 'w1')

    def test_longest_matching_prefix_selects_the_queue(self):
        self.replace(prefix='/')
        error = self.assertRaises(errors.BadInputError, self.submit, 'w1')
        self.assertIn('surveys/w1', str(error))

    def test_zone_of_the_entry_is_stored(self):
        self.replace()
        self.submit('w1', zone='pingtung')
        self.submit('w2')
        with self.leader.read() as state:
            zones = [state.workflows.get(name).zone for name in ('w1', 'w2')]
        self.assertEqual(['pingtung', ''], zones)

    def test_states_from_queued_to_completed(self):
        self.replace()
        self.assertEqual('queued', self.submit('w1').state)
        first = self.poll()
        self.schedule()
        (order,) = self.poll(epoch=first.epoch).orders
        inquire = message.Inquire(host=HOST, path=PREFIX + 'w1')
        self.assertEqual('running', self.ask(inquire).state)
        end = workflow_commands.RunEnd(1, order.run, 'done')
        self.assertEqual(1, self.report(first, end).acked)
        self.assertEqual('completed', self.ask(inquire).state)

    def test_unknown_workflow_raises_gone(self):
        self.replace()
        inquire = message.Inquire(host=HOST, path=PREFIX + 'w9')
        self.assertRaises(errors.GoneError, self.ask, inquire)

    def test_workflow_of_another_queue_raises_gone(self):
        """A caller sees and cancels workflows of its own queue only."""
        other = catalog.Queue(
            name='polls',
            host=HOST,
            prefix='/polls/',
            pool=fakes.POOL,
            timeout_ms=3000,
        )
        self.replace(others=[other])
        self.submit('w1')
        for kind in (message.Inquire, message.Cancel):
            request = kind(host=HOST, path='/polls/w1')
            self.assertRaises(errors.GoneError, self.ask, request)
        count = message.Inquire(host=HOST, path='/polls/')
        self.assertEqual(0, self.ask(count).waiting)

    def test_workflow_stays_known_where_it_was_submitted(self):
        """Renaming a queue must not make its workflows unknown."""
        self.replace()
        self.submit('w1')
        self.replace(version=2, name='ponds')
        self.assertEqual('queued', self.submit('w1').state)
        inquire = message.Inquire(host=HOST, path=PREFIX + 'w1')
        self.assertEqual('queued', self.ask(inquire).state)
        count = message.Inquire(host=HOST, path=PREFIX)
        self.assertEqual(1, self.ask(count).waiting)
        self.ask(message.Cancel(host=HOST, path=PREFIX + 'w1'))
        self.assertEqual('cancelled', self.ask(inquire).state)

    def test_catalog_that_allows_fewer_attempts_fails_no_workflow(self):
        """Accepted workflows keep the attempts of their submission."""
        self.replace()
        self.submit('w1')
        first = self.poll()
        self.schedule()
        (order,) = self.poll(epoch=first.epoch).orders
        self.replace(version=2, max_attempts=1)
        end = workflow_commands.RunEnd(1, order.run, 'failed')
        self.report(first, end)
        inquire = message.Inquire(host=HOST, path=PREFIX + 'w1')
        self.assertEqual('running', self.ask(inquire).state)

    def test_waiting_workflows_are_counted(self):
        self.replace()
        for name in ('w1', 'w2'):
            self.submit(name)
        count = message.Inquire(host=HOST, path=PREFIX)
        self.assertEqual(2, self.ask(count).waiting)
        self.poll()
        self.schedule()
        self.assertEqual(0, self.ask(count).waiting)

    def test_cancel_stops_running_tasks(self):
        self.replace()
        self.submit('w1')
        first = self.poll()
        self.schedule()
        self.poll(epoch=first.epoch)
        self.ask(message.Cancel(host=HOST, path=PREFIX + 'w1'))
        self.schedule()
        (order,) = self.poll(epoch=first.epoch).orders
        self.assertEqual(message.OrderKind.STOP, order.kind)

    def test_cyclic_steps_are_refused(self):
        self.replace()
        self.assertRaises(
            errors.BadInputError,
            self.submit,
            'w1',
            fakes.build_step(after=[0]),
        )


class RetentionTest(DispatcherTest):
    """Ended workflows stay known for a time that no clock step shortens."""

    def setUp(self):
        super().setUp()
        self.replace()
        self.submit('w1')
        self.ask(message.Cancel(host=HOST, path=PREFIX + 'w1'))
        self.pass_time(11)

    def pass_time(self, seconds):
        self.advance(seconds)
        self.schedule()

    def inquire(self):
        return self.ask(message.Inquire(host=HOST, path=PREFIX + 'w1')).state

    def check_retention(self):
        self.pass_time(11)
        self.assertEqual('cancelled', self.inquire())
        self.pass_time(options.Options().ended_retention.total_seconds())
        self.assertRaises(errors.GoneError, self.inquire)

    def test_clock_that_steps_ahead_expires_no_workflow(self):
        """Callers would be answered 410 just after the end."""
        self.clock.step_wall(clocks.seconds(3600))
        self.check_retention()

    def test_clock_that_steps_back_does_not_prolong_the_retention(self):
        """Ended workflows would fill the memory for as long as the step."""
        self.clock.step_wall(-clocks.seconds(3600))
        self.check_retention()

    def test_new_leader_whose_clock_is_ahead_expires_no_workflow(self):
        """The end has the time of the former leader's clock."""
        self.leader.stop()
        self.replica.term += 1
        self.clock = clocks.ManualClock()
        self.clock.step_wall(clocks.seconds(3600))
        self.leader = self.build_leader()
        self.check_retention()

    def test_new_term_of_a_leader_does_not_prolong_the_retention(self):
        """Frequent elections would keep ended workflows for ever."""
        for _ in range(9):
            self.replica.term += 1
            self.pass_time(20)
        self.assertRaises(errors.GoneError, self.inquire)

    def test_workflow_submitted_again_after_it_expired_is_kept(self):
        """It must not expire by the end of the former one."""
        self.check_retention()
        self.submit('w1')
        self.ask(message.Cancel(host=HOST, path=PREFIX + 'w1'))
        self.check_retention()


class CatalogTest(DispatcherTest):
    def test_only_a_higher_version_replaces(self):
        self.replace(version=5)
        self.assertEqual(5, self.replace(version=3).version)
        reply = self.ask(message.ReadCatalog())
        self.assertEqual((5, b'v5'), (reply.version, reply.document))

    def test_two_queues_at_one_address_are_refused(self):
        queue = catalog.Queue(
            name='a', host=HOST, prefix='/', pool='p', timeout_ms=1
        )
        request = message.Replace(
            version=1,
            queues=[queue, queue],
            pools=[catalog.Pool(name='p')],
            document=b'',
        )
        self.assertRaises(errors.BadInputError, self.ask, request)
        self.assertEqual(0, self.ask(message.ReadCatalog()).version)


class SessionTest(DispatcherTest):
    def setUp(self):
        super().setUp()
        self.replace()

    def test_each_agent_gets_a_higher_epoch(self):
        first = self.poll()
        self.assertTrue(self.poll().epoch > first.epoch)

    def test_replaced_agent_is_fenced(self):
        first = self.poll()
        self.poll()
        self.assertRaises(errors.FencedError, self.poll, epoch=first.epoch)
        self.assertRaises(errors.FencedError, self.report, first)

    def test_new_agent_gets_the_lease_and_deadline_of_its_predecessor(self):
        first = self.poll()
        self.assertEqual(0, first.doubt_ms)
        self.report(first, deadline_ms=4200)
        self.advance(1)
        second = self.poll()
        self.assertEqual(4200, second.former_deadline_ms)
        self.assertTrue(4000 < second.doubt_ms <= 4600, second.doubt_ms)

    def test_server_without_polls_is_closed_only_after_its_lease(self):
        self.submit('w1')
        first = self.poll()
        self.schedule()
        delay = options.Options().lease_expiry_delay.total_seconds()
        self.advance(delay - 0.01)
        self.schedule()
        self.assertIn(first.key, self.state.backends)
        self.advance(0.02)
        self.schedule()
        self.assertNotIn(first.key, self.state.backends)
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual([], task.runs)

    def test_new_leader_waits_a_whole_lease_before_closing(self):
        first = self.poll()
        self.advance(100)
        self.replica.term = 2
        self.schedule()
        self.assertIn(first.key, self.state.backends)
        self.advance(6)
        self.schedule()
        self.assertNotIn(first.key, self.state.backends)

    def test_new_leader_repeats_unfinished_orders(self):
        self.submit('w1')
        first = self.poll()
        self.schedule()
        (order,) = self.poll(epoch=first.epoch).orders
        self.replica.term = 2
        again = self.poll(epoch=first.epoch)
        self.assertEqual([order.run], [item.run for item in again.orders])

    def test_draining_server_gets_no_start(self):
        self.poll(draining=True)
        self.submit('w1')
        self.schedule()
        row = self.state.workflows.find('w1')
        self.assertFalse(row.started)

    def test_server_that_refuses_connections_gets_no_start(self):
        """Its runs end with the lease, and so would those started now."""
        first = self.poll()
        self.poll(epoch=first.epoch, refusing=True)
        self.submit('w1')
        self.schedule()
        self.assertEqual(
            [], self.poll(epoch=first.epoch, refusing=True).orders
        )
        self.poll(epoch=first.epoch)
        self.schedule()
        self.assertEqual(1, len(self.poll(epoch=first.epoch).orders))

    def test_delayed_poll_from_before_draining_is_ignored(self):
        """A draining server gets starts again after an older poll."""
        self.replace()
        first = self.poll(sequence=1)
        self.poll(epoch=first.epoch, draining=True, sequence=2)
        self.poll(epoch=first.epoch, sequence=1)
        self.submit('w1')
        self.schedule()
        self.assertEqual([], self.state.workflows.find('w1').list_runs())

    def test_unknown_run_is_stopped(self):
        first = self.poll()
        ref = workflow_commands.RunRef('gone', '0.0.0', 3)
        self.report(first, running=[ref])
        (order,) = self.poll(epoch=first.epoch).orders
        self.assertEqual(
            (message.OrderKind.STOP, ref), (order.kind, order.run)
        )

    def test_late_poll_of_a_former_incarnation_closes_no_server(self):
        """A poll held up by the network arrives after a restart.

        If it closed the newer incarnation, the tasks that run there would be
        started again elsewhere.
        """
        self.submit('w1')
        self.poll(born_ms=1)
        second = self.poll(born_ms=2)
        self.schedule()
        self.assertRaises(errors.FencedError, self.poll, born_ms=1)
        self.assertIn(second.key, self.state.backends)
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual([second.key], [run.backend for run in task.runs])

    def test_lapsed_server_is_closed_at_once(self):
        self.submit('w1')
        first = self.poll()
        self.schedule()
        self.report(first, lapsed=True)
        self.assertNotIn(first.key, self.state.backends)

    def test_closing_spares_a_server_with_a_new_agent(self):
        """The new agent registers between the decision and the commit."""
        self.submit('w1')
        first = self.poll()
        propose = self.replica.propose

        def register_first(data, *, timeout, **fields):
            self.replica.propose = propose
            self.second = self.poll()
            self.report(self.second)
            self.schedule()
            return propose(data, timeout=timeout, **fields)

        self.replica.propose = register_first
        self.report(first, lapsed=True)
        self.assertIn(first.key, self.state.backends)
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual(1, len(task.runs))
        self.assertEqual(
            self.second.epoch, self.state.backends.find(first.key).epoch
        )

    def close_beside_registration(self, decide):
        """Let a server be closed while a new agent's session is being opened.

        The decision falls after the registration was committed and before
        the session is stored; the closing is committed after the new agent
        has received its orders.

        Args:
            decide: Function without arguments that closes the server.

        Returns:
            The orders that the new agent receives.
        """
        propose = self.replica.propose
        decided, answered = threading.Event(), threading.Event()

        def close_late(data, *, timeout, **fields):
            decided.set()
            answered.wait(10)
            return propose(data, timeout=timeout, **fields)

        def register(data, *, timeout, **fields):
            row = propose(data, timeout=timeout, **fields)
            self.replica.propose = close_late
            closing.start()
            decided.wait(1)
            return row

        closing = threading.Thread(target=decide)
        self.replica.propose = register
        try:
            return self.poll().orders
        except errors.UnavailableError:
            return []
        finally:
            answered.set()
            closing.join()
            self.replica.propose = propose

    def check_not_ended(self, orders):
        """Check that no run was ended that the new agent was ordered."""
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual(
            [run.number for run in task.runs],
            [order.run.number for order in orders],
        )

    def test_late_lapse_report_ends_no_run_ordered_anew(self):
        """If it ended the runs ordered anew, their tasks would run twice."""
        self.submit('w1')
        first = self.poll()
        self.schedule()
        orders = self.close_beside_registration(
            lambda: self.report(first, lapsed=True)
        )
        self.check_not_ended(orders)

    def test_expired_lease_ends_no_run_ordered_anew(self):
        """If it ended the runs ordered anew, their tasks would run twice."""
        self.submit('w1')
        self.poll()
        self.schedule()
        self.clock.advance(clocks.seconds(20))
        self.check_not_ended(
            self.close_beside_registration(self.leader._closer.close_lapsed)
        )

    def test_new_leader_ends_no_run_ordered_anew(self):
        """As above, by a leader that has no session of the former agent."""
        self.submit('w1')
        self.poll()
        self.schedule()
        self.replica.term = 2
        self.leader.ensure_ready()
        self.clock.advance(clocks.seconds(20))
        self.check_not_ended(
            self.close_beside_registration(self.leader._closer.close_lapsed)
        )

    def test_rejected_run_is_not_ordered_again(self):
        """The first reply of a new leader is lost, so its orders stay.

        If the run that was rejected meanwhile started, its task would run
        twice.
        """
        self.submit('w1')
        first = self.poll()
        self.schedule()
        (order,) = self.poll(epoch=first.epoch).orders
        self.replica.term = 2
        feeds = dict(self.feeds)
        second = self.poll(epoch=first.epoch)
        self.assertEqual([order.run], [o.run for o in second.orders])
        self.feeds = feeds
        end = workflow_commands.RunEnd(0, order.run, 'rejected')
        self.report(first, end)
        third = self.poll(epoch=first.epoch)
        self.assertNotIn(order.run, [o.run for o in third.orders])

    def test_server_being_closed_by_a_new_leader_gets_no_orders(self):
        """The agent comes back while the closing is being committed.

        If it got the orders, their tasks would run twice.
        """
        self.submit('w1')
        first = self.poll()
        self.schedule()
        self.replica.term = 2
        self.leader.ensure_ready()
        self.clock.advance(clocks.seconds(20))
        propose = self.replica.propose
        orders = []

        def poll_first(data, *, timeout, **fields):
            self.replica.propose = propose
            try:
                orders.extend(self.poll(epoch=first.epoch).orders)
            except errors.UnavailableError:
                pass
            return propose(data, timeout=timeout, **fields)

        self.replica.propose = poll_first
        self.leader._closer.close_lapsed()
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual([], task.runs)
        self.assertEqual([], orders)

    def test_session_stays_closed_until_its_server_is_closed(self):
        first = self.poll()
        propose = self.replica.propose

        def poll_first(data, *, timeout, **fields):
            self.replica.propose = propose
            self.assertRaises(
                errors.UnavailableError, self.poll, epoch=first.epoch
            )
            self.assertRaises(errors.FencedError, self.report, first)
            return propose(data, timeout=timeout, **fields)

        self.replica.propose = poll_first
        self.report(first, lapsed=True)
        self.assertNotIn(first.key, self.state.backends)

    def test_replaced_agent_ends_no_run_that_its_successor_started(self):
        """A report is committed after a new agent has started the run again.

        If its rejection counted, the task would run twice.
        """
        self.submit('w1')
        first = self.poll()
        self.schedule()
        (order,) = self.poll(epoch=first.epoch).orders
        propose = self.replica.propose

        def register_first(data, *, timeout, **fields):
            self.replica.propose = propose
            self.assertEqual([order.run], [o.run for o in self.poll().orders])
            return propose(data, timeout=timeout, **fields)

        self.replica.propose = register_first
        end = workflow_commands.RunEnd(0, order.run, 'rejected')
        self.assertRaises(errors.FencedError, self.report, first, end)
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual([1], [run.number for run in task.runs])

    def test_lapsed_server_gets_no_lease_while_another_is_closed(self):
        """Agents that were cut off come back while servers are closed."""
        self.submit('w1', fakes.build_step(tasks=2, cpu=64_000))
        first = {name: self.poll(name) for name in ('i', 'j')}
        self.schedule()
        self.advance(6)
        propose = self.replica.propose
        refused = []

        def poll_other(data, *, timeout, **fields):
            if not refused:
                for name, reply in first.items():
                    try:
                        self.poll(name, epoch=reply.epoch)
                    except errors.UnavailableError:
                        refused.append(name)
            return propose(data, timeout=timeout, **fields)

        self.replica.propose = poll_other
        self.schedule()
        self.assertEqual(['i', 'j'], refused)
        for reply in first.values():
            self.assertNotIn(reply.key, self.state.backends)

    def test_new_leader_takes_a_lapse_without_a_session(self):
        """The agent polls no more, so its tasks would wait for the lease."""
        first = self.poll()
        self.replica.term = 2
        self.report(first, lapsed=True)
        self.assertNotIn(first.key, self.state.backends)

    def test_new_leader_refuses_the_lapse_of_a_replaced_token(self):
        first = self.poll()
        self.poll()
        self.replica.term = 2
        self.assertRaises(errors.FencedError, self.report, first, lapsed=True)
        self.assertIn(first.key, self.state.backends)

    def poll_for_long(self):
        """Renew the lease until a whole lease of the term has passed."""
        first = self.poll()
        for _ in range(4):
            self.advance(3)
            self.poll(epoch=first.epoch)
        return first

    def test_stopping_leader_closes_no_server(self):
        """Rounds may still run while a planned stop hands over."""
        first = self.poll_for_long()
        self.leader.stop()
        self.leader._schedule()
        self.assertIn(first.key, self.state.backends)

    def test_new_term_closes_no_server_while_it_begins(self):
        """A round of the former term runs beside the reset of sessions."""
        first = self.poll_for_long()
        clear = self.leader._memory.sessions.clear

        def clear_beside_a_round():
            clear()
            self.leader._closer.close_lapsed()

        self.leader._memory.sessions.clear = clear_beside_a_round
        self.replica.term = 2
        self.leader.ensure_ready()
        self.assertIn(first.key, self.state.backends)

    def test_run_lost_with_its_server_resumes_from_its_checkpoint(self):
        self.submit('w1', fakes.build_step(saves_progress=True))
        first = self.poll()
        self.schedule()
        ref = workflow_commands.RunRef('w1', '0.0.0', 1)
        running = message.Running(ref, checkpoint='c7')
        self.ask(
            message.Report(
                agent='i',
                key=first.key,
                epoch=first.epoch,
                running=[running],
                listed=True,
            )
        )
        self.report(first, lapsed=True, listed=False)
        self.poll(born_ms=2)
        self.schedule()
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual(('c7', 2), (task.checkpoint, task.last_run))

    def test_checkpoints_survive_the_leader(self):
        self.submit('w1', fakes.build_step(saves_progress=True))
        first = self.poll()
        self.schedule()
        ref = workflow_commands.RunRef('w1', '0.0.0', 1)
        running = message.Running(ref, checkpoint='c7')
        self.ask(
            message.Report(
                agent='i',
                key=first.key,
                epoch=first.epoch,
                running=[running],
                listed=True,
            )
        )
        self.advance(1)
        self.schedule()
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual('c7', task.checkpoint)

    def report_listing(self, poll, number, *running):
        self.ask(
            message.Report(
                agent='i',
                key=poll.key,
                epoch=poll.epoch,
                running=list(running),
                listed=True,
                number=number,
            )
        )

    def test_checkpoint_in_a_delayed_report_replaces_no_newer_one(self):
        """A lost run resumes from an older checkpoint than was reported."""
        self.submit('w1', fakes.build_step(saves_progress=True))
        first = self.poll()
        self.schedule()
        ref = workflow_commands.RunRef('w1', '0.0.0', 1)
        for number, checkpoint in ((2, 'c2'), (1, 'c1')):
            running = message.Running(ref, checkpoint=checkpoint)
            self.report_listing(first, number, running)
        self.report(first, lapsed=True, listed=False)
        self.poll(born_ms=2)
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual('c2', task.checkpoint)

    def test_delayed_report_makes_no_run_a_suspect(self):
        """A run at work for long is suspected of a crash as a new one."""
        self.submit('w1')
        first = self.poll()
        self.schedule()
        running = message.Running(workflow_commands.RunRef('w1', '0.0.0', 1))
        self.report_listing(first, 2, running)
        self.advance(2)
        self.report_listing(first, 1)
        self.report_listing(first, 3, running)
        self.report(first, lapsed=True, listed=False)
        self.poll(born_ms=2)
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual(0, task.crashes)

    def test_numbers_of_reports_begin_again_with_a_new_agent(self):
        """The reports of a restarted agent are taken for delayed ones."""
        self.submit('w1', fakes.build_step(saves_progress=True))
        first = self.poll()
        self.schedule()
        ref = workflow_commands.RunRef('w1', '0.0.0', 1)
        self.report_listing(first, 9, message.Running(ref, checkpoint='c1'))
        second = self.poll()
        self.report_listing(second, 1, message.Running(ref, checkpoint='c2'))
        self.report(second, lapsed=True, listed=False)
        self.poll(born_ms=2)
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual('c2', task.checkpoint)

    def test_follower_refuses_requests(self):
        self.replica.leading = False
        self.assertRaises(errors.NotLeaderError, self.poll)
        self.assertRaises(errors.NotLeaderError, self.submit, 'w1')


class ChangedCapacityTest(DispatcherTest):
    """A server's capacity changes while it runs.

    Guards against placement by the capacity at the registration, which
    started tasks on servers that had shrunk and left grown ones unused.
    """

    def setUp(self):
        super().setUp()
        self.replace()
        self.first = self.poll()

    def poll_again(self, **fields):
        return self.poll(epoch=self.first.epoch, **fields)

    def run_count(self, name='w1'):
        self.schedule()
        row = self.state.workflows.find(name)
        return sum(len(task.runs) for task in row.tasks.values())

    def test_shrunk_cpu_limits_starts(self):
        self.poll_again(cpu=2_500)
        self.submit('w1', fakes.build_step(tasks=4))
        self.assertEqual(2, self.run_count())

    def test_shrunk_memory_limits_best_effort_starts(self):
        self.poll_again(memory_mb=2_500)
        self.submit('w1', fakes.build_step(tasks=4, best_effort=True))
        self.assertTrue(self.run_count() <= 2)

    def test_server_shrunk_below_its_runs_gets_none_until_it_has_grown(self):
        self.submit('w1', fakes.build_step(tasks=4))
        self.assertEqual(4, self.run_count())
        self.poll_again(cpu=2_000)
        self.submit('w2', fakes.build_step())
        self.assertEqual(0, self.run_count('w2'))
        self.poll_again(cpu=5_000)
        self.assertEqual(1, self.run_count('w2'))

    def test_server_shrunk_below_its_runs_gets_no_best_effort_run(self):
        """Guards against any start on a server that is over its capacity."""
        self.submit('w1', fakes.build_step(tasks=4))
        self.assertEqual(4, self.run_count())
        self.poll_again(cpu=2_000)
        self.submit('w2', fakes.build_step(best_effort=True))
        self.assertEqual(0, self.run_count('w2'))

    def test_growth_beyond_the_registration_counts(self):
        self.submit('w1', fakes.build_step(cpu=65_000))
        self.assertEqual(0, self.run_count())
        self.poll_again(cpu=66_000)
        self.assertEqual(1, self.run_count())

    def test_step_that_fits_nowhere_waits(self):
        self.poll_again(cpu=0, memory_mb=0)
        self.submit('w1', fakes.build_step())
        self.assertEqual(0, self.run_count())
        self.poll_again()
        self.assertEqual(1, self.run_count())

    def test_new_leader_takes_it_from_the_first_poll(self):
        self.poll_again(cpu=2_500)
        self.replica.term += 1
        self.poll_again(cpu=2_500)
        self.submit('w1', fakes.build_step(tasks=4))
        self.assertEqual(2, self.run_count())

    def test_delayed_poll_with_a_former_capacity_is_ignored(self):
        self.poll_again(cpu=2_500, sequence=9)
        self.poll_again(sequence=8)
        self.submit('w1', fakes.build_step(tasks=4))
        self.assertEqual(2, self.run_count())

    def test_orders_tell_what_each_run_needs(self):
        step = fakes.build_step(cpu=700, memory_mb=800, gpu=0)
        self.submit('w1', step)
        self.schedule()
        (start,) = self.poll_again().orders
        self.ask(message.Cancel(host=HOST, path=PREFIX + 'w1'))
        self.schedule()
        (stop,) = self.poll_again().orders
        for order in (start, stop):
            self.assertEqual(
                (700, 800, 0), (order.cpu, order.memory_mb, order.gpu)
            )

    def test_measurements_of_a_server_without_cpu(self):
        self.submit('w1', fakes.build_step(best_effort=True))
        self.schedule()
        (order,) = self.poll_again().orders
        self.report(self.first, running=[order.run])
        self.poll_again(cpu=0)
        self.report(self.first, running=[order.run])
        self.submit('w2', fakes.build_step())
        self.assertEqual(0, self.run_count('w2'))


class HeldPollTest(DispatcherTest):
    """Polls of a large fleet, all held at the same time."""

    AGENTS = 500

    def hold_poll(self, agent, epoch, feed, seen):
        server = message.ServerState(
            id=f's-{agent}',
            born_ms=1,
            pool=fakes.POOL,
            cpu=64_000,
            memory_mb=256_000,
        )
        poll = message.Poll(
            agent=agent, server=server, epoch=epoch, feed=feed, seen=seen
        )
        body = message.encode(poll)
        return self.leader.handle(wire_message.WorkRequest(body=body))

    def build_leader(self):
        return dispatcher.Dispatcher(
            replica=self.replica,
            machine=self.machine,
            clock=self.clock,
            options=options.Options(max_poll_wait=clocks.seconds(30)),
        )

    def setUp(self):
        super().setUp()
        self.leader = self.build_leader()
        self.addCleanup(self.leader.stop)
        self.replace()
        self.polls = {}
        for number in range(self.AGENTS):
            agent = f'i{number}'
            self.polls[agent] = self.hold_poll(agent, 0, '', 0)

    def decode(self, future):
        return message.decode_reply(future.result(5).body)

    def test_submission_is_accepted_while_all_agents_poll(self):
        self.assertFalse(any(poll.done() for poll in self.polls.values()))
        self.assertEqual('queued', self.submit('w1').state)

    def test_only_polls_with_orders_are_answered(self):
        self.submit('w1', fakes.build_step(tasks=3, cpu=64_000))
        self.schedule()
        views = self.leader._memory.index.runs
        chosen = {
            self.state.backends.find(key).instance
            for key, runs in views.items()
            if runs
        }
        orders = [self.decode(self.polls[agent]).orders for agent in chosen]
        self.assertEqual([1, 1, 1], [len(item) for item in orders])
        held = [poll for poll in self.polls.values() if not poll.done()]
        self.assertEqual(self.AGENTS - 3, len(held))

    def test_abandoned_poll_is_replaced(self):
        first = self.polls['i0']
        key = backend.build_backend_key('s-i0', 1)
        epoch = self.state.backends.find(key).epoch
        again = self.hold_poll('i0', epoch, '', 0)
        self.assertEqual(epoch, self.decode(first).epoch)
        self.assertFalse(again.done())

    def test_polls_end_when_the_leader_stops(self):
        self.leader.stop()
        error = self.assertRaises(
            errors.UnavailableError, self.polls['i0'].result, 5
        )
        self.assertEqual('poll', error.step)


class HealthTest(DispatcherTest):
    """A server on which every run fails gets no new runs for a while."""

    def test_server_is_quarantined_after_different_workflows_fail(self):
        self.replace()
        first = self.poll()
        ends = []
        for number, name in enumerate(('w1', 'w2'), 1):
            self.submit(name)
            ref = workflow_commands.RunRef(name, '0.0.0', 1)
            ends.append(workflow_commands.RunEnd(number, ref, 'failed'))
        self.schedule()
        self.report(first, *ends)
        self.schedule()
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual(1, task.last_run)
        self.advance(4.1)
        self.poll(epoch=first.epoch)
        self.schedule()
        task = self.state.workflows.find('w1').find_task('0.0.0')
        self.assertEqual(2, task.last_run)

    def test_repeated_report_of_a_success_lifts_no_quarantine(self):
        """An end that counted before counts as the newest one.

        A report that was held up contains ends from before the failures.
        """
        self.replace()
        first = self.poll()
        ends = []
        for number, how in enumerate(('done', 'failed', 'failed'), 1):
            self.submit(f'w{number}')
            ref = workflow_commands.RunRef(f'w{number}', '0.0.0', 1)
            ends.append(workflow_commands.RunEnd(number, ref, how))
        self.schedule()
        self.report(first, *ends)
        self.report(first, ends[0])
        self.schedule()
        task = self.state.workflows.find('w2').find_task('0.0.0')
        self.assertEqual(1, task.last_run)


class InterferenceTest(DispatcherTest):
    """Best-effort tasks of an unmeasured image beside a serving task.

    They must start one at a time until their effect on the tail is measured.
    """

    def test_unmeasured_image_starts_one_task(self):
        self.replace()
        self.poll()
        serving = fakes.build_step(image='map', target_ms=150, cpu=1000)
        self.submit('watch', serving)
        self.schedule()
        survey = fakes.build_step(
            tasks=5, image='survey', cpu=7000, best_effort=True
        )
        self.submit('survey', survey)
        self.schedule()
        row = self.state.workflows.find('survey')
        self.assertEqual(1, len(row.list_runs()))
