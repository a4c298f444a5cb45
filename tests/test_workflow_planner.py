"""Where tasks go: capacity, company, racks, and loads that starve."""

import collections

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import board
from bilberryhaven.workflow import message
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import session
from tests import workflow_fakes as fakes

SERVING = 'inspector-map'
HEAVY = 'heavy-survey'
LIGHT = 'light-survey'


class Effects(planner.Effects):
    """Only HEAVY raises tails, twofold for each tenth of a server."""

    def __init__(self, *, known=True):
        self._known = known

    def get_effect(self, serving, image):
        return 0.7 if image == HEAVY else 0.0

    def is_known(self, serving, image):
        return self._known


def build_group(name, step, *, count=None, due_at=0.0, **fields):
    row = fakes.build_workflow(name, step, **fields)
    keys = [f'0.0.{index}' for index in range(count or step.tasks)]
    return board.Group(
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


class CapacityTest(testtools.TestCase):
    def test_never_over_capacity(self):
        servers = [fakes.build_server(key) for key in 'ab']
        step = fakes.build_step(tasks=40, cpu=10_000)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'a': 6, 'b': 6}, count_by_server(starts))

    def test_memory_binds_best_effort_tasks_too(self):
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

    def test_closed_server_gets_nothing(self):
        server = fakes.build_server(open=False)
        step = fakes.build_step()
        starts = planner.plan_starts([build_group('w', step)], [server], 0)
        self.assertEqual([], starts)

    def test_gang_starts_whole_or_not_at_all(self):
        step = fakes.build_step(tasks=7, cpu=10_000, gang=True)
        groups = [build_group('w', step)]
        one = [fakes.build_server('a')]
        self.assertEqual([], planner.plan_starts(groups, one, 0))
        two = [fakes.build_server(key) for key in 'ab']
        starts = planner.plan_starts(groups, two, 0)
        self.assertEqual(7, len(starts))
        self.assertEqual({1}, {start.number for start in starts})

    def test_refused_gang_leaves_its_room_to_others(self):
        gang = fakes.build_step(tasks=7, cpu=10_000, gang=True)
        other = fakes.build_step(cpu=60_000)
        groups = [build_group('g', gang), build_group('w', other, due_at=1)]
        starts = planner.plan_starts(groups, [fakes.build_server()], 0)
        self.assertEqual(['w'], [start.workflow for start in starts])

    def test_rack_local_step_keeps_to_one_rack(self):
        servers = [
            fakes.build_server(key, rack=rack)
            for key, rack in (('a', 'r1'), ('b', 'r2'), ('c', 'r2'))
        ]
        step = fakes.build_step(tasks=10, cpu=10_000, rack_local=True)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 5, 'c': 5}, count_by_server(starts))

    def test_task_goes_to_its_data(self):
        servers = [fakes.build_server(key, rack=f'r-{key}') for key in 'abc']
        step = fakes.build_step(tasks=3, data_rack='r-b')
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 3}, count_by_server(starts))


