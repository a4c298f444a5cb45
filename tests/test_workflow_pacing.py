"""Pacing of best-effort runs beside a tail that nears its target."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import pacing

TARGET = 150
STEP = clocks.seconds(0.6)


class PacerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = clocks.seconds(100)
        self.pacer = pacing.Pacer()

    def update(self, tail, pressing=()):
        self.now += STEP
        return self.pacer.update([(tail, TARGET)], pressing, self.now)

    def test_run_over_the_target_stops_at_once(self):
        self.pacer.add('run', pacing.FULL, self.now)
        self.assertTrue(self.update(TARGET))
        self.assertEqual(0, self.pacer.get_percent('run'))

    def test_run_near_the_target_is_slowed_down(self):
        self.pacer.add('run', pacing.FULL, self.now)
        self.update(0.9 * TARGET)
        self.assertEqual(40, self.pacer.get_percent('run'))

    def test_newest_run_is_blamed_first(self):
        self.pacer.add('old', pacing.FULL, self.now)
        self.now += clocks.seconds(5)
        self.pacer.add('new', pacing.FULL, self.now)
        self.update(0.9 * TARGET)
        self.assertEqual(pacing.FULL, self.pacer.get_percent('old'))
        self.assertEqual(40, self.pacer.get_percent('new'))

    def test_pressing_run_is_blamed_before_others(self):
        for run in ('light', 'heavy'):
            self.pacer.add(run, pacing.FULL, self.now)
        self.now += clocks.seconds(5)
        self.update(0.9 * TARGET, ['heavy'])
        self.assertEqual(pacing.FULL, self.pacer.get_percent('light'))
        self.assertEqual(40, self.pacer.get_percent('heavy'))

    def test_change_is_waited_for(self):
        self.pacer.add('run', pacing.FULL, self.now)
        self.update(0.9 * TARGET)
        self.now -= clocks.seconds(0.5)
        self.assertFalse(self.update(0.9 * TARGET))

    def test_careful_run_speeds_up_while_the_tail_is_low(self):
        self.pacer.add('run', pacing.CAREFUL, self.now)
        for _ in range(4):
            self.update(0.3 * TARGET)
        self.assertEqual(pacing.FULL, self.pacer.get_percent('run'))

    def test_disturbing_runs_come_back_one_at_a_time(self):
        for run in 'abc':
            self.pacer.add(run, pacing.FULL, self.now)
        self.update(TARGET)
        self.now += clocks.seconds(3)
        self.update(0.3 * TARGET)
        shares = [self.pacer.get_percent(run) for run in 'abc']
        self.assertEqual(1, sum(share > 0 for share in shares))

    def test_no_tail_is_stuck_between_slowing_and_relaxing(self):
        self.pacer.add('run', pacing.FULL, self.now)
        self.update(TARGET)
        for _ in range(20):
            self.update(0.65 * TARGET)
        self.assertEqual(pacing.FULL, self.pacer.get_percent('run'))

    def test_long_paused_run_is_listed(self):
        self.pacer.add('run', pacing.FULL, self.now)
        self.update(TARGET)
        self.assertEqual([], self.pacer.list_paused(self.now))
        later = self.now + pacing.PAUSED_LONG
        self.assertEqual(['run'], self.pacer.list_paused(later))

    def test_without_serving_tasks_all_work_fully(self):
        self.pacer.add('run', pacing.CAREFUL, self.now)
        for _ in range(4):
            self.now += STEP
            self.pacer.update([], [], self.now)
        self.assertEqual(pacing.FULL, self.pacer.get_percent('run'))
