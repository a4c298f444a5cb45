"""Tests of a whole agent over sockets, beside a stand-in backend server."""

import threading

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.roles import agent
from bilberryhaven import settings
from bilberryhaven.standin import server as standin
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from tests import fake_control

PATIENCE = clocks.seconds(20)


class AgentTestCase(testtools.TestCase):
    """Runs a fake control, a stand-in backend server and an agent."""

    lease_ms = fake_control.LEASE_MS

    def setUp(self):
        super().setUp()
        self.clock = clocks.SystemClock()
        self.control = fake_control.FakeControl(self.lease_ms)
        self.control.start()
        self.addCleanup(self.control.stop)
        self.backend = self.start_backend()
        self.client = client.Client()
        self.addCleanup(self.client.close)
        self.agent = self.start_agent()
        self.wait_for(self.agent.is_ready)

    def start_backend(self, address='127.0.0.1:0'):
        backend = standin.StandinServer(
            address=address, services={'quick': 1, 'slow': 300}
        )
        backend.start()
        self.addCleanup(backend.stop)
        return backend

    def start_agent(self, listen='127.0.0.1:0'):
        role = agent.AgentRole(
            settings=settings.Settings(
                name='pond-1',
                zone='tainan',
                listen=listen,
                backend=self.backend.address,
                control=[self.control.address],
            ),
            clock=self.clock,
            drain_notice=clocks.seconds(0),
        )
        role.start()
        self.addCleanup(role.stop)
        return role

    def wait_for(self, condition):
        until = self.clock.monotonic() + PATIENCE
        pause = threading.Event()
        while not condition():
            if self.clock.monotonic() > until:
                self.fail(f'never came: {condition}')
            pause.wait(0.01)

    def admit(self, request_id, workload='quick', **fields):
        fields.setdefault('deadline_ms', 5000)
        fields.setdefault('revision', self.control.revision)
        return self.client.send(
            self.agent.address,
            message.AdmitRequest(
                request_id=request_id, workload=workload, **fields
            ),
            timeout=PATIENCE,
            step='admit',
        )

    def admit_in_thread(self, request_id, **fields):
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(self.admit(request_id, **fields))
        )
        thread.start()
        self.addCleanup(thread.join)
        return thread, replies


class TestRequests(AgentTestCase):
    def test_answer_comes_whole(self):
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
        reply = self.client.send(
            self.agent.address,
            message.RevokeRequest(request_ids=['r1']),
            timeout=PATIENCE,
            step='revoke',
        )
        self.assertEqual(1, len(reply.states))
        refused = self.admit('r1')
        self.assertEqual('refused', refused.code)
        self.assertEqual(0, self.backend.runs['r1'])


class TestJobs(AgentTestCase):
    def test_job_runs_to_its_end_once(self):
        self.control.order_start('j1', 1, b'{"seconds": 0.1, "result": 7}')
        self.wait_for(lambda: self.control.find_event('j1', 'finished'))
        kinds = self.control.list_kinds('j1')
        self.assertEqual(['started', 'finished'], kinds)
        self.assertEqual(b'7', self.control.find_event('j1', 'finished').body)
        self.assertEqual([], self.backend.list_violations())

    def test_evicted_job_hands_back_a_checkpoint(self):
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))
        self.control.order_stop('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'stopped'))
        checkpoint = self.control.find_event('j1', 'stopped').body
        self.assertIn(b'done', checkpoint)

    def test_planned_stop_evicts_and_leaves(self):
        self.control.order_start('j1', 1)
        self.wait_for(lambda: self.control.find_event('j1', 'started'))
        self.agent.stop()
        self.assertIn('stopped', self.control.list_kinds('j1'))
        self.assertTrue(self.control.beats[-1].leaving)
        self.assertRaises(errors.PeerError, self.admit, 'late')
