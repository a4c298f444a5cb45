"""The deploy file: control runs where the disks are, on every deployment.

The pattern: seeds are exchanged for other instances that serve control, and
then all processes restart. A seed without a disk knows no voter.
"""

import math
import pathlib
import tomllib

import testtools

PATH = pathlib.Path(__file__).parent.parent / 'deploy' / 'system.toml'
# (instances, those with a disk) of each zone, and the losses to be borne.
DEPLOYMENTS = (
    (((3, 1), (2, 1), (2, 1)), 1),
    (((6, 2), (5, 2), (5, 2)), 2),
    (((4, 2), (3, 2), (3, 2), (4, 2)), 2),
)


class DeployTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.control = tomllib.loads(PATH.read_text())['roles']['control']

    def count(self, instances):
        if 'count' in self.control:
            return min(self.control['count'], instances)
        return math.ceil(self.control['share'] * instances)

    def test_control_runs_only_where_a_disk_is(self):
        for zones, _ in DEPLOYMENTS:
            for instances, disks in zones:
                self.assertTrue(self.count(instances) <= disks, zones)

    def test_there_are_voters_enough_for_the_losses(self):
        for zones, losses in DEPLOYMENTS:
            total = sum(self.count(instances) for instances, _ in zones)
            self.assertTrue(total >= 2 * losses + 1, (zones, total))
