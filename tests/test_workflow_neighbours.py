"""Effects of best-effort images on tails, learned from listings."""

import math
import random

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import backend
from bilberryhaven.workflow import board
from bilberryhaven.workflow import message
from bilberryhaven.workflow import neighbours
from bilberryhaven.workflow import session
from tests import workflow_fakes as fakes

STEP = clocks.seconds(0.5)
EFFECTS = {'heavy': 0.7, 'light': 0.0}
SWING = 0.5
SWING_S = 20.0


class Bench:
    """One server with a serving task whose own load swings."""

    def __init__(self, *, seed=1):
        self.random = random.Random(seed)
        self.now = clocks.seconds(100)
        self.row = backend.Backend(
            key='a', id='a', instance='i', pool='p', cpu=64_000
        )
        self.views = {}
        self.used = {}
        self.serving = self.add(
            'map', fakes.build_step(image='map', target_ms=150, cpu=13_000)
        )

    def add(self, name, step):
        ref = workflow_commands.RunRef(name, '0.0.0', 1)
        self.views[ref] = board.RunView(
            ref=ref,
            row=None,
            step=step,
            group=(name, 0, 0),
            backend='a',
            stopping=False,
            checkpoint='',
            ordered_at=0,
        )
        return ref

    def add_filler(self, name, image):
        step = fakes.build_step(image=image, cpu=7000, best_effort=True)
        ref = self.add(name, step)
        self.used[ref] = 7000

    def remove(self, name):
        ref = workflow_commands.RunRef(name, '0.0.0', 1)
        del self.views[ref], self.used[ref]

    def list_present(self):
        phase = self.now.total_seconds() / SWING_S * 2 * math.pi
        # The tail of a queue at this load, a sixth of the target at none.
        load = 0.4 * (1 + SWING * math.sin(phase))
        for ref, used in self.used.items():
            image = self.views[ref].step.image
            load += EFFECTS[image] / 6 * used / 6400
        tail = 150 / 6 / (1 - load) * math.exp(self.random.gauss(0, 0.05))
        gauges = {self.serving: tail, **self.used}
        old = self.now - clocks.seconds(5)
        return {
            ref: session.Presence(
                running=message.Running(ref, gauge=gauge),
                first_at=old,
                progressed_at=old,
            )
            for ref, gauge in gauges.items()
        }

    def observe(self, table):
        self.now += STEP
        table.observe(self.row, self.views, self.list_present(), self.now)


class NeighboursTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = neighbours.Neighbours()
        self.bench = Bench()

    def play(self, image, times=6):
        for _ in range(times):
            self.bench.add_filler('f', image)
            for _ in range(3):
                self.bench.observe(self.table)
            self.bench.remove('f')
            for _ in range(3):
                self.bench.observe(self.table)

    def test_unknown_pair_counts_as_a_bad_one(self):
        self.assertFalse(self.table.is_known('map', 'heavy'))
        effect = self.table.get_effect('map', 'heavy')
        self.assertTrue(effect >= 0.3)

    def test_effects_are_told_apart_despite_a_swinging_load(self):
        for image, effect in EFFECTS.items():
            self.play(image)
            self.assertTrue(self.table.is_known('map', image))
            found = self.table.get_effect('map', image)
            self.assertTrue(abs(found - effect) < 0.15, (image, found))

    def test_one_image_tells_of_itself_elsewhere(self):
        self.play('heavy')
        self.play('light')
        heavy = self.table.get_effect('other', 'heavy')
        light = self.table.get_effect('other', 'light')
        self.assertTrue(light < heavy)

    def test_pressing_runs_are_named(self):
        self.play('heavy')
        self.play('light')
        self.bench.add_filler('h', 'heavy')
        self.bench.add_filler('l', 'light')
        present = self.bench.list_present()
        present[self.bench.serving].running.gauge = 120
        pairs = self.table.list_pressing(
            self.bench.row, self.bench.views, present
        )
        self.assertEqual(['h'], [ref.workflow for _, ref in pairs])

    def test_no_run_presses_on_a_low_tail(self):
        self.play('heavy')
        self.bench.add_filler('h', 'heavy')
        present = self.bench.list_present()
        present[self.bench.serving].running.gauge = 30
        self.assertEqual(
            [],
            self.table.list_pressing(
                self.bench.row, self.bench.views, present
            ),
        )

    def test_harmless_only_when_known(self):
        step = fakes.build_step(image='light', cpu=7000, best_effort=True)
        row, views = self.bench.row, self.bench.views
        self.assertFalse(self.table.is_harmless(row, views, step))
        self.play('light')
        self.assertTrue(self.table.is_harmless(row, views, step))
