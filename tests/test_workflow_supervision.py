"""An agent's rules: leases, restarts, lapses, doubtful orders, pacing."""

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


def build_told(*, born_ms=1, sequence=1, server_id='s', draining=False):
    return server_client.Announcement(
        state=message.ServerState(
            id=server_id, born_ms=born_ms, pool='desk', draining=draining
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
    )


class SupervisionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.rules = supervision.Supervision(agent='i')
        self.rules.handle_announcement(build_told())

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
        return self.rules.note_poll(reply, self.now(), self.now())

    def list(self, **fields):
        return self.rules.note_listing(
            build_listing(**fields), self.rules.epoch, self.now(), self.now()
        )


class SuccessionTest(SupervisionTest):
    """A new agent doesn't know what its predecessor kept alive."""

    done = workflow_commands.RunEnd(1, build_ref(), 'done')

    def inherit(self, *, deadline_ms, doubt_ms):
        reply = message.PollReply(
            key='s@1',
            epoch=8,
            lease_ms=5000,
            feed='f',
            last=0,
            former_deadline_ms=deadline_ms,
            doubt_ms=doubt_ms,
        )
        self.rules.note_poll(reply, self.now(), self.now())

    def list_done(self, clock_ms, running=()):
        return self.list(clock_ms=clock_ms, ends=[self.done], running=running)

    def test_ends_before_the_known_deadline_count(self):
        self.inherit(deadline_ms=4000, doubt_ms=2000)
        report = self.list_done(3000)
        self.assertEqual([self.done], report.ends)
        self.assertIsNotNone(self.rules.find_deadline(self.now()))

    def test_lapse_after_the_handover_is_seen(self):
        self.inherit(deadline_ms=4000, doubt_ms=2000)
        self.list(clock_ms=3000)
        report = self.list_done(4000)
        self.assertEqual(['lapsed'], [end.how for end in report.ends])

    def test_nothing_is_granted_or_told_while_a_lapse_is_uncertain(self):
        self.inherit(deadline_ms=4000, doubt_ms=2000)
        report = self.list_done(4500, running=[build_ref(2)])
        self.assertEqual(([], 0), (report.ends, report.upto))
        self.assertIsNone(self.rules.find_deadline(self.now()))
        self.assertNotEqual(self.rules.epoch, self.rules.listed_epoch)

    def test_ends_are_void_once_the_lapse_is_certain(self):
        self.inherit(deadline_ms=4000, doubt_ms=2000)
        self.list_done(4500)
        self.clock.advance(clocks.seconds(2))
        report = self.list_done(6500)
        self.assertEqual(['lapsed'], [end.how for end in report.ends])
        self.assertIsNotNone(self.rules.find_deadline(self.now()))

    def test_nothing_to_void_needs_no_wait(self):
        self.inherit(deadline_ms=4000, doubt_ms=2000)
        self.assertTrue(self.list(clock_ms=4500).listed)

    def test_after_a_change_of_leader_what_works_proves_the_lease(self):
        self.inherit(deadline_ms=0, doubt_ms=2000)
        report = self.list_done(4500, running=[build_ref(2)])
        self.assertEqual([self.done], report.ends)


class LeaseTest(SupervisionTest):
    def test_no_deadline_before_the_servers_clock_is_known(self):
        self.poll()
        self.assertIsNone(self.rules.find_deadline(self.now()))

    def test_deadline_counts_from_the_sending_of_the_poll(self):
        self.poll()
        self.clock.advance(clocks.seconds(1))
        self.list(clock_ms=9000)
        self.assertEqual(13_000, self.rules.find_deadline(self.now()))

    def test_no_deadline_after_the_lease(self):
        self.poll()
        self.list()
        self.clock.advance(clocks.seconds(5))
        self.assertIsNone(self.rules.find_deadline(self.now()))

    def test_silent_server_has_lapsed_only_after_drift_and_margin(self):
        self.poll()
        self.list()
        self.rules.find_deadline(self.now())
        self.clock.advance(clocks.seconds(5.55))
        self.assertFalse(self.rules.has_lapsed(self.now(), MARGIN))
        self.clock.advance(clocks.seconds(0.1))
        self.assertTrue(self.rules.has_lapsed(self.now(), MARGIN))


class LapseTest(SupervisionTest):
    """An end counts only if the lease has held until it was taken over."""

    def test_end_before_a_lapse_is_void(self):
        self.poll()
        self.list(clock_ms=1000)
        self.rules.find_deadline(self.now())
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
        # The end was listed during a cut and can be reported only after it.
        self.poll()
        self.list(clock_ms=1000)
        self.rules.find_deadline(self.now())
        self.clock.advance(clocks.seconds(5.2))
        end = workflow_commands.RunEnd(1, build_ref(), 'done')
        self.poll(last=0)
        self.assertIsNone(self.rules.find_deadline(self.now()))
        self.list(clock_ms=6200, ends=[end])
        self.assertEqual(11_200, self.rules.find_deadline(self.now()))
        report = self.list(clock_ms=6300, ends=[end])
        self.assertEqual(['lapsed'], [item.how for item in report.ends])

    def test_end_within_the_lease_counts(self):
        self.poll()
        end = workflow_commands.RunEnd(1, build_ref(), 'done')
        report = self.list(ends=[end])
        self.assertEqual(['done'], [item.how for item in report.ends])
        self.assertEqual(1, report.upto)


class OrderTest(SupervisionTest):
    def test_order_comes_once(self):
        order = message.Order(START, build_ref())
        self.assertEqual([order], self.poll(order))
        self.assertEqual([], self.poll(order))

    def test_run_of_an_earlier_agent_is_not_started_again(self):
        # A restarted agent lists the server before it carries out orders.
        self.poll()
        self.list(running=[build_ref()])
        order = message.Order(START, build_ref())
        self.assertEqual([], self.poll(order))
        self.assertEqual(RunPhase.STARTED, self.rules.runs[build_ref()].phase)

    def test_lists_under_an_older_epoch_do_not_count(self):
        self.rules.note_listing(build_listing(), 0, self.now(), self.now())
        self.poll()
        self.assertNotEqual(self.rules.epoch, self.rules.listed_epoch)

    def test_draining_server_is_given_no_start(self):
        self.poll(message.Order(START, build_ref()))
        self.assertTrue(self.rules.may_start(build_ref()))
        told = build_told(sequence=2, draining=True)
        self.rules.handle_announcement(told)
        self.assertFalse(self.rules.may_start(build_ref()))

    def test_start_is_not_sent_after_its_stop_was_ordered(self):
        self.poll(message.Order(START, build_ref()))
        stop = message.Order(STOP, build_ref())
        self.assertEqual([stop], self.poll(stop, last=2))
        self.assertFalse(self.rules.may_start(build_ref()))


class DoubtTest(SupervisionTest):
    def setUp(self):
        super().setUp()
        self.poll(message.Order(START, build_ref()))
        self.list()
        self.clock.advance(clocks.seconds(1))
        self.rules.set_phase(build_ref(), RunPhase.DOUBTFUL, self.now())

    def list_rejected(self, report):
        return [end.run for end in report.ends if end.how == 'rejected']

    def test_a_list_from_before_the_stop_proves_nothing(self):
        before = self.now() - clocks.seconds(0.5)
        report = self.rules.note_listing(
            build_listing(), 7, before, self.now()
        )
        self.assertEqual([], self.list_rejected(report))

    def test_absence_after_the_stop_is_reported(self):
        report = self.list()
        self.assertEqual([build_ref()], self.list_rejected(report))
        self.rules.note_reported(report, message.ReportReply(acked=0))
        self.assertEqual([], self.list_rejected(self.list()))

    def test_listed_run_is_not_reported_as_rejected(self):
        report = self.list(running=[build_ref()])
        self.assertEqual([], self.list_rejected(report))
        end = workflow_commands.RunEnd(4, build_ref(), 'stopped')
        report = self.list(ends=[end])
        self.assertEqual([], self.list_rejected(report))


class LifeTest(SupervisionTest):
    def test_late_heartbeat_of_an_earlier_life_is_ignored(self):
        self.rules.handle_announcement(build_told(born_ms=5, sequence=1))
        self.rules.handle_announcement(build_told(born_ms=1, sequence=99))
        self.assertEqual(5, self.rules.target.state.born_ms)

    def test_new_life_under_the_same_id_starts_over(self):
        self.poll(message.Order(START, build_ref()))
        self.assertTrue(
            self.rules.handle_announcement(build_told(born_ms=5, sequence=1))
        )
        self.assertEqual(0, self.rules.epoch)
        self.assertEqual({}, self.rules.runs)

    def test_older_sequence_is_ignored(self):
        told = build_told(sequence=5, draining=True)
        self.rules.handle_announcement(told)
        self.rules.handle_announcement(build_told(sequence=4))
        self.assertTrue(self.rules.draining)
