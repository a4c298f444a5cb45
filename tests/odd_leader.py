"""A leader for tests of odd data, which follow what it has taken."""

import concurrent.futures
import json

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.control import machine
from bilberryhaven.platform import handlers
from bilberryhaven.tables import catalog
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from tests import workflow_replica

HOST = 'h.example'
WORKER = 'i-1'
BORN_MS = 1_700_000_000_000
HEARTBEAT = {
    'service': 's',
    'address': '127.0.0.1:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'remaining_ms': 0,
    'cold_remaining_ms': 0,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clock_ms': 482113,
    'sequence': 4,
    'born': BORN_MS,
}
JOB = {
    'spec': 'text',
    'steps': [
        {
            'task_count': 2,
            'cpu': 500,
            'mem_mb': 256,
            'gpu': 0,
            'estimate_ms': 900,
            'after': [],
            'requirements': '',
            'data_rack': 'r1-3',
            'anti_affinity': 1,
            'image': 'i',
            'target_ms': 100,
            'fill_count': 0,
            'miss_tolerance': 1,
        },
        {'task_count': 1, 'after': [0], 'gang': False},
    ],
    'start_at_ms': 1_000,
    'interval_ms': 500,
    'repeat_count': 2,
}
CONFIGURATION = {
    'version': 2,
    'routes': [
        {
            'name': 'r',
            'host': HOST,
            'path_prefix': '/q/',
            'kind': 'non_idempotent',
            'timeout_ms': 3000,
            'target_latency_ms': 250,
            'priority': 1,
            'service': 's',
            'max_attempts': 4,
            'slack_factor': 1.5,
        }
    ],
    'services': [{'name': 's', 'enforces_capacity': False}],
    'limits': {'max_body_bytes': 262144},
}


class LocalGateway:
    """Passes requests to a dispatcher in the same process, encoded."""

    def __init__(self, leader):
        self.leader = leader

    def send(self, request, *, timeout, step, sent_after=None):
        assert timeout < clocks.seconds(10_000), timeout
        body = message.encode(request)
        reply = self.leader.handle(wire_message.WorkRequest(body=body))
        if isinstance(reply, concurrent.futures.Future):
            reply = reply.result()
        return message.decode_reply(reply.body)


class Leader:
    """A dispatcher whose log commits immediately."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.machine = machine.TableStateMachine()
        self.dispatcher = dispatcher.Dispatcher(
            replica=workflow_replica.FakeReplica(self.machine),
            machine=self.machine,
            clock=self.clock,
            options=options.Options(max_poll_wait=clocks.seconds(0.01)),
        )
        self.gateway = LocalGateway(self.dispatcher)
        self.callers = handlers.build_caller_handler(
            self.gateway, lambda: False
        )
        self.operators = handlers.build_operator_handler(self.gateway)

    def call(self, handle, method, path, body=b'', **headers):
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'HTTP_HOST': HOST,
            **headers,
        }
        return handle(environ, body)

    def configure(self, body):
        return self.call(self.operators, 'POST', '/Config.Replace', body)

    def name_pool(self, name):
        """Add a pool to the catalog, so that its servers are registered.

        The name may be one that no configuration can have.
        """
        current = self.machine.state.catalogs.find_current()
        self.machine.state.catalogs.put(
            catalog.Catalog(
                version=current.version if current else 1,
                queues=current.queues if current else [],
                pools=[
                    *(current.pools if current else ()),
                    catalog.Pool(name=name),
                ],
                document=b'',
            )
        )

    def submit(self, path, body, **headers):
        return self.call(self.callers, 'POST', path, body, **headers)

    def check_works(self):
        """Check that a sound server is used and its runs are ordered."""
        self.clock.advance(clocks.seconds(1))
        self.dispatcher._schedule()
        state = self.machine.dump()
        loaded = machine.TableStateMachine()
        loaded.load(state)
        assert loaded.dump() == state


class OddEntryTest(testtools.TestCase):
    def check_response(self, response):
        """Return whether a body was taken; its rejection is coded."""
        if response.status == 200:
            return True
        self.assertTrue(400 <= response.status < 500, response.body)
        fields = json.loads(response.body)
        self.assertNotEqual('internal', fields['code'], fields)
        self.assertTrue(len(response.body) < 1_000, response.body[:100])
        return False
