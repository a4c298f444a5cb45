"""Agent of workflows whose backend server gives unexpected answers."""

import threading
import time

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.workflow import agent
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import server_client
from tests import workflow_fakes as fakes

StartResult = server_client.StartResult
ORDERS = 24


def build_ref(number):
    return workflow_commands.RunRef(f'w{number}', '0.0.0', 1)


class FakeGateway:
    """Leader that orders runs once and records the reported ends."""

    def __init__(self, *, cpu=0):
        self.cpu = cpu
        self.sent = False
        self.ends = []
        self.troubles = set()

    def send(self, request, *, timeout, step):
        if isinstance(request, message.Report):
            self.ends += request.ends
            self.troubles.add(request.trouble)
            return message.ReportReply()
        time.sleep(0.02)
        orders = []
        if not self.sent:
            self.sent = True
            orders = [
                message.Order(
                    message.OrderKind.START, build_ref(number), cpu=self.cpu
                )
                for number in range(ORDERS)
            ]
        return message.PollReply(
            key='s@1',
            epoch=1,
            lease_ms=5000,
            feed='f',
            last=ORDERS,
            orders=orders,
        )


class FakeClient(server_client.ServerClient):
    """Server whose client fails unexpectedly on some calls."""

    def __init__(self):
        self.running = set()
        self.stopped = set()
        self.failures = set()
        self.lock = threading.Lock()

    def fail_once(self, call, ref):
        with self.lock:
            if (call, ref) not in self.failures:
                self.failures.add((call, ref))
                raise ValueError(f'{call} got an unexpected answer')

    def start_run(self, target, order, *, deadline_ms, epoch):
        if int(order.run.workflow[1:]) % 2:
            self.fail_once('start', order.run)
        with self.lock:
            self.running.add(order.run)
        return StartResult.STARTED

    def stop_run(self, target, run, *, epoch):
        self.fail_once('stop', run)
        with self.lock:
            self.stopped.add(run)

    def pace_run(self, target, run, *, percent, epoch):
        raise errors.PeerError('not used')

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        time.sleep(0.02)
        with self.lock:
            return server_client.Listing(
                clock_ms=int(time.monotonic() * 1000),
                born_ms=1,
                running=[message.Running(ref) for ref in self.running],
                ends=[],
            )

    def close(self):
        pass


class ShrunkServerTest(testtools.TestCase):
    def test_start_that_no_longer_fits_is_reported_as_rejected(self):
        """Guards against a late order that brings a server over its limit."""
        gateway, client = FakeGateway(cpu=500), FakeClient()
        tested = fakes.build_agent(gateway, client, cpu=400)
        tested.start()
        self.addCleanup(tested.stop)
        refused = {build_ref(number) for number in range(ORDERS)}
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            if {end.run for end in gateway.ends} >= refused:
                break
            time.sleep(0.02)
        self.assertEqual(set(), client.running)
        self.assertEqual(refused, {end.run for end in gateway.ends})
        # The server isn't set aside for it.
        self.assertEqual({''}, gateway.troubles)


class UnexpectedErrorTest(testtools.TestCase):
    def test_unexpected_errors_stop_no_later_order(self):
        gateway, client = FakeGateway(), FakeClient()
        tested = fakes.build_agent(gateway, client)
        tested.start()
        self.addCleanup(tested.stop)
        started = {build_ref(n) for n in range(0, ORDERS, 2)}
        failed = {build_ref(n) for n in range(1, ORDERS, 2)}
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            reported = {end.run for end in gateway.ends}
            if client.running == started and reported >= failed:
                break
            time.sleep(0.02)
        self.assertEqual(started, client.running)
        # Each failed start was made certain by a stop, then reported.
        self.assertEqual(failed, client.stopped)
        self.assertEqual(failed, {end.run for end in gateway.ends})


