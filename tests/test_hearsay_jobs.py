"""What an agent may take for the end of a job, or for one that didn't run.

Guards against jobs that run twice: a start that got no answer is executed
after the job was reported, and has been started elsewhere.
"""

import testtools

from bilberryhaven.agent import effects
from bilberryhaven.agent import job
from bilberryhaven.agent import jobs
from bilberryhaven.agent import leader_client
from bilberryhaven.agent import protocol
from bilberryhaven.agent import reporter
from bilberryhaven.agent import session
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.standin import faults
from bilberryhaven.standin import resources
from bilberryhaven.standin import tasks
from bilberryhaven.wire import message
from tests import test_agent_reporter

NAME = 'i'
ADDRESS = '127.0.0.1:1'
LEASE_MS = 4000
SESSION = 3
LOST = errors.PeerError('no answer', step='start')


def build_order(job_id='j', epoch=1, seconds=60):
    return message.StartOrder(
        job_id=job_id,
        epoch=epoch,
        workload='batch',
        payload=b'{"seconds": %g}' % seconds,
        slots=1,
    )


class Server:
    """A backend server, with the calls to it.

    Attributes:
        silent: Whether it answers no call.
        boot: Its incarnation.
    """

    def __init__(self, clock):
        self.silent = False
        self.owner = self.former_owner = ''
        self._clock = clock
        self.restart('first')

    def restart(self, boot):
        self.boot = boot
        self.runner = tasks.TaskRunner(
            clock=self._clock,
            resources=resources.ResourceTracker(slots=8, connections=64),
            faults=faults.Faults(),
        )

    def attach(self):
        return self.get_status()

    def get_status(self):
        if self.silent:
            raise errors.PeerError('silent', step='status')
        lease_left = self.runner.get_lease_remaining()
        return protocol.Status(
            boot=self.boot,
            owner=self.owner,
            former_owner=self.former_owner,
            ticket=self.runner.issue_ticket(),
            session=self.runner.session,
            lease_remaining_ms=lease_left // tasks.MILLISECOND,
            tasks=[row.describe() for row in self.runner.list_tasks()],
        )

    def get_usage(self):
        raise errors.PeerError('not used', step='usage')

    def renew_lease(self, number, lease, ticket):
        if self.silent:
            raise errors.PeerError('silent', step='lease')
        self.runner.renew(
            protocol.LeaseGrant(
                session=number,
                lease_ms=lease // tasks.MILLISECOND,
                ticket=ticket,
                owner=self.owner,
            )
        )

    def execute(self, command):
        """Execute a command; return the task's status."""
        if isinstance(command, job.StartTask):
            order = command.order
            return self.runner.start(
                protocol.TaskStart(
                    id=order.job_id,
                    epoch=order.epoch,
                    session=SESSION,
                    workload=order.workload,
                    owner=self.owner,
                    payload=order.payload,
                    slots=order.slots,
                )
            ).describe()
        if isinstance(command, job.StopTask):
            return self.runner.stop(command.job_id, command.epoch).describe()
        if isinstance(command, job.ForgetTask):
            self.runner.forget(command.job_id, command.epoch)
            return protocol.Body()
        return self.runner.find(command.job_id).describe()

    def list_running(self):
        return [
            row.start.id
            for row in self.runner.list_tasks()
            if row.state == tasks.TaskState.RUNNING
        ]


class Leader:
    """Leader that acknowledges all events of one session.

    Attributes:
        kinds: Kinds of the events of each job, in the order of arrival.
    """

    def __init__(self, clock):
        self.starts, self.stops, self.kinds = [], [], {}
        self.epochs = []
        self._clock = clock

    def send(self, heartbeat):
        self.epochs.append(heartbeat.epoch)
        for event in heartbeat.events:
            self.kinds.setdefault(event.job_id, []).append(event.kind)
        reply = message.HeartbeatReply(
            instance=NAME,
            epoch=SESSION,
            lease_ms=LEASE_MS,
            revision=1,
            acked_events=heartbeat.first_event + len(heartbeat.events),
            starts=list(self.starts),
            stops=list(self.stops),
        )
        return leader_client.TimedReply(
            reply=reply, sent_at=self._clock.monotonic()
        )


