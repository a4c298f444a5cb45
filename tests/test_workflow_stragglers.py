"""A fifth of the servers turns slow, or tasks there stand still."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import board
from bilberryhaven.workflow import health
from bilberryhaven.workflow import message
from bilberryhaven.workflow import session
from bilberryhaven.workflow import stragglers
from tests import workflow_fakes as fakes

NOW = clocks.seconds(100)
MEAN = 1.3


class StragglerTest(testtools.TestCase):
    def find(self, *, age, percent, number=1, mean=MEAN, **fields):
        step = fakes.build_step(**fields)
        ref = workflow_commands.RunRef('w', '0.0.0', number)
        view = board.RunView(
            ref=ref,
            row=fakes.build_workflow('w', step),
            step=step,
            group=('w', 0, 0),
            backend='a',
            stopping=False,
            checkpoint='',
            ordered_at=0,
        )
        seen = session.Presence(
            running=message.Running(ref, percent=percent),
            first_at=NOW - clocks.seconds(age),
            progressed_at=NOW,
        )
        times = stragglers.RunTimes()
        if mean is not None:
            times.record('surveys', mean)
        return stragglers.list_stragglers({ref: view}, {ref: seen}, times, NOW)

    def test_stalled_run_is_found(self):
        self.assertEqual(1, len(self.find(age=1.5, percent=0)))

    def test_slow_run_is_found(self):
        # A sixth of the usual speed.
        self.assertEqual(1, len(self.find(age=1.3, percent=16)))

    def test_usual_run_goes_on(self):
        self.assertEqual([], self.find(age=1.0, percent=75))

    def test_long_run_that_gets_on_goes_on(self):
        self.assertEqual([], self.find(age=5.0, percent=80))

    def test_young_run_is_not_judged(self):
        self.assertEqual([], self.find(age=0.9, percent=0))

    def test_nothing_is_judged_before_a_run_has_ended(self):
        self.assertEqual([], self.find(age=9, percent=0, mean=None))

    def test_task_is_not_moved_for_ever(self):
        self.assertEqual([], self.find(age=9, percent=0, number=3))

    def test_other_kinds_are_left_alone(self):
        for field in ('best_effort', 'gang', 'long_running'):
            self.assertEqual([], self.find(age=9, percent=0, **{field: True}))


class SlowServerTest(testtools.TestCase):
    def test_slow_server_is_doubtful_for_a_while(self):
        table = health.HealthTable()
        table.mark_slow('a', NOW)
        self.assertTrue(table.is_suspect('a', NOW))
        self.assertTrue(table.accepts_work('a', NOW))
        self.assertFalse(table.is_suspect('a', NOW + health.QUARANTINE))
