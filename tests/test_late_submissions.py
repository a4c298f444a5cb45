"""Submissions that were held up while their caller cancelled the workflow."""

from unittest import mock

import msgspec
import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.platform import handlers
from bilberryhaven.tables import cancellation
from bilberryhaven.tables import catalog
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from tests import relays
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

HOST = test_workflow_dispatcher.HOST
PREFIX = test_workflow_dispatcher.PREFIX
RETENTION_S = options.Options().ended_retention.total_seconds()
MAX_CANCELLATIONS = 4
TIMEOUT = 10
JOB = b'{"spec": "", "steps": [{"task_count": 1}]}'


class LateSubmissionTest(test_workflow_dispatcher.DispatcherTest):
    """The leader's part, by a clock that advances on request."""

    def setUp(self):
        super().setUp()
        self.replace()

    def submit(self, name, *steps, age=0.0):
        """Submit a workflow that may have been sent ``age`` seconds ago."""
        self.advance(0.01)
        submission = message.Submit(
            host=HOST,
            path=PREFIX + name,
            spec='spec',
            steps=[fakes.build_step()],
        )
        request = wire_message.WorkRequest(body=message.encode(submission))
        request.note_received(self.clock.monotonic() - clocks.seconds(age))
        return self.leader.handle(request)

    def cancel(self, name):
        self.advance(0.01)
        return self.ask(message.Cancel(host=HOST, path=PREFIX + name))

    def inquire(self, name):
        return self.ask(message.Inquire(host=HOST, path=PREFIX + name))

    def cancel_unknown(self, name):
        self.assertRaises(errors.GoneError, self.cancel, name)

    def check_refused(self, name, error=errors.RejectedError, age=0.0):
        found = self.assertRaises(error, self.submit, name, age=age)
        self.assertEqual(errors.Outcome.NOT_RUN, found.outcome)
        self.assertIsNotNone(found.retry_after)
        self.assertNotIn(name, self.state.workflows)

    def pass_time(self, seconds):
        """Let time pass while the leader keeps its tables."""
        for _ in range(int(seconds) // 10 + 2):
            self.advance(10)
            self.schedule()

    def test_submission_that_arrives_after_its_cancel_is_not_accepted(self):
        # It was accepted and run, though its cancel had been acknowledged.
        self.cancel_unknown('w')
        self.advance(5)
        self.check_refused('w', age=6)
        self.assertRaises(errors.GoneError, self.inquire, 'w')

    def test_id_stays_that_of_the_cancelled_workflow(self):
        # As for a workflow that was stored when it was cancelled.
        self.cancel_unknown('w')
        self.advance(5)
        self.check_refused('w', age=0)
        self.cancel_unknown('w')

    def test_other_submissions_are_accepted(self):
        self.cancel_unknown('w')
        self.submit('other', age=RETENTION_S / 2)
        self.assertIn('other', self.state.workflows)

    def test_cancel_of_a_stored_workflow_leaves_nothing_else(self):
        self.submit('w')
        self.assertEqual('cancelled', self.cancel('w').state)
        self.assertEqual('cancelled', self.cancel('w').state)
        self.assertEqual(0, len(self.state.cancellations))

    def test_next_leader_refuses_it(self):
        self.cancel_unknown('w')
        self.replica.term += 1
        self.check_refused('w', age=6)

    def test_restart_from_a_snapshot(self):
        self.cancel_unknown('w')
        self.machine.load(self.machine.dump())
        self.leader = self.build_leader()
        self.check_refused('w', age=6)

    def test_snapshot_without_cancels_is_loaded(self):
        *head, parts = msgspec.msgpack.decode(self.machine.dump())
        del parts['cancellations']
        self.machine.load(msgspec.msgpack.encode([*head, parts]))
        self.submit('w')

    def test_step_of_the_time_of_day_changes_nothing(self):
        for step in (-3600, 3600):
            self.cancel_unknown('w')
            self.clock.step_wall(clocks.seconds(step))
            self.schedule()
            self.check_refused('w', age=6)

    def test_cancel_that_is_committed_after_the_check(self):
        propose = self.replica.propose

        def cancel_first(data, **fields):
            self.replica.propose = propose
            self.cancel_unknown('w')
            return propose(data, **fields)

        self.replica.propose = cancel_first
        self.check_refused('w')

    def test_submission_that_is_committed_before_the_cancel(self):
        propose = self.replica.propose

        def submit_first(data, **fields):
            self.replica.propose = propose
            self.submit('w')
            return propose(data, **fields)

        self.replica.propose = submit_first
        self.assertEqual('cancelled', self.cancel('w').state)

    def test_submission_checked_in_an_earlier_term_is_not_accepted(self):
        propose = self.replica.propose

        def lose_leadership(data, **fields):
            self.replica.propose = propose
            self.replica.term += 1
            return propose(data, **fields)

        self.replica.propose = lose_leadership
        self.assertRaises(errors.NotLeaderError, self.submit, 'w')
        self.assertNotIn('w', self.state.workflows)

    def test_cancel_is_removed_at_its_age(self):
        self.cancel_unknown('w')
        self.pass_time(RETENTION_S)
        self.assertEqual(0, len(self.state.cancellations))
        # Held up since before the cancel.
        self.check_refused('w', errors.OutdatedError, age=RETENTION_S + 5)
        self.submit('w', age=1)
        self.assertIn('w', self.state.workflows)

    def test_repeated_cancel_counts_from_its_repetition(self):
        self.cancel_unknown('w')
        self.pass_time(RETENTION_S / 2)
        self.cancel_unknown('w')
        self.pass_time(RETENTION_S / 2)
        self.check_refused('w', age=RETENTION_S / 2)

    def test_late_duplicate_of_a_removed_workflow(self):
        # It was accepted as a new workflow, and run again.
        self.submit('w')
        self.cancel('w')
        self.pass_time(RETENTION_S)
        self.assertNotIn('w', self.state.workflows)
        self.check_refused('w', errors.OutdatedError, age=RETENTION_S + 9)
        self.assertEqual(1, self.leader.outdated_submissions)

    def test_duplicate_of_a_stored_workflow_is_acknowledged(self):
        self.submit('w')
        self.submit('w', age=2 * RETENTION_S)
        self.assertEqual('queued', self.inquire('w').state)


@mock.patch.object(cancellation, 'MAX_CANCELLATIONS', MAX_CANCELLATIONS)
class FloodTest(LateSubmissionTest):
    """Cancels of unknown ids beyond what is stored."""

    def flood(self, count=MAX_CANCELLATIONS):
        for number in range(count):
            self.advance(1)
            self.cancel_unknown(f'other-{number}')

    def test_number_of_stored_cancels_is_bounded(self):
        self.flood(3 * MAX_CANCELLATIONS)
        self.assertEqual(MAX_CANCELLATIONS, len(self.state.cancellations))
        arrivals = self.leader._memory.late_submissions._arrivals
        self.assertTrue(len(arrivals) <= 2 * MAX_CANCELLATIONS)

    def test_dropped_cancel_still_holds(self):
        self.cancel_unknown('w')
        cancelled_at = self.clock.monotonic()
        self.flood()
        self.assertNotIn('w', self.state.cancellations)
        age = (self.clock.monotonic() - cancelled_at).total_seconds()
        self.check_refused('w', errors.OutdatedError, age=age + 1)

    def test_newer_submissions_are_accepted_beside_it(self):
        self.cancel_unknown('w')
        self.flood()
        self.submit('new', age=MAX_CANCELLATIONS - 1)
        self.assertIn('new', self.state.workflows)

    def test_next_leader_knows_that_cancels_may_have_been_dropped(self):
        self.cancel_unknown('w')
        self.flood()
        self.replica.term += 1
        self.leader.ensure_ready()
        self.advance(2)
        self.check_refused('w', errors.OutdatedError, age=3)
        self.submit('new', age=1)

    def test_cancel_whose_commit_is_unknown(self):
        self.cancel_unknown('w')
        self.flood(MAX_CANCELLATIONS - 1)
        commit = self.replica.propose

        def lose_answer(data, **fields):
            commit(data, **fields)
            raise errors.DeadlineError('late', step='commit')

        self.replica.propose = lose_answer
        self.assertRaises(errors.DeadlineError, self.cancel, 'x')
        self.replica.propose = commit
        self.assertNotIn('w', self.state.cancellations)
        self.check_refused('w', errors.OutdatedError, age=60)


class CommandTest(testtools.TestCase):
    def test_expiry_spares_a_cancel_that_was_repeated(self):
        world = fakes.World()
        world.apply(workflow_commands.CancelWorkflow(id='w', at=1.0))
        world.apply(workflow_commands.CancelWorkflow(id='w', at=2.0))
        for at, count in ((1.0, 1), (2.0, 0)):
            world.apply(
                workflow_commands.ExpireWorkflows(
                    ids=[], cancellations=[('w', at)]
                )
            )
            self.assertEqual(count, len(world.state.cancellations))


class RelayTest(relays.RelayTestCase):
    """Two entries and a leader, each with a listener of its own."""

    def setUp(self):
        super().setUp()
        queue = catalog.Queue(
            name='q', host=HOST, prefix=PREFIX, pool='p', timeout_ms=1
        )
        replace = message.Replace(
            version=1,
            queues=[queue],
            pools=[catalog.Pool(name='p')],
            document=b'',
        )
        self.leader.handle(
            wire_message.WorkRequest(body=message.encode(replace))
        )

    def build_handler(self, leader_gateway):
        return handlers.build_caller_handler(leader_gateway, lambda: False)

    def send(self, method, connection, body=None):
        connection.request(method, f'{PREFIX}5c0e', body, {'Host': HOST})
        response = connection.getresponse()
        response.read()
        return response.status

    def test_submission_on_a_connection_older_than_its_cancel(self):
        # Held up on an open connection, it was accepted after its cancel.
        held_up = self.connect(0)
        self.assertEqual(410, self.send('DELETE', self.connect(1)))
        self.assertEqual(503, self.send('POST', held_up, JOB))
        self.assertEqual(410, self.send('GET', self.connect(1)))

    def test_bound_of_the_connection_reaches_the_leader(self):
        held_up = self.connect(0)
        late = self.leader._memory.late_submissions
        late._dropped_until = self.clock.monotonic()
        self.assertEqual(503, self.send('POST', held_up, JOB))
        # The rejection is an answer, but the connection is closed.
        until = self.clock.monotonic() + clocks.seconds(TIMEOUT)
        while self.send('POST', self.connect(0), JOB) != 200:
            self.assertTrue(self.clock.monotonic() < until)
        self.assertEqual(200, self.send('GET', self.connect(1)))
