"""Scheduling rounds of the leader end, whatever starts are refused."""

from unittest import mock

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import planner
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

# Proposals of one round after which it is taken for endless.
MAX_PROPOSALS = 50


class RoundTest(test_workflow_dispatcher.DispatcherTest):
    def setUp(self):
        super().setUp()
        self.proposals = 0
        self.first = None
        self.between = lambda: None
        propose = self.replica.propose

        def count(data, **fields):
            self.proposals += 1
            self.assertTrue(self.proposals < MAX_PROPOSALS, 'endless round')
            result = propose(data, **fields)
            self.between()
            return result

        self.replica.propose = count

    def schedule(self):
        self.proposals = 0
        super().schedule()

    def end(self, first, number, how, run=1, name='w'):
        ref = workflow_commands.RunRef(name, '0.0.0', run)
        self.report(first, workflow_commands.RunEnd(number, ref, how))

    def start_without_attempts(self, max_attempts=0, name='w', **fields):
        self.replace(version=2 - max_attempts, max_attempts=max_attempts)
        self.first = self.first or self.poll()
        self.submit(name, fakes.build_step(**fields))
        self.schedule()
        return self.first

    def test_queue_without_attempts_does_not_hold_the_round_up(self):
        # The round planned a start without end that was refused each time,
        # and servers that left were no longer looked after.
        for max_attempts, name in ((0, 'none'), (-1, 'negative')):
            self.start_without_attempts(max_attempts, name)
            self.assertEqual(1, self.proposals)
            self.schedule()
            self.assertEqual(0, self.proposals)

    def test_first_attempt_is_made_and_its_failure_is_final(self):
        first = self.start_without_attempts()
        row = self.state.workflows.find('w')
        self.assertEqual([1], [run.number for _, run in row.list_runs()])
        self.end(first, 1, 'failed')
        self.assertEqual('failed', str(row.state))
        self.schedule()
        self.assertEqual([], row.list_runs())

    def test_run_that_ends_otherwise_uses_no_attempt_up(self):
        first = self.start_without_attempts()
        self.end(first, 1, 'lapsed')
        self.schedule()
        row = self.state.workflows.find('w')
        self.assertEqual([2], [run.number for _, run in row.list_runs()])
        self.end(first, 2, 'done', run=2)
        self.assertEqual('completed', str(row.state))

    def test_task_that_lasts_has_no_bound_on_its_attempts(self):
        first = self.start_without_attempts(long_running=True)
        for number in (1, 2, 3):
            self.end(first, number, 'failed', run=number)
            self.schedule()
        row = self.state.workflows.find('w')
        self.assertEqual([4], [run.number for _, run in row.list_runs()])

    def test_planner_and_command_judge_attempts_alike(self):
        for max_attempts in (-1, 0, 1, 2):
            for failures in range(3):
                for fields in ({}, {'long_running': True}):
                    self.check_alike(max_attempts, failures, fields)

    def check_alike(self, max_attempts, failures, fields):
        world = fakes.World('a')
        step = fakes.build_step(**fields)
        world.submit(fakes.build_workflow('w', step))
        row = world.find('w')
        row.max_attempts = max_attempts
        for number in range(1, failures + 1):
            world.start('w', '0.0.0', number, 'a')
            world.end('a', number, 'w', '0.0.0', number, 'failed')
        ready = world.list_ready()
        if row.state == 'active':
            started = world.start('w', '0.0.0', failures + 1, 'a')
            self.assertEqual(len(ready), started)
        else:
            self.assertEqual(set(), ready)

    def test_round_ends_if_all_of_its_starts_are_refused(self):
        # Whatever else planner and command may disagree on.
        self.replace()
        self.poll()
        start = workflow_commands.RunStart('unknown', '0.0.0', 1, 's-i@1')
        plan_starts = planner.plan_starts
        self.addCleanup(setattr, planner, 'plan_starts', plan_starts)
        planner.plan_starts = lambda *args: [start]
        self.schedule()
        self.assertEqual(1, self.proposals)

    def test_steady_submissions_do_not_hold_the_upkeep_up(self):
        self.replace()
        self.poll()
        self.submit('w0')
        submitted = []

        def submit_another():
            if self.proposals % 2:
                self.advance(0.001)
                submitted.append(f'w{len(submitted) + 1}')
                self.submit(submitted[-1])

        self.between = submit_another
        self.leader._wake.clear()
        with mock.patch.object(
            dispatcher, 'MAX_PLANNING', clocks.seconds(0.005)
        ):
            self.schedule()
        self.assertEqual(5, len(submitted))
        # The next round begins at once.
        self.assertTrue(self.leader._wake.is_set())
