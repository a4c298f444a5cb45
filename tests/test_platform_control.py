"""Tests that the control role without a disk only forwards requests."""

import tempfile

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.platform import control
from bilberryhaven.platform import settings as platform_settings
from bilberryhaven import settings
from bilberryhaven.workflow import options


def build_role(folder, *, has_disk):
    deployment = platform_settings.Deployment(
        settings=settings.Settings(
            name='n', listen='127.0.0.1:0', data=str(folder)
        ),
        options=options.Options(),
        caller_address='',
        readiness_address='',
        control_address='127.0.0.1:0',
        has_disk=has_disk,
    )
    return control.ControlRole(
        deployment=deployment, clock=clocks.SystemClock()
    )


class ControlRoleTest(testtools.TestCase):
    def test_without_disk_no_replica_is_created(self):
        role = build_role('/nowhere', has_disk=False)
        self.assertIsNone(role._control)
        role.start()
        self.addCleanup(role.stop)
        self.assertTrue(role.address)

    def test_with_disk_a_replica_is_started(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        role = build_role(folder.name, has_disk=True)
        role.start()
        self.addCleanup(role.stop)
        self.assertIsNotNone(role._control)
        self.assertTrue(role._control.address)
