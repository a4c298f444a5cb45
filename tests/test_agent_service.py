"""Tests of an agent over sockets with a stand-in backend server."""

from bilberryhaven import errors
from tests import agent_fakes


class TestRequests(agent_fakes.AgentTestCase):
    def test_answer_is_complete(self):
        reply = self.admit('r1', body=b'liner 7')
        self.assertEqual('', reply.code)
        self.assertEqual(b'quick: liner 7', reply.body)
        self.assertEqual(len(reply.body), reply.length)

    def test_repeat_gets_the_same_answer_without_another_run(self):
        first = self.admit('r1', body=b'x')
        again = self.admit('r1', body=b'x')
        self.assertEqual(first.body, again.body)
        self.assertEqual(1, self.backend.runs['r1'])

    def test_revoked_request_never_runs(self):
        self.assertEqual(1, len(self.revoke(['r1']).states))
        refused = self.admit('r1')
        self.assertEqual('refused', refused.code)
        self.assertEqual(0, self.backend.runs['r1'])


class TestFaults(agent_fakes.AgentTestCase):
    def test_exception_in_admission_fails_the_health_check(self):
        self.agent._admission.complete.defer('never admitted', b'')
        self.wait_for(self.agent.is_replaced)
        health = self.agent._report_health()
        self.assertEqual(503, health.status)
        self.assertEqual('unknown', self.admit_outcome())
        self.agent.kill()

    def admit_outcome(self):
        error = self.assertRaises(errors.InternalError, self.admit, 'r1')
        return error.outcome


class TestJobs(agent_fakes.AgentTestCase):
    def test_job_runs_to_its_end_once(self):
        self.control.order_start('j1', 1, b'{"seconds": 0.1, "result": 7}')
        self.wait_for(lambda: self.control.find_event('j1', 'finished'))
        kinds = self.control.list_kinds('j1')
        self.assertEqual(['started', 'finished'], kinds)
        self.assertEqual(b'7', self.control.find_event('j1', 'finished').body)
        self.assertEqual([], self.backend.list_violations())

    def test_evicted_job_returns_a_checkpoint(self):
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))
        self.control.order_stop('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'stopped'))
        checkpoint = self.control.find_event('j1', 'stopped').body
        self.assertIn(b'done', checkpoint)

    def test_planned_stop_evicts_jobs_and_deregisters(self):
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))
        self.agent.stop()
        self.assertIn('stopped', self.control.list_kinds('j1'))
        self.assertTrue(self.control.heartbeats[-1].leaving)
        self.assertRaises(errors.PeerError, self.admit, 'late')
