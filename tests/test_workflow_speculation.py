"""Copies of runs that take far longer than like tasks.

The load: steps of ten quick tasks, some of which run 7 times as long, on
servers some of which turn slow or can't be reached.
"""

import itertools
from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import copy_outcomes
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import speculation
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes
from tests import workflow_listings

SERVERS = [f's{number}' for number in range(8)]
TASK = '0.0.0'
USUAL_S = 1.0
LONG_S = 7.0


class CopyTest(testtools.TestCase):
    """Which runs are copied, and where."""

    def setUp(self):
        super().setUp()
        self.learn()

    def learn(self):
        """Let usual tasks of the queue end on each server."""
        self.fleet = workflow_listings.Listings()
        for number in range(3):
            self.fleet.add_step(f'quick{number}', SERVERS, USUAL_S)
            self.fleet.run(1.5)

    def add_long(self, seconds=LONG_S, **fields):
        """Run a step of usual tasks and a long one for two seconds."""
        fields.setdefault('speculative', True)
        self.fleet.add_step('w', SERVERS[1:], USUAL_S, **fields)
        ref = self.fleet.add('w', SERVERS[0], seconds, index=50, **fields)
        self.fleet.run(2)
        return ref

    def plan(self, *servers, waiting=()):
        views = [
            view
            for rows in self.fleet.views.values()
            for view in rows.values()
        ]
        return speculation.plan_copies(
            views,
            list(waiting),
            list(servers) or [fakes.build_server('spare')],
            self.fleet.monitor,
            self.fleet.clock,
        )

    def find_task(self, ref):
        for rows in self.fleet.views.values():
            if ref in rows:
                return rows[ref].row.find_task(ref.task)
        raise LookupError(ref)

    def test_long_run_is_copied_to_another_server(self):
        ref = self.add_long()
        (copy,) = self.plan(
            fakes.build_server(SERVERS[0]), fakes.build_server('spare')
        )
        self.assertEqual(copy_outcomes.CopyReason.LONG, copy.reason)
        self.assertEqual(
            workflow_commands.RunStart(ref.workflow, ref.task, 2, 'spare'),
            copy.start,
        )
        self.assertTrue(copy.gain_s > 0, copy)

    def test_run_that_ends_as_soon_is_not_copied(self):
        self.add_long(seconds=3.0)
        self.assertEqual([], self.plan())

    def test_step_of_long_tasks_is_not_copied(self):
        for name in ('w1', 'w2'):
            self.fleet.add_step(name, SERVERS, LONG_S, speculative=True)
        self.fleet.run(2)
        self.assertEqual([], self.plan())

    def test_run_on_a_slow_server_is_copied(self):
        self.fleet.speeds[SERVERS[0]] = 0.2
        for name in ('w1', 'w2'):
            self.fleet.add_step(name, SERVERS, 4.0, speculative=True)
        self.fleet.run(1.5)
        copies = self.plan()
        self.assertEqual(
            [
                ('w1', copy_outcomes.CopyReason.SLOW),
                ('w2', copy_outcomes.CopyReason.SLOW),
            ],
            [(copy.start.workflow, copy.reason) for copy in copies],
        )
        # They aren't stopped meanwhile.
        self.assertEqual([], self.fleet.take_slow('spare'))
        self.fleet.run(1)
        self.assertEqual(2, len(self.fleet.take_slow('spare')))

    def test_run_on_a_silent_server_is_copied(self):
        self.fleet.add_step('w', SERVERS, 4.0, speculative=True)
        self.fleet.run(1)
        self.fleet.run(1.5, skip=SERVERS[:1])
        self.assertEqual([], self.plan())
        self.fleet.run(0.5, skip=SERVERS[:1])
        (copy,) = self.plan()
        self.assertEqual(copy_outcomes.CopyReason.SILENT, copy.reason)

    def test_other_kinds_are_not_copied(self):
        for fields in (
            {'speculative': False},
            {'best_effort': True},
            {'gang': True},
            {'long_running': True},
            {'rack_local': True},
        ):
            self.learn()
            self.add_long(**fields)
            self.assertEqual([], self.plan(), fields)

    def test_task_is_copied_once(self):
        self.add_long()
        (copy,) = self.plan()
        self.fleet.monitor.copies.add(copy)
        self.assertEqual([], self.plan())

    def test_states_in_which_a_task_is_not_copied(self):
        run = workflow.Run(number=2, backend='other')
        for change in (
            lambda task: setattr(task, 'done', True),
            lambda task: setattr(task, 'failures', 1),
            lambda task: setattr(task, 'last_run', speculation.MAX_STARTS),
            lambda task: setattr(task, 'suspected_on', ['other']),
            lambda task: task.runs.append(run),
        ):
            self.learn()
            change(self.find_task(self.add_long()))
            self.assertEqual([], self.plan())

    def test_stopping_run_is_not_copied(self):
        ref = self.add_long()
        self.fleet.views[SERVERS[0]][ref].stopping = True
        self.assertEqual([], self.plan())

    def test_waiting_tasks_come_first(self):
        self.add_long()
        for priority, pool, cpu, expected in (
            (0, fakes.POOL, 1000, 0),
            (1, fakes.POOL, 1000, 1),
            (0, 'other', 1000, 1),
            # No server is large enough for it.
            (0, fakes.POOL, 65_000, 1),
        ):
            step = fakes.build_step(cpu=cpu)
            row = fakes.build_workflow('v', step, priority=priority)
            row.pool = pool
            group = workflow_index.Group(
                row=row,
                occurrence=0,
                index=0,
                step=step,
                keys=[TASK],
                due_at=0.0,
            )
            copies = self.plan(waiting=[group])
            self.assertEqual(expected, len(copies), (priority, pool, cpu))

    def test_waiting_tasks_are_read_once(self):
        """The load: many runs that may be copied beside a large backlog."""
        self.add_long()
        views = [
            view
            for rows in self.fleet.views.values()
            for view in rows.values()
        ]
        waiting = mock.MagicMock()
        waiting.__iter__.side_effect = lambda: iter(())
        speculation.plan_copies(
            views, waiting, [], self.fleet.monitor, self.fleet.clock
        )
        self.assertEqual(1, waiting.__iter__.call_count)

    def test_servers_that_take_no_copy(self):
        ref = self.add_long(max_per_backend=1, required_label='ssd')
        labels = frozenset(['ssd'])
        full = fakes.build_server('full', labels=labels)
        full.claim(fakes.build_step(cpu=0), (ref.workflow, 0, 0))
        for server in (
            fakes.build_server('unlabelled'),
            full,
            *(
                fakes.build_server('spare', labels=labels, **fields)
                for fields in (
                    {'open': False},
                    {'suspect': True},
                    {'warming_ms': 500},
                    {'speed': 0.4},
                    {'pool': 'other'},
                    {'memory_mb': 500},
                    {'best_effort_cpu': 63_500},
                    {'suspected': {'other'}},
                )
            ),
        ):
            self.assertEqual([], self.plan(server), server)
        spare = fakes.build_server('spare', labels=labels)
        self.assertEqual(1, len(self.plan(spare)))

    def test_server_without_best_effort_tasks_is_preferred(self):
        self.add_long()
        (copy,) = self.plan(
            fakes.build_server('shared', best_effort_cpu=1000),
            fakes.build_server('spare', used_cpu=20_000),
        )
        self.assertEqual('spare', copy.start.backend)

    def test_copies_use_a_share_of_the_pool(self):
        for number in range(10):
            name = f'w{number}'
            self.fleet.add_step(name, SERVERS, USUAL_S, speculative=True)
            self.fleet.add(
                name, SERVERS[0], LONG_S, index=50, speculative=True
            )
        self.fleet.run(2)
        servers = [fakes.build_server('a'), fakes.build_server('b')]
        copies = self.plan(*servers)
        total = sum(server.cpu for server in servers)
        limit = speculation.MAX_COPY_SHARE * total
        self.assertEqual(limit // 1000, len(copies))

    def test_full_pool_takes_no_copy(self):
        self.add_long()
        server = fakes.build_server('spare', used_cpu=58_000)
        self.assertEqual([], self.plan(server))


class OutcomeTest(testtools.TestCase):
    """Whether long tasks are copied depends on who ends first."""

    NOW = clocks.seconds(10)

    def record(self, outcomes, number, *, reason, name='w'):
        start = workflow_commands.RunStart(name, TASK, 2, 'a')
        outcomes.add(
            copy_outcomes.Copy(start=start, queue='q', reason=reason, gain_s=1)
        )
        outcomes.record_end(
            workflow_commands.RunRef(name, TASK, number), self.NOW
        )

    def play(self, number, reason=copy_outcomes.CopyReason.LONG):
        outcomes = copy_outcomes.CopyOutcomes()
        for _ in range(5):
            self.record(outcomes, number, reason=reason)
        return outcomes

    def test_copies_are_tried_at_first(self):
        outcomes = copy_outcomes.CopyOutcomes()
        self.assertTrue(outcomes.are_useful('q', self.NOW))

    def test_copies_that_end_first_are_useful(self):
        self.assertTrue(self.play(2).are_useful('q', self.NOW))

    def test_copies_that_end_last_are_given_up_for_a_while(self):
        outcomes = self.play(1)
        self.assertFalse(outcomes.are_useful('q', self.NOW))
        self.assertTrue(outcomes.are_useful('other', self.NOW))
        later = self.NOW + 3 * copy_outcomes.OUTCOME_HALF_LIFE
        self.assertTrue(outcomes.are_useful('q', later))

    def test_copies_for_other_reasons_say_nothing(self):
        outcomes = self.play(1, copy_outcomes.CopyReason.SLOW)
        self.assertTrue(outcomes.are_useful('q', self.NOW))

    def test_pending_copies_are_bounded(self):
        outcomes = copy_outcomes.CopyOutcomes()
        for number in range(copy_outcomes.MAX_PENDING + 5):
            start = workflow_commands.RunStart(f'w{number}', TASK, 2, 'a')
            outcomes.add(
                copy_outcomes.Copy(
                    start=start,
                    queue='q',
                    reason=copy_outcomes.CopyReason.LONG,
                    gain_s=1,
                )
            )
        ref = workflow_commands.RunRef('w0', TASK, 1)
        self.assertFalse(outcomes.is_known(ref))


class LogTest(testtools.TestCase):
    """Two runs of one task as the log applies them."""

    def setUp(self):
        super().setUp()
        self.world = fakes.World('a', 'b', 'c')

    def start_both(self, *, tasks=2, **fields):
        fields.setdefault('max_attempts', 3)
        step = fakes.build_step(speculative=True, tasks=tasks)
        self.world.submit(fakes.build_workflow('w', step, **fields))
        self.world.start('w', TASK, 1, 'a')
        return self.world.start('w', TASK, 2, 'b')

    @property
    def task(self):
        return self.world.find('w').find_task(TASK)

    def list_runs(self):
        return [(run.number, run.stopping) for run in self.task.runs]

    def test_task_has_at_most_two_runs_on_different_servers(self):
        self.assertEqual(1, self.start_both())
        self.assertEqual(0, self.world.start('w', TASK, 3, 'c'))
        self.world.end('b', 1, 'w', TASK, 2, 'stopped')
        self.assertEqual(0, self.world.start('w', TASK, 3, 'a'))
        self.assertEqual(1, self.world.start('w', TASK, 3, 'c'))

    def test_each_run_may_use_an_attempt_up(self):
        self.assertEqual(0, self.start_both(max_attempts=1))
        self.world = fakes.World('a', 'b', 'c')
        self.assertEqual(1, self.start_both(max_attempts=2))
        self.world.end('a', 1, 'w', TASK, 1, 'failed')
        self.assertEqual(0, self.world.start('w', TASK, 3, 'c'))
        self.assertEqual(
            workflow.WorkflowState.ACTIVE, self.world.find('w').state
        )
        self.world.end('b', 1, 'w', TASK, 2, 'done')
        self.assertTrue(self.task.done)

    def test_both_runs_count_against_their_servers(self):
        self.start_both()
        self.world.workflow_index.refresh(0)
        index = self.world.workflow_index
        refs = {key: list(rows) for key, rows in index.runs.items()}
        self.assertEqual(
            {
                'a': [workflow_commands.RunRef('w', TASK, 1)],
                'b': [workflow_commands.RunRef('w', TASK, 2)],
            },
            refs,
        )
        self.assertEqual(
            [1, 2], [view.ref.number for view in index.speculative['w']]
        )
        self.assertEqual({('w', '0.0.1')}, self.world.list_ready())

    def test_index_forgets_runs_that_have_ended(self):
        self.start_both(tasks=1)
        for server, number in (('a', 1), ('b', 2)):
            self.world.end(server, 1, 'w', TASK, number, 'done')
        self.world.workflow_index.refresh(0)
        self.assertEqual({}, self.world.workflow_index.speculative)

    def test_first_end_stops_the_other_run(self):
        self.start_both()
        self.world.end('b', 1, 'w', TASK, 2, 'done')
        self.assertEqual([(1, True)], self.list_runs())
        self.assertTrue(self.task.done)

    def test_late_end_of_the_other_run_changes_nothing(self):
        for how in ('done', 'failed', 'stopped', 'lapsed', 'rejected'):
            self.world = fakes.World('a', 'b')
            self.start_both(max_attempts=2)
            self.world.end('b', 1, 'w', TASK, 2, 'done')
            self.world.end('a', 1, 'w', TASK, 1, how)
            self.assertEqual([], self.task.runs)
            self.assertTrue(self.task.done)
            self.assertEqual({('w', '0.0.1')}, self.world.list_ready())

    def test_late_end_after_the_workflow_changes_nothing(self):
        for how in ('done', 'failed', 'stopped'):
            self.world = fakes.World('a', 'b')
            self.start_both(tasks=1, max_attempts=2)
            self.world.end('b', 1, 'w', TASK, 2, 'done')
            self.world.end('a', 1, 'w', TASK, 1, how)
            row = self.world.find('w')
            self.assertEqual(workflow.WorkflowState.COMPLETED, row.state)
            self.assertEqual([], row.list_runs())

    def test_crash_of_either_server_leaves_the_other_run(self):
        for closed, left in (('a', 2), ('b', 1)):
            self.world = fakes.World('a', 'b')
            self.start_both()
            self.world.close(closed)
            self.assertEqual([(left, False)], self.list_runs())
            self.assertEqual({('w', '0.0.1')}, self.world.list_ready())

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(('done', 'failed', 'stopped', 'lapsed')),
            min_size=2,
            max_size=6,
        ),
        strategies.integers(1, 3),
    )
    def test_no_order_of_ends_exceeds_the_attempts(self, ends, attempts):
        self.world = fakes.World('a', 'b')
        self.start_both(tasks=1, max_attempts=attempts)
        numbers = itertools.count(1)
        for how in ends:
            for run in list(self.task.runs)[:1]:
                self.world.end(
                    run.backend, next(numbers), 'w', TASK, run.number, how
                )
            number = self.task.last_run + 1
            for server in ('a', 'b'):
                before = self.task.failures
                if self.world.start('w', TASK, number, server):
                    self.assertTrue(before < attempts)
                    number += 1
        self.assertTrue(self.task.failures <= attempts)


