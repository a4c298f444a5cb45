"""Tests of ``RunSupervisor``: leases, restarts, lapses and orders."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import message
from bilberryhaven.workflow import server_client
from bilberryhaven.workflow import supervision

START = message.OrderKind.START
STOP = message.OrderKind.STOP
RunPhase = supervision.RunPhase
MARGIN = clocks.seconds(0.5)


def build_ref(number=1, task='0.0.0'):
    return workflow_commands.RunRef('w', task, number)


def build_announcement(
    *,
    born_ms=1,
    sequence=1,
    server_id='s',
    draining=False,
    cpu=0,
    memory_mb=0,
    gpu=0,
):
    return server_client.Announcement(
        state=message.ServerState(
            id=server_id,
            born_ms=born_ms,
            pool='desk',
            draining=draining,
            cpu=cpu,
            memory_mb=memory_mb,
            gpu=gpu,
        ),
        address='127.0.0.1:1',
        sequence=sequence,
    )


def build_listing(clock_ms=1000, running=(), ends=()):
    return server_client.Listing(
        clock_ms=clock_ms,
        born_ms=1,
        running=[message.Running(ref) for ref in running],
        ends=list(ends),
        is_whole=len(ends) < server_client.MAX_ENDS,
    )


class RunSupervisorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.supervisor = supervision.RunSupervisor(agent='i')
        self.supervisor.follow(build_announcement())

    def now(self):
        return self.clock.monotonic()

    def poll(self, *orders, epoch=7, last=None, feed='f'):
        reply = message.PollReply(
            key='s@1',
            epoch=epoch,
            lease_ms=5000,
            feed=feed,
            last=len(orders) if last is None else last,
            orders=list(orders),
        )
        return self.supervisor.handle_poll_reply(reply, self.now(), self.now())

    def list(self, **fields):
        return self.supervisor.handle_listing(
            build_listing(**fields),
            self.supervisor.epoch,
            self.now(),
            self.now(),
        )


class AgentTakeoverTest(RunSupervisorTest):
    """A new agent does not know until when its predecessor's lease lasts.

    If it counted an end from before a lapse that it did not see, a task that
    the leader has restarted elsewhere could complete twice.
    """

    done = workflow_commands.RunEnd(1, build_ref(), 'done')

    def take_over(self, *, deadline_ms, doubt_ms):
        reply = message.PollReply(
            key='s@1',
            epoch=8,
            lease_ms=5000,
            feed='f',
            last=0,
            former_deadline_ms=deadline_ms,
            doubt_ms=doubt_ms,
        )
        self.supervisor.handle_poll_reply(reply, self.now(), self.now())

    def list_done(self, clock_ms, running=()):
        return self.list(clock_ms=clock_ms, ends=[self.done], running=running)

    def test_ends_before_the_known_deadline_count(self):
        self.take_over(deadline_ms=4000, doubt_ms=2000)
        report = self.list_done(3000)
        self.assertEqual([self.done], report.ends)
        self.assertIsNotNone(self.supervisor.grant_deadline(self.now()))

    def test_lapse_after_the_takeover_is_detected(self):
        self.take_over(deadline_ms=4000, doubt_ms=2000)
        self.list(clock_ms=3000)
        self.clock.advance(clocks.seconds(1))
        self.assertEqual([], self.list_done(4000).ends)
        self.clock.advance(clocks.seconds(1))
        report = self.list_done(5000)
        self.assertEqual(['lapsed'], [end.how for end in report.ends])

    def test_end_after_the_known_deadline_may_be_within_the_lease(self):
        # The predecessor had granted a later deadline than the leader knows.
        # A voided end's task is started again, and its end acknowledged.
        self.take_over(deadline_ms=4000, doubt_ms=2000)
        self.list(clock_ms=3990)
        self.clock.advance(clocks.seconds(0.05))
        self.assertIsNone(self.supervisor.grant_deadline(self.now()))
        report = self.list_done(4040)
        self.assertEqual(([], 0), (report.ends, report.upto))
        self.assertIsNone(self.supervisor.grant_deadline(self.now()))

    def test_renewal_before_the_known_deadline_ends_the_doubt(self):
        self.take_over(deadline_ms=4000, doubt_ms=2000)
        self.list(clock_ms=3000)
        self.assertEqual(8000, self.supervisor.grant_deadline(self.now()))
        self.clock.advance(clocks.seconds(1.1))
        self.assertEqual([self.done], self.list_done(4100).ends)

    def grant_less_than_predecessor(self):
        """Grant a deadline on a listing that was read late, then freeze.

        The predecessor's last one, 7950, was never reported.
        """
        self.clock.advance(clocks.seconds(0.8))
        self.list(clock_ms=3100)
        self.assertEqual(7300, self.supervisor.grant_deadline(self.now()))
        self.clock.advance(clocks.seconds(3.7))

    def test_own_deadline_passes_within_the_predecessors_lease(self):
        """Guards against a task started again after its noted end."""
        self.take_over(deadline_ms=7000, doubt_ms=5600)
        self.grant_less_than_predecessor()
        report = self.list_done(7500)
        self.assertEqual(([], 0), (report.ends, report.upto))
        self.assertIsNone(self.supervisor.grant_deadline(self.now()))
        self.clock.advance(clocks.seconds(1.2))
        self.poll(epoch=8)
        report = self.list_done(8700)
        self.assertEqual(['lapsed'], [end.how for end in report.ends])
        self.assertIsNotNone(self.supervisor.grant_deadline(self.now()))

    def test_own_deadline_passes_within_a_lease_of_unknown_length(self):
        """Guards against a task started again after its noted end."""
        self.take_over(deadline_ms=0, doubt_ms=5600)
        self.grant_less_than_predecessor()
        report = self.list_done(7500, running=[build_ref(2)])
        self.assertEqual([self.done], report.ends)

    def test_nothing_is_granted_or_reported_while_a_lapse_is_uncertain(self):
        self.take_over(deadline_ms=4000, doubt_ms=2000)
        report = self.list_done(4500, running=[build_ref(2)])
        self.assertEqual(([], 0), (report.ends, report.upto))
        self.assertIsNone(self.supervisor.grant_deadline(self.now()))
        self.assertNotEqual(
            self.supervisor.epoch, self.supervisor.listed_epoch
        )

    def test_ends_are_void_once_the_lapse_is_certain(self):
        self.take_over(deadline_ms=4000, doubt_ms=2000)
        self.list_done(4500)
        self.clock.advance(clocks.seconds(2))
        report = self.list_done(6500)
        self.assertEqual(['lapsed'], [end.how for end in report.ends])
        self.assertIsNotNone(self.supervisor.grant_deadline(self.now()))

    def test_no_wait_without_ends_to_void(self):
        self.take_over(deadline_ms=4000, doubt_ms=2000)
        self.assertTrue(self.list(clock_ms=4500).listed)

    def test_after_a_leader_change_a_present_run_proves_the_lease(self):
        self.take_over(deadline_ms=0, doubt_ms=2000)
        report = self.list_done(4500, running=[build_ref(2)])
        self.assertEqual([self.done], report.ends)


class LeaseTest(RunSupervisorTest):
    def test_no_deadline_before_the_servers_clock_is_known(self):
        self.poll()
        self.assertIsNone(self.supervisor.grant_deadline(self.now()))

    def test_deadline_counts_from_the_sending_of_the_poll(self):
        self.poll()
        self.clock.advance(clocks.seconds(1))
        self.list(clock_ms=9000)
        self.assertEqual(13_000, self.supervisor.grant_deadline(self.now()))

    def test_no_deadline_after_the_lease(self):
        self.poll()
        self.list()
        self.clock.advance(clocks.seconds(5))
        self.assertIsNone(self.supervisor.grant_deadline(self.now()))

    def test_silent_server_has_lapsed_only_after_drift_and_margin(self):
        self.poll()
        self.list()
        self.supervisor.grant_deadline(self.now())
        self.clock.advance(clocks.seconds(5.55))
        self.assertFalse(self.supervisor.has_lapsed(self.now(), MARGIN))
        self.clock.advance(clocks.seconds(0.1))
        self.assertTrue(self.supervisor.has_lapsed(self.now(), MARGIN))


class LapseTest(RunSupervisorTest):
    """An end counts only if the lease held until it was acknowledged."""

    def test_end_before_a_lapse_is_void(self):
        self.poll()
        self.list(clock_ms=1000)
        self.supervisor.grant_deadline(self.now())
        self.clock.advance(clocks.seconds(8))
        end = workflow_commands.RunEnd(1, build_ref(), 'done')
        report = self.list(clock_ms=9000, ends=[end])
        self.assertEqual(['lapsed'], [item.how for item in report.ends])

    def test_end_listed_before_a_lapsed_one_is_void(self):
        self.poll()
        ends = [
            workflow_commands.RunEnd(1, build_ref(), 'done'),
            workflow_commands.RunEnd(2, build_ref(task='0.0.1'), 'lapsed'),
            workflow_commands.RunEnd(3, build_ref(task='0.0.2'), 'done'),
        ]
        report = self.list(ends=ends)
        self.assertEqual(
            ['lapsed', 'lapsed', 'done'], [end.how for end in report.ends]
        )

    def test_renewal_does_not_hide_a_lapse(self):
        # The end was listed during a network partition and can only be
        # reported after it.
        self.poll()
        self.list(clock_ms=1000)
        self.supervisor.grant_deadline(self.now())
        self.clock.advance(clocks.seconds(5.2))
        end = workflow_commands.RunEnd(1, build_ref(), 'done')
        self.poll(last=0)
        self.assertIsNone(self.supervisor.grant_deadline(self.now()))
        self.list(clock_ms=6200, ends=[end])
        self.assertEqual(11_200, self.supervisor.grant_deadline(self.now()))
        report = self.list(clock_ms=6300, ends=[end])
        self.assertEqual(['lapsed'], [item.how for item in report.ends])

    def test_end_within_the_lease_counts(self):
        self.poll()
        end = workflow_commands.RunEnd(1, build_ref(), 'done')
        report = self.list(ends=[end])
        self.assertEqual(['done'], [item.how for item in report.ends])
        self.assertEqual(1, report.upto)


class OrderTest(RunSupervisorTest):
    def test_order_is_returned_once(self):
        order = message.Order(START, build_ref())
        self.assertEqual([order], self.poll(order))
        self.assertEqual([], self.poll(order))

    def test_run_of_an_earlier_agent_is_not_started_again(self):
        # A restarted agent lists the server before it executes orders.
        self.poll()
        self.list(running=[build_ref()])
        order = message.Order(START, build_ref())
        self.assertEqual([], self.poll(order))
        self.assertEqual(
            RunPhase.STARTED, self.supervisor.runs[build_ref()].phase
        )

    def test_listings_under_an_older_epoch_do_not_count(self):
        self.supervisor.handle_listing(
            build_listing(), 0, self.now(), self.now()
        )
        self.poll()
        self.assertNotEqual(
            self.supervisor.epoch, self.supervisor.listed_epoch
        )

    def test_draining_server_is_given_no_start(self):
        self.poll(message.Order(START, build_ref()))
        self.assertTrue(self.supervisor.may_start(build_ref()))
        announcement = build_announcement(sequence=2, draining=True)
        self.supervisor.handle_announcement(announcement)
        self.assertFalse(self.supervisor.may_start(build_ref()))

    def test_start_is_not_sent_after_its_stop_was_ordered(self):
        self.poll(message.Order(START, build_ref()))
        stop = message.Order(STOP, build_ref())
        self.assertEqual([stop], self.poll(stop, last=2))
        self.assertFalse(self.supervisor.may_start(build_ref()))


class LateOrderTest(RunSupervisorTest):
    """A poll's reply may arrive after the reply to a later report."""

    start = message.Order(START, build_ref())

    def test_run_reported_as_rejected_is_never_started(self):
        """Its task may have been started elsewhere and would run twice."""
        self.reject()
        # A new leader had repeated the order before it recorded the end.
        self.assertEqual([], self.poll(self.start, feed='g'))

    def test_rejection_acknowledged_during_a_poll_is_remembered(self):
        """Guards against forgetting it with the reply to that poll."""
        self.supervisor.build_poll()
        self.reject()
        self.assertEqual([], self.poll(self.start, feed='g'))

    def test_rejections_are_forgotten_after_the_next_poll(self):
        """Guards against a set that grows as long as the session lasts."""
        self.reject()
        self.supervisor.build_poll()
        self.poll(feed='g')
        self.assertEqual(set(), self.supervisor._rejected)

    def reject(self):
        self.poll(self.start)
        self.list()
        # The start was answered as busy: the server doesn't know the run.
        self.supervisor.set_phase(build_ref(), RunPhase.DOUBTFUL, self.now())
        self.clock.advance(clocks.seconds(0.1))
        report = self.list(clock_ms=1100)
        self.assertEqual([build_ref()], [end.run for end in report.ends])
        self.supervisor.handle_report_reply(report, message.ReportReply())


