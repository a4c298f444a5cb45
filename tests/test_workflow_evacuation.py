"""Servers that leave at short notice while surveys run on them.

Guards against work that is thrown away: a run that saves its progress is
stopped in time, and one that can't end there is started again elsewhere at
once.
"""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import evacuation
from bilberryhaven.workflow import message
from bilberryhaven.workflow import run_times
from bilberryhaven.workflow import session
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

NOW = clocks.seconds(100)
POLL = message.Poll(
    agent='a', server=message.ServerState(id='a', born_ms=1, pool=fakes.POOL)
)
LEAD_S = evacuation.LEAD_TIME.total_seconds()


class EvacuationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.times = run_times.RunTimes()

    def list_evacuations(
        self, step, *, leaves_in, percent=50, age=2, first_percent=0
    ):
        world = fakes.World('a')
        world.submit(fakes.build_workflow('w', step))
        world.start('w', '0.0.0', 1, 'a')
        world.workflow_index.refresh(0)
        ref = workflow_commands.RunRef('w', '0.0.0', 1)
        agent_session = session.Session(
            key='a', epoch=1, lease_end=NOW, poll=POLL
        )
        for at, listed in (
            (NOW - clocks.seconds(age), first_percent),
            (NOW, percent),
        ):
            running = [message.Running(ref, percent=listed)]
            agent_session.record_presence(running, at)
        if leaves_in is not None:
            agent_session.leaves_at = NOW + clocks.seconds(leaves_in)
        refs = evacuation.list_evacuations(
            agent_session, world.workflow_index.runs['a'], self.times, NOW
        )
        return refs == [ref]

    def test_run_with_progress_is_stopped_shortly_before(self):
        step = fakes.build_step(saves_progress=True)
        for leaves_in, expected in (
            (None, False),
            (LEAD_S + 0.1, False),
            (LEAD_S, True),
            (-1, True),
        ):
            found = self.list_evacuations(step, leaves_in=leaves_in)
            self.assertEqual(expected, found, leaves_in)

    def test_long_running_task_is_stopped_shortly_before(self):
        step = fakes.build_step(long_running=True)
        self.assertFalse(self.list_evacuations(step, leaves_in=LEAD_S + 0.1))
        self.assertTrue(self.list_evacuations(step, leaves_in=LEAD_S))

    def test_run_without_progress_is_stopped_if_it_ends_too_late(self):
        step = fakes.build_step()
        for percent, expected in ((50, False), (20, True)):
            found = self.list_evacuations(step, leaves_in=3, percent=percent)
            self.assertEqual(expected, found, percent)

    def test_run_that_was_at_work_before_its_first_listing_moves(self):
        """A new leader takes a run for one that began at its first listing.

        Of 55 percent, only the last 5 were done in the second since then.
        """
        step = fakes.build_step()
        for percent, expected in ((75, False), (55, True)):
            found = self.list_evacuations(
                step, leaves_in=3, percent=percent, age=1, first_percent=50
            )
            self.assertEqual(expected, found, percent)

    def test_typical_run_time_counts_until_the_pace_is_known(self):
        """A run that was just listed first seems to end at once."""
        step = fakes.build_step()
        self.times.record('surveys', 10.0)
        for percent, expected in ((90, False), (50, True)):
            found = self.list_evacuations(
                step,
                leaves_in=3,
                percent=percent,
                age=0,
                first_percent=percent,
            )
            self.assertEqual(expected, found, percent)

    def test_known_run_times_are_used_before_there_is_progress(self):
        step = fakes.build_step()
        self.assertFalse(self.list_evacuations(step, leaves_in=3, percent=0))
        self.times.record('surveys', 9.0)
        self.assertTrue(self.list_evacuations(step, leaves_in=3, percent=0))

    def test_gang_is_not_broken(self):
        step = fakes.build_step(gang=True, saves_progress=True)
        self.assertFalse(self.list_evacuations(step, leaves_in=0))


class DepartureTest(testtools.TestCase):
    def test_repeated_remaining_time_does_not_delay_the_departure(self):
        agent_session = session.Session(
            key='a', epoch=1, lease_end=NOW, poll=POLL
        )
        for at, expected in ((5, 5), (6, 5), (4, 4)):
            agent_session.set_departure(clocks.seconds(at))
            self.assertEqual(clocks.seconds(expected), agent_session.leaves_at)


class DrainingServerTest(test_workflow_dispatcher.DispatcherTest):
    def test_run_moves_from_a_server_that_leaves(self):
        self.replace()
        self.submit('w1', fakes.build_step(saves_progress=True))
        first = self.poll()
        self.schedule()
        self.poll(epoch=first.epoch)
        self.poll('other')
        self.poll(epoch=first.epoch, draining=True)
        self.schedule()
        (order,) = self.poll(epoch=first.epoch, draining=True).orders
        self.assertEqual(message.OrderKind.STOP, order.kind)
        end = workflow_commands.RunEnd(1, order.run, 'stopped', 'c3')
        self.report(first, end)
        self.schedule()
        task = self.state.workflows.find('w1').find_task('0.0.0')
        (run,) = task.runs
        self.assertEqual(('c3', 2), (task.checkpoint, run.number))
        self.assertNotEqual(first.key, run.backend)
