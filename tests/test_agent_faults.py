"""Tests of an agent whose backend server, control or callers fail."""

import socket

from bilberryhaven import errors
from bilberryhaven import util
from tests import agent_fakes

# Requests that wait for an event must not expire before it.
MAX_DEADLINE_MS = 30_000
ANSWER_FAULTS = (
    'lose_answer',
    'truncate_answer',
    'wrong_size',
    'wrong_digest',
    'crossed_answer',
)


class TestBrokenAnswers(agent_fakes.AgentTestCase):
    def test_broken_answer_is_unknown_and_frees_its_slot(self):
        for number, fault in enumerate(ANSWER_FAULTS):
            setattr(self.backend.faults, fault, True)
            reply = self.admit(f'broken-{number}')
            setattr(self.backend.faults, fault, False)
            self.assertEqual('unknown', reply.outcome, fault)
            self.assertEqual(b'', reply.body)
            next_reply = self.admit(f'next-{number}', body=fault.encode())
            self.assertEqual(b'quick: ' + fault.encode(), next_reply.body)
            self.wait_for(lambda: self.get_load().slots_used == 0)

    def test_request_with_a_lost_answer_runs_once(self):
        self.backend.faults.lose_answer = True
        self.admit('once')
        self.backend.faults.lose_answer = False
        self.assertEqual('unknown', self.admit('once').outcome)
        self.assertEqual(1, self.backend.runs['once'])
        self.assertEqual(['started'], self.revoke(['once']).states)

    def test_late_answer_is_not_matched_to_another_request(self):
        self.backend.faults.late_ms = 3000
        late = self.admit('late', deadline_ms=100)
        self.assertEqual(('unknown', b''), (late.outcome, late.body))
        self.backend.faults.late_ms = 0
        reply = self.admit('next', body=b'mine')
        self.assertEqual(b'quick: mine', reply.body)
        self.wait_for(lambda: self.get_load().slots_used == 0)
        self.assertEqual({'late': 1, 'next': 1}, dict(self.backend.runs))

    def test_hanging_requests_never_exceed_the_slots(self):
        self.backend.faults.hang = True
        for number in range(12):
            self.admit(f'hang-{number}', deadline_ms=50)
        self.assertEqual(8, self.get_load().slots_used)
        self.assertEqual('not_run', self.admit('x', deadline_ms=50).outcome)
        self.assertEqual([], self.backend.list_violations())

    def test_failed_request_reports_that_it_ran(self):
        self.backend.faults.fail_all = True
        reply = self.admit('r1')
        self.assertEqual(('internal', 'ran'), (reply.code, reply.outcome))
        self.assertGreater(self.get_load().failure_share, 0)


class TestCallers(agent_fakes.AgentTestCase):
    def open_socket(self):
        sock = socket.create_connection(util.parse_address(self.agent.address))
        self.addCleanup(sock.close)
        return sock

    def test_many_callers_at_once_stay_within_the_limits(self):
        threads = [self.admit_in_thread(f'r{n}') for n in range(30)]
        for thread, _ in threads:
            thread.join()
        replies = [replies[0] for _, replies in threads]
        answered = [reply for reply in replies if not reply.code]
        for reply in replies:
            self.assertIn(reply.outcome, ('', 'not_run'))
        self.assertEqual(len(answered), sum(self.backend.runs.values()))
        self.assertEqual([], self.backend.list_violations())

    def test_slow_clients_do_not_block_other_requests(self):
        for _ in range(8):
            self.open_socket().sendall(b'POST /wire HTTP/1.1\r\nHost:')
            self.open_socket().sendall(b'GET /healthz HTTP/1.1\r\n\r\n')
        self.assertEqual('', self.admit('r1').code)

    def test_planned_stop_completes_all_requests(self):
        self.backend.faults.hang = True
        threads = [
            self.admit_in_thread(
                f'r{n}', workload='slow', deadline_ms=MAX_DEADLINE_MS
            )
            for n in range(12)
        ]
        self.wait_for(lambda: self.get_load().queued == 4)
        stopper, _ = self.call_in_thread(self.agent.stop)
        self.wait_for(lambda: self.get_load().draining)
        self.backend.release_requests()
        stopper.join()
        for thread, replies in threads:
            thread.join()
            self.assertEqual(b'slow: ', replies[0].body)

    def test_draining_agent_refuses_immediately(self):
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))
        self.control.unavailable = True
        stopper, _ = self.call_in_thread(self.agent.stop)
        self.wait_for(lambda: self.get_load().draining)
        reply = self.admit('r1')
        self.assertEqual(('draining', 'not_run'), (reply.code, reply.outcome))
        self.control.unavailable = False
        stopper.join()
        self.assertEqual(0, self.backend.runs['r1'])


