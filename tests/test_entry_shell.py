"""Tests of the entry on real sockets."""

import concurrent.futures
import json

import testtools
from testtools import matchers
import urllib3

from bilberryhaven import clock
from bilberryhaven.roles import entry
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
        fakes = (self.leader, *self.agents)
        self.addCleanup(entry_fakes.stop_all, [fake.server for fake in fakes])
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
            status, response = job.result()
            self.assertEqual(200, status)
            self.assertEqual({'n': number}, response['body'])

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
            response = self.post({'workload': 'price', 'body': 1})
            self.assertEqual('b', response[1].get('instance'), response)

    def test_timeout_revokes_and_tells_the_outcome(self):
        for agent in self.agents:
            agent.respond = agent.wait
        fields = {'workload': 'price', 'deadline_ms': 4000}
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

    def test_writes_without_an_id_get_a_key(self):
        path = '/v1/workloads/price'
        self.fetch('PUT', path, body=b'{}')
        self.fetch('PUT', path, body=b'{"change_id": "c"}')
        self.fetch(
            'PUT', path, body=b'{}', headers={'Idempotency-Key': 'mine'}
        )
        queries = [call.query for call in self.leader.calls]
        self.assertThat(
            queries[0], matchers.StartsWith('idempotency_key=call-')
        )
        self.assertEqual(['', 'idempotency_key=mine'], queries[1:])

    def start_slow(self, count):
        for agent in self.agents:
            agent.respond = agent.wait
        jobs = [
            self.pool.submit(
                self.post, {'workload': 'price'}, key=f'k{number}'
            )
            for number in range(count)
        ]
        entry_fakes.wait_until(lambda: self.count_seen() == count)
        return jobs

    def release(self):
        for agent in self.agents:
            agent.release.set()

    def test_stop_finishes_what_is_in_progress(self):
        jobs = self.start_slow(8)
        stopping = self.pool.submit(self.role.stop)
        entry_fakes.wait_until(lambda: not self.role.is_ready())
        self.assertEqual(503, self.fetch('GET', '/readyz')[0])
        status, error = self.post({'workload': 'price'})
        self.assertEqual((503, 'draining'), (status, error['code']))
        self.release()
        for job in jobs:
            self.assertEqual(200, job.result()[0])
        stopping.result(30)

    def test_leaving_instance_gets_nothing_after_the_next_sync(self):
        self.agents[0].load.draining = True
        seen = self.leader.syncs
        entry_fakes.wait_until(lambda: self.leader.syncs >= seen + 2)
        for _ in range(10):
            self.assertEqual(200, self.post({'workload': 'price'})[0])
        self.assertEqual([], self.agents[0].seen)

    def test_lapsed_lease_refuses(self):
        self.leader.silent = True
        entry_fakes.wait_until(lambda: not self.role.is_ready())
        status, error = self.post({'workload': 'price'})
        self.assertEqual((503, 'lease_lapsed'), (status, error['code']))
        self.assertEqual('not_run', error['outcome'])
        self.assertEqual(0, self.count_seen())

    def test_cancellations_reach_the_agents(self):
        jobs = self.start_slow(16)
        for _ in range(2):
            for number in range(16):
                status, _ = self.fetch('DELETE', f'/v1/requests/k{number}')
                self.assertEqual(202, status)
        entry_fakes.wait_until(
            lambda: sum(len(agent.revoked) for agent in self.agents) == 16
        )
        self.release()
        self.assertEqual({200}, {job.result()[0] for job in jobs})
        status, _ = self.fetch('DELETE', '/v1/requests/unknown')
        self.assertEqual(404, status)

    def test_cut_answer_is_never_passed_on(self):
        for agent in self.agents:
            agent.respond = agent.cut
            agent.state = 'finished'
        status, error = self.post({'workload': 'price', 'body': 'whole'})
        self.assertEqual((502, 'truncated_answer'), (status, error['code']))
        self.assertEqual('ran', error['outcome'])
        self.agents[1].respond = self.agents[1].echo
        for _ in range(4):
            status, response = self.post(
                {'workload': 'price', 'body': 'whole', 'idempotent': True}
            )
            self.assertEqual((200, 'whole'), (status, response.get('body')))

    def test_unreachable_agent_costs_no_request(self):
        self.agents[0].server.stop()
        for _ in range(6):
            status, response = self.post({'workload': 'price'})
            self.assertEqual((200, 'b'), (status, response.get('instance')))

    def test_new_leader_is_followed(self):
        other = entry_fakes.FakeLeader(agents=self.agents)
        self.addCleanup(other.server.stop)
        self.leader.leader = other.server.address
        self.leader.silent = True
        entry_fakes.wait_until(lambda: other.syncs)
        status, _ = self.fetch('GET', '/v1/instances')
        self.assertEqual((200, 1), (status, len(other.calls)))

    def test_more_than_it_can_hold_is_refused_at_once(self):
        threads = concurrent.futures.ThreadPoolExecutor(150)
        self.addCleanup(threads.shutdown)
        self.http = urllib3.PoolManager(retries=False, maxsize=150)
        for agent in self.agents:
            agent.respond = agent.wait
        jobs = [
            threads.submit(self.post, {'workload': 'price'})
            for _ in range(150)
        ]
        entry_fakes.wait_until(
            lambda: sum(job.done() for job in jobs) >= 150 - entry.MAX_REQUESTS
        )
        self.assertEqual(200, self.fetch('GET', '/readyz')[0])
        self.release()
        answers = [job.result() for job in jobs]
        refused = [response for status, response in answers if status == 503]
        self.assertEqual({'overload'}, {error['code'] for error in refused})
        self.assertThat(
            len(answers) - len(refused),
            matchers.LessThan(entry.MAX_REQUESTS + 1),
        )

    def test_calls_without_a_leader_hold_up_no_request(self):
        self.leader.silent = True
        calls = [
            self.pool.submit(self.fetch, 'GET', '/v1/workloads')
            for _ in range(2 * entry.MAX_CALLS)
        ]
        entry_fakes.wait_until(
            lambda: sum(call.done() for call in calls) >= entry.MAX_CALLS
        )
        self.assertEqual(200, self.post({'workload': 'price'})[0])
        self.leader.silent = False
        answers = [call.result() for call in calls]
        self.assertEqual({200, 503}, {status for status, _ in answers})

    def test_metrics_are_served(self):
        self.post({'workload': 'price'})
        url = f'http://{self.role.address}/metrics'
        text = self.http.request('GET', url).data.decode()
        self.assertIn('bilberryhaven_entry_answers_total', text)
