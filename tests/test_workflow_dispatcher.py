"""The leader's work on workflows, with a log that commits at once."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.control import machine
from bilberryhaven import errors
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
        self.leader = dispatcher.Dispatcher(
            replica=self.replica,
            machine=self.machine,
            clock=self.clock,
            options=options.Options(max_poll_wait=clocks.seconds(0.01)),
        )
        self.feeds = {}

    @property
    def state(self):
        return self.machine.state

    def ask(self, request):
        body = message.encode(request)
        reply = self.leader.handle(wire_message.WorkRequest(body=body))
        return message.decode_reply(reply.body)

    def replace(self, version=1, prefix=PREFIX):
        queue = catalog.Queue(
            name='surveys',
            host=HOST,
            prefix=prefix,
            pool=fakes.POOL,
            timeout_ms=3000,
            max_attempts=2,
        )
        return self.ask(
            message.Replace(
                version=version,
                queues=[queue],
                pools=[catalog.Pool(name=fakes.POOL)],
                document=b'v%d' % version,
            )
        )

    def submit(self, name, *steps):
        return self.ask(
            message.Submit(
                host=HOST,
                path=PREFIX + name,
                spec='spec',
                steps=list(steps) or [fakes.build_step()],
            )
        )

    def poll(self, agent='i', *, epoch=0, born_ms=1, draining=False):
        server = message.ServerState(
            id=f's-{agent}',
            born_ms=born_ms,
            pool=fakes.POOL,
            cpu=64_000,
            memory_mb=256_000,
            draining=draining,
        )
        feed, seen = self.feeds.get(agent, ('', 0))
        reply = self.ask(
            message.Poll(
                agent=agent, server=server, epoch=epoch, feed=feed, seen=seen
            )
        )
        self.feeds[agent] = (reply.feed, reply.last)
        return reply

    def report(self, poll, *ends, running=(), **fields):
        return self.ask(
            message.Report(
                agent='i',
                key=poll.key,
                epoch=poll.epoch,
                ends=list(ends),
                upto=max((end.number for end in ends), default=0),
                running=[message.Running(ref) for ref in running],
                listed=True,
                **fields,
            )
        )

    def schedule(self):
        self.leader.ensure_ready()
        self.leader._schedule()

    def advance(self, seconds):
        self.clock.advance(clocks.seconds(seconds))


class CallerTest(DispatcherTest):
    def test_no_catalog_yet_is_told_as_not_run(self):
        error = self.assertRaises(errors.UnavailableError, self.submit, 'w1')
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)

    def test_unknown_queue(self):
        self.replace(prefix='/other/')
        self.assertRaises(errors.NotFoundError, self.submit, 'w1')

    def test_longest_prefix_wins(self):
        self.replace(prefix='/')
        error = self.assertRaises(errors.BadInputError, self.submit, 'w1')
        self.assertIn('surveys/w1', str(error))

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

    def test_unknown_workflow_is_gone(self):
        self.replace()
        inquire = message.Inquire(host=HOST, path=PREFIX + 'w9')
        self.assertRaises(errors.GoneError, self.ask, inquire)

    def test_waiting_workflows_are_counted(self):
        self.replace()
        for name in ('w1', 'w2'):
            self.submit(name)
        count = message.Inquire(host=HOST, path=PREFIX)
        self.assertEqual(2, self.ask(count).waiting)
        self.poll()
        self.schedule()
        self.assertEqual(0, self.ask(count).waiting)

    def test_cancel_stops_what_runs(self):
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

    def test_new_agent_learns_what_its_predecessor_kept_alive(self):
        first = self.poll()
        self.assertEqual(0, first.doubt_ms)
        self.report(first, deadline_ms=4200)
        self.advance(1)
        second = self.poll()
        self.assertEqual(4200, second.former_deadline_ms)
        self.assertTrue(4000 < second.doubt_ms <= 4600, second.doubt_ms)

    def test_silent_server_is_closed_only_after_its_lease(self):
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

    def test_new_leader_waits_a_whole_lease(self):
        first = self.poll()
        self.advance(100)
        self.replica.term = 2
        self.schedule()
        self.assertIn(first.key, self.state.backends)
        self.advance(6)
        self.schedule()
        self.assertNotIn(first.key, self.state.backends)

    def test_new_leader_repeats_the_orders(self):
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

    def test_unknown_run_is_stopped(self):
        first = self.poll()
        ref = workflow_commands.RunRef('gone', '0.0.0', 3)
        self.report(first, running=[ref])
        (order,) = self.poll(epoch=first.epoch).orders
        self.assertEqual(
            (message.OrderKind.STOP, ref), (order.kind, order.run)
        )

    def test_new_life_frees_the_runs_of_the_former(self):
        self.submit('w1')
        first = self.poll()
        self.schedule()
        self.poll(born_ms=2)
        self.assertNotIn(first.key, self.state.backends)

    def test_lapsed_server_is_closed_at_once(self):
        self.submit('w1')
        first = self.poll()
        self.schedule()
        self.report(first, lapsed=True)
        self.assertNotIn(first.key, self.state.backends)

    def test_follower_answers_nothing(self):
        self.replica.leading = False
        self.assertRaises(errors.NotLeaderError, self.poll)
        self.assertRaises(errors.NotLeaderError, self.submit, 'w1')


class HealthTest(DispatcherTest):
    """A server that fails all it starts."""

    def test_server_on_which_different_workflows_fail_is_set_aside(self):
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


class NeighboursTest(DispatcherTest):
    """Surveys of an unknown image beside tasks that serve users."""

    def test_placement_uses_what_was_learned(self):
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
