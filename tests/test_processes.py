"""End-to-end tests of separate processes that are killed and stopped."""

import concurrent.futures
import threading

import testtools
import urllib3

from bilberryhaven import errors
from tests import processes

IN_FORCE_TIMEOUT_S = 8
SESSION_CLOSE_TIMEOUT_S = 3
START_TIMEOUT_S = 30


class ProcessTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = processes.Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.wait(
            lambda: self.count_connected() == 2,
            processes.START_SECONDS,
            'both agents have a session',
        )
        self.declare('price-check', 'service')
        self.declare('quote', 'batch')
        self.declare('stock-watch', 'watch')
        self.wait_in_force()

    def count_connected(self):
        rows = self.fleet.call_any('GET', '/v1/instances')['instances']
        return sum(row['connected'] for row in rows)

    def declare(self, name, kind, **fields):
        path = f'/v1/workloads/{name}'
        return self.fleet.call_any('PUT', path, {'kind': kind, **fields})

    def is_in_force(self):
        return self.fleet.call_any('GET', '/v1/in-force')['in_force']

    def wait_in_force(self):
        self.fleet.wait(self.is_in_force, IN_FORCE_TIMEOUT_S, 'in force')

    def submit(self, job_id, workload, payload):
        body = {'id': job_id, 'workload': workload, 'payload': payload}
        self.fleet.call_any('POST', '/v1/jobs', body)

    def get_job(self, job_id):
        return self.fleet.call_any('GET', f'/v1/jobs/{job_id}')

    def wait_state(self, job_id, state, seconds):
        self.fleet.wait(
            lambda: self.get_job(job_id)['state'] == state,
            seconds,
            f'{job_id} {state}',
        )

    def send_request(self, name, number):
        body = {
            'workload': 'price-check',
            'body': f'pillow {number}',
            'deadline_ms': 5000,
            'idempotent': True,
        }
        answer = self.fleet.call(name, 'POST', '/v1/requests', body)
        self.assertIn(f'pillow {number}"', str(answer['body']))
        return answer


class TestKills(ProcessTestCase):
    def test_kills_and_stops_in_turn(self):
        fleet = self.fleet
        fleet.wait(
            lambda: self.send_request('entry-1', 1),
            IN_FORCE_TIMEOUT_S,
            'an answer',
        )
        self.submit('watch', 'stock-watch', {})
        self.submit('quote', 'quote', {'seconds': 0.5})
        self.wait_state('watch', 'running', 10)
        self.wait_state('quote', 'finished', 20)

        self.kill_leader()
        self.kill_agent_running('watch')
        fleet.kill('entry-1')
        self.send_request('entry-2', 2)
        self.stop_agent_with_requests()

    def kill_leader(self):
        leader = self.fleet.find_leader()
        before = self.get_job('watch')
        self.fleet.kill(leader)
        self.send_request('entry-1', 3)
        self.fleet.wait(
            lambda: self.declare('new', 'batch')['revision'],
            IN_FORCE_TIMEOUT_S,
            'the new leader accepts a change',
        )
        self.fleet.wait(
            self.is_in_force, IN_FORCE_TIMEOUT_S, 'the change is in force'
        )
        after = self.get_job('watch')
        self.assertEqual(before['epoch'], after['epoch'])
        self.fleet.start(leader)

    def kill_agent_running(self, job_id):
        name = self.get_job(job_id)['instance']
        epoch = self.get_job(job_id)['epoch']
        self.fleet.kill(name)

        def has_moved():
            ids = [task['id'] for _, task in self.fleet.list_tasks()]
            self.assertLessEqual(ids.count(job_id), 1)
            row = self.get_job(job_id)
            return row['state'] == 'running' and row['instance'] != name

        self.fleet.wait(has_moved, 20, f'{job_id} runs on the other agent')
        self.assertEqual(epoch + 1, self.get_job(job_id)['epoch'])
        self.fleet.start(name)
        self.fleet.wait(
            lambda: self.count_connected() == 2,
            20,
            f'{name} has a session again',
        )
        self.fleet.wait(
            lambda: self.send_request('entry-2', 4)['instance'] == name,
            IN_FORCE_TIMEOUT_S,
            f'entry-2 sends requests to {name}',
        )

    def stop_agent_with_requests(self):
        stopping = threading.Event()
        failures = []

        def ask_repeatedly(first):
            number = first
            while not stopping.is_set():
                try:
                    self.send_request('entry-2', number)
                except errors.BilberryhavenError as error:
                    failures.append(str(error))
                number += 100

        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            jobs = [pool.submit(ask_repeatedly, first) for first in range(4)]
            status = self.fleet.terminate('agent-1')
            stopping.set()
        for job in jobs:
            job.result()
        self.assertEqual((0, []), (status, failures))
        self.fleet.wait(
            lambda: self.count_connected() == 1,
            SESSION_CLOSE_TIMEOUT_S,
            'the session of agent-1 is closed',
        )
        self.wait_state('watch', 'running', 10)


