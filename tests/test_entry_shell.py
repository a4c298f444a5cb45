"""Tests of a whole entry on real sockets, with fake peers."""

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

    def count_received(self):
        return sum(len(agent.received) for agent in self.agents)

    def test_each_caller_gets_its_own_response(self):
        futures = {
            number: self.pool.submit(
                self.post, {'workload': 'price', 'body': {'n': number}}
            )
            for number in range(64)
        }
        for number, future in futures.items():
            status, response = future.result()
            self.assertEqual(200, status)
            self.assertEqual({'n': number}, response['body'])

    def test_same_key_runs_once(self):
        fields = {'workload': 'price', 'body': 1}
        first = self.post(fields, key='k')
        self.assertEqual(first, self.post(fields, key='k'))
        self.assertEqual(1, self.count_received())
        status, error = self.post({'workload': 'price', 'body': 2}, key='k')
        self.assertEqual((409, 'conflict'), (status, error['code']))

    def test_claim_comes_before_dispatch(self):
        self.assertEqual(200, self.post({'workload': 'recipe'}, key='r')[0])
        self.assertIn('r', self.leader.claims)
        self.leader.claims['s'] = 'another entry'
        status, error = self.post({'workload': 'recipe'}, key='s')
        self.assertEqual((409, 'unknown'), (status, error['outcome']))
        self.assertEqual(1, self.count_received())

    def test_refusal_is_retried_on_another_instance(self):
        self.agents[0].respond = self.agents[0].refuse
        for _ in range(4):
            response = self.post({'workload': 'price', 'body': 1})
            self.assertEqual('b', response[1].get('instance'), response)

    def test_timeout_revokes_and_reports_the_outcome(self):
        for agent in self.agents:
            agent.respond = agent.wait_for_release
        fields = {'workload': 'price', 'deadline_ms': 4000}
        status, error = self.post(fields, key='slow')
        self.assertEqual('not_run', error['outcome'])
        self.assertEqual(
            ['slow'], self.agents[0].revoked + self.agents[1].revoked
        )

    def test_heartbeats_are_batched(self):
        sender = client.Client()
        self.addCleanup(sender.close)
        futures = [
            self.pool.submit(
                sender.send,
                self.role.address,
                message.Heartbeat(instance=str(number)),
                timeout=clock.seconds(10),
                step='beat',
            )
            for number in range(16)
        ]
        for number, future in enumerate(futures):
            self.assertEqual(str(number), future.result().instance)
        sizes = [len(batch.heartbeats) for batch in self.leader.batches]
        self.assertEqual(16, sum(sizes))
        self.assertThat(len(sizes), matchers.LessThan(16))

    def test_other_api_calls_are_relayed_to_the_leader(self):
        self.assertEqual(
            (200, {'ok': True}), self.fetch('GET', '/v1/workloads?x=1')
        )
        call = self.leader.calls[0]
        self.assertEqual(('/v1/workloads', 'x=1'), (call.path, call.query))

    def test_writes_without_an_id_get_an_idempotency_key(self):
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

    def start_blocked_requests(self, count):
        for agent in self.agents:
            agent.respond = agent.wait_for_release
        futures = [
            self.pool.submit(
                self.post, {'workload': 'price'}, key=f'k{number}'
            )
            for number in range(count)
        ]
        entry_fakes.wait_until(lambda: self.count_received() == count)
        return futures

    def release_agents(self):
        for agent in self.agents:
            agent.release.set()

    def test_stop_completes_requests_in_progress(self):
        futures = self.start_blocked_requests(8)
        stopping = self.pool.submit(self.role.stop)
        entry_fakes.wait_until(lambda: not self.role.is_ready())
        self.assertEqual(503, self.fetch('GET', '/readyz')[0])
        status, error = self.post({'workload': 'price'})
        self.assertEqual((503, 'draining'), (status, error['code']))
        self.release_agents()
        for future in futures:
            self.assertEqual(200, future.result()[0])
        stopping.result(30)

    def test_draining_instance_gets_no_request_after_the_next_sync(self):
        self.agents[0].load.draining = True
        previous_syncs = self.leader.syncs
        entry_fakes.wait_until(lambda: self.leader.syncs >= previous_syncs + 2)
        for _ in range(10):
            self.assertEqual(200, self.post({'workload': 'price'})[0])
        self.assertEqual([], self.agents[0].received)

    def test_request_is_refused_after_the_lease_expires(self):
        self.leader.is_unavailable = True
        entry_fakes.wait_until(lambda: not self.role.is_ready())
        status, error = self.post({'workload': 'price'})
        self.assertEqual((503, 'lease_lapsed'), (status, error['code']))
        self.assertEqual('not_run', error['outcome'])
        self.assertEqual(0, self.count_received())

    def test_cancellations_reach_the_agents(self):
        futures = self.start_blocked_requests(16)
        for _ in range(2):
            for number in range(16):
                status, _ = self.fetch('DELETE', f'/v1/requests/k{number}')
                self.assertEqual(202, status)
        entry_fakes.wait_until(
            lambda: sum(len(agent.revoked) for agent in self.agents) == 16
        )
        self.release_agents()
        self.assertEqual({200}, {future.result()[0] for future in futures})
        status, _ = self.fetch('DELETE', '/v1/requests/unknown')
        self.assertEqual(404, status)

    def test_truncated_response_is_never_returned(self):
        for agent in self.agents:
            agent.respond = agent.truncate
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

    def test_unreachable_agent_fails_no_request(self):
        self.agents[0].server.stop()
        for _ in range(6):
            status, response = self.post({'workload': 'price'})
            self.assertEqual((200, 'b'), (status, response.get('instance')))

    def test_new_leader_is_followed(self):
        other = entry_fakes.FakeLeader(agents=self.agents)
        self.addCleanup(other.server.stop)
        self.leader.leader = other.server.address
        self.leader.is_unavailable = True
        entry_fakes.wait_until(lambda: other.syncs)
        status, _ = self.fetch('GET', '/v1/instances')
        self.assertEqual((200, 1), (status, len(other.calls)))

    def test_requests_beyond_the_limit_are_refused_immediately(self):
        threads = concurrent.futures.ThreadPoolExecutor(150)
        self.addCleanup(threads.shutdown)
        self.http = urllib3.PoolManager(retries=False, maxsize=150)
        for agent in self.agents:
            agent.respond = agent.wait_for_release
        futures = [
            threads.submit(self.post, {'workload': 'price'})
            for _ in range(150)
        ]
        entry_fakes.wait_until(
            lambda: (
                sum(future.done() for future in futures)
                >= 150 - entry.MAX_REQUESTS
            )
        )
        self.assertEqual(200, self.fetch('GET', '/readyz')[0])
        self.release_agents()
        results = [future.result() for future in futures]
        refused = [response for status, response in results if status == 503]
        self.assertEqual({'overload'}, {error['code'] for error in refused})
        self.assertThat(
            len(results) - len(refused),
            matchers.LessThan(entry.MAX_REQUESTS + 1),
        )

    def test_calls_without_a_leader_block_no_request(self):
        self.leader.is_unavailable = True
        calls = [
            self.pool.submit(self.fetch, 'GET', '/v1/workloads')
            for _ in range(2 * entry.MAX_CALLS)
        ]
        entry_fakes.wait_until(
            lambda: sum(call.done() for call in calls) >= entry.MAX_CALLS
        )
        self.assertEqual(200, self.post({'workload': 'price'})[0])
        self.leader.is_unavailable = False
        results = [call.result() for call in calls]
        self.assertEqual({200, 503}, {status for status, _ in results})

    def test_metrics_are_served(self):
        self.post({'workload': 'price'})
        url = f'http://{self.role.address}/metrics'
        text = self.http.request('GET', url).data.decode()
        self.assertIn('bilberryhaven_entry_answers_total', text)
