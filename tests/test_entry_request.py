"""Derandomized fuzz test of the request core."""

import hypothesis
from hypothesis import stateful
import testtools

from tests.fuzz import request


class TestFuzzing(testtools.TestCase):
    def test_properties_hold(self):
        settings = hypothesis.settings(
            max_examples=250,
            stateful_step_count=50,
            deadline=None,
            derandomize=True,
            database=None,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        stateful.run_state_machine_as_test(
            request.RequestMachine, settings=settings
        )
