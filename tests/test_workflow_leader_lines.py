"""Log lines of the leader by which causes of two runs of a task differ."""

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from tests import log_lines
from tests import test_workflow_dispatcher as dispatcher_tests
from tests import workflow_fakes as fakes


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


class StartTest(LeaderLinesTest):
    """A start has a line only if it was committed."""

    def setUp(self):
        super().setUp()
        self.submit('w1')
        self.first = self.poll()

    def interpose(self, function):
        """Call a function before the next start is committed."""
        propose = self.replica.propose

        def wait(data, **kwargs):
            if b'StartRuns' not in data:
                return propose(data, **kwargs)
            self.replica.propose = propose
            function()
            return propose(data, **kwargs)

        self.replica.propose = wait

    def test_committed_start(self):
        self.schedule()
        (line,) = self.lines.list('start run')
        self.check(
            line,
            workflow='w1',
            run=1,
            backend=self.first.key,
            epoch=self.first.epoch,
            term=self.leader.term,
            beside=[],
        )

    def test_start_of_a_workflow_that_was_cancelled_meanwhile(self):
        cancel = message.Cancel(
            host=dispatcher_tests.HOST, path=dispatcher_tests.PREFIX + 'w1'
        )
        self.interpose(lambda: self.ask(cancel))
        self.schedule()
        self.assertEqual([], self.lines.list('start run'))
        (line,) = self.lines.list('refuse start')
        self.check(line, workflow='w1', task='0.0.0', run=1)

    def test_copy_names_the_run_beside_it(self):
        step = fakes.build_step(speculative=True)
        self.submit('w2', step)
        self.schedule()
        other = self.poll('j')
        start = workflow_commands.RunStart('w2', '0.0.0', 2, other.key)
        self.leader.propose(
            workflow_commands.StartRuns(starts=[start], at=0.0)
        )
        ((_, task),) = self.leader._list_tasks([start])
        server = fakes.build_server(other.key)
        self.leader._log_start(start, server, task)
        line = self.lines.list('start run')[-1]
        self.check(line, run=2, beside=[(1, self.first.key)])


class OpenCommitTest(LeaderLinesTest):
    """A commit of unknown outcome may take effect without another line."""

    def setUp(self):
        super().setUp()
        self.submit('w1')
        self.first = self.poll()

    def lose(self, error):
        """Raise an error for the next commit."""
        propose = self.replica.propose

        def fail(data, **kwargs):
            self.replica.propose = propose
            raise error

        self.replica.propose = fail

    def find(self):
        (line,) = self.lines.list('leave commit open')
        self.assertEqual(self.leader.term, line['term'])
        return line['command']

    def test_starts(self):
        self.lose(errors.DeadlineError('no result', step='commit'))
        self.assertRaises(errors.DeadlineError, self.schedule)
        self.assertEqual([], self.lines.list('start run'))
        command = self.find()
        self.assertIn('StartRuns', command)
        self.assertIn(f'["w1","0.0.0",1,"{self.first.key}"]', command)

    def test_ends(self):
        ref = workflow_commands.RunRef('w1', '0.0.0', 1)
        end = workflow_commands.RunEnd(1, ref, 'done')
        self.lose(errors.PeerError('leadership was lost', step='commit'))
        self.assertRaises(errors.PeerError, self.report, self.first, end)
        self.assertEqual([], self.lines.list('record end'))
        self.assertIn('["w1","0.0.0",1],"done"', self.find())

    def test_closing(self):
        self.lose(errors.DeadlineError('no result', step='commit'))
        self.assertRaises(
            errors.DeadlineError, self.report, self.first, lapsed=True
        )
        self.assertIn(self.first.key, self.find())

    def test_long_command_is_cut(self):
        self.lose(errors.DeadlineError('no result', step='commit'))
        steps = [fakes.build_step() for _ in range(99)]
        self.assertRaises(errors.DeadlineError, self.submit, 'w2', *steps)
        self.assertEqual(2000, len(self.find()))

    def test_command_that_was_not_proposed(self):
        error = errors.NotLeaderError('not the leader', step='commit')
        self.lose(error)
        self.assertRaises(errors.NotLeaderError, self.schedule)
        self.assertEqual([], self.lines.list('leave commit open'))


class TermTest(LeaderLinesTest):
    """What a new leader takes former leases to end at."""

    def test_term_and_sessions(self):
        self.submit('w1')
        first = self.poll()
        self.replica.term = 5
        self.schedule()
        line = self.lines.list_messages('schedules workflows')[-1]
        self.check(
            line, term=5, applied=0, servers=1, active=1, leases_end_in_s=5.6
        )
        self.poll(epoch=first.epoch)
        (line,) = self.lines.list('open session')
        self.check(
            line,
            backend=first.key,
            agent='i',
            epoch=first.epoch,
            term=5,
            doubt_s=None,
        )

    def test_session_of_another_agent_process_has_a_doubt(self):
        first = self.poll()
        self.advance(1)
        self.poll()
        line = self.lines.list('open session')[-1]
        self.check(line, backend=first.key, doubt_s=4.6, reason=line['reason'])
        self.assertEqual('polled by another agent process', line['reason'])


class ListedRunTest(LeaderLinesTest):
    """A run that was given up and is listed later."""

    def test_unknown_run_with_what_superseded_it(self):
        self.submit('w1')
        first = self.poll()
        self.schedule()
        ref = workflow_commands.RunRef('w1', '0.0.0', 1)
        self.report(first, workflow_commands.RunEnd(0, ref, 'rejected'))
        self.schedule()
        self.advance(3)
        self.report(first, running=[ref])
        (ended,) = self.lines.list('record end')
        self.check(ended, run=1, number=0, epoch=first.epoch, term=1)
        (line,) = self.lines.list('stop unknown run')
        self.check(
            line,
            run=1,
            backend=first.key,
            listed_s=0.0,
            superseded_by=[(2, first.key)],
            last_run=2,
        )
