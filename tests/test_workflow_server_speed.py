"""Speed of servers under tasks of uneven length.

The load: 3 % of the tasks run 7 times as long, tasks of a step differ by
30 %, and a sixth of the servers turns five times as slow for some seconds.
"""

import collections
import random

import testtools

from bilberryhaven.workflow import planner
from bilberryhaven.workflow import run_monitor
from bilberryhaven.workflow import server_speed
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes
from tests import workflow_listings

SERVERS = [f's{number}' for number in range(8)]
SLOW = 's0'


class SpeedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = workflow_listings.Listings()

    def find(self, server):
        return self.fleet.monitor.speeds.find(server, self.fleet.clock)

    def is_slow(self, server):
        return server_speed.is_slow(self.find(server))

    def test_unknown_server_is_of_normal_speed(self):
        self.assertEqual(1.0, self.find('a'))

    def test_slow_server_is_found_from_a_few_listings(self):
        self.fleet.speeds[SLOW] = 0.2
        for name in ('w1', 'w2'):
            self.fleet.add_step(name, SERVERS, 4.0)
        self.fleet.run(1)
        slow = [key for key in SERVERS if self.is_slow(key)]
        self.assertEqual([SLOW], slow)

    def test_server_that_turns_slow_is_found_while_its_runs_go_on(self):
        for name in ('w1', 'w2'):
            self.fleet.add_step(name, SERVERS, 20.0)
        self.fleet.run(6)
        self.fleet.speeds[SLOW] = 0.2
        self.fleet.run(2)
        slow = [key for key in SERVERS if self.is_slow(key)]
        self.assertEqual([SLOW], slow)
        self.fleet.speeds[SLOW] = 1.0
        self.fleet.run(2)
        self.assertFalse(self.is_slow(SLOW))

    def test_one_long_task_does_not_make_a_server_slow(self):
        self.fleet.add_step('w1', SERVERS, 3.0)
        self.fleet.add('w1', SLOW, 21.0, index=90)
        self.fleet.run(2)
        self.assertFalse(self.is_slow(SLOW))

    def test_long_step_does_not_make_its_servers_slow(self):
        """The tasks of the step are compared with each other."""
        for _ in range(3):
            self.fleet.add_step('quick', SERVERS, 1.0)
            self.fleet.run(1.5)
        for name in ('w1', 'w2'):
            self.fleet.add_step(name, SERVERS, 30.0)
        self.fleet.run(2)
        self.assertEqual([], [key for key in SERVERS if self.is_slow(key)])

    def test_ended_runs_of_small_steps_count(self):
        rng = random.Random(2)
        self.fleet.speeds[SLOW] = 0.2
        for number in range(60):
            self.fleet.add(
                f'w{number}',
                rng.choice(SERVERS[1:]),
                rng.uniform(0.7, 1.3),
            )
            self.fleet.run(0.5)
        self.fleet.add('v1', SLOW, 1.0)
        self.fleet.add('v2', SLOW, 1.0)
        self.fleet.run(1)
        self.assertTrue(self.is_slow(SLOW))

    def end_in_silence(self):
        """End two runs while their server sends no listing."""
        for _ in range(3):
            self.fleet.add_step('quick', SERVERS, 1.0)
            self.fleet.run(1.5)
        for name in ('v1', 'v2'):
            self.fleet.add(name, SLOW, 1.0)
        self.fleet.list()
        self.fleet.run(4, skip=(SLOW,))

    def test_silent_server_is_not_slow(self):
        """The time of the report counts as the time of the end.

        The runs of a server that was cut off from the leader are then moved
        for its slowness, and lose their work.
        """
        self.end_in_silence()
        self.fleet.list()
        self.assertFalse(self.is_slow(SLOW), self.find(SLOW))

    def test_ends_from_before_the_first_listing_give_no_run_time(self):
        """The time without a leader counts as run time of the tasks."""
        self.end_in_silence()
        times = self.fleet.monitor.times
        count, mean_s = times.count('surveys'), times.find('surveys')
        self.fleet.monitor.clear()
        self.fleet.list()
        self.assertEqual(
            (count, mean_s), (times.count('surveys'), times.find('surveys'))
        )

    def test_speed_is_forgotten_without_work(self):
        self.test_slow_server_is_found_from_a_few_listings()
        self.fleet.now += server_speed.SPEED_AGE.total_seconds() + 1
        self.assertEqual(1.0, self.find(SLOW))

    def test_run_that_resumes_from_a_checkpoint_tells_the_same(self):
        for name in ('w1', 'w2'):
            for ref in self.fleet.add_step(name, SERVERS, 10.0):
                for key in SERVERS:
                    if (key, ref) in self.fleet._done and key == SLOW:
                        self.fleet._done[key, ref] = 0.8
        self.fleet.run(1.5)
        self.assertTrue(0.8 < self.find(SLOW) < 1.25, self.find(SLOW))

    def test_other_kinds_are_not_compared(self):
        self.fleet.speeds[SLOW] = 0.2
        for name, fields in (
            ('w1', {'best_effort': True}),
            ('w2', {'gang': True}),
            ('w3', {'long_running': True}),
            ('w4', {'data_rack': 'r1'}),
            ('w5', {'rack_local': True}),
        ):
            self.fleet.add_step(name, SERVERS, 4.0, **fields)
        self.fleet.run(2)
        self.assertEqual(1.0, self.find(SLOW))

    def test_new_term_keeps_run_times_only(self):
        self.test_ended_runs_of_small_steps_count()
        monitor = self.fleet.monitor
        monitor.clear()
        self.assertEqual(1.0, self.find(SLOW))
        self.assertTrue(monitor.times.count('surveys'))

    def test_closed_server_is_forgotten(self):
        self.test_slow_server_is_found_from_a_few_listings()
        self.fleet.monitor.remove(SLOW)
        self.assertEqual(1.0, self.find(SLOW))

    def test_steps_are_bounded(self):
        monitor = run_monitor.RunMonitor()
        view = next(iter(self.make_views()))
        for number in range(server_speed.MAX_STEPS + 5):
            view.group = (f'w{number}', 0, 0)
            monitor.speeds.record_end(view, 1.0, self.fleet.clock)
        self.assertEqual(server_speed.MAX_STEPS, len(monitor.speeds._steps))

    def make_views(self):
        self.fleet.add('w', 'a', 1.0)
        return self.fleet.views['a'].values()