class ReopenedServerTest(RunSupervisorTest):
    """The leader registers the agent anew after it has closed the server."""

    def test_order_of_the_former_session_takes_no_capacity(self):
        """Its outcome is dropped, so that it would take capacity for ever."""
        self.supervisor.handle_announcement(
            build_announcement(sequence=2, cpu=1000)
        )
        former, later = build_ref(1), build_ref(2)
        self.poll(message.Order(START, former, cpu=1000))
        self.poll(message.Order(START, later, cpu=1000), epoch=8, feed='g')
        self.list()
        self.assertTrue(self.supervisor.fits(later))


class DoubtfulRunTest(RunSupervisorTest):
    def setUp(self):
        super().setUp()
        self.poll(message.Order(START, build_ref()))
        self.list()
        self.clock.advance(clocks.seconds(1))
        self.supervisor.set_phase(build_ref(), RunPhase.DOUBTFUL, self.now())

    def list_rejected(self, report):
        return [end.run for end in report.ends if end.how == 'rejected']

    def test_listing_from_before_the_stop_proves_nothing(self):
        before = self.now() - clocks.seconds(0.5)
        report = self.supervisor.handle_listing(
            build_listing(), 7, before, self.now()
        )
        self.assertEqual([], self.list_rejected(report))

    def test_absence_after_the_stop_is_reported(self):
        report = self.list()
        self.assertEqual([build_ref()], self.list_rejected(report))
        self.supervisor.handle_report_reply(
            report, message.ReportReply(acked=0)
        )
        self.assertEqual([], self.list_rejected(self.list()))

    def test_full_listing_proves_no_absence(self):
        # The server lists at most 500 ends; the run's may be a later one. If
        # it was done, the task would be started again after that.
        ends = [
            workflow_commands.RunEnd(number, build_ref(number + 1), 'done')
            for number in range(1, 501)
        ]
        self.assertEqual([], self.list_rejected(self.list(ends=ends)))
        report = self.list(ends=ends[1:])
        self.assertEqual([build_ref()], self.list_rejected(report))

    def test_listed_run_is_not_reported_as_rejected(self):
        report = self.list(running=[build_ref()])
        self.assertEqual([], self.list_rejected(report))
        end = workflow_commands.RunEnd(4, build_ref(), 'stopped')
        report = self.list(ends=[end])
        self.assertEqual([], self.list_rejected(report))


