"""Workflow commands as applied from the log: runs, ends, cancellation."""

import testtools

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow
from tests import workflow_fakes as fakes

DONE = 'done'
FAILED = 'failed'


class StartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World('a', 'b')
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))

    def test_task_has_one_run_at_a_time(self):
        self.assertEqual(1, self.world.start('w', '0.0.0', 1, 'a'))
        self.assertEqual(0, self.world.start('w', '0.0.0', 2, 'b'))

    def test_run_number_is_never_reused(self):
        self.world.start('w', '0.0.0', 1, 'a')
        self.world.end('a', 1, 'w', '0.0.0', 1, 'stopped')
        self.assertEqual(0, self.world.start('w', '0.0.0', 1, 'b'))
        self.assertEqual(1, self.world.start('w', '0.0.0', 2, 'b'))

    def test_done_task_is_not_started(self):
        self.world.start('w', '0.0.0', 1, 'a')
        self.world.end('a', 1, 'w', '0.0.0', 1, DONE)
        self.assertEqual(0, self.world.start('w', '0.0.0', 2, 'b'))

    def test_closed_server_gets_no_run(self):
        self.world.close('a')
        self.assertEqual(0, self.world.start('w', '0.0.0', 1, 'a'))

    def test_cancelled_workflow_gets_no_run(self):
        self.world.apply(workflow_commands.CancelWorkflow(id='w', at=1))
        self.assertEqual(0, self.world.start('w', '0.0.0', 1, 'a'))

    def test_attempts_are_bounded(self):
        for number in (1, 2):
            self.world.start('w', '0.0.0', number, 'a')
            self.world.end('a', number, 'w', '0.0.0', number, FAILED)
        self.assertEqual(0, self.world.start('w', '0.0.0', 3, 'a'))
        self.assertEqual(
            workflow.WorkflowState.FAILED, self.world.find('w').state
        )


class AttemptTest(testtools.TestCase):
    """Ends that use up attempts; others must not fail a workflow."""

    def setUp(self):
        super().setUp()
        self.world = fakes.World('a', 'b')

    def run_task(self, number, how, *, server='a', task='0.0.0'):
        self.assertEqual(1, self.world.start('w', task, number, server))
        self.world.end(server, number, 'w', task, number, how)

    @property
    def workflow_state(self):
        return self.world.find('w').state

    def test_only_failed_runs_use_up_attempts(self):
        """A workflow must not fail by runs that others have ended."""
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        hows = ('stopped', 'lapsed', 'rejected', 'broken', 'alone', 'other')
        for number, how in enumerate((*hows, *hows), 1):
            self.run_task(number, how)
        self.assertEqual(0, self.world.find('w').find_task('0.0.0').failures)
        self.run_task(13, FAILED)
        self.assertEqual(workflow.WorkflowState.ACTIVE, self.workflow_state)
        self.run_task(14, FAILED)
        self.assertEqual(workflow.WorkflowState.FAILED, self.workflow_state)

    def test_failures_of_different_tasks_are_not_added_up(self):
        """A wide step must not fail by one failure of several tasks."""
        step = fakes.build_step(tasks=4)
        self.world.submit(fakes.build_workflow('w', step))
        for index in range(4):
            key = f'0.0.{index}'
            self.world.start('w', key, 1, 'a')
            self.world.end('a', index + 1, 'w', key, 1, FAILED)
        self.assertEqual(workflow.WorkflowState.ACTIVE, self.workflow_state)

    def test_failure_of_a_gang_counts_once_for_each_member(self):
        """A gang must not fail by one run that all its members report."""
        step = fakes.build_step(tasks=3, gang=True)
        self.world.submit(fakes.build_workflow('w', step))
        for index in range(3):
            self.world.start('w', f'0.0.{index}', 1, 'a')
        for index in range(3):
            self.world.end('a', index + 1, 'w', f'0.0.{index}', 1, FAILED)
        self.assertEqual(workflow.WorkflowState.ACTIVE, self.workflow_state)

    def test_failure_on_a_server_closed_since_is_ignored(self):
        """The run had ended as lapsed, and its task was started again."""
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.run_task(1, FAILED)
        self.world.start('w', '0.0.0', 2, 'a')
        self.world.close('a')
        self.world.start('w', '0.0.0', 3, 'b')
        self.world.open('a')
        self.world.end('a', 2, 'w', '0.0.0', 2, FAILED)
        self.assertEqual(workflow.WorkflowState.ACTIVE, self.workflow_state)

    def test_no_copy_starts_beside_the_last_attempt(self):
        step = fakes.build_step(speculative=True)
        later = fakes.build_step(after=[0])
        self.world.submit(fakes.build_workflow('w', step, later))
        self.run_task(1, FAILED)
        # The next run is the last attempt, so no copy may start beside it.
        self.world.start('w', '0.0.0', 2, 'a')
        self.assertEqual(0, self.world.start('w', '0.0.0', 3, 'b'))
        self.world.end('a', 2, 'w', '0.0.0', 2, DONE)
        self.assertEqual(workflow.WorkflowState.ACTIVE, self.workflow_state)


class EndTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World('a', 'b')

    def test_next_step_waits_for_all_tasks(self):
        steps = (fakes.build_step(tasks=2), fakes.build_step(after=[0]))
        self.world.submit(fakes.build_workflow('w', *steps))
        self.world.start('w', '0.0.0', 1, 'a')
        self.world.end('a', 1, 'w', '0.0.0', 1, DONE)
        self.assertEqual({('w', '0.0.1')}, self.world.list_ready())
        self.world.start('w', '0.0.1', 1, 'a')
        self.world.end('a', 2, 'w', '0.0.1', 1, DONE)
        self.assertEqual({('w', '0.1.0')}, self.world.list_ready())

    def test_end_counts_once(self):
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.world.start('w', '0.0.0', 1, 'a')
        for _ in range(2):
            self.world.end('a', 1, 'w', '0.0.0', 1, FAILED)
        self.assertEqual(1, self.world.find('w').find_task('0.0.0').failures)

    def test_end_of_a_run_elsewhere_is_ignored(self):
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.world.start('w', '0.0.0', 1, 'a')
        self.world.close('a')
        self.world.start('w', '0.0.0', 2, 'b')
        self.world.open('a')
        self.world.end('a', 1, 'w', '0.0.0', 1, DONE)
        self.assertFalse(self.world.find('w').find_task('0.0.0').done)

    def test_closed_server_releases_its_runs(self):
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.world.start('w', '0.0.0', 1, 'a')
        self.assertEqual(set(), self.world.list_ready())
        self.world.close('a')
        self.assertEqual({('w', '0.0.0')}, self.world.list_ready())

    def test_checkpoint_is_kept_for_the_next_run(self):
        self.world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.world.start('w', '0.0.0', 1, 'a')
        self.world.end('a', 1, 'w', '0.0.0', 1, 'stopped', 'c1')
        task = self.world.find('w').find_task('0.0.0')
        self.assertEqual('c1', task.checkpoint)

    def test_long_running_task_starts_again_however_it_ends(self):
        step = fakes.build_step(long_running=True)
        self.world.submit(fakes.build_workflow('w', step))
        for number, how in enumerate((DONE, FAILED, FAILED, FAILED), 1):
            self.assertEqual(1, self.world.start('w', '0.0.0', number, 'a'))
            self.world.end('a', number, 'w', '0.0.0', number, how)
            self.assertEqual({('w', '0.0.0')}, self.world.list_ready())

    def test_end_of_one_member_completes_a_gang(self):
        step = fakes.build_step(tasks=3, gang=True)
        self.world.submit(fakes.build_workflow('w', step))
        for index in range(3):
            self.world.start('w', f'0.0.{index}', 1, 'a')
        self.world.end('a', 1, 'w', '0.0.1', 1, DONE)
        self.assertEqual(
            workflow.WorkflowState.COMPLETED, self.world.find('w').state
        )

    def test_gang_waits_until_all_members_have_ended(self):
        step = fakes.build_step(tasks=2, gang=True)
        self.world.submit(fakes.build_workflow('w', step))
        for index in range(2):
            self.world.start('w', f'0.0.{index}', 1, 'a')
        self.world.end('a', 1, 'w', '0.0.0', 1, 'alone')
        self.assertEqual(set(), self.world.list_ready())
        self.world.end('a', 2, 'w', '0.0.1', 1, 'alone')
        self.assertEqual(2, len(self.world.list_ready()))


class CancelTest(testtools.TestCase):
    def test_runs_are_stopped(self):
        world = fakes.World('a')
        world.submit(fakes.build_workflow('w', fakes.build_step()))
        world.start('w', '0.0.0', 1, 'a')
        world.apply(workflow_commands.CancelWorkflow(id='w', at=1))
        world.workflow_index.refresh(10)
        (view,) = world.workflow_index.runs['a'].values()
        self.assertTrue(view.stopping)

    def test_second_submission_changes_nothing(self):
        world = fakes.World('a')
        world.submit(fakes.build_workflow('w', fakes.build_step()))
        world.apply(workflow_commands.CancelWorkflow(id='w', at=1))
        world.submit(fakes.build_workflow('w', fakes.build_step()))
        self.assertEqual(
            workflow.WorkflowState.CANCELLED, world.find('w').state
        )


class ScheduleTest(testtools.TestCase):
    def test_occurrences_become_ready_when_due(self):
        world = fakes.World('a')
        schedule = workflow.Schedule(first_at=10, interval_s=5, count=2)
        row = fakes.build_workflow('w', fakes.build_step(), schedule=schedule)
        world.submit(row)
        self.assertEqual(set(), world.list_ready(now=9.9))
        self.assertEqual({('w', '0.0.0')}, world.list_ready(now=10))
        self.assertEqual(
            {('w', '0.0.0'), ('w', '1.0.0')}, world.list_ready(now=15)
        )


class SnapshotTest(testtools.TestCase):
    def test_tables_are_restored_from_a_snapshot(self):
        world = fakes.World('a')
        world.submit(fakes.build_workflow('w', fakes.build_step(tasks=2)))
        world.start('w', '0.0.0', 1, 'a')
        world.end('a', 1, 'w', '0.0.0', 1, 'stopped', 'c1')
        dumped = world.state.dump()
        other = fakes.World()
        other.state.load(dumped)
        self.assertEqual(dumped, other.state.dump())
        self.assertEqual(world.find('w'), other.find('w'))
        self.assertEqual(2, len(other.list_ready()))