class Commands:
    """Stands in for the task actor: commands wait for the test."""

    def __init__(self):
        self.waiting = []

    def proxy(self):
        return self

    @property
    def execute(self):
        return self

    def defer(self, command, number):
        self.waiting.append(command)


class ReporterTestCase(testtools.TestCase):
    """A reporter without threads, in a session with a lease."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.server, self.leader = Server(self.clock), Leader(self.clock)
        self.reporter = self.build_reporter(f'{ADDRESS}/1')
        self.beat()
        self.beat()
        self.assertTrue(self.server.runner.get_lease_remaining())

    def build_reporter(self, owner):
        self.server.former_owner, self.server.owner = self.server.owner, owner
        self.commands = Commands()
        built = reporter.ReporterActor(
            session=session.Session(
                announcement=message.Announcement(name=NAME), first_event=1
            ),
            admission=test_agent_reporter.Deferred(),
            backend=self.server,
            leader_client=self.leader,
            clock=self.clock,
            owner=owner,
            on_replaced=lambda: None,
        )
        built._task_actor = self.commands
        return built

    def beat(self):
        self.reporter._send_heartbeat()

    def advance(self, seconds):
        self.clock.advance(clocks.seconds(seconds))

    def order(self, **fields):
        """Order a start; return its command, which isn't executed yet."""
        order = build_order(**fields)
        self.leader.starts = [order]
        self.beat()
        self.leader.starts = []
        self.reporter.handle(
            effects.RunJob(job_id=order.job_id, epoch=order.epoch)
        )
        return self.commands.waiting.pop()

    def lose(self, command, error=LOST):
        """Report that a command got no answer."""
        self.reporter._record_error(command, error)

    def execute(self, command):
        try:
            task = self.server.execute(command)
        except errors.BilberryhavenError as error:
            self.lose(command, error)
        else:
            self.reporter._record_done(command, task)

    def execute_all(self):
        while self.commands.waiting:
            self.execute(self.commands.waiting.pop(0))

    def play(self, rounds=3):
        """Let the agent work, with an answer to each command."""
        for _ in range(rounds):
            self.beat()
            self.execute_all()
            self.advance(0.5)

    def check_never_runs(self, command, starts=0):
        """Check that a start that arrives only now isn't executed."""
        try:
            self.server.execute(command)
        except (errors.FencedError, errors.LeaseLapsedError):
            pass
        self.assertNotIn('j', self.server.list_running())
        self.assertEqual(starts, self.server.runner.starts['j'])


class LateStartTest(ReporterTestCase):
    """A start without an answer arrives once the job is forgotten."""

    def test_after_the_stop_of_the_absent_job(self):
        late = self.order()
        self.leader.stops = [
            message.StopOrder(job_id='j', epoch=1, reason='evicted')
        ]
        self.beat()
        self.leader.stops = []
        self.lose(late)
        self.play()
        self.assertEqual(['refused'], self.leader.kinds['j'])
        self.check_never_runs(late)

    def test_after_a_refusal_of_the_repeated_start(self):
        late = self.order()
        self.lose(late)
        self.beat()
        repeated = self.commands.waiting.pop()
        self.assertEqual(late, repeated)
        self.lose(repeated, errors.OverloadError('full', step='start'))
        self.play()
        self.assertEqual(['refused'], self.leader.kinds['j'])
        self.check_never_runs(late)

    def test_after_the_end_of_the_repeated_start(self):
        late = self.order(seconds=0.2)
        self.lose(late)
        self.play()
        self.assertEqual(['started', 'finished'], self.leader.kinds['j'])
        self.check_never_runs(late, starts=1)

    def test_job_with_an_answered_start_is_forgotten(self):
        """Guards against records that the server keeps for ever."""
        self.execute(self.order(seconds=0.2))
        self.play()
        self.assertEqual(['started', 'finished'], self.leader.kinds['j'])
        self.assertEqual([], self.server.runner.list_tasks())

    def test_job_with_an_unanswered_start_is_forgotten_in_the_end(self):
        self.lose(self.order(seconds=0.2))
        self.play()
        self.assertEqual(1, len(self.server.runner.list_tasks()))
        self.advance(jobs.LATE_START_WINDOW.total_seconds())
        self.play()
        self.assertEqual([], self.server.runner.list_tasks())

    def test_later_grant_of_the_job_is_started(self):
        late = self.order(seconds=0.2)
        self.lose(late)
        self.play()
        self.execute(self.order(epoch=2))
        self.assertEqual(['j'], self.server.list_running())


