"""Log lines of an agent by which causes of two runs of a task differ."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.workflow import message
from bilberryhaven.workflow import order_calls
from bilberryhaven.workflow import server_client
from tests import log_lines
from tests import test_workflow_agent

STARTED = server_client.StartResult.STARTED
BUSY = server_client.StartResult.BUSY
STEP = clocks.seconds(0.1)


class AgentLinesTest(test_workflow_agent.OneOrderTest):
    def setUp(self):
        super().setUp()
        self.lines = log_lines.LogLines(self)
        for call in ('start', 'stop', 'hold'):
            self.client.before_answer[call] = self.wait

    def wait(self):
        self.clock.advance(STEP)

    def find(self, decision):
        (line,) = self.lines.list(decision)
        return line

    def check(self, line, **expected):
        self.assertEqual(expected, {key: line[key] for key in expected})


class CallsTest(AgentLinesTest):
    """When an order was sent and answered, or why it wasn't."""

    lost = errors.PeerError('no answer', step='start')

    def test_start(self):
        self.client.starts = [STARTED]
        self.start()
        line = self.find('carry out start')
        self.check(
            line,
            reason='started',
            workflow='w0',
            task='0.0.0',
            run=1,
            backend='s',
            born_ms=1,
            epoch=1,
            current_epoch=1,
            age_s=0.1,
            calls=1,
        )
        ((sent_s, took_s, answer, deadline_ms),) = line['answers']
        self.assertEqual((0.1, 0.1, 'started'), (sent_s, took_s, answer))
        self.assertEqual(6000, deadline_ms)

    def test_start_without_an_answer_is_stopped(self):
        self.client.starts = [self.lost, BUSY]
        self.start()
        line = self.find('carry out start')
        self.check(line, reason='outcome unknown, to be stopped', calls=2)
        self.assertIn('no answer', line['answers'][0][2])
        self.assertEqual('busy', line['answers'][1][2])
        self.check(self.find('carry out stop'), reason='answered', calls=1)

    def test_answer_after_the_session_has_ended(self):
        def begin_session():
            self.supervisor.reset_session()
            self.poll(epoch=2)

        self.client.starts = [STARTED]
        self.client.before_answer['start'] = begin_session
        self.start()
        self.check(
            self.find('carry out start'),
            reason='started',
            epoch=1,
            current_epoch=2,
        )

    def test_stop_that_no_answer_ended(self):
        def end_session():
            self.supervisor.reset_session()

        self.client.stops = [self.lost]
        self.client.before_answer['stop'] = end_session
        self.agent._stop_run(self.target, 1, self.order)
        line = self.find('carry out stop')
        self.check(line, reason='session has ended', calls=1)

    def test_repeated_calls_are_counted(self):
        calls = order_calls.OrderCalls(began_at=clocks.seconds(0))
        for number in range(9):
            at = clocks.seconds(number)
            calls.add(at, at, f'answer {number}')
        fields = calls.describe(clocks.seconds(10))
        self.assertEqual(9, fields['calls'])
        self.assertEqual(
            ['answer 0', 'answer 1', 'answer 7', 'answer 8'],
            [answer for _, _, answer, _ in fields['answers']],
        )


class RejectionTest(AgentLinesTest):
    """The listing behind an end as rejected."""

    def test_listing_that_lacks_the_run(self):
        self.agent._stop_run(self.target, 1, self.order)
        self.wait()
        self.agent._renew_lease()
        self.agent._renew_lease()
        line = self.find('find run absent')
        self.check(
            line,
            workflow='w0',
            run=1,
            backend='s',
            epoch=1,
            starts=0,
            answered_before_s=0.1,
            listing_took_s=0.1,
            clock_ms=1000,
            born_ms=1,
            running=0,
            ends=0,
        )
        reports = [row for row in self.gateway.reports if row.ends]
        self.assertEqual(1, len(reports))


class SessionTest(AgentLinesTest):
    """Sessions, and the lapses that void ends."""

    def dispatch(self, epoch):
        poll = self.supervisor.build_poll()
        reply = message.PollReply(
            key='s@1',
            epoch=epoch,
            lease_ms=5000,
            feed=f'f{epoch}',
            last=0,
            doubt_ms=700,
        )
        self.agent._dispatch_orders(poll, reply, self.clock.monotonic())

    def test_session_that_the_leader_has_replaced(self):
        self.dispatch(1)
        self.dispatch(2)
        self.dispatch(2)
        self.check(
            self.find('begin session'),
            backend='s@1',
            epoch=2,
            former_epoch=1,
            former_runs=[('w0', '0.0.0', 1)],
            doubt_ms=700,
        )

    def test_refused_token_names_the_runs(self):
        poll = self.supervisor.build_poll()
        self.agent._reset_session(poll, errors.FencedError('x', step='poll'))
        (line,) = self.lines.list_messages('fencing token rejected')
        self.check(line, epoch=1, runs=[('w0', '0.0.0', 1)])

    def test_lapse_that_voids_an_end(self):
        self.agent._renew_lease()
        end = workflow_commands.RunEnd(3, self.order.run, 'done')
        listing = test_workflow_agent.build_listing(6000)
        listing.ends.append(end)
        for _ in range(2):
            now = self.clock.monotonic()
            self.agent._handle_listing(self.target, 1, listing, now)
        self.check(
            self.find('find lapse'),
            deadline_ms=6000,
            clock_ms=6000,
            void_upto=3,
            void=[('w0', '0.0.0', 1, 3)],
        )

    def test_report_of_a_lapse_has_the_granted_lease(self):
        """The server may have answered since: only the lease has expired."""
        self.agent._renew_lease()
        self.clock.advance(clocks.seconds(4))
        self.agent._renew_lease()
        self.client.hold_error = errors.PeerError('no answer', step='hold')
        self.clock.advance(clocks.seconds(2))
        self.agent._renew_lease()
        self.check(
            self.find('report lapse'),
            reason='the granted lease has expired',
            answer_age_s=2.1,
            deadline_ms=6000,
            lease_expired_s=1.2,
        )
