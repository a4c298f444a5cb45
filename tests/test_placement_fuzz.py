"""Stateful fuzzing of placement with derandomised choices."""

import testtools

from tests.fuzz import placement


class TestPlacementFuzz(testtools.TestCase):
    def test_random_histories(self):
        placement.run()
