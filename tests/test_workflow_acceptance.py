"""Acceptance of workflows under overload, with a log that commits at once.

Guards against a backlog beyond its bound, and against a rejection that isn't
true: of a workflow that an earlier request or an earlier leader has accepted.
Each test of a failure brings it about at the log.
"""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.control import machine
from bilberryhaven import errors
from bilberryhaven import settings
from bilberryhaven.tables import catalog
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from tests import workflow_fakes as fakes
from tests import workflow_replica

HOST = 'ponds.example'
MAX_ACTIVE = 2


class LossyReplica(workflow_replica.FakeReplica):
    """Loses the answers to commands on request.

    Attributes:
        lost: None, or whether the commands without an answer are committed.
    """

    lost = None

    def propose(self, data, *, timeout, **fields):
        if self.lost is None:
            return super().propose(data, timeout=timeout, **fields)
        if self.lost:
            super().propose(data, timeout=timeout, **fields)
        raise errors.DeadlineError('no majority answered', step='commit')


class AcceptanceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.machine = machine.TableStateMachine()
        self.clock = clocks.ManualClock()
        self.start_leader()

    def start_leader(self, **fields):
        fields.setdefault('max_active_workflows', MAX_ACTIVE)
        self.replica = LossyReplica(self.machine)
        self.leader = dispatcher.Dispatcher(
            replica=self.replica,
            machine=self.machine,
            clock=self.clock,
            options=options.Options(**fields),
        )
        self.addCleanup(self.leader.stop)
        queue = catalog.Queue(
            name='surveys',
            host=HOST,
            prefix='/',
            pool=fakes.POOL,
            timeout_ms=3000,
            latency_ms=1000,
        )
        self.ask(
            message.Replace(
                version=1,
                queues=[queue],
                pools=[catalog.Pool(name=fakes.POOL)],
                document=b'',
            )
        )

    def ask(self, request):
        body = message.encode(request)
        reply = self.leader.handle(wire_message.WorkRequest(body=body))
        return message.decode_reply(reply.body)

    def submit(self, name, **fields):
        step = fakes.build_step(**fields)
        return self.ask(
            message.Submit(host=HOST, path=f'/{name}', spec='', steps=[step])
        )

    def fill(self):
        for number in range(MAX_ACTIVE):
            self.submit(f'w{number}')

    def check_rejected(self, name, **fields):
        return self.assertRaises(
            errors.RejectedError, self.submit, name, **fields
        )

    def test_backlog_at_its_bound_rejects_others(self):
        self.fill()
        error = self.check_rejected('other')
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)
        self.assertTrue(error.retry_after >= 1)
        self.assertIsNone(self.machine.state.workflows.find('other'))
        self.ask(message.Cancel(host=HOST, path='/w0'))
        self.clock.advance(clocks.seconds(error.retry_after))
        self.submit('other')

    def test_backlog_bound_in_bytes(self):
        self.start_leader(max_active_bytes=5_000)
        self.check_rejected('wide', tasks=10)
        self.submit('narrow', tasks=5)

    def test_resend_of_an_accepted_workflow_while_the_backlog_is_full(self):
        self.fill()
        self.assertEqual('queued', self.submit('w0').state)

    def test_lost_answer_to_a_commit_is_no_rejection(self):
        self.replica.lost = True
        self.assertRaises(errors.DeadlineError, self.submit, 'first')
        self.replica.lost = None
        self.submit('second')
        self.assertEqual('queued', self.submit('first').state)

    def test_commit_of_unknown_outcome_is_proposed_again(self):
        """It may still be committed, so a rejection would not be true."""
        self.replica.lost = False
        self.assertRaises(errors.DeadlineError, self.submit, 'first')
        self.replica.lost = None
        self.fill()
        self.assertEqual('queued', self.submit('first').state)

    def test_new_leader_knows_what_an_earlier_one_accepted(self):
        self.replica.lost = True
        self.assertRaises(errors.DeadlineError, self.submit, 'first')
        self.start_leader()
        self.submit('second')
        self.assertEqual('queued', self.submit('first').state)
        self.check_rejected('third')

    def test_former_leader_rejects_nothing(self):
        self.fill()
        self.replica.leading = False
        for name in ('w0', 'other'):
            self.assertRaises(errors.NotLeaderError, self.submit, name)

    def test_new_term_has_neither_forecast_nor_outcomes(self):
        self.leader.ensure_ready()
        self.submit('w0')
        self.fill()
        self.check_rejected('other')
        self.ask(message.Cancel(host=HOST, path='/w0'))
        self.check_rejected('other')
        self.replica.term += 1
        self.submit('other')

    def test_nothing_is_rejected_if_switched_off(self):
        self.start_leader(admission=False)
        self.fill()
        self.submit('other')


class OptionsTest(testtools.TestCase):
    def test_limits_of_the_settings(self):
        limits = settings.WorkflowLimits(
            admission=False,
            max_active=5,
            max_active_mb=2,
            chooses_claims=False,
            chooses_best_effort=True,
            shares=True,
            zone_weights={'a': 2.0},
        )
        built = options.build_options(limits)
        self.assertEqual(
            options.Options(
                admission=False,
                max_active_workflows=5,
                max_active_bytes=2 * 1024 * 1024,
                chooses_claims=False,
                chooses_best_effort=True,
                shares=True,
                zone_weights={'a': 2.0},
            ),
            built,
        )

    def test_default_limits_are_the_default_options(self):
        limits = settings.WorkflowLimits()
        self.assertEqual(options.Options(), options.build_options(limits))
