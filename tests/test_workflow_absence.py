"""A run that a listing lacks has ended only if the server says so.

Guards against tasks that run twice: a run that is at work, or whose end is
still to come, is reported as rejected, and its task starts elsewhere.
"""

import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.platform import workers
from bilberryhaven.workflow import order_calls
from bilberryhaven.workflow import server_client
from tests import test_workflow_agent

BORN_MS = 1
STEP = clocks.seconds(0.1)
BUSY = server_client.StartResult.BUSY
TASK = 'w0.0.0.0'
MAX_ENDS = server_client.MAX_ENDS


def build_ends(count, *, first=1):
    """Return rows of ends of other runs."""
    return [
        [number, f'other{number}.0.0.0', 1, 'done', '']
        for number in range(first, first + count)
    ]


class ListingClient(test_workflow_agent.ScriptedClient):
    """Server whose lists are decoded as those of a worker.

    Attributes:
        lists: Fields of its next answer that differ from an empty list's.
    """

    def __init__(self):
        super().__init__()
        self.lists = {}
        self.clock_ms = 1000

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        lists = dict(self.lists)
        self._answer('hold', self.hold_error)
        self.clock_ms += 1
        fields = {'clock_ms': self.clock_ms, 'born': BORN_MS, **lists}
        body = msgspec.json.encode(
            {key: value for key, value in fields.items() if value is not None}
        )
        return workers.decode_lists(body, acked=acked)


class AbsenceTest(test_workflow_agent.OneOrderTest):
    """An agent without threads whose server has answered a stop."""

    def setUp(self):
        super().setUp()
        self.client = self.agent._client = ListingClient()

    def stop(self, *, epoch=1):
        self.clock.advance(STEP)
        self.agent._stop_run(self.target, epoch, self.order)

    def refuse_start(self):
        self.clock.advance(STEP)
        self.client.starts = [BUSY]
        self.start()

    def hold(self, **lists):
        """Take a listing; return how the run ended by the reports on it."""
        self.clock.advance(STEP)
        self.gateway.reports.clear()
        self.client.lists = lists
        self.agent._renew_lease()
        return [
            end.how
            for report in self.gateway.reports
            for end in report.ends
            if end.run == self.order.run
        ]


class ListedTest(AbsenceTest):
    """Lists that don't prove that the run will never be there."""

    def check(self, *expected, **lists):
        self.stop()
        self.assertEqual(list(expected), self.hold(**lists))
        # It is known at the next listing that is whole.
        if not expected:
            self.assertEqual(['rejected'], self.hold())

    def test_absent_run_is_rejected(self):
        self.check('rejected')

    def test_absent_run_is_rejected_beside_others(self):
        self.check(
            'rejected',
            running=[['w1.0.0.0', 1]],
            finished=build_ends(MAX_ENDS - 1),
        )

    def test_running_run(self):
        self.check(running=[[TASK, 1, '', 50, 0]])

    def test_running_run_with_an_odd_value(self):
        self.check(running=[[TASK, 1, 7, 'half', None]])

    def test_other_run_of_its_task_is_another_run(self):
        self.check('rejected', running=[[TASK, 2]])

    def test_done_in_the_same_listing(self):
        self.check('done', finished=[[1, TASK, 1, 'done', '']])

    def test_stopped_in_the_same_listing(self):
        self.check('stopped', finished=[[1, TASK, 1, 'stopped', 'half']])

    def test_end_last_in_a_full_listing(self):
        ends = [*build_ends(MAX_ENDS - 1), [MAX_ENDS, TASK, 1, 'done', '']]
        self.check('done', finished=ends)

    def test_listing_cut_at_its_limit(self):
        self.check(finished=build_ends(MAX_ENDS))

    def test_listing_cut_at_its_limit_with_an_odd_row(self):
        """The rows that were left out count for the limit, too."""
        ends = build_ends(MAX_ENDS)
        ends[7][3] = 7
        self.check(finished=ends)

    def check_odd_end(self, *row):
        """The run isn't absent: it has ended, in whatever way."""
        self.stop()
        self.assertNotIn('rejected', self.hold(finished=[row]))

    def test_own_end_with_an_odd_checkpoint(self):
        self.check_odd_end(1, TASK, 1, 'done', 7)

    def test_own_end_with_an_odd_outcome(self):
        self.check_odd_end(1, TASK, 1, None, '')

    def test_own_end_with_an_odd_number(self):
        self.check_odd_end(10**9, TASK, 1, 'done', '')

    def test_listing_of_another_incarnation(self):
        """It ends all runs, whatever it lacks; none of them is rejected."""
        self.stop()
        self.assertEqual([], self.hold(born=BORN_MS + 1))
        self.assertEqual(
            [True], [report.lapsed for report in self.gateway.reports]
        )
        self.assertEqual([], self.hold())

    def test_listing_that_does_not_name_its_incarnation(self):
        self.check(born=None)


