"""Run times with a heavy tail.

The load: 3 % of the tasks run 7 times as long as the others.
"""

import random

import hypothesis
from hypothesis import strategies
import testtools

from bilberryhaven.workflow import run_times

LONG_FACTOR = 7
LONG_SHARE = 0.03


def build(*, count=2000, **fields):
    times = run_times.RunTimes()
    rng = random.Random(1)
    for _ in range(count):
        long = rng.random() < LONG_SHARE
        seconds = rng.uniform(0.7, 1.3) * (LONG_FACTOR if long else 1)
        times.record('q', seconds, **fields)
    return times


class RunTimesTest(testtools.TestCase):
    def assert_near(self, expected, actual):
        self.assertTrue(abs(actual - expected) <= 0.2 * expected, actual)

    def test_quantiles_tell_long_tasks_from_the_others(self):
        times = build()
        for share, expected in ((0.5, 1.0), (0.9, 1.25), (0.999, 8.0)):
            self.assert_near(expected, times.quantile('q', share))

    def test_run_that_outlasts_the_others_is_expected_to_be_long(self):
        times = build()
        self.assert_near(1.0, times.remaining('q', 0, 0.5))
        self.assert_near(LONG_FACTOR - 2, times.remaining('q', 2, 0.5))

    def test_run_older_than_all_known_takes_as_long_again(self):
        self.assertEqual(100, build().remaining('q', 100, 0.5))
        self.assertEqual(300, build().remaining('q', 100, 0.75))

    def test_nothing_is_known_before_a_run_has_ended(self):
        times = run_times.RunTimes()
        self.assertEqual(0, times.count('q'))
        self.assertIsNone(times.find('q'))
        self.assertIsNone(times.quantile('q', 0.5))
        self.assertIsNone(times.remaining('q', 1, 0.5))

    def test_one_run_is_taken_as_it_is(self):
        times = run_times.RunTimes()
        times.record('q', 9.0)
        self.assert_near(9.0, times.find('q'))
        self.assert_near(9.0, times.quantile('q', 0.5))

    def test_image_counts_once_enough_of_its_tasks_have_ended(self):
        times = build()
        for number in range(run_times.MIN_IMAGE_COUNT):
            self.assert_near(1.0, times.quantile('q', 0.5, image='wide'))
            self.assertTrue(times.count('q', image='wide') >= 2000, number)
            times.record('q', 30.0, image='wide')
        self.assert_near(30.0, times.quantile('q', 0.5, image='wide'))
        self.assert_near(1.0, times.quantile('q', 0.5, image='other'))

    def test_number_of_images_is_bounded(self):
        times = run_times.RunTimes()
        for number in range(run_times.MAX_IMAGES + 1):
            for _ in range(run_times.MIN_IMAGE_COUNT):
                times.record('q', number + 1, image=f'i{number}')
        last = run_times.MAX_IMAGES
        self.assertEqual(
            run_times.MIN_IMAGE_COUNT, times.count('q', image=f'i{last}')
        )
        self.assertTrue(times.count('q', image='i0') > last)

    def test_newer_runs_replace_older_ones(self):
        times = build()
        for _ in range(3 * run_times.MEMORY_RUNS):
            times.record('q', 20.0)
        self.assert_near(20.0, times.quantile('q', 0.5))
        self.assert_near(20.0, times.find('q'))

    def test_weights_stay_finite(self):
        times = build(count=30 * run_times.MEMORY_RUNS)
        self.assert_near(1.0, times.quantile('q', 0.5))

    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 1e5), min_size=1, max_size=50),
        strategies.floats(0.0, 1e5),
        strategies.floats(0.01, 0.99),
    )
    def test_estimates_are_consistent(self, seconds, age_s, share):
        times = run_times.RunTimes()
        for value in seconds:
            times.record('q', value)
        low, high = min(seconds), max(seconds)
        found = times.quantile('q', share)
        self.assertTrue(
            low * 0.999 <= found <= max(high, run_times.SHORTEST_S) * 1.001
        )
        self.assertTrue(times.remaining('q', age_s, share) >= 0)
