"""Job table of an agent: what it concludes from the backend server's answers.

A start request without an answer may be executed later than the next one is
answered. Only a stop excludes that.
"""

import testtools

from bilberryhaven.agent import job
from bilberryhaven.agent import jobs
from bilberryhaven.agent import protocol
from bilberryhaven import clock as clocks
from bilberryhaven.wire import message

NOW = clocks.seconds(1)
SESSION = 3
START = job.StartTask(
    order=message.StartOrder(job_id='j', epoch=1, workload='batch')
)
STOP = job.StopTask(job_id='j', epoch=1)


def build_task(state):
    return protocol.TaskStatus(
        id='j', epoch=1, session=SESSION, workload='batch', state=state
    )


class UnansweredStartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.events = []
        self.jobs = jobs.Jobs(
            report=self.events.append,
            hold=lambda *args: None,
            release=lambda *args: None,
        )
        self.jobs.apply_starts([START.order], NOW)
        self.assertEqual([START], self.jobs.run('j', 1))

    def list_kinds(self):
        return [event.kind for event in self.events]

    def fail_start(self, *, not_running):
        self.jobs.record_start_error(
            'j', 1, 'test', ran=False, not_running=not_running
        )

    def observe(self, *tasks):
        status = protocol.Status(boot='b', owner='o', tasks=list(tasks))
        return self.jobs.observe(status, SESSION, NOW)

    def test_refused_start_ends_at_once(self):
        self.fail_start(not_running=True)
        self.assertEqual(['refused'], self.list_kinds())

    def test_refusal_after_an_unanswered_start_is_no_end(self):
        """A job runs on two instances.

        The refusal covers the repeated start only. The first one is executed
        after the job was started elsewhere.
        """
        self.fail_start(not_running=False)
        self.assertEqual([START], self.observe())
        self.fail_start(not_running=True)
        self.assertEqual([], self.list_kinds())
        self.assertEqual([STOP], self.observe())
        task = build_task('absent')
        self.jobs.record_stopped(task, 1, NOW)
        self.assertEqual(['refused'], self.list_kinds())

    def test_late_start_is_stopped(self):
        """A job whose start was executed late runs on beside another run."""
        self.fail_start(not_running=False)
        self.observe()
        self.fail_start(not_running=True)
        running = build_task('running')
        self.assertEqual([STOP], self.observe(running))
        stopped = build_task('stopped')
        self.jobs.record_stopped(stopped, 1, NOW)
        self.assertEqual(['started', 'stopped'], self.list_kinds())

    def test_unanswered_start_is_not_repeated_against_a_stop_order(self):
        """A job is started again although it is to stop."""
        order = message.StopOrder(job_id='j', epoch=1, reason='evicted')
        self.assertEqual([], self.jobs.apply_stops([order]))
        self.fail_start(not_running=False)
        self.assertEqual([STOP], self.observe())
