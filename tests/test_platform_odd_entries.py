"""Real processes go on after odd entries from other writers.

Guards against one odd entry (nested too deeply, with a number too large, a
port out of range, unreadable) that ends a process or stops what it does for
the others (incident ``docs/incidents/odd-entries.md``).
"""

import json
import random
import socket
import time

import msgspec
import testtools
import urllib3

from bilberryhaven.consensus import message as consensus_message
from bilberryhaven.wire import client
from bilberryhaven.wire import codec
from bilberryhaven.wire import message as wire_message
from soak import machines
from soak import worker
from tests import odd

START_TIMEOUT_S = 30
# bounds.finish_s of the deployments: how long callers ask.
FINISH_TIMEOUT_S = 14
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 3
REPETITIONS = 50
HOST = 'h.example'
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'r',
            'host': HOST,
            'path_prefix': '/q/',
            'service': 'desk',
            'timeout_ms': 3000,
            'max_attempts': 4,
        }
    ],
    'services': [{'name': 'desk'}],
}
HEARTBEAT = {
    'service': 'desk',
    'address': '127.0.0.1:99999',
    'zone': 'z',
    'state': 'ready',
    'sequence': 2**70,
    'capacity': {'cpu': 2**70, 'mem_mb': 2**70},
    'labels': ['a', 'r-1'],
    'born': 2**70,
}
# Rows that a worker lists beside its own, as JSON text.
ODD_ROWS = (
    odd.JSON_VALUES[0],
    b'["w.0.0.0",' + b'1' + b'0' * 30 + b',"",0,0]',
    b'["w.0.0.0",-1,"",0,0]',
    b'["w",1,"",0,0]',
    b'[1,2,3]',
    b'{}',
    b'null',
    b'"x"',
    b'[18446744073709551616,"w.0.0.0",1,"done",""]',
    b'[1125899906842624,"w.0.0.0",1,"done",""]',
)


class OddWorker(worker.Worker):
    """Lists odd rows beside its own ones."""

    def _handle_request(self, environ, body):
        response = super()._handle_request(environ, body)
        if environ['PATH_INFO'] != '/hold' or response.status != 200:
            return response
        fields = json.loads(response.body)
        for name in ('running', 'finished'):
            fields[name] = [odd.PLACE, *fields.get(name, [])]
        text = json.dumps(fields).encode()
        text = text.replace(
            json.dumps(odd.PLACE).encode(), b','.join(ODD_ROWS)
        )
        response.body = text
        response.headers['Content-Length'] = str(len(text))
        return response


