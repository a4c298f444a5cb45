"""Effects of best-effort images on tail latency, learned from listings."""

import math
import random

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import backend
from bilberryhaven.workflow import initial_pace
from bilberryhaven.workflow import interference
from bilberryhaven.workflow import message
from bilberryhaven.workflow import session
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes

STEP = clocks.seconds(0.5)
EFFECTS = {'heavy': 0.7, 'light': 0.0}
LOAD_AMPLITUDE = 0.5
LOAD_PERIOD_S = 20.0


class SimulatedServer:
    """Simulated server with a latency-critical task whose load varies."""

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
        self.views[ref] = workflow_index.RunView(
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

    def add_best_effort_run(self, name, image):
        step = fakes.build_step(image=image, cpu=7000, best_effort=True)
        ref = self.add(name, step)
        self.used[ref] = 7000

    def remove(self, name):
        ref = workflow_commands.RunRef(name, '0.0.0', 1)
        del self.views[ref], self.used[ref]

    def list_present(self):
        phase = self.now.total_seconds() / LOAD_PERIOD_S * 2 * math.pi
        # Tail latency of a queue at this load; without load it is a sixth of
        # the target.
        load = 0.4 * (1 + LOAD_AMPLITUDE * math.sin(phase))
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

    def observe(self, model):
        self.now += STEP
        model.observe(self.row, self.views, self.list_present(), self.now)


class InterferenceModelTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.model = interference.InterferenceModel()
        self.server = SimulatedServer()

    def run_cycles(self, image, times=6):
        for _ in range(times):
            self.server.add_best_effort_run('f', image)
            for _ in range(3):
                self.server.observe(self.model)
            self.server.remove('f')
            for _ in range(3):
                self.server.observe(self.model)

    def test_unmeasured_pair_is_assumed_to_interfere(self):
        self.assertFalse(self.model.is_known('map', 'heavy'))
        effect = self.model.get_effect('map', 'heavy')
        self.assertTrue(effect >= 0.3)

    def test_effects_are_separated_despite_a_varying_load(self):
        for image, effect in EFFECTS.items():
            self.run_cycles(image)
            self.assertTrue(self.model.is_known('map', image))
            found = self.model.get_effect('map', image)
            self.assertTrue(abs(found - effect) < 0.15, (image, found))

    def test_prior_of_an_image_follows_its_effects_on_other_images(self):
        self.run_cycles('heavy')
        self.run_cycles('light')
        heavy = self.model.get_effect('other', 'heavy')
        light = self.model.get_effect('other', 'light')
        self.assertTrue(light < heavy)

    def test_change_of_capacity_is_no_change_of_use(self):
        """Guards against learning from shares of two capacities."""
        self.server.add_best_effort_run('f', 'heavy')
        for _ in range(3):
            self.server.observe(self.model)
        known = self.model.get_effect('map', 'heavy')
        count = self.model._counts['map', 'heavy']
        self.server.row.cpu //= 2
        self.server.observe(self.model)
        self.assertEqual(count, self.model._counts['map', 'heavy'])
        self.assertEqual(known, self.model.get_effect('map', 'heavy'))

    def test_interfering_runs_are_listed(self):
        self.run_cycles('heavy')
        self.run_cycles('light')
        self.server.add_best_effort_run('h', 'heavy')
        self.server.add_best_effort_run('l', 'light')
        present = self.server.list_present()
        present[self.server.serving].running.gauge = 120
        pairs = self.model.list_interfering_runs(
            self.server.row, self.server.views, present
        )
        self.assertEqual(['h'], [ref.workflow for _, ref in pairs])

    def test_no_run_interferes_with_a_low_tail(self):
        self.run_cycles('heavy')
        self.server.add_best_effort_run('h', 'heavy')
        present = self.server.list_present()
        present[self.server.serving].running.gauge = 30
        self.assertEqual(
            [],
            self.model.list_interfering_runs(
                self.server.row, self.server.views, present
            ),
        )

    def find_percents(self, image, *, tail=30, names=('f',)):
        """Return the initial paces of runs that are ordered together."""
        present = self.server.list_present()
        present[self.server.serving].running.gauge = tail
        paces = initial_pace.InitialPaces(
            effects=self.model,
            row=self.server.row,
            views=self.server.views,
            present=present,
        )
        step = fakes.build_step(image=image, cpu=7000, best_effort=True)
        refs = [self.server.add(name, step) for name in names]
        return [paces.find_percent(self.server.views[ref]) for ref in refs]

    def test_harmless_run_starts_at_full_speed_only_when_known(self):
        self.assertEqual([20], self.find_percents('light'))
        self.run_cycles('light')
        for tail in (30, 140):
            self.assertEqual([100], self.find_percents('light', tail=tail))

    def test_interfering_run_starts_as_fast_as_the_tail_allows(self):
        self.run_cycles('heavy')
        self.assertEqual([100], self.find_percents('heavy', tail=30))
        (percent,) = self.find_percents('heavy', tail=70)
        self.assertTrue(20 < percent < 100, percent)
        self.assertEqual([20], self.find_percents('heavy', tail=140))

    def test_runs_that_start_together_share_the_headroom(self):
        self.run_cycles('heavy')
        percents = self.find_percents('heavy', tail=70, names='fgh')
        self.assertTrue(percents[0] > 20, percents)
        self.assertEqual([20, 20], percents[1:])
