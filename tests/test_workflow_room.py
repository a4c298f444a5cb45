"""Room of the pools as the leader sees it, and the order that follows.

Guards against surges of wide work and the swing of the spare CPU: work that
can't all be in time is chosen by its value, once the room was measured.
"""

import math
from unittest import mock

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.overload import forecast
from bilberryhaven.overload import precedence
from bilberryhaven.workflow import options
from bilberryhaven.workflow import room
from bilberryhaven.workflow import run_times
from bilberryhaven.workflow import urgency
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes

RUN_S = 4.0


class RoomTrackerTest(testtools.TestCase):
    """Measured room, as the leader's rounds and reports feed it."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.times = run_times.RunTimes()
        ranker = urgency.ValueRanker(times=self.times)
        self.world = fakes.World('a')
        self.index = workflow_index.WorkflowIndex(
            self.world.state, ranker=ranker
        )
        self.rooms = room.RoomTracker(
            index=self.index,
            ranker=ranker,
            clock=self.clock,
            options=options.Options(chooses_best_effort=True, shares=True),
        )
        self.ref = workflow_commands.RunRef('w', '0.0.0', 1)
        self.view = workflow_index.RunView(
            ref=self.ref,
            row=fakes.build_workflow('w'),
            step=fakes.build_step(best_effort=True),
            group=(),
            backend='a',
            stopping=False,
            checkpoint='',
            ordered_at=0,
        )

    def measure(self, **fields):
        end = workflow_commands.RunEnd(1, self.ref, workflow_commands.DONE, '')
        ends = [end] * forecast.MIN_ENDS
        self.rooms.record_ends({self.ref: self.view}, ends, 0.0)
        self.clock.advance(clocks.seconds(forecast.MIN_OBSERVED_S))
        self.rooms.observe([fakes.build_server('a', **fields)])

    def test_rates_are_unknown_until_measured_and_in_a_new_term(self):
        self.rooms.observe([fakes.build_server('a')])
        self.assertEqual({}, self.rooms.rates)
        self.measure()
        self.assertEqual(
            {(fakes.POOL, False), (fakes.POOL, True)}, set(self.rooms.rates)
        )
        self.rooms.begin_term()
        self.assertEqual({}, self.rooms.rates)

    def test_best_effort_room_is_what_is_in_use_where_tasks_get_less(self):
        for satisfaction, cpu in ((1.0, fakes.CORES * 1000), (0.5, 2000)):
            self.rooms.begin_term()
            self.measure(satisfaction=satisfaction, best_effort_cpu=2000)
            self.assertEqual(cpu, self.rooms.rates[fakes.POOL, True])

    def test_best_effort_room_is_what_is_in_use_while_tasks_wait(self):
        """Tail latencies keep best-effort tasks from using idle CPU."""
        for name, waited_s, cpu in (
            ('new', room.MIN_WAIT_S - 0.1, fakes.CORES * 1000),
            ('old', room.MIN_WAIT_S + 0.1, 2000),
        ):
            observed_at = (
                self.clock.wall().timestamp() + forecast.MIN_OBSERVED_S
            )
            row = fakes.build_workflow(
                name,
                fakes.build_step(best_effort=True),
                submitted_at=observed_at - waited_s,
            )
            self.world.submit(row)
            self.rooms.begin_term()
            self.index.refresh(observed_at)
            self.measure(best_effort_cpu=2000)
            self.assertEqual(cpu, self.rooms.rates[fakes.POOL, True])

    def test_serving_tasks_leave_their_idle_cpu_to_best_effort_work(self):
        self.measure(used_cpu=10_000, serving={'image': 10_000})
        cpu = fakes.CORES * 1000
        self.assertEqual(cpu - 10_000, self.rooms.rates[fakes.POOL, False])
        self.assertEqual(cpu - 5_500, self.rooms.rates[fakes.POOL, True])

    def test_backlog_has_the_remaining_work_of_its_pool(self):
        self.times.record('surveys', RUN_S)
        for name, fields in (
            ('a', {'best_effort': True, 'tasks': 3}),
            ('b', {'long_running': True}),
            ('c', {}),
        ):
            row = fakes.build_workflow(name, fakes.build_step(**fields))
            self.world.submit(row)
        self.world.start('a', '0.0.0', 1, 'a')
        self.world.end('a', 1, 'a', '0.0.0', 1, 'done')
        self.index.refresh(0)
        backlog = self.rooms.get_forecast(fakes.POOL).backlog
        self.assertEqual(3 * 1000 * RUN_S, backlog.sum_work())

    def test_backlog_tells_whose_work_it_is(self):
        self.times.record('surveys', RUN_S)
        for name, tasks in (('a', 30), ('b', 3)):
            step = fakes.build_step(tasks=tasks)
            self.world.submit(fakes.build_workflow(name, step, zone=name))
        self.index.refresh(0)
        backlog = self.rooms.get_forecast(fakes.POOL).backlog
        kind = {'best_effort': False}
        for zone, tasks in (('', 33), ('b', 6)):
            self.assertEqual(
                tasks * 1000 * RUN_S,
                backlog.sum_ahead(0, math.inf, zone=zone, **kind),
            )


class ChosenRankTest(testtools.TestCase):
    """A surge: work that can't all be in time competes for the room."""

    def setUp(self):
        super().setUp()
        times = run_times.RunTimes()
        times.record('surveys', RUN_S)
        self.world = fakes.World('a')
        self.times = times
        self.ranker = urgency.ValueRanker(times=times)
        self.index = workflow_index.WorkflowIndex(
            self.world.state, ranker=self.ranker
        )

    def submit(self, name, *, at=0.0, latency_ms=4000, **fields):
        row = fakes.build_workflow(
            name,
            fakes.build_step(**fields),
            submitted_at=at,
            latency_ms=latency_ms,
        )
        self.world.submit(row)

    def list_order(self, *, best_effort, rate, now=0.0):
        self.index.refresh(now)
        rates = {(fakes.POOL, best_effort): rate}
        groups = self.index.list_groups(now, rates)
        return [group.row.id for group in sorted(groups, key=lambda g: g.rank)]

    def test_work_that_fits_is_served_by_latest_start(self):
        for best_effort in (False, True):
            kind = {'best_effort': best_effort}
            self.submit(f'patient-{best_effort}', latency_ms=9000, **kind)
            self.submit(f'pressing-{best_effort}', at=1.0, **kind)
            order = self.list_order(best_effort=best_effort, rate=1e6)
            order = [name for name in order if name.endswith(str(best_effort))]
            self.assertEqual(
                [f'pressing-{best_effort}', f'patient-{best_effort}'], order
            )

    def test_wide_work_that_does_not_fit_waits(self):
        self.submit('wide', tasks=40)
        for number in range(3):
            self.submit(f'narrow-{number}', at=0.1, tasks=2)
        order = self.list_order(best_effort=False, rate=4000)
        self.assertEqual('wide', order[-1])

    def test_claims_are_served_by_due_time_while_the_room_is_unknown(self):
        self.submit('wide', tasks=40)
        self.submit('narrow', at=0.1)
        order = self.list_order(best_effort=True, rate=1e6)
        self.assertEqual(['wide', 'narrow'], order)

    def test_long_running_work_is_not_delayed(self):
        self.submit('narrow', at=1.0)
        self.submit('standing', at=1.1, tasks=40, long_running=True)
        order = self.list_order(best_effort=False, rate=4000)
        self.assertEqual(['standing', 'narrow'], order)

    def test_only_what_has_changed_is_measured_again(self):
        """The load: a large backlog that is ranked in each round."""
        for name in 'ab':
            self.submit(name, tasks=2)

        def start():
            self.world.start('a', '0.0.0', 1, 'a')

        def learn():
            self.times.record('surveys', 100 * RUN_S)

        for change, count in ((list, 2), (list, 0), (learn, 0), (start, 1)):
            change()
            with mock.patch.object(
                urgency, '_measure_extent', wraps=urgency._measure_extent
            ) as measure:
                self.list_order(best_effort=False, rate=1e6)
            self.assertEqual(count, measure.call_count, change)

    def test_needs_follow_each_change_of_the_run_times(self):
        self.submit('w', tasks=2)
        self.list_order(best_effort=False, rate=1e6)
        self.times.record('surveys', 1.01 * RUN_S)
        (item,) = self.index.list_occurrences()
        self.assertEqual(
            self.ranker.describe(item.row, item.undone, item.due_at),
            self.ranker.find_need(item),
        )

    def test_run_keeps_the_rank_by_which_it_was_started(self):
        self.submit('w', best_effort=True, tasks=2)
        self.list_order(best_effort=True, rate=1e6)
        self.world.start('w', '0.0.0', 1, 'a')
        self.index.refresh(0.0)
        (view,) = self.index.runs['a'].values()
        self.assertTrue(view.rank < 0, view.rank)
        self.assertEqual(4.0 - precedence.TIER, view.rank)
