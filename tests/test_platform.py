"""Tests of the adapter's decoding and encoding of infrastructure formats."""

import pathlib
import socket
import tempfile

import msgspec
import testtools

from bilberryhaven import errors
from bilberryhaven.platform import catalogs
from bilberryhaven.platform import handlers
from bilberryhaven.platform import jobs
from bilberryhaven.platform import settings
from bilberryhaven.platform import workers
from bilberryhaven.wire import deferral
from bilberryhaven.workflow import message
from bilberryhaven.workflow import supervision

SETTINGS_TEXT = """\
node_name=frontend-pingtung-1
ip=10.1.0.13
zone=pingtung
listen.frontend=10.1.0.13:8161
listen.ready=10.1.0.13:8167
listen.control=10.1.0.13:8166
internal_port_range=7720,7735
seeds=10.1.0.13:8166,10.2.0.30:8166,10.3.0.36:8166
bootstrap=true
data_dir=/data/my-frontend
fault_tolerance.machines=2
bounds.max_lease_ms=4000
bounds.status_s=120
surprise=1
"""
JOB = (
    b'{"spec":"(text)","steps":[{"task_count":4,"cpu":500,"mem_mb":256},'
    b'{"task_count":20,"cpu":2000,"after":[0],"saves_progress":true,'
    b'"anti_affinity":3,"requirements":"a","fill_count":1}]}'
)
CONFIGURATION = (
    b'{"version":7,"routes":[{"name":"r","host":"h.example",'
    b'"path_prefix":"/p/","kind":"non_idempotent","timeout_ms":3000,'
    b'"target_latency_ms":250,"priority":2,"service":"s","max_attempts":4,'
    b'"slack_factor":1.5}],"services":[{"name":"s","max_connections":64}],'
    b'"limits":{}}'
)
HEARTBEAT = {
    'service': 's',
    'address': '10.128.0.9:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'draining',
    'remaining_ms': 4000,
    'cold_remaining_ms': 0,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clock_ms': 482113,
    'sequence': 4,
    'born': 17,
}


