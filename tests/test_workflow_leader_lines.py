"""Log lines of the leader that distinguish the causes of two runs."""

from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from tests import log_lines
from tests import test_workflow_dispatcher as dispatcher_tests


class LeaderLinesTest(dispatcher_tests.DispatcherTest):
    def setUp(self):
        super().setUp()
        self.lines = log_lines.LogLines(self)
        self.replace()

    def check(self, line, **expected):
        self.assertEqual(expected, {key: line[key] for key in expected})


class SubmissionTest(LeaderLinesTest):
    """An id that is accepted a second time is a second workflow."""

    def test_submission_that_finds_the_stored_workflow(self):
        self.submit('w1')
        self.advance(2)
        self.submit('w1')
        (accepted,) = self.lines.list('accept workflow')
        (found,) = self.lines.list('find stored workflow')
        self.check(
            found,
            workflow='w1',
            queue='surveys',
            stored_queue='surveys',
            state='active',
            submitted_at=accepted['submitted_at'],
            age_s=2.0,
            term=self.leader.term,
        )

    def test_submission_that_is_overtaken_accepts_nothing(self):
        propose = self.replica.propose

        def overtake(*args, **kwargs):
            self.replica.propose = propose
            self.advance(1)
            self.submit('w1')
            return propose(*args, **kwargs)

        self.replica.propose = overtake
        self.submit('w1')
        (accepted,) = self.lines.list('accept workflow')
        (found,) = self.lines.list('find stored workflow')
        self.assertEqual(accepted['submitted_at'], found['submitted_at'])

    def test_id_that_is_accepted_again_was_removed_before(self):
        self.submit('w1')
        self.cancel('w1')
        for seconds in (11, options.Options().ended_retention.seconds + 1):
            self.advance(seconds)
            self.schedule()
        self.submit('w1')
        (removed,) = self.lines.list('remove workflows')
        self.check(removed, workflows=['w1'], retention_s=180.0)
        accepted = self.lines.list('accept workflow')
        self.assertEqual(2, len({row['submitted_at'] for row in accepted}))

    def cancel(self, name):
        self.ask(
            message.Cancel(
                host=dispatcher_tests.HOST, path=dispatcher_tests.PREFIX + name
            )
        )