class IncarnationTest(RunSupervisorTest):
    def test_heartbeat_of_another_incarnation_changes_nothing(self):
        """Guards against runs that are taken for ended on its word."""
        self.poll(message.Order(START, build_ref()))
        for born_ms in (0, 5):
            announcement = build_announcement(born_ms=born_ms, sequence=99)
            self.assertFalse(self.supervisor.handle_announcement(announcement))
            self.assertEqual(1, self.supervisor.target.state.born_ms)
            self.assertEqual(1, self.supervisor.target.sequence)
            self.assertEqual(7, self.supervisor.epoch)
            self.assertIn(build_ref(), self.supervisor.runs)

    def test_new_incarnation_with_the_same_id_resets_the_state(self):
        self.poll(message.Order(START, build_ref()))
        self.supervisor.follow(build_announcement(born_ms=5, sequence=1))
        self.assertEqual(5, self.supervisor.target.state.born_ms)
        self.assertEqual(0, self.supervisor.epoch)
        self.assertEqual({}, self.supervisor.runs)

    def test_older_sequence_is_ignored(self):
        announcement = build_announcement(sequence=5, draining=True)
        self.supervisor.handle_announcement(announcement)
        self.supervisor.handle_announcement(build_announcement(sequence=4))
        self.assertTrue(self.supervisor.draining)


