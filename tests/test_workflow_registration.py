"""Registration of backend servers: what a poll may and may not change.

A poll for another server of an instance is no evidence that the former one
has ended: ended on it, its runs were started again beside themselves.
"""

import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.workflow import options
from tests import test_workflow_dispatcher

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
