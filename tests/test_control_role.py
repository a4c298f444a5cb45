"""A control instance with an empty folder, on its own."""

import tempfile
import time

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import options
from bilberryhaven.roles import control
from bilberryhaven import settings

# Longer than any election timeout.
WAIT_SECONDS = (
    options.Options().election_timeout + options.Options().election_jitter
).total_seconds() + 0.3


class EmptyFolderTest(testtools.TestCase):
    def start(self, **fields):
        folder = self.make_folder()
        role = control.ControlRole(
            settings=settings.Settings(
                name='r1', listen='127.0.0.1:0', data=folder
            ),
            clock=clocks.SystemClock(),
            **fields,
        )
        role.start()
        self.addCleanup(role.stop)
        return role

    def make_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_instance_that_may_not_found_waits_to_be_taken_in(self):
        # A voter that came back without its disk founded a log of its own.
        role = self.start(manage_membership=True)
        time.sleep(WAIT_SECONDS)
        status = role.replica.status()
        self.assertEqual('', status.leader)
        self.assertEqual((), status.members)

    def test_lone_instance_founds_a_quorum_of_one(self):
        role = self.start()
        time.sleep(WAIT_SECONDS)
        self.assertEqual('r1', role.replica.status().leader)