class UnnamingServerTest(AbsenceTest):
    """A server that names its incarnation in no listing.

    Guards against refused starts that are never reported as rejected.
    """

    def list(self, *, epoch=1, clock_ms=1000):
        now = self.clock.monotonic()
        listing = test_workflow_agent.build_listing(clock_ms)
        listing.born_ms = 0
        return self.supervisor.handle_listing(listing, epoch, now, now)

    def test_absent_run_is_rejected(self):
        self.stop()
        self.assertEqual(['rejected'], self.hold(born=None))


class UnnamedTargetTest(AbsenceTest):
    """The heartbeat lacks the start that the listing names."""

    def announce(self, *, born_ms):
        self.supervisor.follow(
            test_workflow_agent.build_announcement(born_ms=0)
        )

    def test_listing_that_names_an_incarnation(self):
        self.stop()
        self.assertEqual([], self.hold())


class OvertakingTest(AbsenceTest):
    """A listing arrives after answers that were given after it."""

    def check_proves_nothing(self, answer):
        self.client.before_answer['hold'] = answer
        self.assertEqual([], self.hold())
        self.client.before_answer.clear()
        self.assertEqual(['rejected'], self.hold())

    def test_requested_before_the_answer_to_the_stop(self):
        self.check_proves_nothing(self.stop)

    def test_requested_before_the_answer_to_the_start(self):
        self.check_proves_nothing(self.refuse_start)

    def test_requested_between_a_refused_start_and_a_stop(self):
        self.refuse_start()
        self.check_proves_nothing(self.stop)

    def test_requested_before_a_stop_that_is_answered_late(self):
        def answer():
            self.client.stops = [errors.PeerError('lost', step='stop')] * 2
            self.stop()

        self.check_proves_nothing(answer)

    def test_requested_while_a_start_may_still_be_executed(self):
        def lose_start():
            self.client.starts = [errors.PeerError('lost', step='start')] * 3
            self.clock.advance(STEP)
            calls = order_calls.OrderCalls(began_at=self.clock.monotonic())
            phase, _ = self.agent._try_start(self.target, 1, self.order, calls)
            self.assertIsNone(phase)

        lose_start()
        self.assertEqual([], self.hold())
        self.check_proves_nothing(self.stop)

    def test_requested_in_a_former_session(self):
        def begin_session():
            self.supervisor.reset_session()
            self.poll(epoch=2)
            self.stop(epoch=2)

        self.client.before_answer['hold'] = begin_session
        self.assertEqual([], self.hold())
        self.client.before_answer.clear()
        self.assertEqual(['rejected'], self.hold())

    def test_started_run_is_rejected_by_no_listing(self):
        """It ends with the end that the server lists, or with its lease."""
        self.client.starts = [server_client.StartResult.STARTED]
        self.start()
        self.assertEqual([], self.hold(running=[[TASK, 1]]))
        self.assertEqual([], self.hold())


class StoppingAgentTest(AbsenceTest):
    """An agent that stops gives up asking, which is no answer to a stop.

    It may request one more listing, and a start without an answer may be
    executed after that.
    """

    lost = errors.PeerError('no answer', step='call')

    def test_stop_without_an_answer_proves_nothing(self):
        self.client.stops = [self.lost]
        self.client.before_answer['stop'] = self.agent.stop
        self.stop()
        self.assertEqual(['stop'], self.client.calls)
        self.assertEqual([], self.hold())

    def test_start_of_unknown_outcome_is_not_rejected(self):
        self.client.starts = [self.lost] * 3
        self.client.before_answer['start'] = self.agent.stop
        self.start()
        self.assertEqual([], self.hold())

    def test_start_after_a_lost_one_is_not_rejected(self):
        self.client.starts = [self.lost, BUSY]
        self.client.before_answer['start'] = self.agent.stop
        self.start()
        self.assertEqual([], self.hold())