class ScriptedClient(server_client.ServerClient):
    """Server that answers calls as scripted and records them.

    Attributes:
        calls: Names of the calls received.
        starts: Answers to the starts; an exception is raised.
        stops: Answers to the stops; later ones are answered.
        before_answer: Functions by name of the call, called before its
            answer.
    """

    def __init__(self):
        self.calls = []
        self.starts = []
        self.stops = []
        self.hold_error = None
        self.before_answer = {}

    def start_run(self, target, order, *, deadline_ms, epoch):
        return self._answer('start', self.starts.pop(0))

    def stop_run(self, target, run, *, epoch):
        return self._answer('stop', self.stops.pop(0) if self.stops else None)

    def pace_run(self, target, run, *, percent, epoch):
        raise errors.PeerError('not used', step='pace')

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        return self._answer('hold', self.hold_error or build_listing())

    def _answer(self, call, answer):
        self.calls.append(call)
        self.before_answer.get(call, lambda: None)()
        if isinstance(answer, Exception):
            raise answer
        return answer

    def close(self):
        pass


class ScriptedGateway:
    """Leader that records reports.

    Attributes:
        reports: The reports received.
        error: Raised instead of a reply, unless None.
    """

    def __init__(self):
        self.reports = []
        self.error = None

    def send(self, request, *, timeout, step):
        self.reports.append(request)
        if self.error is not None:
            raise self.error
        return message.ReportReply()


def build_listing(clock_ms=1000, running=()):
    return server_client.Listing(
        clock_ms=clock_ms,
        born_ms=1,
        running=[message.Running(ref) for ref in running],
        ends=[],
    )


def build_announcement(*, born_ms):
    return server_client.Announcement(
        state=message.ServerState(id='s', born_ms=born_ms, pool='p'),
        address='127.0.0.1:1',
        sequence=1,
    )


class OneOrderTest(testtools.TestCase):
    """An agent without threads, in a session with one start order.

    Attributes:
        options: The ``Options`` of the agent.
    """

    options = options.Options()

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.client, self.gateway = ScriptedClient(), ScriptedGateway()
        self.agent = agent.WorkflowAgent(
            name='a',
            gateway=self.gateway,
            client=self.client,
            clock=self.clock,
            options=self.options,
        )
        self.supervisor = self.agent._supervisor
        self.order = message.Order(message.OrderKind.START, build_ref(0))
        self.announce(born_ms=1)
        self.agent._find_server()
        self.client.calls.clear()
        self.target = self.supervisor.target
        self.poll(epoch=1)

    def announce(self, *, born_ms):
        self.agent.handle_announcement(build_announcement(born_ms=born_ms))

    def poll(self, *, epoch):
        now = self.clock.monotonic()
        reply = message.PollReply(
            key=f's@{self.supervisor.target.state.born_ms}',
            epoch=epoch,
            lease_ms=5000,
            feed=f'f{epoch}',
            last=1,
            orders=[self.order],
        )
        self.supervisor.handle_poll_reply(reply, now, now)
        self.list(epoch=epoch)

    def list(self, *, epoch=1, clock_ms=1000):
        now = self.clock.monotonic()
        return self.supervisor.handle_listing(
            build_listing(clock_ms), epoch, now, now
        )

    def start(self):
        self.agent._start_run(self.target, 1, self.order)

    def list_rejected(self, *, epoch=1):
        self.clock.advance(clocks.seconds(0.1))
        report = self.list(epoch=epoch, clock_ms=1100)
        return [end.run for end in report.ends]


class UnknownStartTest(OneOrderTest):
    """A start without an answer may be carried out after the next listing.

    If the run was reported as rejected then, its task would run twice.
    """

    lost = errors.PeerError('no answer', step='start')

    def check_stopped(self, answer):
        self.client.starts = [self.lost, answer]
        self.start()
        self.assertEqual(['start', 'start', 'stop'], self.client.calls)
        self.assertEqual([self.order.run], self.list_rejected())

    def test_start_answered_busy_after_a_lost_one_is_stopped(self):
        self.check_stopped(StartResult.BUSY)

    def test_start_rejected_after_a_lost_one_is_stopped(self):
        self.check_stopped(StartResult.REJECTED)

    def test_start_refused_after_a_lost_one_is_stopped(self):
        self.check_stopped(errors.GoneError('refused', step='start'))

    def test_start_only_answered_busy_needs_no_stop(self):
        self.client.starts = [StartResult.BUSY]
        self.start()
        self.assertEqual(['start'], self.client.calls)
        self.assertEqual([self.order.run], self.list_rejected())