class LapseTest(ReporterTestCase):
    """The lease ends while a start has no answer.

    Guards against a start that is executed after the lease was renewed in
    the same session.
    """

    def lapse(self, command):
        self.server.silent = True
        if command is not None:
            self.lose(command)
        self.advance(LEASE_MS / 1000 + 0.6)
        self.beat()
        self.beat()
        self.server.silent = False

    def check(self, *steps):
        late = self.order()
        self.lapse(late)
        self.assertEqual(['stopped'], self.leader.kinds['j'])
        for step in steps:
            step()
        self.check_never_runs(late)
        # The server is used again.
        self.play()
        self.assertTrue(self.server.runner.get_lease_remaining())
        self.execute(self.order(job_id='k'))
        self.assertEqual(['k'], self.server.list_running())
        self.check_never_runs(late)
        self.assertEqual(['stopped'], self.leader.kinds['j'])

    def test_start_arrives_at_once(self):
        self.check()

    def test_start_arrives_before_the_commands_are_executed(self):
        self.check(self.beat)

    def test_start_arrives_before_they_are_executed_for_long(self):
        self.check(self.beat, self.beat, self.beat)

    def test_start_arrives_once_they_are_executed(self):
        self.check(self.beat, self.execute_all)

    def test_start_arrives_once_the_lease_is_renewed(self):
        self.check(self.beat, self.execute_all, self.beat)

    def test_start_arrives_once_all_is_acknowledged(self):
        self.check(self.play)

    def test_start_is_in_progress_when_the_lease_ends(self):
        late = self.order()
        self.lapse(None)
        self.assertEqual(['stopped'], self.leader.kinds['j'])
        self.beat()
        self.check_never_runs(late)
        self.lose(late)
        self.play()
        self.check_never_runs(late)
        self.assertEqual(['stopped'], self.leader.kinds['j'])

    def test_start_in_progress_is_refused_after_the_lease(self):
        """A job gets a second end."""
        late = self.order()
        self.lapse(None)
        self.lose(late, errors.LeaseLapsedError('no lease', step='start'))
        self.play()
        self.assertEqual(['stopped'], self.leader.kinds['j'])

    def test_running_job_needs_no_stop(self):
        self.execute(self.order())
        self.lapse(None)
        self.beat()
        self.assertTrue(self.server.runner.get_lease_remaining())
        self.assertEqual(['started', 'stopped'], self.leader.kinds['j'])

    def test_silence_within_the_lease_ends_nothing(self):
        self.execute(self.order())
        self.server.silent = True
        for _ in range(5):
            self.advance(LEASE_MS / 1000 / 6)
            self.beat()
        self.assertEqual(['started'], self.leader.kinds['j'])


class AbsenceTest(ReporterTestCase):
    """The server's list lacks a job."""

    def check_kinds(self, *kinds):
        self.beat()
        self.assertEqual(list(kinds), self.leader.kinds.get('j', []))

    def test_before_the_answer_to_its_start(self):
        self.order()
        for _ in range(3):
            self.check_kinds()

    def test_after_a_start_without_an_answer(self):
        self.lose(self.order())
        self.check_kinds()
        self.assertEqual(1, len(self.commands.waiting))

    def test_before_the_answer_to_its_stop(self):
        self.order()
        self.leader.stops = [message.StopOrder(job_id='j', epoch=1)]
        for _ in range(3):
            self.check_kinds()

    def test_after_the_answer_to_its_start(self):
        self.execute(self.order())
        self.check_kinds('started')
        self.server.restart('second')
        self.beat()
        self.check_kinds('started', 'stopped')

    def test_nothing_is_concluded_from_silence(self):
        self.execute(self.order())
        self.check_kinds('started')
        self.server.silent = True
        self.check_kinds('started')
