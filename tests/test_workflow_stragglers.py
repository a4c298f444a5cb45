"""Detection of stragglers among tasks of uneven length.

It guards against workflows that are delayed by runs on slow servers, or by
runs that make no progress, when a fifth of the servers becomes slow; and
against long tasks that are stopped on sound servers and begun anew.
"""

import random

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import health
from bilberryhaven.workflow import server_speed
from bilberryhaven.workflow import stragglers
from tests import workflow_fakes as fakes
from tests import workflow_listings

NOW = clocks.seconds(100)
MEAN_S = 1.3
SERVERS = [f's{number}' for number in range(8)]
SLOW = SERVERS[0]
SPARE = 'spare'


class StragglerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = workflow_listings.Listings()

    def learn(self):
        """Let tasks of the queue end on each server."""
        for number in range(3):
            self.fleet.add_step(f'quick{number}', SERVERS, MEAN_S)
            self.fleet.run(1.5)

    def make_slow(self, speed=1 / 6, seconds=MEAN_S, **fields):
        """Run two steps on all servers, of which one is slow."""
        self.fleet.speeds[SLOW] = speed
        rows = [
            self.fleet.add_step(name, SERVERS, seconds, **fields)[0]
            for name in ('w1', 'w2')
        ]
        self.fleet.run(1.5)
        return rows

    def test_stalled_run_is_found(self):
        self.learn()
        self.fleet.speeds[SLOW] = 0.0
        ref = self.fleet.add('w', SLOW, MEAN_S)
        self.fleet.run(1.5)
        self.assertEqual([ref], self.fleet.stalled)

    def test_run_that_stalls_halfway_is_found(self):
        self.learn()
        ref = self.fleet.add('w', SLOW, 5.0)
        self.fleet.run(2)
        self.fleet.speeds[SLOW] = 0.0
        self.fleet.run(1)
        self.assertEqual([], self.fleet.stalled)
        self.fleet.run(0.5)
        self.assertEqual([ref], self.fleet.stalled)

    def test_no_run_is_found_while_all_servers_stand_still(self):
        self.learn()
        self.fleet.speeds.update(dict.fromkeys(SERVERS, 0.0))
        self.fleet.add_step('w', SERVERS, MEAN_S)
        self.fleet.run(5)
        self.assertEqual([], self.fleet.stalled)

    def test_slow_runs_on_a_slow_server_are_found(self):
        # About a sixth of the usual speed.
        refs = self.make_slow()
        self.assertEqual(refs, self.fleet.take_slow(SPARE))
        self.assertEqual([], self.fleet.take_slow(SPARE))

    def test_slow_runs_are_found_by_a_new_leader(self):
        self.make_slow(seconds=6.0)
        self.fleet.monitor = type(self.fleet.monitor)()
        self.fleet.run(1.5)
        self.assertEqual(2, len(self.fleet.take_slow(SPARE)))

    def test_run_at_usual_speed_is_not_found(self):
        self.make_slow(speed=1.0)
        self.assertEqual([], self.fleet.take_slow(SPARE))

    def test_long_task_on_a_sound_server_is_not_found(self):
        self.learn()
        for name in ('w1', 'w2'):
            self.fleet.add_step(name, SERVERS, MEAN_S)
        self.fleet.add('w1', SLOW, 7 * MEAN_S, index=50)
        self.fleet.run(8)
        self.assertEqual([], self.fleet.take_slow(SPARE))
        self.assertEqual([], self.fleet.stalled)

    def test_nearly_finished_run_is_not_found(self):
        for name in ('w1', 'w2'):
            self.fleet.add_step(name, SERVERS, 20.0)
        self.fleet.run(18)
        self.fleet.speeds[SLOW] = 0.2
        self.fleet.run(1.5)
        speed = self.fleet.monitor.speeds.find(SLOW, self.fleet.clock)
        self.assertTrue(server_speed.is_slow(speed))
        self.assertEqual([], self.fleet.take_slow(SPARE))

    def test_saved_progress_counts(self):
        """With a checkpoint, even a run that is half done gains."""
        for saves, expected in ((True, 2), (False, 0)):
            self.fleet = workflow_listings.Listings()
            for name in ('w1', 'w2'):
                self.fleet.add_step(name, SERVERS, 20.0, saves_progress=saves)
            self.fleet.run(16)
            self.fleet.speeds[SLOW] = 0.2
            self.fleet.run(2)
            found = self.fleet.take_slow(SPARE)
            self.assertEqual(expected, len(found), saves)

    def test_slow_run_stays_while_no_sound_server_has_room(self):
        for fields in (
            {'cpu': 500},
            {'memory_mb': 500},
            {'open': False},
            {'suspect': True},
            {'warming_ms': 500},
            {'speed': 0.4},
            {'pool': 'other'},
            {'suspected': {'other'}},
        ):
            self.fleet = workflow_listings.Listings()
            self.make_slow()
            found = self.fleet.take_slow(SPARE, **fields)
            self.assertEqual([], found, fields)

    def test_no_more_runs_move_than_others_have_room_for(self):
        self.make_slow()
        self.assertEqual(1, len(self.fleet.take_slow(SPARE, cpu=1000)))

    def test_required_label_counts(self):
        self.make_slow(required_label='ssd')
        self.assertEqual([], self.fleet.take_slow(SPARE))
        self.fleet.run(0.5)
        labels = frozenset(['ssd'])
        self.assertEqual(2, len(self.fleet.take_slow(SPARE, labels=labels)))

    def test_young_run_is_not_judged(self):
        self.learn()
        self.fleet.speeds[SLOW] = 0.0
        self.fleet.add_step('w', SERVERS, MEAN_S)
        self.fleet.run(stragglers.MIN_AGE_S - 0.5)
        self.assertEqual([], self.fleet.stalled)

    def test_nothing_is_judged_without_like_tasks(self):
        self.fleet.speeds[SLOW] = 0.0
        self.fleet.add('w', SLOW, MEAN_S)
        self.fleet.run(9)
        self.assertEqual([], self.fleet.stalled)

    def test_task_with_many_starts_is_not_moved(self):
        self.learn()
        self.make_slow(number=stragglers.MAX_STARTS)
        self.assertEqual([], self.fleet.take_slow(SPARE))
        self.fleet.speeds[SLOW] = 0.0
        self.fleet.run(9)
        self.assertEqual([], self.fleet.stalled)

    def test_other_kinds_are_not_judged(self):
        self.learn()
        self.fleet.speeds[SLOW] = 0.0
        for field in ('best_effort', 'gang', 'long_running'):
            self.fleet.add('w', SLOW, MEAN_S, **{field: True})
        self.fleet.run(9)
        self.assertEqual([], self.fleet.stalled)
        self.assertEqual([], self.fleet.take_slow(SPARE))