class DispatchedCopyTest(workflow_listings.DispatchedRunsTest):
    """A long task is copied by the leader, from listings to its end."""

    def setUp(self):
        super().setUp()
        self.submit('w1', fakes.build_step(tasks=4, speculative=True))
        self.schedule()
        self.long = workflow_commands.RunRef('w1', '0.0.3', 1)

    def find_rate(self, ref, agent):
        return 5 if ref == self.long else 50

    def find_agent(self, number):
        return self.list_runs()[
            workflow_commands.RunRef('w1', '0.0.3', number)
        ]

    def check_runs(self, *numbers):
        self.assertEqual(
            [('0.0.3', number) for number in numbers],
            sorted((ref.task, ref.number) for ref in self.list_runs()),
        )

    def start_copy(self):
        self.play(2)
        self.end_others()
        self.play(1)
        self.check_runs(1, 2)

    def end_others(self):
        for ref, agent in self.list_runs().items():
            if ref.task != '0.0.3':
                self.send(agent, [ref])

    def test_copy_that_ends_first_stops_the_other_run(self):
        self.start_copy()
        former = self.find_agent(1)
        self.assertNotEqual(former, self.find_agent(2))
        copy = workflow_commands.RunRef('w1', '0.0.3', 2)
        self.send(self.find_agent(2), [copy])
        row = self.state.workflows.find('w1')
        self.assertEqual(workflow.WorkflowState.COMPLETED, row.state)
        self.schedule()
        orders = [
            (order.kind, order.run) for order in self.renew(former).orders
        ]
        self.assertIn((message.OrderKind.STOP, self.long), orders)

    def test_both_ends_at_once(self):
        self.start_copy()
        agents = [self.find_agent(number) for number in (1, 2)]
        for number, agent in enumerate(agents, 1):
            ref = workflow_commands.RunRef('w1', '0.0.3', number)
            self.send(agent, [ref])
        row = self.state.workflows.find('w1')
        self.assertEqual(workflow.WorkflowState.COMPLETED, row.state)
        self.assertEqual([], row.list_runs())

    def test_new_leader_starts_no_further_copy(self):
        self.start_copy()
        self.replica.term = 2
        self.play(3)
        self.check_runs(1, 2)

    def test_other_run_goes_on_after_a_crash_of_the_copys_server(self):
        self.start_copy()
        agent = self.find_agent(2)
        self.report(self.polls[agent], lapsed=True)
        self.poll(agent, born_ms=2)
        del self.polls[agent]
        self.schedule()
        self.check_runs(1)
        self.play(2)
        self.check_runs(1)

    def test_expired_lease_of_the_first_run_leaves_the_copy(self):
        self.start_copy()
        silent = self.find_agent(1)
        delay = options.Options().lease_expiry_delay.total_seconds()
        self.play(delay + 1, skip=silent)
        self.check_runs(2)
