"""A small sheet, and a rig of it that starts no process."""

import pathlib
import random
import shutil

import testtools

from soak import rig

HERE = pathlib.Path(__file__).resolve().parent.parent
MEAN = {'mean': 3.0}
CLASS = {
    'name': 'render',
    'work_ms': {'mean': 1_000.0},
    'jobs': {'steps': MEAN, 'width': MEAN, 'cpu': MEAN, 'mem_mb': MEAN},
}
SHEET = {
    'zones': [{'name': 'a', 'region': 'r'}],
    'machines': [
        {'class': 'front', 'zone': 'a', 'count': 15, 'disk': {}},
        {'class': 'side', 'zone': 'a', 'count': 1},
    ],
    'classes': [CLASS],
    'traffic': [{'mix': {'render': 1.0}}],
    'timing': {'hold_max_ms': 10_000},
    'tolerate': {'machines': 2},
}


class RigTestCase(testtools.TestCase):
    """Base of tests of a rig that starts no process."""

    def setUp(self):
        super().setUp()
        self.rig = rig.Rig(sheet=SHEET, root=HERE, seed=1, most_sides=1)
        self.addCleanup(shutil.rmtree, self.rig.folder)
        self.addCleanup(self.rig.close)
        self.choices = random.Random(1)
