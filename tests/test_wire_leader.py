"""Client of the leader: what it says of a message after lost answers."""

import testtools

from bilberryhaven import clock
from bilberryhaven import errors
from bilberryhaven.platform import handlers
from bilberryhaven.wire import leader

LOST = errors.PeerError('no answer', step='submit')
REFUSALS = (
    errors.OverloadError('full', step='dispatch'),
    errors.UnavailableError('no catalog of queues', step='find queue'),
    errors.NotFoundError('no queue matches', step='find queue'),
    errors.RejectedError('too many workflows are waiting', step='accept'),
)


class FakeClient:
    """Raises the given errors one after the other."""

    def __init__(self, *failures):
        self.failures = list(failures)

    def send(self, address, msg, *, timeout, step):
        raise self.failures.pop(0)


class LeaderClientTest(testtools.TestCase):
    def send(self, *failures):
        tested = leader.LeaderClient(
            list_addresses=lambda: ['127.0.0.1:1', '127.0.0.1:2'],
            client=FakeClient(*failures),
            clock=clock.SystemClock(),
        )
        tested.send('message', timeout=clock.seconds(5), step='submit')

    def catch(self, *failures):
        return self.assertRaises(
            errors.BilberryhavenError, self.send, *failures
        )

    def copy(self, error):
        return type(error)(error.message, step=error.step)

    def test_refusal_of_the_only_attempt_is_passed_on(self):
        for refusal in REFUSALS:
            error = self.catch(self.copy(refusal))
            self.assertIs(type(refusal), type(error))
            self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)

    def test_refusal_after_a_lost_answer_does_not_say_not_run(self):
        for refusal in REFUSALS:
            error = self.catch(self.copy(LOST), self.copy(refusal))
            self.assertEqual(errors.Outcome.UNKNOWN, error.outcome, refusal)

    def test_fencing_after_a_lost_answer_is_passed_on(self):
        fenced = errors.FencedError('replaced', step='poll')
        error = self.catch(self.copy(LOST), fenced)
        self.assertIsInstance(error, errors.FencedError)


class CallerAnswerTest(testtools.TestCase):
    """Statuses 429, 503 and 404 tell a caller that a job never runs."""

    def answer(self, error):
        class Gateway:
            def send(self, request, *, timeout, step, sent_after=None):
                raise error

        handle = handlers.build_caller_handler(Gateway(), lambda: False)
        environ = {
            'REQUEST_METHOD': 'DELETE',
            'PATH_INFO': '/q/1',
            'HTTP_HOST': 'h',
        }
        return handle(environ, b'').status

    def test_unknown_outcome_is_never_answered_as_a_refusal(self):
        for refusal in REFUSALS:
            error = type(refusal)(
                'x', step='s', outcome=errors.Outcome.UNKNOWN
            )
            self.assertEqual(504, self.answer(error), refusal)

    def test_refusals_keep_their_statuses(self):
        statuses = [
            self.answer(type(refusal)('x', step='s')) for refusal in REFUSALS
        ]
        self.assertEqual([503, 503, 404, 503], statuses)

    def test_workflow_that_is_gone_keeps_its_status(self):
        self.assertEqual(410, self.answer(errors.GoneError('x', step='s')))
