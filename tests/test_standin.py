"""Tests of the stand-in backend server's tasks, on a manual clock."""

import testtools

from bilberryhaven.agent import protocol
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.standin import faults
from bilberryhaven.standin import resources
from bilberryhaven.standin import tasks


class TestTaskRunner(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.resources = resources.ResourceTracker(slots=2, connections=4)
        self.runner = tasks.TaskRunner(
            clock=self.clock, resources=self.resources, faults=faults.Faults()
        )
        self.renew(1)

    def renew(self, session, ticket=None, lease_ms=4000):
        if ticket is None:
            ticket = self.runner.issue_ticket()
        self.runner.renew(
            protocol.LeaseGrant(
                session=session, ticket=ticket, lease_ms=lease_ms
            )
        )

    def start(self, task_id, epoch=1, session=1, payload=b'{}', **fields):
        return self.runner.start(
            protocol.TaskStart(
                id=task_id,
                epoch=epoch,
                session=session,
                payload=payload,
                **fields,
            )
        )

    def advance(self, seconds):
        self.clock.advance(clocks.seconds(seconds))
        self.runner.advance()

    def test_late_renewal_counts_from_ticket_time(self):
        ticket = self.runner.issue_ticket()
        task = self.start('j1')
        self.advance(3.9)
        self.renew(1, ticket)
        self.advance(0.2)
        self.assertEqual(tasks.TaskState.STOPPED, task.state)
        self.assertEqual('its lease ran out', task.reason)

    def test_task_stops_exactly_at_lease_expiry(self):
        task = self.start('j1', payload=b'{"seconds": 10}')
        self.advance(60)
        self.assertEqual(4.0, task.done)
        self.assertEqual(0, self.resources.slots_used)
        self.assertRaises(errors.LeaseLapsedError, self.start, 'j2')

    def test_task_resumes_from_its_checkpoint(self):
        first = self.start('j1', payload=b'{"seconds": 3, "result": 5}')
        self.advance(2)
        self.runner.stop('j1', 1)
        second = self.start(
            'j1',
            epoch=2,
            payload=b'{"seconds": 3, "result": 5}',
            checkpoint=first.build_checkpoint(),
        )
        self.advance(1)
        self.assertEqual(tasks.TaskState.FINISHED, second.state)
        self.assertEqual(b'5', second.describe().result)

    def test_throttled_task_progresses_at_its_share(self):
        task = self.start('j1', payload=b'{"seconds": 3}')
        self.runner.throttle('j1', 1, 0.5)
        self.advance(2)
        self.assertEqual(1.0, task.done)

    def test_older_epochs_and_sessions_are_fenced(self):
        self.start('j1', epoch=2)
        self.assertRaises(errors.FencedError, self.start, 'j1', 1)
        self.assertRaises(errors.FencedError, self.start, 'j2', 1, 2)
        self.assertRaises(errors.FencedError, self.renew, 0)

    def test_repeated_start_returns_the_same_task(self):
        first = self.start('j1', payload=b'{"seconds": 1}')
        self.assertIs(first, self.start('j1'))
        self.advance(2)
        self.assertIs(first, self.start('j1'))
        self.assertEqual(tasks.TaskState.FINISHED, first.state)

    def test_newer_session_stops_tasks_of_older_sessions(self):
        task = self.start('j1')
        self.renew(2)
        self.assertEqual(tasks.TaskState.STOPPED, task.state)
        self.assertEqual(0, self.resources.slots_used)

    def test_task_stopped_before_its_start_never_starts(self):
        self.runner.stop('j1', 1)
        task = self.start('j1')
        self.assertEqual(tasks.TaskState.ABSENT, task.state)
        self.assertEqual(0, self.resources.slots_used)

    def test_start_beyond_the_slots_is_refused_and_recorded(self):
        self.start('j1')
        self.start('j2')
        self.assertRaises(errors.OverloadError, self.start, 'j3')
        self.assertEqual(['3 of 2 slots'], self.resources.list_violations())
