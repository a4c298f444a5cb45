"""Tests of the entry on real sockets."""

import concurrent.futures
import json

import testtools
from testtools import matchers
import urllib3

from bilberryhaven import clock
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from tests import entry_fakes


class TestEntry(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.agents = [
            entry_fakes.FakeAgent(name='a'),
            entry_fakes.FakeAgent(name='b'),
        ]
        self.leader = entry_fakes.FakeLeader(agents=self.agents)
        self.role = entry_fakes.start_entry(
            control=[self.leader.server.address]
        )
        self.http = urllib3.PoolManager(retries=False, maxsize=64)
        self.pool = concurrent.futures.ThreadPoolExecutor(32)
        for server in (self.leader, *self.agents):
            self.addCleanup(server.server.stop)
        self.addCleanup(self.role.kill)
        self.addCleanup(self.pool.shutdown)
        for agent in self.agents:
            self.addCleanup(agent.release.set)
        entry_fakes.wait_until(self.role.is_ready)

    def fetch(self, method, path, **options):
        url = f'http://{self.role.address}{path}'
        response = self.http.request(method, url, timeout=30, **options)
        return response.status, json.loads(response.data)

    def post(self, fields, key=None):
        headers = {'Idempotency-Key': key} if key else {}
        return self.fetch(
            'POST', '/v1/requests', body=json.dumps(fields), headers=headers
        )

    def count_seen(self):
        return sum(len(agent.seen) for agent in self.agents)

    def test_caller_gets_its_own_answer(self):
        jobs = {
            number: self.pool.submit(
                self.post, {'workload': 'price', 'body': {'n': number}}
            )
            for number in range(64)
        }
        for number, job in jobs.items():
            status, answer = job.result()
            self.assertEqual(200, status)
            self.assertEqual({'n': number}, answer['body'])

    def test_same_key_runs_once(self):
        fields = {'workload': 'price', 'body': 1}
        first = self.post(fields, key='k')
        self.assertEqual(first, self.post(fields, key='k'))
        self.assertEqual(1, self.count_seen())
        status, error = self.post({'workload': 'price', 'body': 2}, key='k')
        self.assertEqual((409, 'conflict'), (status, error['code']))

    def test_claim_comes_before_dispatch(self):
        self.assertEqual(200, self.post({'workload': 'recipe'}, key='r')[0])
        self.assertIn('r', self.leader.claims)
        self.leader.claims['s'] = 'another entry'
        status, error = self.post({'workload': 'recipe'}, key='s')
        self.assertEqual((409, 'unknown'), (status, error['outcome']))
        self.assertEqual(1, self.count_seen())

    def test_refusal_is_retried_elsewhere(self):
        self.agents[0].respond = self.agents[0].refuse
        for _ in range(4):
            answer = self.post({'workload': 'price', 'body': 1})
            self.assertEqual('b', answer[1].get('instance'), answer)

    def test_timeout_revokes_and_tells_the_outcome(self):
        for agent in self.agents:
            agent.respond = agent.wait
        fields = {'workload': 'price', 'deadline_ms': 200}
        status, error = self.post(fields, key='slow')
        self.assertEqual('not_run', error['outcome'])
        self.assertEqual(
            ['slow'], self.agents[0].revoked + self.agents[1].revoked
        )

    def test_heartbeats_are_batched(self):
        sender = client.Client()
        self.addCleanup(sender.close)
        jobs = [
            self.pool.submit(
                sender.send,
                self.role.address,
                message.Heartbeat(instance=str(number)),
                timeout=clock.seconds(10),
                step='beat',
            )
            for number in range(16)
        ]
        for number, job in enumerate(jobs):
            self.assertEqual(str(number), job.result().instance)
        sizes = [len(batch.heartbeats) for batch in self.leader.batches]
        self.assertEqual(16, sum(sizes))
        self.assertThat(len(sizes), matchers.LessThan(16))

    def test_other_calls_go_to_the_leader(self):
        self.assertEqual(
            (200, {'ok': True}), self.fetch('GET', '/v1/workloads?x=1')
        )
        call = self.leader.calls[0]
        self.assertEqual(('/v1/workloads', 'x=1'), (call.path, call.query))

    def test_metrics_are_served(self):
        self.post({'workload': 'price'})
        url = f'http://{self.role.address}/metrics'
        text = self.http.request('GET', url).data.decode()
        self.assertIn('bilberryhaven_entry_answers_total', text)
