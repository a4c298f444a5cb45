"""Runs the fuzzing of sessions deterministically, as CI does."""

import testtools

from tests.fuzz import session


class TestSessionFuzz(testtools.TestCase):
    def test_sessions_against_the_oracle(self):
        session.run(None, examples=session.EXAMPLES)
