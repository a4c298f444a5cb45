"""Pauses and clock steps that a process notices."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import clock_watch
from tests import log_lines


class ClockWatchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = log_lines.LogLines(self)
        self.clock = clocks.ManualClock()
        self.watch = clock_watch.ClockWatch(clock=self.clock)

    def pass_time(self, seconds, *, step_s=0):
        self.clock.advance(clocks.seconds(seconds))
        self.clock.step_wall(clocks.seconds(step_s))
        self.watch.tick()

    def list(self, decision, field):
        return [row[field] for row in self.lines.list(decision)]

    def test_calls_in_time(self):
        for _ in range(9):
            self.pass_time(0.9)
        self.assertEqual([], self.list('notice pause', 'pause_s'))
        self.assertEqual([], self.list('notice clock step', 'step_s'))

    def test_pause(self):
        self.pass_time(4.5)
        self.assertEqual([4.0], self.list('notice pause', 'pause_s'))
        self.assertEqual([], self.list('notice clock step', 'step_s'))

    def test_steps_of_the_time_of_day(self):
        self.pass_time(0.5, step_s=3600)
        self.pass_time(2.0, step_s=-20)
        self.assertEqual(
            [3600.0, -20.0], self.list('notice clock step', 'step_s')
        )

    def test_a_line_a_second_at_most(self):
        for number in range(10):
            self.pass_time(0.5, step_s=number + 1)
        lines = self.lines.list('notice clock step')
        self.assertEqual(5, len(lines))
        self.assertEqual(1, lines[-1]['left_out'])