class PlacementTest(testtools.TestCase):
    """Quick tasks go where they end soonest."""

    def plan(self, step, *servers):
        group = workflow_index.Group(
            row=fakes.build_workflow('w', step),
            occurrence=0,
            index=0,
            step=step,
            keys=[f'0.0.{index}' for index in range(step.tasks)],
            due_at=0.0,
        )
        starts = planner.plan_starts([group], list(servers), 0)
        return collections.Counter(start.backend for start in starts)

    def place(self, step, *, cpu=64_000):
        return self.plan(
            step,
            fakes.build_server('slow', speed=0.2),
            fakes.build_server('slower', speed=0.1),
            fakes.build_server('sound', speed=0.8, cpu=cpu, used_cpu=1000),
            fakes.build_server('normal', cpu=cpu, used_cpu=1000),
        )

    def test_slow_servers_are_left_while_others_have_room(self):
        placed = self.place(fakes.build_step(tasks=10))
        self.assertEqual({'normal': 5, 'sound': 5}, placed)

    def test_the_least_slow_server_takes_what_others_have_no_room_for(self):
        placed = self.place(fakes.build_step(tasks=10), cpu=4000)
        self.assertEqual({'normal': 3, 'sound': 3, 'slow': 4}, placed)

    def test_slow_server_counts_more_than_the_place_of_the_data(self):
        step = fakes.build_step(tasks=1, data_rack='r1')
        placed = self.plan(
            step,
            fakes.build_server('slow', speed=0.4, rack='r1'),
            fakes.build_server('normal', rack='r2'),
        )
        self.assertEqual({'normal': 1}, placed)

    def test_tasks_that_last_are_placed_without_regard_to_speed(self):
        for field in ('long_running', 'best_effort'):
            step = fakes.build_step(tasks=1, **{field: True})
            self.assertEqual({'slow': 1}, self.place(step), field)


class MixedLoadTest(testtools.TestCase):
    """Quick steps of ten tasks arrive throughout; some tasks are long."""

    SERVERS = [f's{number}' for number in range(24)]
    SLOW = frozenset(SERVERS[:4])

    def test_slow_servers_are_told_from_long_tasks(self):
        fleet = workflow_listings.Listings()
        rng = random.Random(3)
        wrong = missed = judged = 0
        for second in range(60):
            is_slow = 20 <= second < 27
            for key in self.SLOW:
                fleet.speeds[key] = 0.2 if is_slow else 1.0
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
            for key in self.SERVERS:
                found = server_speed.is_slow(
                    fleet.monitor.speeds.find(key, fleet.clock)
                )
                if not is_slow and not 27 <= second < 31:
                    wrong += found
                    judged += 1
                elif is_slow and second >= 22:
                    wrong += found and key not in self.SLOW
                    missed += key in self.SLOW and not found
        self.assertTrue(wrong <= 0.01 * judged, (wrong, judged))
        self.assertTrue(missed <= 2, missed)