class ChangedCapacityTest(RunSupervisorTest):
    def test_shares_of_runs_follow_the_capacity(self):
        """Guards against pacing by the capacity at the time of the order."""
        self.supervisor.handle_announcement(
            build_announcement(sequence=2, cpu=20_000)
        )
        order = message.Order(
            START, build_ref(), best_effort=True, image='f', cpu=2_000
        )
        self.poll(order)
        self.supervisor.handle_announcement(
            build_announcement(sequence=3, cpu=10_000)
        )
        pace = self.supervisor._pacer._paces[build_ref()]
        self.assertEqual(2, pace.tenths)

    def test_gauge_is_reported_with_the_lower_of_two_paces(self):
        """Guards against taking a run that was throttled for a slow one."""
        ref = build_ref()
        self.poll(message.Order(START, ref, best_effort=True, image='f'))
        reported = []
        for percent in (20, 70, 70):
            self.supervisor.record_pace(ref, percent)
            report = self.list(running=[ref])
            reported.append(report.running[0].pace)
        self.assertEqual([20, 20, 70], reported)

    def test_poll_numbers_the_announced_capacity(self):
        self.supervisor.handle_announcement(
            build_announcement(sequence=5, cpu=10_000)
        )
        poll = self.supervisor.build_poll()
        self.assertEqual((5, 10_000), (poll.sequence, poll.server.cpu))