class MixedLoadTest(testtools.TestCase):
    """Steps of ten tasks of which 3 % are long, for half a minute."""

    SERVERS = [f's{number}' for number in range(24)]

    def play(self, slow):
        fleet = workflow_listings.Listings()
        rng = random.Random(4)
        moved = []
        for second in range(30):
            for key in slow:
                fleet.speeds[key] = 0.2 if 10 <= second < 17 else 1.0
            for number in range(14):
                mean = rng.uniform(0.6, 1.6)
                for index in range(10):
                    long = 7 if rng.random() < 0.03 else 1
                    fleet.add(
                        f'w{second}.{number}',
                        rng.choice(self.SERVERS),
                        mean * rng.uniform(0.7, 1.3) * long,
                        index=index,
                    )
            fleet.run(1)
            moved += fleet.monitor.take_slow(fleet.views, self.list_spare)
        self.assertEqual([], fleet.stalled)
        return moved

    def list_spare(self):
        return [fakes.build_server(SPARE)]

    def test_no_run_is_stopped_on_sound_servers(self):
        self.assertEqual([], self.play(slow=()))

    def test_runs_are_stopped_on_the_slow_servers_only(self):
        slow = self.SERVERS[:4]
        moved = {view.backend for view in self.play(slow)}
        self.assertEqual(set(slow), moved)


class DispatchedRestartTest(workflow_listings.DispatchedRunsTest):
    """Runs on a server that turns slow are moved by the leader."""

    SLOW = 'b'

    def find_rate(self, ref, agent):
        return 2 if agent == self.SLOW else 10

    def list_slow(self):
        return [
            ref
            for ref, agent in self.list_runs().items()
            if agent == self.SLOW
        ]

    def test_runs_move_from_the_slow_server(self):
        for name in ('w1', 'w2', 'w3'):
            self.submit(name, fakes.build_step(tasks=4))
        self.schedule()
        slow = self.list_slow()
        self.assertEqual(3, len(slow))
        self.play(3)
        stopping = [
            workflow_commands.RunRef(row.id, key, run.number)
            for row in self.state.workflows
            for key, run in row.list_runs()
            if run.stopping
        ]
        self.assertEqual(slow, stopping)
        self.send(self.SLOW, slow, how='stopped')
        self.schedule()
        moved = [ref for ref in self.list_runs() if ref.number == 2]
        self.assertEqual(3, len(moved))
        self.assertEqual([], self.list_slow())


class SlowServerTest(testtools.TestCase):
    def test_slow_server_is_suspect_for_a_while(self):
        table = health.HealthTable()
        table.mark_slow('a', NOW)
        self.assertTrue(table.is_suspect('a', NOW))
        self.assertTrue(table.accepts_work('a', NOW))
        self.assertFalse(table.is_suspect('a', NOW + health.QUARANTINE_TIME))
