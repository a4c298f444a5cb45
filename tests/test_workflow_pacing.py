"""Throttling of best-effort runs whose server has tails near their targets.

The tested load: best-effort tasks of several workflows share a server with
serving tasks of varying load, and the spare headroom of a tail is allocated to
the first workflow.
"""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import pacing

TARGET_MS = 150
STEP = clocks.seconds(0.6)
HARMFUL = {('desk', 'heavy'): 0.5, ('desk', 'light'): 0.0}


def find_latency(headroom):
    return TARGET_MS / headroom


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
            pacing.TailLatency(
                run=f's{number}',
                image='desk',
                latency_ms=latency,
                target_ms=TARGET_MS,
            )
            for number, latency in enumerate(latencies)
        ]
        return self.pacer.update(tails, effects, self.now)

    def percents(self, *runs):
        return [self.pacer.get_percent(run) for run in runs]

    def test_tail_over_its_target_throttles_immediately(self):
        self.add('run')
        self.assertTrue(self.update(1.5 * TARGET_MS))
        self.assertEqual([0], self.percents('run'))

    def test_run_gets_the_spare_headroom(self):
        self.add('run')
        # The spare headroom is 0.25, half of the 0.5 that the run would use.
        self.update(find_latency(pacing.MIN_HEADROOM - 0.25))
        self.assertEqual([50], self.percents('run'))

    def test_run_with_the_lowest_rank_is_served_first(self):
        self.add('later', rank=2.0)
        self.add('first', rank=1.0)
        self.update(find_latency(pacing.MIN_HEADROOM - 0.5))
        self.assertEqual([100, 0], self.percents('first', 'later'))

    def test_harmless_run_is_not_throttled(self):
        self.add('heavy', rank=1.0)
        self.add('light', image='light', rank=2.0)
        self.update(find_latency(pacing.MIN_HEADROOM - 0.5))
        self.assertEqual([0, 100], self.percents('heavy', 'light'))

    def test_unknown_image_counts_as_harmful(self):
        self.add('run', image='new')
        self.update(1.5 * TARGET_MS)
        self.assertEqual([0], self.percents('run'))

    def test_tail_long_over_its_target_pauses_harmless_runs(self):
        self.add('run', image='light')
        self.update(1.1 * TARGET_MS)
        self.assertEqual([100], self.percents('run'))
        self.update(1.1 * TARGET_MS, step=pacing.MAX_TIME_OVER_TARGET)
        self.assertEqual([0], self.percents('run'))

    def test_worst_of_several_tails_limits_the_runs(self):
        self.add('run')
        self.update(0.2 * TARGET_MS, 1.5 * TARGET_MS)
        self.assertEqual([0], self.percents('run'))

    def test_paces_do_not_change_within_settle_time(self):
        self.add('run')
        self.update(find_latency(pacing.MIN_HEADROOM - 0.25))
        soon = clocks.seconds(0.1)
        self.assertFalse(self.update(0.9 * TARGET_MS, step=soon))

    def test_percentage_rises_in_bounded_steps(self):
        self.add('run')
        self.update(1.5 * TARGET_MS)
        seen = []
        for _ in range(6):
            self.update(0.4 * TARGET_MS)
            seen += self.percents('run')
        self.assertEqual(100, seen[-1])
        rises = [b - a for a, b in zip([0, *seen], seen, strict=False)]
        self.assertTrue(max(rises) <= pacing.MAX_RAISE_PERCENT, rises)

    def test_run_that_is_slow_for_long_is_listed(self):
        self.add('run')
        self.update(1.5 * TARGET_MS)
        self.assertEqual([], self.pacer.list_slow(self.now))
        later = self.now + pacing.MIN_SLOW_TIME
        self.assertEqual(['run'], self.pacer.list_slow(later))

    def test_without_serving_tasks_runs_are_not_throttled(self):
        self.add('run', percent=pacing.INITIAL_PERCENT)
        self.update()
        self.update()
        self.assertEqual([100], self.percents('run'))

    def test_task_without_a_latency_limits_no_run(self):
        self.add('run')
        self.update(0)
        self.assertEqual([100], self.percents('run'))
