"""Tests of a single control instance with an empty data folder."""

import pathlib
import tempfile
import time

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import options
from bilberryhaven import errors
from bilberryhaven.roles import control
from bilberryhaven import settings

# Longer than the longest election timeout.
WAIT_SECONDS = (
    options.Options().election_timeout + options.Options().election_jitter
).total_seconds() + 0.3
MAX_DELAY_SECONDS = options.Options().max_recovery_delay.total_seconds()


class RoleTestCase(testtools.TestCase):
    def start(self, *, folder=None, **fields):
        folder = folder or self.make_folder()
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


class EmptyDataFolderTest(RoleTestCase):
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


class BrokenDataFolderTest(RoleTestCase):
    """Guards against a process that ends, or stays failed, after a fault."""

    def read_metric(self, role, name):
        lines = role._report_metrics().body.decode().splitlines()
        return next(
            line for line in lines if line.startswith(f'bilberryhaven_{name}')
        )

    def test_instance_leads_once_its_folder_can_be_created(self):
        folder = pathlib.Path(self.make_folder()) / 'data'
        folder.write_text('in the way')
        role = self.start(folder=str(folder))
        time.sleep(WAIT_SECONDS)
        self.assertEqual('failed', role.replica.status().role)
        self.assertIn('storage', role.replica.status().fault)
        self.assertEqual('1', self.read_metric(role, 'replica_failed')[-1])
        self.assertEqual(503, role._report_ready().status)
        folder.unlink()
        time.sleep(WAIT_SECONDS + MAX_DELAY_SECONDS)
        self.assertEqual('r1', role.replica.status().leader)
        self.assertEqual('0', self.read_metric(role, 'replica_failed')[-1])
        self.assertEqual('1', self.read_metric(role, 'storage_faults')[-1])

    def test_folder_of_another_process_ends_the_start(self):
        folder = self.make_folder()
        self.start(folder=folder)
        self.assertRaises(errors.FolderInUseError, self.start, folder=folder)