class UnansweredStopTest(OneOrderTest):
    """Only a stop that the server has answered rules a start out."""

    def stop(self):
        self.agent._stop_run(self.target, 1, self.order)

    def test_refused_connection_is_no_answer_to_a_stop(self):
        self.client.stops = [errors.GoneError('refused', step='stop')]
        self.stop()
        self.assertEqual(['stop', 'stop'], self.client.calls)

    def test_stop_of_a_former_incarnation_ends_with_it(self):
        self.client.stops = [errors.GoneError('refused', step='stop')]
        self.client.before_answer['stop'] = lambda: self.agent._report_lapse(
            self.target, 'another incarnation answered'
        )
        self.stop()
        self.assertEqual(['stop'], self.client.calls)

    def test_announcement_of_another_incarnation_is_no_answer_to_a_stop(self):
        self.client.stops = [errors.PeerError('no answer', step='stop')]
        self.client.before_answer['stop'] = lambda: self.announce(born_ms=2)
        self.stop()
        self.assertEqual(['stop', 'stop'], self.client.calls)


class RefusedStopTest(OneOrderTest):
    # Guards against a run that is at work while taken for rejected.
    def test_refused_stop_does_not_rule_out_an_unanswered_start(self):
        lost = errors.PeerError('no answer', step='start')
        self.client.starts = [lost] * agent.START_ATTEMPTS
        self.client.stops = [errors.RefusedError('HTTP status', step='stop')]
        self.start()
        rejected = self.list_rejected()
        is_repeated = self.client.calls.count('stop') > 1
        self.assertTrue(is_repeated or not rejected)


class OutdatedOrderTest(OneOrderTest):
    """An order's outcome must not be applied to a later session's order.

    The later session may still start the run. If it was reported as rejected
    as well, its task would run twice.
    """

    def begin_session(self):
        self.supervisor.reset_session()
        self.poll(epoch=2)

    def test_stop_of_a_former_session_rejects_no_later_order(self):
        self.client.before_answer['stop'] = self.begin_session
        self.agent._stop_run(self.target, 1, self.order)
        self.assertEqual([], self.list_rejected(epoch=2))

    def test_start_of_a_former_session_rejects_no_later_order(self):
        self.client.starts = [StartResult.BUSY]
        self.client.before_answer['start'] = self.begin_session
        self.start()
        self.assertEqual([], self.list_rejected(epoch=2))


class LapseReportTest(OneOrderTest):
    """A report that all runs have lapsed makes the leader end them all.

    If the runs go on, their tasks run twice.
    """

    gone = errors.GoneError('refused', step='hold')
    unanswered = errors.UnavailableError('no answer', step='report')

    def list_lapsed(self):
        return [row.key for row in self.gateway.reports if row.lapsed]

    def renew(self, hold_error=None):
        self.client.hold_error = hold_error
        self.agent._renew_lease()

    def test_lapse_of_the_incarnation_is_reported(self):
        self.renew(self.gone)
        self.assertEqual(['s@1'], self.list_lapsed())

    def test_listing_of_another_incarnation_proves_the_end(self):
        """Guards against a lease that the next server is kept from losing."""
        self.renew()
        listing = build_listing()
        listing.born_ms = 2
        self.renew(listing)
        self.assertEqual(['s@1'], self.list_lapsed())
        self.assertEqual(0, self.supervisor.epoch)

    def test_next_incarnation_is_not_reported_as_lapsed(self):
        def begin_incarnation():
            self.supervisor.follow(build_announcement(born_ms=2))
            self.poll(epoch=2)

        self.client.before_answer['hold'] = begin_incarnation
        self.renew(self.gone)
        self.assertEqual([], self.list_lapsed())
        self.assertEqual(2, self.supervisor.epoch)

    def test_session_ends_before_its_lapse_is_reported(self):
        # The leader may receive the report, or act on it, at any later time.
        self.gateway.error = self.unanswered
        self.renew(self.gone)
        self.assertEqual(['s@1'], self.list_lapsed())
        self.assertEqual(0, self.supervisor.epoch)

    def test_unanswered_report_is_repeated_for_the_ended_session(self):
        self.gateway.error = self.unanswered
        self.renew(self.gone)
        self.gateway.error = None
        self.renew(self.gone)
        self.renew(self.gone)
        self.assertEqual(['s@1', 's@1'], self.list_lapsed())
        self.assertEqual([1, 1], [row.epoch for row in self.gateway.reports])

    def test_report_is_not_repeated_in_a_later_session(self):
        self.gateway.error = self.unanswered
        self.renew(self.gone)
        self.poll(epoch=2)
        self.renew(errors.PeerError('no answer', step='hold'))
        self.assertEqual(['s@1'], self.list_lapsed())

    def test_fenced_report_is_not_repeated(self):
        self.gateway.error = errors.FencedError('closed', step='report')
        self.renew(self.gone)
        self.renew(self.gone)
        self.assertEqual(['s@1'], self.list_lapsed())