class OddEntriesTest(testtools.TestCase):
    worker_class = worker.Worker

    def setUp(self):
        super().setUp()
        self.http = urllib3.PoolManager(retries=False)
        self.addCleanup(self.http.clear)
        self.machines = machines.Machines(worker_host_count=1)
        self.addCleanup(self.machines.close, keep=False)
        for name in self.machines.names:
            self.machines.start(name)
        app = self.machines.find_address('side-1', machines.APP_PORT)
        self.checker = worker.InvariantChecker()
        self.worker = self.worker_class(
            number=1,
            zone='z',
            listen=app,
            advertised=app,
            agent=self.find('side-1', machines.CONTROL_PORT),
            checker=self.checker,
            random=random.Random(1),
        )
        self.worker.start()
        self.addCleanup(self.worker.stop)
        self.wait_for(self.configure, START_TIMEOUT_S)

    def find(self, machine, port):
        return self.machines.find_address(machine, port)

    def wait_for(self, condition, seconds):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                self.fail(f'not within {seconds} s: {condition}')
            time.sleep(POLL_INTERVAL_S)

    def post(self, machine, port, path, body, **headers):
        try:
            return self.http.request(
                'POST',
                f'http://{self.find(machine, port)}{path}',
                body=body,
                headers={'Host': HOST, 'X-Deadline-Ms': '3000', **headers},
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            return error

    def configure(self):
        body = json.dumps(CONFIGURATION).encode()
        response = self.post(
            'front-1', machines.CONTROL_PORT, '/Config.Replace', body
        )
        return getattr(response, 'status', 0) == 200

    def check_coded(self, response):
        """Check that an odd entry was rejected with a code."""
        status = getattr(response, 'status', None)
        self.assertIsNotNone(status, response)
        self.assertTrue(400 <= status < 500, (status, response.data[:200]))
        self.assertTrue(json.loads(response.data)['code'])

    def check_others(self, name):
        """Check that a sound job is carried out, and all processes run."""
        body = json.dumps(
            {
                'spec': 'text',
                'steps': [{'task_count': 3, 'cpu': 1000, 'mem_mb': 10}],
            }
        ).encode()
        self.checker.specs[name] = 'text'
        self.wait_for(
            lambda: (
                getattr(
                    self.post(
                        'front-1', machines.ENTRY_PORT, f'/q/{name}', body
                    ),
                    'status',
                    0,
                )
                == 200
            ),
            FINISH_TIMEOUT_S,
        )
        url = f'http://{self.find("front-1", machines.ENTRY_PORT)}/q/{name}'

        def is_completed():
            response = self.http.request(
                'GET', url, headers={'Host': HOST}, timeout=CALL_TIMEOUT_S
            )
            return b'completed' in response.data

        self.wait_for(is_completed, 2 * FINISH_TIMEOUT_S)
        self.assertEqual([], self.machines.list_exited())
        self.assertEqual([], self.checker.violations)

    def count_log_bytes(self):
        return sum(
            path.stat().st_size for path in self.machines.folder.glob('*.log')
        )


class BodiesTest(OddEntriesTest):
    def test_odd_heartbeats_and_bodies(self):
        self.check_others('w1')
        before = self.count_log_bytes()
        tree = json.dumps(HEARTBEAT).encode()
        targets = (
            ('side-1', machines.CONTROL_PORT, '/Instances.Heartbeat/i-x'),
            (
                'side-1',
                machines.CONTROL_PORT,
                f'/Instances.Heartbeat/{self.worker.id}',
            ),
            ('front-1', machines.ENTRY_PORT, '/q/odd'),
            ('front-2', machines.CONTROL_PORT, '/Config.Replace'),
        )
        for body in (tree, *odd.JSON_VALUES):
            for machine, port, path in targets:
                self.check_coded(self.post(machine, port, path, body))
        self.check_others('w2')
        # Each odd entry is at most a line; the bound is for repeated ones.
        for _ in range(REPETITIONS):
            for machine, port, path in targets:
                self.post(machine, port, path, tree)
        written = self.count_log_bytes() - before
        entries = len(targets) * (REPETITIONS + 1 + len(odd.JSON_VALUES))
        self.assertTrue(written < 200 * entries, (written, entries))

    def test_odd_headers(self):
        body = json.dumps({'spec': '', 'steps': [{'task_count': 1}]}).encode()
        self.checker.specs['h1'] = ''
        for text in ('9' * 400, '1' + '0' * 30, '\xb2', '-1'):
            response = self.post(
                'front-1',
                machines.ENTRY_PORT,
                '/q/h1',
                body,
                **{'X-Deadline-Ms': text.encode('latin-1')},
            )
            self.assertEqual(200, getattr(response, 'status', 0), text[:20])
        for length in (b'x', b'-1', b'9' * 400, b'\xb2', b''):
            address = self.find('front-1', machines.ENTRY_PORT)
            host, port = address.split(':')
            with socket.create_connection((host, int(port)), 2) as sock:
                sock.sendall(
                    b'POST /q/h2 HTTP/1.1\r\nHost: %s\r\n'
                    b'Content-Length: %s\r\n\r\n{}' % (HOST.encode(), length)
                )
                sock.settimeout(CALL_TIMEOUT_S)
                answer = sock.recv(1000)
            self.assertTrue(answer.startswith(b'HTTP/1.1 4'), (length, answer))
        self.check_others('w3')

    def test_odd_messages_between_processes(self):
        sender = client.Client()
        self.addCleanup(sender.close)
        append = consensus_message.AppendRequest(
            sender='x', term=0, prev_index=0, prev_term=0, commit=0, round=0
        )
        tree = msgspec.msgpack.decode(consensus_message.encode(append))
        batch = [
            msgspec.msgpack.encode(odd.replace(tree, path, msgspec.Raw(value)))
            for path in odd.list_paths(tree)
            for value in odd.MSGPACK_VALUES
        ]
        bodies = [
            codec.encode(
                wire_message.ConsensusBatch(sender='x', messages=batch)
            ),
            *(
                codec.encode(wire_message.WorkRequest(body=value))
                for value in odd.MSGPACK_VALUES
            ),
            *odd.JSON_VALUES[:4],
            codec.encode(
                wire_message.MembersRequest(members=['127.0.0.1:99999'])
            ),
        ]
        for machine in self.machines.frontend_hosts:
            for body in bodies:
                response = self.post(
                    machine, machines.INTERNAL_PORT, client.MESSAGE_PATH, body
                )
                self.assertEqual(200, getattr(response, 'status', 0))
        self.check_others('w4')

    def test_odd_settings(self):
        for seeds in (
            '127.0.0.1:99999',
            'x' * 5_000,
            '\x00,:1,1.2.3.4:0',
        ):
            self.write_settings(f'seeds={seeds}\n'.encode())
        self.write_settings(b'\xff\xfe=\xff\n')
        self.write_settings(b'bounds.max_lease_ms=1' + b'0' * 400 + b'\n')
        time.sleep(2)
        self.check_others('w5')

    def write_settings(self, line):
        for path in self.machines.folder.glob('*.conf'):
            path.write_bytes(path.read_bytes() + line)
        time.sleep(1)


class ListsTest(OddEntriesTest):
    worker_class = OddWorker

    def test_odd_rows_of_a_worker(self):
        self.check_others('w6')