class ShrunkServerTest(RunSupervisorTest):
    """Orders that waited while the server shrank.

    Guards against starts that a leader planned, lost contact, and delivered
    after the server had announced less.
    """

    def announce(self, sequence, **fields):
        self.supervisor.handle_announcement(
            build_announcement(sequence=sequence, **fields)
        )

    def order(self, number, kind=START, **fields):
        return message.Order(kind, build_ref(number), **fields)

    def order_all(self, *orders, **fields):
        self.announce(2, cpu=4000, memory_mb=4000, gpu=4)
        self.poll(*orders)
        self.announce(3, **fields)

    def list_fitting(self, *numbers):
        return [
            number
            for number in numbers
            if self.supervisor.fits(build_ref(number))
        ]

    def test_earlier_orders_come_first(self):
        orders = [self.order(n, cpu=1000) for n in (1, 2, 3)]
        self.order_all(*orders, cpu=2000, memory_mb=4000, gpu=4)
        self.assertEqual([1, 2], self.list_fitting(1, 2, 3))

    def test_memory_and_gpu_limit_best_effort_runs_too(self):
        orders = [
            self.order(1, best_effort=True, cpu=9000, memory_mb=3000, gpu=1),
            self.order(2, best_effort=True, cpu=9000, memory_mb=2000),
            self.order(3, best_effort=True, cpu=9000, gpu=2),
        ]
        self.order_all(*orders, cpu=1000, memory_mb=4000, gpu=1)
        self.assertEqual([1], self.list_fitting(1, 2, 3))

    def test_listed_runs_and_runs_being_stopped_count(self):
        stop = self.order(1, STOP, cpu=1000)
        self.order_all(
            stop, self.order(2, cpu=1000), cpu=1500, memory_mb=9, gpu=0
        )
        self.list(running=[build_ref(1)])
        self.assertEqual([], self.list_fitting(2))
        self.clock.advance(clocks.seconds(1))
        self.list()
        self.assertEqual([2], self.list_fitting(2))

    def test_run_counts_from_its_start_until_a_listing_lacks_it(self):
        orders = [self.order(1, cpu=1000), self.order(2, cpu=1000)]
        self.order_all(*orders, cpu=1500)
        sent_at = self.now()
        self.clock.advance(clocks.seconds(1))
        self.supervisor.set_phase(build_ref(1), RunPhase.STARTED, self.now())
        self.supervisor.handle_listing(build_listing(), 7, sent_at, self.now())
        self.assertEqual([], self.list_fitting(2))
        self.clock.advance(clocks.seconds(1))
        self.list()
        self.assertEqual([2], self.list_fitting(2))


class ReportOrderTest(RunSupervisorTest):
    """The leader can't recognise a report that was held up."""

    def test_later_listings_have_higher_numbers(self):
        """Two listings of a session get the same number."""
        self.poll()
        first, second = self.list(), self.list(clock_ms=1100)
        self.assertLess(0, first.number)
        self.assertLess(first.number, second.number)
