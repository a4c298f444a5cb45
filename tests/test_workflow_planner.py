"""Placement: capacity, colocation, racks, interference and starvation."""

import collections
import random
from unittest import mock

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import message
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import relocation
from bilberryhaven.workflow import server_choice
from bilberryhaven.workflow import server_cost
from bilberryhaven.workflow import session
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes

SERVING = 'inspector-map'
HEAVY = 'heavy-survey'
LIGHT = 'light-survey'


class HeavyImageEffects(candidate.InterferenceEffects):
    """Only HEAVY raises tails: it costs 0.7 headroom per tenth of a server."""

    def __init__(self, *, known=True):
        self._known = known

    def get_effect(self, serving, image):
        return 0.7 if image == HEAVY else 0.0

    def is_known(self, serving, image):
        return self._known


def build_group(name, step, *, count=None, due_at=0.0, **fields):
    row = fakes.build_workflow(name, step, **fields)
    keys = [f'0.0.{index}' for index in range(count or step.tasks)]
    return workflow_index.Group(
        row=row, occurrence=0, index=0, step=step, keys=keys, due_at=due_at
    )


def build_serving_server(key, *, tail=0.3, **fields):
    server = fakes.build_server(key, **fields)
    step = fakes.build_step(cpu=13_000, image=SERVING, target_ms=150)
    for index in range(3):
        server.claim(step, ('watch', 0, index))
    server.tails = [(SERVING, tail)]
    return server


def count_by_server(starts):
    return collections.Counter(start.backend for start in starts)


class FullScan:
    """Ranking that compares all servers for each task."""

    def __init__(self, request, servers, effects):
        self._args = (request, servers, effects)

    def take(self):
        return server_choice._choose_server(*self._args)

    def put_back(self, server):
        pass


def build_random_fleet(rng, count):
    servers = []
    for number in range(count):
        server = fakes.build_server(
            str(number),
            rack=f'r{number // 16}',
            suspect=rng.random() < 0.1,
            satisfaction=rng.choice((1.0, 1.0, 0.5)),
            probing=rng.random() < 0.1,
        )
        for index in range(rng.randrange(4)):
            step = fakes.build_step(
                cpu=rng.randrange(2000, 15_000),
                image=SERVING,
                target_ms=rng.choice((0, 150)),
                best_effort=rng.random() < 0.3,
                memory_mb=rng.randrange(1000, 60_000),
            )
            server.claim(step, ('other', 0, index))
        if server.serving:
            server.tails = [(SERVING, rng.uniform(0.1, 0.9))]
        servers.append(server)
    return servers


def build_random_group(rng, number):
    step = fakes.build_step(
        tasks=rng.randrange(1, 60),
        cpu=rng.randrange(1000, 12_000),
        memory_mb=rng.randrange(1000, 30_000),
        image=rng.choice((HEAVY, LIGHT)),
        best_effort=rng.random() < 0.5,
        max_per_backend=rng.choice((0, 0, 0, 1)),
        gang=rng.random() < 0.1,
        rack_local=rng.random() < 0.1,
        data_rack=rng.choice(('', '', 'r1')),
    )
    group = build_group(f'w{number}', step, due_at=rng.uniform(0, 9))
    group.rank = rng.uniform(0, 9)
    for key in group.keys:
        if rng.random() < 0.05:
            group.row.tasks[key] = workflow.Task(
                failures=1, last_run=1, failed_on=[rng.choice('012')]
            )
    return group


class LargeFleetTest(testtools.TestCase):
    """Many wide steps wait for a large fleet."""

    def plan(self, seed, count):
        rng = random.Random(seed)
        servers = build_random_fleet(rng, count)
        groups = [build_random_group(rng, number) for number in range(15)]
        return planner.plan_starts(groups, servers, 10, HeavyImageEffects())

    def plan_by_full_scan(self, seed, count):
        with (
            mock.patch.object(server_choice, '_ServerRanking', FullScan),
            mock.patch.object(
                planner._Refusals, 'include', lambda self, group: False
            ),
        ):
            return self.plan(seed, count)

    def test_ranking_chooses_the_servers_of_a_full_scan(self):
        for seed in range(12):
            count = random.Random(seed).randrange(1, server_choice.MAX_SAMPLE)
            expected = self.plan_by_full_scan(seed, count)
            self.assertEqual(expected, self.plan(seed, count), seed)

    def test_sample_starts_as_many_tasks_as_a_full_scan(self):
        for seed in range(2):
            expected = self.plan_by_full_scan(seed, 480)
            actual = self.plan(seed, 480)
            self.assertTrue(
                len(actual) >= 0.98 * len(expected),
                (seed, len(actual), len(expected)),
            )

    def test_task_that_fits_on_one_server_of_many_is_placed(self):
        step = fakes.build_step(cpu=60_000)
        servers = [fakes.build_server(str(n), cpu=1000) for n in range(479)]
        servers.insert(333, fakes.build_server('large'))
        (start,) = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual('large', start.backend)

    def test_effort_does_not_grow_with_waiting_workflows(self):
        """Steps that fit nowhere are compared with one refused step."""
        servers = [fakes.build_server(str(n), cpu=1000) for n in range(160)]
        step = fakes.build_step(tasks=39, cpu=7000)
        groups = [build_group(f'w{n}', step) for n in range(100)]
        estimates = []
        with mock.patch.object(
            server_cost,
            'estimate_cost',
            lambda *args: estimates.append(args),
        ):
            planner.plan_starts(groups, servers, 0)
        self.assertEqual(160, len(estimates))


