"""Pacing of best-effort runs beside tails that near their targets.

The pattern: surveys of several workflows work beside tasks that serve users
whose load swings; what a tail has left goes to the workflow that came first.
"""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import pacing

TARGET = 150
STEP = clocks.seconds(0.6)
HARMFUL = {('desk', 'heavy'): 0.5, ('desk', 'light'): 0.0}


def find_latency(headroom):
    return TARGET / headroom


class PacerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = clocks.seconds(100)
        self.pacer = pacing.Pacer()

    def add(self, run, *, image='heavy', tenths=1.0, rank=0.0, percent=100):
        self.pacer.add(
            run, image=image, tenths=tenths, rank=rank, percent=percent
        )

    def update(self, *latencies, effects=HARMFUL, step=STEP):
        self.now += step
        tails = [
            pacing.Tail(
                run=f's{number}',
                image='desk',
                latency_ms=latency,
                target_ms=TARGET,
            )
            for number, latency in enumerate(latencies)
        ]
        return self.pacer.update(tails, effects, self.now)

    def percents(self, *runs):
        return [self.pacer.get_percent(run) for run in runs]

    def test_tail_over_its_target_slows_down_at_once(self):
        self.add('run')
        self.assertTrue(self.update(1.5 * TARGET))
        self.assertEqual([0], self.percents('run'))

    def test_run_gets_what_the_tail_has_left(self):
        self.add('run')
        # Half of the 0.5 that the run takes is left of the headroom.
        self.update(find_latency(pacing.LEAST_HEADROOM - 0.25))
        self.assertEqual([50], self.percents('run'))

    def test_run_that_came_first_works_and_others_give_way(self):
        self.add('later', rank=2.0)
        self.add('first', rank=1.0)
        self.update(find_latency(pacing.LEAST_HEADROOM - 0.5))
        self.assertEqual([100, 0], self.percents('first', 'later'))

    def test_harmless_run_works_beside_a_full_tail(self):
        self.add('heavy', rank=1.0)
        self.add('light', image='light', rank=2.0)
        self.update(find_latency(pacing.LEAST_HEADROOM - 0.5))
        self.assertEqual([0, 100], self.percents('heavy', 'light'))

    def test_unknown_image_counts_as_harmful(self):
        self.add('run', image='new')
        self.update(1.5 * TARGET)
        self.assertEqual([0], self.percents('run'))

    def test_tail_far_over_its_target_stops_harmless_runs_too(self):
        self.add('run', image='light')
        self.update(1.1 * TARGET)
        self.assertEqual([100], self.percents('run'))
        self.update(1.1 * TARGET, step=pacing.LONG_OVER)
        self.assertEqual([0], self.percents('run'))

    def test_worst_of_several_tails_binds(self):
        self.add('run')
        self.update(0.2 * TARGET, 1.5 * TARGET)
        self.assertEqual([0], self.percents('run'))

    def test_change_is_waited_for(self):
        self.add('run')
        self.update(find_latency(pacing.LEAST_HEADROOM - 0.25))
        soon = clocks.seconds(0.1)
        self.assertFalse(self.update(0.9 * TARGET, step=soon))

    def test_run_comes_back_step_by_step(self):
        self.add('run')
        self.update(1.5 * TARGET)
        seen = []
        for _ in range(6):
            self.update(0.4 * TARGET)
            seen += self.percents('run')
        self.assertEqual(100, seen[-1])
        rises = [b - a for a, b in zip([0, *seen], seen, strict=False)]
        self.assertTrue(max(rises) <= pacing.MAX_RAISE, rises)

    def test_long_slow_run_is_listed(self):
        self.add('run')
        self.update(1.5 * TARGET)
        self.assertEqual([], self.pacer.list_slow(self.now))
        later = self.now + pacing.SLOW_FOR
        self.assertEqual(['run'], self.pacer.list_slow(later))

    def test_without_serving_tasks_all_work_fully(self):
        self.add('run', percent=pacing.INITIAL_PERCENT)
        self.update()
        self.update()
        self.assertEqual([100], self.percents('run'))

    def test_task_without_a_figure_binds_nothing(self):
        self.add('run')
        self.update(0)
        self.assertEqual([100], self.percents('run'))
