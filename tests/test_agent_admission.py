"""Tests of the admission core."""

import testtools

from hypothesis import stateful

from tests.fuzz import admission


class TestAdmissionFuzz(testtools.TestCase):
    def test_arbitrary_steps_keep_all_invariants(self):
        stateful.run_state_machine_as_test(
            admission.AdmissionMachine, settings=admission.CI
        )