class CapacityTest(testtools.TestCase):
    def test_capacity_is_never_exceeded(self):
        servers = [fakes.build_server(key) for key in 'ab']
        step = fakes.build_step(tasks=40, cpu=10_000)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'a': 6, 'b': 6}, count_by_server(starts))

    def test_memory_limits_best_effort_tasks(self):
        step = fakes.build_step(
            tasks=40, cpu=10, memory_mb=100_000, best_effort=True
        )
        starts = planner.plan_starts(
            [build_group('w', step)], [fakes.build_server()], 0
        )
        self.assertEqual(2, len(starts))

    def test_anti_affinity(self):
        servers = [fakes.build_server(key) for key in 'ab']
        step = fakes.build_step(tasks=6, max_per_backend=2)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'a': 2, 'b': 2}, count_by_server(starts))

    def test_label_is_required(self):
        servers = [
            fakes.build_server('a'),
            fakes.build_server('b', labels=frozenset({'ssd'})),
        ]
        step = fakes.build_step(tasks=3, required_label='ssd')
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 3}, count_by_server(starts))

    def test_closed_server_gets_no_tasks(self):
        server = fakes.build_server(open=False)
        step = fakes.build_step()
        starts = planner.plan_starts([build_group('w', step)], [server], 0)
        self.assertEqual([], starts)

    def test_gang_starts_all_members_or_none(self):
        step = fakes.build_step(tasks=7, cpu=10_000, gang=True)
        groups = [build_group('w', step)]
        one = [fakes.build_server('a')]
        self.assertEqual([], planner.plan_starts(groups, one, 0))
        two = [fakes.build_server(key) for key in 'ab']
        starts = planner.plan_starts(groups, two, 0)
        self.assertEqual(7, len(starts))
        self.assertEqual({1}, {start.number for start in starts})

    def test_unplaced_gang_releases_its_claims(self):
        gang = fakes.build_step(tasks=7, cpu=10_000, gang=True)
        other = fakes.build_step(cpu=60_000)
        groups = [build_group('g', gang), build_group('w', other, due_at=1)]
        starts = planner.plan_starts(groups, [fakes.build_server()], 0)
        self.assertEqual(['w'], [start.workflow for start in starts])

    def test_rack_local_step_is_placed_on_one_rack(self):
        servers = [
            fakes.build_server(key, rack=rack)
            for key, rack in (('a', 'r1'), ('b', 'r2'), ('c', 'r2'))
        ]
        step = fakes.build_step(tasks=10, cpu=10_000, rack_local=True)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 5, 'c': 5}, count_by_server(starts))

    def test_task_is_placed_on_the_rack_of_its_data(self):
        servers = [fakes.build_server(key, rack=f'r-{key}') for key in 'abc']
        step = fakes.build_step(tasks=3, data_rack='r-b')
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 3}, count_by_server(starts))


class FailureAvoidanceTest(testtools.TestCase):
    def test_retry_prefers_a_server_with_recent_success(self):
        servers = [
            fakes.build_server('a', recent_success=False),
            fakes.build_server('b'),
        ]
        group = build_group('w', fakes.build_step())
        task = group.row.find_task('0.0.0')
        task.failures = 1
        group.row.tasks['0.0.0'] = task
        starts = planner.plan_starts([group], servers, 0)
        self.assertEqual({'b': 1}, count_by_server(starts))

    def test_task_avoids_the_server_on_which_it_failed(self):
        servers = [fakes.build_server(key) for key in 'ab']
        group = build_group('w', fakes.build_step())
        task = group.row.find_task('0.0.0')
        task.failed_on = ['a']
        group.row.tasks['0.0.0'] = task
        starts = planner.plan_starts([group], servers, 0)
        self.assertEqual({'b': 1}, count_by_server(starts))