class DoubtTest(testtools.TestCase):
    def test_last_attempt_goes_to_a_proven_server(self):
        servers = [
            fakes.build_server('a', proven=False),
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


class CompanyTest(testtools.TestCase):
    """A surge of surveys beside tasks that serve users."""

    def plan(self, image, servers, *, tasks=1, known=True, now=0):
        step = fakes.build_step(
            tasks=tasks, cpu=7000, image=image, best_effort=True
        )
        group = build_group('survey', step)
        return planner.plan_starts([group], servers, now, Effects(known=known))

    def test_surveys_avoid_servers_that_serve(self):
        servers = [build_serving_server('a'), fakes.build_server('b')]
        starts = self.plan(LIGHT, servers, tasks=4)
        self.assertEqual({'b': 4}, count_by_server(starts))

    def test_harmless_survey_uses_what_serving_tasks_leave(self):
        starts = self.plan(LIGHT, [build_serving_server('a')], tasks=6)
        self.assertEqual(6, len(starts))

    def test_disturbing_survey_stays_away_from_a_high_tail(self):
        starts = self.plan(HEAVY, [build_serving_server('a', tail=0.6)])
        self.assertEqual([], starts)

    def test_earlier_workflow_takes_the_room_of_later_ones(self):
        # The later run raises the tail by as much as the new one would.
        later = planner.Filler(image=HEAVY, tenths=1.1, rank=1.0)
        server = build_serving_server('a', tail=0.6)
        server.fillers.append(later)
        starts = self.plan(HEAVY, [server])
        self.assertEqual(1, len(starts))
        earlier = planner.Filler(image=HEAVY, tenths=1.1, rank=-1.0)
        server = build_serving_server('a', tail=0.6)
        server.fillers.append(earlier)
        self.assertEqual([], self.plan(HEAVY, [server]))

    def test_unknown_pairs_are_tried_one_at_a_time(self):
        server = build_serving_server('a')
        starts = self.plan(LIGHT, [server], tasks=5, known=False)
        self.assertEqual(1, len(starts))

    def test_unsatisfied_server_gets_no_more(self):
        server = fakes.build_server('a', satisfaction=0.5)
        self.assertEqual([], self.plan(LIGHT, [server]))

    def test_starved_survey_gets_one_task_while_the_pool_is_half_empty(self):
        servers = [build_serving_server('a', tail=0.9)]
        servers.append(fakes.build_server('b', satisfaction=0.1))
        self.assertEqual([], self.plan(HEAVY, servers, tasks=4, now=1))
        starts = self.plan(HEAVY, servers, tasks=4, now=2)
        self.assertEqual(1, len(starts))

    def test_serving_tasks_pack(self):
        servers = [fakes.build_server('a'), build_serving_server('b')]
        step = fakes.build_step(cpu=13_000, image=SERVING, target_ms=150)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 1}, count_by_server(starts))

    def test_urgent_tasks_fill_up_servers_that_surveys_avoid(self):
        servers = [fakes.build_server('a'), build_serving_server('b')]
        step = fakes.build_step(tasks=4)
        starts = planner.plan_starts([build_group('w', step)], servers, 0)
        self.assertEqual({'b': 4}, count_by_server(starts))

    def test_paused_survey_moves_to_where_it_can_work(self):
        world = fakes.World('a', 'b')
        step = fakes.build_step(
            cpu=7000, image=HEAVY, best_effort=True, saves_progress=True
        )
        world.submit(fakes.build_workflow('w', step))
        world.start('w', '0.0.0', 1, 'a')
        world.board.refresh(5)
        views = world.board.runs['a']
        here = build_serving_server('a', tail=0.9)
        free = fakes.build_server('b')
        moves = planner.list_relocations(
            views, list(views), {}, here, [here, free], Effects()
        )
        self.assertEqual(list(views), moves)
        busy = build_serving_server('b', tail=0.9)
        moves = planner.list_relocations(
            views, list(views), {}, here, [here, busy], Effects()
        )
        self.assertEqual([], moves)

    def test_survey_without_checkpoints_moves_only_early(self):
        world = fakes.World('a', 'b')
        step = fakes.build_step(cpu=7000, image=HEAVY, best_effort=True)
        world.submit(fakes.build_workflow('w', step))
        world.start('w', '0.0.0', 1, 'a')
        world.board.refresh(5)
        views = world.board.runs['a']
        (ref,) = views
        for percent, expected in ((20, [ref]), (80, [])):
            seen = session.Presence(
                running=message.Running(ref, '', percent),
                first_at=clocks.seconds(0),
                progressed_at=clocks.seconds(0),
            )
            servers = [fakes.build_server('b')]
            here = build_serving_server('a', tail=0.9)
            moves = planner.list_relocations(
                views, [ref], {ref: seen}, here, servers, Effects()
            )
            self.assertEqual(expected, moves)


class OrderTest(testtools.TestCase):
    def test_urgent_before_surveys_then_first_come(self):
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