class SettingsTest(testtools.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'local.conf'
            path.write_text(text)
            return settings.load_deployment(path)

    def test_bootstrapping_instance_knows_the_first_voters(self):
        loaded = self.load(SETTINGS_TEXT)
        self.assertEqual('10.1.0.13:7720', loaded.settings.listen)
        self.assertEqual(3, len(loaded.settings.voters))
        self.assertIn(
            settings.build_replica_name(loaded), loaded.settings.voters
        )
        self.assertEqual(5, loaded.options.voters)
        self.assertEqual(4.0, loaded.options.lease.total_seconds())

    def test_disk_is_detected_by_the_data_folder(self):
        self.assertTrue(self.load(SETTINGS_TEXT).has_disk)
        without = SETTINGS_TEXT.replace('data_dir=/data/my-frontend\n', '')
        self.assertFalse(self.load(without).has_disk)

    def test_start_without_bootstrap_has_no_voters(self):
        loaded = self.load(
            SETTINGS_TEXT.replace('bootstrap=true', 'bootstrap=false')
        )
        self.assertEqual({}, loaded.settings.voters)
        self.assertEqual(3, len(loaded.settings.control))

    def test_missing_field_raises_settings_error(self):
        text = SETTINGS_TEXT.replace('node_name=', 'other=')
        error = self.assertRaises(errors.SettingsError, self.load, text)
        self.assertIn('node_name', str(error))

    def test_zones_and_their_withdrawal_are_read(self):
        loaded = self.load(
            SETTINGS_TEXT + 'zones.pingtung=tw\nbounds.evacuate_ms=5000\n'
        )
        (zone,) = loaded.settings.zones
        self.assertEqual(('pingtung', 'tw'), (zone.name, zone.region))
        self.assertEqual(2.5, loaded.options.start_validity.total_seconds())
        self.assertIsNone(self.load(SETTINGS_TEXT).options.start_validity)


class JobTest(testtools.TestCase):
    def decode(self, body):
        return jobs.decode_job(body, host='h', path='/p/1')

    def test_fields_are_decoded(self):
        first, second = self.decode(JOB).steps
        self.assertEqual((4, 500, 256), (first.tasks, first.cpu, 256))
        self.assertEqual([0], second.after)
        self.assertEqual(3, second.max_per_backend)
        self.assertEqual('a', second.required_label)
        self.assertTrue(second.best_effort and second.saves_progress)
        self.assertIsNone(second.disruption_budget)

    def test_times_are_converted_to_seconds(self):
        body = msgspec.json.decode(JOB)
        body |= {
            'start_at_ms': 5000,
            'interval_ms': 1500,
            'repeat_count': 3,
        }
        schedule = self.decode(msgspec.json.encode(body)).schedule
        self.assertEqual(8.0, schedule.find_due(2))

    def test_invalid_bodies_raise_bad_input_error(self):
        for body in (b'', b'{', b'[]', b'{"spec":1,"steps":[]}', b'\xff'):
            self.assertRaises(errors.BadInputError, self.decode, body)


class CatalogTest(testtools.TestCase):
    def test_routes_are_converted_to_queues(self):
        request = catalogs.decode_configuration(CONFIGURATION)
        (queue,) = request.queues
        self.assertEqual(
            ('s', '/p/', 250, 4),
            (queue.pool, queue.prefix, queue.latency_ms, queue.max_attempts),
        )
        self.assertEqual(CONFIGURATION, request.document)

    def test_truncated_configuration_is_rejected(self):
        for end in range(0, len(CONFIGURATION), 7):
            self.assertRaises(
                errors.BadInputError,
                catalogs.decode_configuration,
                CONFIGURATION[:end],
            )


class HeartbeatTest(testtools.TestCase):
    def decode(self, **changes):
        body = msgspec.json.encode({**HEARTBEAT, **changes})
        return workers.decode_heartbeat('i-1', body)

    def test_heartbeat_fields_are_decoded(self):
        announcement = self.decode()
        self.assertEqual('r1-3', announcement.state.rack)
        self.assertEqual(17, announcement.state.born_ms)
        self.assertTrue(announcement.state.draining)
        self.assertEqual(16000, announcement.state.cpu)

    def test_time_until_the_server_is_warm_is_decoded(self):
        for value, expected in ((812.5, 812), (0, 0), (-3, 0)):
            state = self.decode(cold_remaining_ms=value).state
            self.assertEqual(expected, state.warming_ms)

    def test_invalid_heartbeats_are_rejected(self):
        for changes in (
            {'state': 'asleep'},
            {'sequence': 'four'},
            {'address': 'nowhere'},
            {'capacity': None},
        ):
            self.assertRaises(errors.BadInputError, self.decode, **changes)

    def test_incomplete_or_odd_capacity_is_rejected(self):
        """Guards against taking a missing field for a server without it."""
        for capacity in (
            {},
            {'cpu': 16000, 'gpu': 0},
            {'mem_mb': 32768, 'gpu': 0},
            {'cpu': -1, 'mem_mb': 32768, 'gpu': 0},
            {'cpu': 2**70, 'mem_mb': 32768, 'gpu': 0},
            {'cpu': 16000, 'mem_mb': '32768', 'gpu': 0},
            {'cpu': 16000, 'mem_mb': 32768, 'gpu': True},
        ):
            self.assertRaises(
                errors.BadInputError, self.decode, capacity=capacity
            )

    def test_capacity_without_accelerators_is_accepted(self):
        """Such workers could not register, and nothing was started."""
        announcement = self.decode(capacity={'cpu': 16000, 'mem_mb': 32768})
        self.assertEqual(
            (16000, 0), (announcement.state.cpu, announcement.state.gpu)
        )

    def test_odd_heartbeat_keeps_the_last_good_capacity(self):
        supervisor = supervision.RunSupervisor(agent='a')
        supervisor.follow(self.decode())
        bad = {**HEARTBEAT, 'sequence': 5, 'capacity': {'cpu': 1}}
        handle = handlers.build_worker_handler(supervisor)
        response = handle(
            {
                'REQUEST_METHOD': 'POST',
                'PATH_INFO': '/Instances.Heartbeat/i-1',
            },
            msgspec.json.encode(bad),
        )
        self.assertEqual(400, response.status)
        self.assertEqual(16000, supervisor.target.state.cpu)
        supervisor.handle_announcement(
            self.decode(
                sequence=6,
                capacity={'cpu': 8000, 'mem_mb': 16384, 'gpu': 1},
            )
        )
        state = supervisor.target.state
        self.assertEqual(
            (8000, 16384, 1), (state.cpu, state.memory_mb, state.gpu)
        )


class DeregistrationTest(testtools.TestCase):
    """Guards against a lost or foreign word of a worker's end."""

    def setUp(self):
        super().setUp()
        self.calls = []
        self.handle = handlers.build_worker_handler(self)

    def handle_deregistration(self, server_id, born_ms):
        self.calls.append((server_id, born_ms))

    def deregister(self, body):
        path = '/Instances.Deregister/i-1'
        environ = {'REQUEST_METHOD': 'POST', 'PATH_INFO': path}
        return self.handle(environ, body).status

    def test_start_is_optional(self):
        for body, born_ms in (
            (b'', 0),
            (b'{}', 0),
            (b'{"born": 5, "sequence": 9}', 5),
        ):
            self.assertEqual(200, self.deregister(body))
            self.assertEqual(('i-1', born_ms), self.calls.pop())

    def test_odd_body_is_rejected(self):
        for body in (b'[', b'{"born": "x"}', b'{"born": -1}', b'\xff'):
            self.assertEqual(400, self.deregister(body), body)
        self.assertEqual([], self.calls)


class StubGateway:
    def __init__(self, answer):
        self.answer = answer
        self.requests = []

    def send(self, request, *, timeout, step, sent_after=None):
        self.requests.append(request)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class OperatorHandlerTest(testtools.TestCase):
    def call(self, answer, path, method='POST', **environ):
        self.gateway = StubGateway(answer)
        handle = handlers.build_operator_handler(self.gateway)
        environ |= {'REQUEST_METHOD': method, 'PATH_INFO': path}
        return handle(environ, b'').status

    def test_order_whose_sender_has_gone_is_not_forwarded(self):
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        far.close()
        status = self.call(
            None, '/Evacuation.End/z', **{deferral.SOCKET_KEY: near}
        )
        self.assertEqual((503, []), (status, self.gateway.requests))

    def test_zone_orders_are_forwarded(self):
        for path, request in (
            ('/Evacuation.Start/pingtung', message.Withdraw(zone='pingtung')),
            ('/Evacuation.End/pingtung', message.Restore(zone='pingtung')),
        ):
            self.assertEqual(200, self.call(message.ZoneReply, path))
            self.assertEqual([request], self.gateway.requests)

    def test_failed_zone_orders_keep_their_outcome(self):
        path = '/Evacuation.Start/z'
        unknown = errors.UnavailableError(
            'x', step='s', outcome=errors.Outcome.UNKNOWN
        )
        for error, status in (
            (errors.NotFoundError('no zone', step='s'), 404),
            (errors.UnavailableError('no leader', step='s'), 503),
            (unknown, 504),
        ):
            self.assertEqual(status, self.call(error, path))
        self.assertEqual(404, self.call(None, path, method='GET'))


class CallerHandlerTest(testtools.TestCase):
    def call(
        self, answer, *, method='POST', body=JOB, draining=False, **environ
    ):
        self.gateway = StubGateway(answer)
        handle = handlers.build_caller_handler(
            self.gateway, lambda: draining, 'pingtung'
        )
        environ |= {
            'REQUEST_METHOD': method,
            'PATH_INFO': '/p/5c0e7a21d94b36f8',
            'HTTP_HOST': 'h.example:8161',
        }
        return handle(environ, body)

    def test_job_whose_sender_has_gone_is_not_forwarded(self):
        """Another process may have rejected it since, under overload."""
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        answer = message.StateReply(state='queued')
        self.call(answer, **{deferral.SOCKET_KEY: near})
        self.assertEqual(1, len(self.gateway.requests))
        far.close()
        response = self.call(answer, **{deferral.SOCKET_KEY: near})
        self.assertEqual((503, []), (response.status, self.gateway.requests))

    def test_job_is_forwarded(self):
        response = self.call(message.StateReply(state='queued'))
        self.assertEqual(200, response.status)
        (request,) = self.gateway.requests
        self.assertEqual('h.example', request.host)
        self.assertEqual('pingtung', request.zone)

    def test_count_is_encoded(self):
        response = self.call(message.CountReply(waiting=12), method='GET')
        self.assertEqual(b'{"pending":12}', response.body)

    def test_not_run_returns_503_with_retry_after(self):
        error = errors.UnavailableError('no leader', step='submit')
        response = self.call(error)
        self.assertEqual(503, response.status)
        self.assertIn('Retry-After', response.headers)

    def test_rejected_job_returns_503_with_the_time_to_return(self):
        error = errors.RejectedError('full', step='submit', retry_after=7)
        response = self.call(error)
        self.assertEqual(
            (503, '7'), (response.status, response.headers['Retry-After'])
        )

    def test_unknown_outcome_returns_504(self):
        error = errors.UnavailableError(
            'no leader', step='submit', outcome=errors.Outcome.UNKNOWN
        )
        self.assertEqual(504, self.call(error).status)

    def test_other_errors_keep_their_status(self):
        for error, status in (
            (errors.GoneError('x', step='s'), 410),
            (errors.NotFoundError('x', step='s'), 404),
            (errors.BadInputError('x', step='s'), 400),
        ):
            self.assertEqual(status, self.call(error).status)

    def test_draining_entry_closes_connections(self):
        response = self.call(message.StateReply(state='x'), draining=True)
        self.assertEqual('close', response.headers['Connection'])