class TestRestarts(agent_fakes.AgentTestCase):
    def setUp(self):
        super().setUp()
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))

    def restart_agent(self):
        listen = self.agent.address
        self.agent.kill()
        self.wait_for(lambda: self.is_free(listen))
        self.agent = self.start_agent(listen)
        self.wait_for(self.agent.is_ready)

    def is_free(self, address):
        with socket.socket() as sock:
            return sock.connect_ex(util.parse_address(address)) != 0

    def test_restarted_agent_resumes_its_session(self):
        self.backend.faults.hang = True
        self.admit('hung', deadline_ms=50)
        self.restart_agent()
        self.assertEqual(1, self.control.epoch)
        running = self.control.heartbeats[-1].running
        self.assertEqual([('j1', 1)], [(r.job_id, r.epoch) for r in running])
        self.assertEqual(2, self.get_load().slots_used)
        self.assertEqual(['started'], self.revoke(['hung']).states)
        self.assertEqual([], self.backend.list_violations())

    def test_restarted_agent_does_not_start_a_job_again(self):
        self.control.order_start('j1', 1)
        self.restart_agent()
        self.wait_for(
            lambda: self.control.list_kinds('j1').count('started') > 1
        )
        # A job that a restarted agent adopts takes a checkpoint at once.
        kinds = set(self.control.list_kinds('j1')) - {'checkpoint'}
        self.assertEqual({'started'}, kinds)
        self.assertEqual(1, len(self.backend.list_tasks()))

    def test_adopted_job_takes_a_checkpoint_at_once(self):
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))
        self.restart_agent()
        self.wait_for(lambda: 'checkpoint' in self.control.list_kinds('j1'))

    def test_job_lost_by_a_restarted_backend_server_is_reported(self):
        address = self.backend.address
        self.backend.stop()
        self.wait_for(lambda: self.is_free(address))
        self.backend = self.start_backend(address)
        self.wait_for(lambda: self.control.find_event('j1', 'stopped'))
        self.wait_for(lambda: self.admit_fresh().code == '')
        self.assertEqual(0, self.get_load().slots_used)

    def test_fenced_session_stops_its_jobs_before_the_next(self):
        self.control.epoch += 1
        self.wait_for(lambda: self.control.epoch > 2)
        self.wait_for(lambda: self.get_load().slots_used == 0)
        states = {task.state for task in self.backend.list_tasks()}
        self.assertNotIn('running', states)

    def test_replaced_agent_stops_admitting(self):
        former = self.agent
        self.agent = self.start_agent()
        self.wait_for(lambda: not former.is_ready() or former.is_replaced())
        self.agent, former = former, self.agent
        self.assertEqual('lease_lapsed', self.admit('r1').code)
        former.stop()


class TestFailedStarts(agent_fakes.AgentTestCase):
    """Errors with which a backend server answers the start of a job."""

    def start_with_error(self, error, *, ran):
        start = self.backend._tasks.start
        raised = []

        def start_or_raise(order):
            task = start(order) if ran or raised else None
            if raised:
                return task
            raised.append(error)
            raise error

        self.backend._tasks.start = start_or_raise
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.list_kinds('j1'))
        return self.control.list_kinds('j1')[0]

    def test_start_with_an_unknown_outcome_is_no_failure(self):
        """The job may run: reported as failed, it would end for good."""
        error = errors.StorageError('disk is full', step='start task')
        self.assertEqual('started', self.start_with_error(error, ran=True))

    def test_job_that_an_unknown_start_has_not_started_fails(self):
        """Repeated without end, the start would hide a faulty server."""
        stopped = []
        stop = self.backend._tasks.stop

        def record_stop(task_id, epoch):
            stopped.append(task_id)
            return stop(task_id, epoch)

        self.backend._tasks.stop = record_stop
        error = errors.InternalError('fault', step='start task')
        self.assertEqual('failed', self.start_with_error(error, ran=False))
        self.assertIn('fault', self.control.find_event('j1', 'failed').reason)
        # The backend server can't start it late any more.
        self.assertEqual(['j1'], stopped)

    def test_start_of_an_invalid_job_fails(self):
        error = errors.BadInputError('no payload', step='start task')
        self.assertEqual('failed', self.start_with_error(error, ran=False))


class TestLostControl(agent_fakes.AgentTestCase):
    lease_ms = 1500

    def test_expired_lease_stops_jobs_and_admission(self):
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))
        self.control.unavailable = True
        self.wait_for(lambda: self.admit_fresh().code == 'lease_lapsed')
        self.wait_for(lambda: self.backend.list_tasks()[0].state == 'stopped')
        reason = self.backend.list_tasks()[0].reason
        self.assertEqual('its lease ran out', reason)
        self.control.unavailable = False
        self.wait_for(lambda: self.control.find_event('j1', 'stopped'))
        self.wait_for(lambda: self.admit_fresh().code == '')
