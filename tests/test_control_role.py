"""Tests of a single control instance with an empty data folder."""

import tempfile
import time

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import options
from bilberryhaven.roles import control
from bilberryhaven import settings

# Longer than the longest election timeout.
WAIT_SECONDS = (
    options.Options().election_timeout + options.Options().election_jitter
).total_seconds() + 0.3


class EmptyDataFolderTest(testtools.TestCase):
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

    def test_instance_without_voters_waits_to_be_added(self):
        # Without manage_membership, a voter that restarted with an empty disk
        # would form a quorum of one with a log of its own.
        role = self.start(manage_membership=True)
        time.sleep(WAIT_SECONDS)
        status = role.replica.status()
        self.assertEqual('', status.leader)
        self.assertEqual((), status.members)

    def test_single_instance_forms_a_quorum_of_one(self):
        role = self.start()
        time.sleep(WAIT_SECONDS)
        self.assertEqual('r1', role.replica.status().leader)
