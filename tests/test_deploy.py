"""Tests that deploy/system.toml runs control only on instances with disks.

This guards against the following failure: the seeds are replaced by other
instances that serve control, and then all processes restart. A seed without
a disk has no stored membership, so it knows no voter.
"""

import math
import pathlib
import tomllib

import testtools

PATH = pathlib.Path(__file__).parent.parent / 'deploy' / 'system.toml'
# Number of instances and of instances with a disk, for each zone; then the
# number of failures to tolerate.
DEPLOYMENTS = (
    (((3, 1), (2, 1), (2, 1)), 1),
    (((6, 2), (5, 2), (5, 2)), 2),
    (((4, 2), (3, 2), (3, 2), (4, 2)), 2),
)


class DeployTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.control = tomllib.loads(PATH.read_text())['roles']['control']

    def count_control_instances(self, instances):
        if 'count' in self.control:
            return min(self.control['count'], instances)
        return math.ceil(self.control['share'] * instances)

    def test_control_runs_only_on_instances_with_disks(self):
        for zones, _ in DEPLOYMENTS:
            for instances, with_disk in zones:
                self.assertTrue(
                    self.count_control_instances(instances) <= with_disk, zones
                )

    def test_voters_tolerate_the_failures(self):
        for zones, tolerated_failures in DEPLOYMENTS:
            total = sum(
                self.count_control_instances(instances)
                for instances, _ in zones
            )
            self.assertTrue(
                total >= 2 * tolerated_failures + 1, (zones, total)
            )