class DepartureTest(LapseReportTest):
    """Guards against runs taken for ended while their server lingers.

    A server that leaves as planned may close its listener while it still
    runs tasks. If they are started elsewhere as well, they run twice.
    """

    refused = errors.NotListeningError('refused', step='hold')

    def leave(self):
        self.agent.handle_announcement(
            server_client.Announcement(
                state=message.ServerState(
                    id='s', born_ms=1, pool='p', draining=True
                ),
                address='127.0.0.1:1',
                sequence=9,
            )
        )

    def renew_for(self, seconds):
        """Renew as the agent does, while the leader answers its polls."""
        for _ in range(int(seconds / 0.1)):
            if self.list_lapsed():
                return
            self.poll(epoch=1)
            self.renew(self.refused)
            self.clock.advance(clocks.seconds(0.1))

    def test_server_that_stays_and_refuses_lapses_as_crashed(self):
        # The agent may not have received that the server leaves.
        self.renew()
        self.renew_for(4)
        self.assertEqual([], self.list_lapsed())
        self.renew_for(3)
        self.assertEqual(['s@1'], self.list_lapsed())
        self.assertTrue(self.gateway.reports[-1].crashed)

    def test_refusal_of_a_server_that_leaves_proves_no_end(self):
        self.leave()
        self.renew_for(3)
        self.assertEqual([], self.list_lapsed())
        self.assertEqual(1, self.supervisor.epoch)

    def test_server_that_leaves_and_refuses_lapses(self):
        self.leave()
        self.renew()
        self.renew_for(3)
        self.assertEqual([], self.list_lapsed())
        self.renew_for(4)
        self.assertEqual(['s@1'], self.list_lapsed())
        self.assertFalse(self.gateway.reports[-1].crashed)

    def check_deregistration(self, born_ms):
        self.renew()
        self.agent.handle_deregistration('s', born_ms)
        self.renew_for(4)
        self.assertEqual([], self.list_lapsed())
        self.renew_for(3)
        self.assertEqual(['s@1'], self.list_lapsed())
        self.assertFalse(self.gateway.reports[-1].crashed)

    def test_refusal_after_the_deregistration_proves_no_end(self):
        self.leave()
        self.check_deregistration(born_ms=1)

    def test_deregistration_may_lack_the_start(self):
        self.check_deregistration(born_ms=0)

    def test_deregistration_of_another_server_proves_nothing(self):
        self.renew()
        self.agent.handle_deregistration('other', 0)
        self.agent.handle_deregistration('s', 2)
        self.renew_for(4)
        self.assertEqual([], self.list_lapsed())
        self.renew_for(3)
        self.assertTrue(self.gateway.reports[-1].crashed)

    def test_another_incarnation_proves_the_end(self):
        self.leave()
        self.renew(self.gone)
        self.assertEqual(['s@1'], self.list_lapsed())