class ColocationTest(testtools.TestCase):
    """A burst of best-effort surveys beside latency-critical tasks."""

    def plan(self, image, servers, *, tasks=1, known=True, now=0):
        step = fakes.build_step(
            tasks=tasks, cpu=7000, image=image, best_effort=True
        )
        group = build_group('survey', step)
        return planner.plan_starts(
            [group], servers, now, HeavyImageEffects(known=known)
        )

    def test_surveys_avoid_servers_with_serving_tasks(self):
        servers = [build_serving_server('a'), fakes.build_server('b')]
        starts = self.plan(LIGHT, servers, tasks=4)
        self.assertEqual({'b': 4}, count_by_server(starts))

    def test_survey_without_interference_uses_spare_cpu(self):
        starts = self.plan(LIGHT, [build_serving_server('a')], tasks=6)
        self.assertEqual(6, len(starts))

    def test_interfering_survey_avoids_a_server_with_a_high_tail(self):
        starts = self.plan(HEAVY, [build_serving_server('a', tail=0.6)])
        self.assertEqual([], starts)

    def test_workflow_of_lower_rank_displaces_those_of_higher_rank(self):
        # The effect of the later run is as large as that of the new one.
        later = candidate.BestEffortRun(image=HEAVY, tenths=1.1, rank=1.0)
        server = build_serving_server('a', tail=0.6)
        server.best_effort_runs.append(later)
        starts = self.plan(HEAVY, [server])
        self.assertEqual(1, len(starts))
        earlier = candidate.BestEffortRun(image=HEAVY, tenths=1.1, rank=-1.0)
        server = build_serving_server('a', tail=0.6)
        server.best_effort_runs.append(earlier)
        self.assertEqual([], self.plan(HEAVY, [server]))

    def test_unmeasured_pairs_are_probed_one_task_at_a_time(self):
        server = build_serving_server('a')
        starts = self.plan(LIGHT, [server], tasks=5, known=False)
        self.assertEqual(1, len(starts))

    def test_measured_pairs_share_the_headroom_of_one_round(self):
        """Each task costs a headroom of 0.77; the tail has 3.3 to spare."""
        starts = self.plan(
            HEAVY, [build_serving_server('a', tail=0.2)], tasks=9
        )
        self.assertEqual(4, len(starts))

    def test_server_with_low_satisfaction_gets_no_more_surveys(self):
        server = fakes.build_server('a', satisfaction=0.5)
        self.assertEqual([], self.plan(LIGHT, [server]))

    def test_starved_survey_starts_one_task_at_low_pool_utilisation(self):
        servers = [build_serving_server('a', tail=0.9)]
        servers.append(fakes.build_server('b', satisfaction=0.1))
        self.assertEqual([], self.plan(HEAVY, servers, tasks=4, now=1))
        starts = self.plan(HEAVY, servers, tasks=4, now=2)
        self.assertEqual(1, len(starts))

    def test_serving_tasks_are_packed(self):
        servers = [fakes.build_server('a'), build_serving_server('b')]
        step = fakes.build_step(cpu=13_000, image=SERVING, target_ms=150)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 1}, count_by_server(starts))

    def test_other_tasks_are_packed_on_servers_that_surveys_avoid(self):
        servers = [fakes.build_server('a'), build_serving_server('b')]
        step = fakes.build_step(tasks=4)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 4}, count_by_server(starts))

    def test_throttled_survey_is_relocated_to_a_free_server(self):
        world = fakes.World('a', 'b')
        step = fakes.build_step(
            cpu=7000, image=HEAVY, best_effort=True, saves_progress=True
        )
        world.submit(fakes.build_workflow('w', step))
        world.start('w', '0.0.0', 1, 'a')
        world.workflow_index.refresh(5)
        views = world.workflow_index.runs['a']
        current = build_serving_server('a', tail=0.9)
        free = fakes.build_server('b')
        relocations = relocation.list_relocations(
            views,
            list(views),
            {},
            current,
            [current, free],
            HeavyImageEffects(),
        )
        self.assertEqual(list(views), relocations)
        busy = build_serving_server('b', tail=0.9)
        relocations = relocation.list_relocations(
            views,
            list(views),
            {},
            current,
            [current, busy],
            HeavyImageEffects(),
        )
        self.assertEqual([], relocations)

    def test_survey_without_checkpoints_is_relocated_only_early(self):
        world = fakes.World('a', 'b')
        step = fakes.build_step(cpu=7000, image=HEAVY, best_effort=True)
        world.submit(fakes.build_workflow('w', step))
        world.start('w', '0.0.0', 1, 'a')
        world.workflow_index.refresh(5)
        views = world.workflow_index.runs['a']
        (ref,) = views
        for percent, expected in ((20, [ref]), (80, [])):
            seen = session.Presence(
                running=message.Running(ref, '', percent),
                first_at=clocks.seconds(0),
                progressed_at=clocks.seconds(0),
            )
            servers = [fakes.build_server('b')]
            current = build_serving_server('a', tail=0.9)
            relocations = relocation.list_relocations(
                views,
                [ref],
                {ref: seen},
                current,
                servers,
                HeavyImageEffects(),
            )
            self.assertEqual(expected, relocations)


class OrderTest(testtools.TestCase):
    def test_order_is_by_priority_then_due_time(self):
        step = fakes.build_step(cpu=40_000)
        groups = [
            build_group('late', step, due_at=2.0, priority=2),
            build_group('early', step, due_at=1.0, priority=2),
            build_group('urgent', step, due_at=3.0, priority=0),
        ]
        servers = [fakes.build_server(key) for key in 'ab']
        starts = planner.plan_starts(groups, servers, 4)
        self.assertEqual(
            ['urgent', 'early'], [start.workflow for start in starts]
        )