class TestPartition(ProcessTestCase):
    def setUp(self):
        super().setUp()
        leader = self.fleet.find_leader()
        controls = self.fleet.list_names('control')
        self.follower = next(n for n in controls if n != leader)
        self.suspended = ['entry-2', 'agent-2', self.follower]

    def select(self, expression):
        path = '/v1/workloads/price-check/selectors'
        answer = self.fleet.call(
            'entry-1', 'PATCH', path, {'runs_on': expression}
        )
        return answer['revision']

    def test_change_is_in_force_with_one_of_each_role_partitioned(self):
        self.select('instance=agent-1')
        self.wait_in_force()
        self.assertEqual(
            'agent-1', self.send_request('entry-2', 1)['instance']
        )
        for name in self.suspended:
            self.fleet.suspend(name)
        revision = self.select('instance=agent-2')
        self.wait_in_force()
        for name in self.suspended:
            self.fleet.resume(name)
        # The resumed entry may hold a stale selector and must not use it.
        answered = set()

        def is_answered():
            answered.add(self.send_request('entry-2', 2)['instance'])
            return True

        self.fleet.wait(is_answered, IN_FORCE_TIMEOUT_S, 'entry-2 answers')
        self.assertEqual({'agent-2'}, answered)
        status = self.fleet.call('entry-2', 'GET', '/v1/in-force')
        self.assertGreaterEqual(status['newest'], revision)

    def test_suspended_leader_serves_no_stale_data(self):
        leader = self.fleet.find_leader()
        self.select('instance=agent-1')
        self.fleet.suspend(leader)
        other = next(
            name for name in self.fleet.list_names('control') if name != leader
        )
        self.fleet.wait(
            lambda: self.fleet.call(
                other,
                'PATCH',
                '/v1/workloads/price-check/selectors',
                {'runs_on': 'instance=agent-2'},
                timeout=2,
            ),
            IN_FORCE_TIMEOUT_S,
            'another leader accepts a change',
        )
        self.fleet.resume(leader)
        answered = set()

        def is_answered():
            path = '/v1/workloads/price-check'
            answered.add(self.fleet.call(leader, 'GET', path)['runs_on'])
            return True

        self.fleet.wait(
            is_answered, IN_FORCE_TIMEOUT_S, 'the old leader answers'
        )
        self.assertEqual({'instance=agent-2'}, answered)

    def test_equal_versions_race_at_two_entries(self):
        def change(name):
            body = {'labels': {'season': name}, 'expect': 1}
            path = '/v1/workloads/price-check/labels'
            try:
                return self.fleet.call(name, 'PATCH', path, body)['version']
            except errors.ConflictError as error:
                return error.code

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            answers = set(pool.map(change, ['entry-1', 'entry-2']))
        self.assertEqual({2, 'conflict'}, answers)


class TestStops(ProcessTestCase):
    def terminate_under_load(self, work, count, name):
        """Stop a process while ``count`` threads call ``work(number)``.

        Each thread has completed a call before the process is stopped.

        Returns:
            The exit status of the process.
        """
        stopping = threading.Event()
        started = threading.Barrier(count + 1, timeout=START_TIMEOUT_S)

        def repeat(first):
            work(first)
            started.wait()
            number = first + count
            while not stopping.is_set():
                work(number)
                number += count

        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            jobs = [pool.submit(repeat, first) for first in range(count)]
            started.wait()
            status = self.fleet.terminate(name)
            stopping.set()
        for job in jobs:
            job.result()
        return status

    def test_stopped_leader_transfers_leadership_without_an_error(self):
        accepted = []

        def change(number):
            body = {'labels': {'n': str(number)}, 'change_id': f'c{number}'}
            path = '/v1/workloads/price-check/labels'
            answer = self.fleet.call('entry-1', 'PATCH', path, body)
            accepted.append((number, answer['revision']))
            self.send_request('entry-2', number)

        leader = self.fleet.find_leader()
        self.assertEqual(0, self.terminate_under_load(change, 2, leader))
        self.fleet.wait(self.fleet.find_leader, IN_FORCE_TIMEOUT_S, 'a leader')
        for number, revision in accepted:
            body = {'labels': {'n': str(number)}, 'change_id': f'c{number}'}
            path = '/v1/workloads/price-check/labels'
            again = self.fleet.call('entry-2', 'PATCH', path, body)
            self.assertEqual(revision, again['revision'])

    def test_stopped_entry_cuts_off_no_request(self):
        failed_requests = []
        answered = []
        refused = threading.Event()

        def send_request(number):
            # A load balancer sends no more requests after the first refusal.
            if refused.wait(0.001):
                return
            body = {'workload': 'price-check', 'body': number}
            try:
                answer = self.fleet.call(
                    'entry-1',
                    'POST',
                    '/v1/requests',
                    body,
                    headers={'Connection': 'close'},
                )
                answered.append(answer)
            except errors.DrainingError:
                refused.set()
            except errors.BilberryhavenError as error:
                failed_requests.append(str(error))
            except urllib3.exceptions.HTTPError as error:
                failed_requests.append(repr(error))

        self.fleet.wait(
            lambda: self.send_request('entry-1', 1),
            IN_FORCE_TIMEOUT_S,
            'an answer',
        )
        self.assertEqual(
            0, self.terminate_under_load(send_request, 8, 'entry-1')
        )
        self.assertEqual([], failed_requests)
        self.assertTrue(refused.is_set())
        self.assertNotEqual([], answered)
