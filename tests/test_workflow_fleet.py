"""The view of servers on which best-effort runs have just been started."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import fleet
from bilberryhaven.workflow import health
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import session
from tests import workflow_fakes as fakes

FEED = 'feed'
SURVEY = 'survey'
NOW = clocks.seconds(100)
EARLIER = clocks.seconds(90)
SURVEY_CPU = 6400
EFFECT = 0.5


class KnownEffects(candidate.InterferenceEffects):
    def __init__(self, *, known):
        self._known = known

    def get_effect(self, serving, image):
        return EFFECT

    def is_known(self, serving, image):
        return self._known


class TestFleetView(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World('a')
        feed = fakes.build_step(cpu=13_000, image=FEED, target_ms=100)
        survey = fakes.build_step(
            cpu=SURVEY_CPU, image=SURVEY, best_effort=True
        )
        for name, step in (('feed', feed), ('survey', survey)):
            self.world.submit(fakes.build_workflow(name, step))
            self.world.start(name, '0.0.0', 1, 'a')
        state = message.ServerState(
            id='a',
            born_ms=0,
            pool=fakes.POOL,
            cpu=fakes.CORES * 1000,
            memory_mb=256_000,
        )
        self.session = session.Session(
            key='a',
            epoch=1,
            lease_end=NOW + options.Options().lease_expiry_delay,
            poll=message.Poll(agent='on-a', server=state),
        )
        self.list_runs(EARLIER, feed=20)

    def list_runs(self, at, **gauges):
        running = [
            message.Running(
                workflow_commands.RunRef(name, '0.0.0', 1),
                gauge=gauge,
                pace=pace,
            )
            for name, (gauge, pace) in {
                name: item if isinstance(item, tuple) else (item, 100)
                for name, item in gauges.items()
            }.items()
        ]
        self.session.record_presence(running, at)

    def build(self, *, known=True):
        sessions = session.SessionTable()
        sessions.put(self.session)
        view = fleet.FleetView(
            state=self.world.state,
            index=self.world.workflow_index,
            sessions=sessions,
            health=health.HealthTable(),
            options=options.Options(),
            effects=KnownEffects(known=known),
        )
        self.world.workflow_index.refresh(10)
        return view.list_servers(NOW)[0]

    def test_throttled_run_does_not_make_a_server_look_full(self):
        for pace, expected in ((100, 0.2), (20, 1.0)):
            gauges = {'feed': 20, 'survey': (0.2 * SURVEY_CPU, pace)}
            self.list_runs(EARLIER, **gauges)
            server = self.build()
            self.assertAlmostEqual(expected, server.satisfaction)

    def test_new_run_of_known_effect_counts_with_its_prediction(self):
        server = self.build()
        self.assertFalse(server.probing)
        # Headroom of 5, less 0.5 for the tenth of the server that it uses.
        self.assertEqual([(FEED, 1 / 4.5)], server.tails)
        self.assertEqual(1, len(server.best_effort_runs))

    def test_new_run_of_unknown_effect_is_measured_first(self):
        self.assertTrue(self.build(known=False).probing)

    def test_measured_run_counts_with_its_measured_effect(self):
        self.list_runs(EARLIER, feed=40, survey=SURVEY_CPU)
        for known in (True, False):
            server = self.build(known=known)
            self.assertFalse(server.probing)
            self.assertEqual([(FEED, 0.4)], server.tails)
