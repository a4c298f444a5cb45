"""What tests put around an agent: a fake control and a test case."""

import socket
import threading

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.roles import agent
from bilberryhaven import settings
from bilberryhaven.standin import server as standin
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from bilberryhaven.wire import server

LEASE_MS = 4000
END_KINDS = ('finished', 'failed', 'stopped', 'refused')


def reserve_address():
    """Return a free address that can be bound again after a restart."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


class FakeControl:
    """Answers heartbeats as control does, of one agent and in memory."""

    def __init__(self, lease_ms=LEASE_MS):
        self.lease_ms = lease_ms
        self.epoch = 0
        self.revision = 1
        self.beats = []
        self.events = []
        self.starts = {}
        self.stops = {}
        self.throttles = []
        self.refusal = None
        self.mute = False
        self._lock = threading.Lock()
        self._server = server.Server(
            address='127.0.0.1:0',
            handlers={message.Heartbeat: self.answer},
            threads=4,
        )

    @property
    def address(self):
        return self._server.address

    def start(self):
        self._server.start()

    def stop(self):
        self._server.stop()

    def order_start(self, job_id, epoch, payload=b'{}', **fields):
        with self._lock:
            self.starts[job_id] = message.StartOrder(
                job_id=job_id,
                epoch=epoch,
                workload='batch',
                payload=payload,
                **fields,
            )

    def order_stop(self, job_id, epoch):
        with self._lock:
            self.stops[job_id] = message.StopOrder(
                job_id=job_id, epoch=epoch, reason='evicted'
            )

    def list_kinds(self, job_id):
        with self._lock:
            return [e.kind for e in self.events if e.job_id == job_id]

    def find_event(self, job_id, kind):
        with self._lock:
            for event in self.events:
                if (event.job_id, event.kind) == (job_id, kind):
                    return event
        return None

    def answer(self, beat):
        with self._lock:
            if self.mute:
                raise errors.UnavailableError('mute', step='heartbeat')
            self.beats.append(beat)
            return self._answer(beat)

    def _answer(self, beat):
        if beat.epoch == 0 and not self.refusal:
            self.epoch += 1
        elif beat.epoch != self.epoch or self.refusal:
            code = self.refusal or 'fenced'
            return message.HeartbeatReply(instance=beat.instance, code=code)
        for event in beat.events:
            self._record(event)
        if beat.leaving and not beat.running:
            return message.HeartbeatReply(
                instance=beat.instance, code='fenced'
            )
        return message.HeartbeatReply(
            instance=beat.instance,
            epoch=self.epoch,
            lease_ms=self.lease_ms,
            revision=self.revision,
            acked_events=beat.first_event + len(beat.events),
            starts=list(self.starts.values()),
            stops=list(self.stops.values()) + self._evict(beat),
            throttles=list(self.throttles),
        )

    def _evict(self, beat):
        return [
            message.StopOrder(job_id=row.job_id, epoch=row.epoch)
            for row in beat.running
            if beat.leaving
        ]

    def _record(self, event):
        self.events.append(event)
        self.starts.pop(event.job_id, None)
        if event.kind in END_KINDS:
            self.stops.pop(event.job_id, None)


PATIENCE = clocks.seconds(20)


class AgentTestCase(testtools.TestCase):
    """Runs a fake control, a stand-in backend server and an agent."""

    lease_ms = LEASE_MS

    def setUp(self):
        super().setUp()
        self.clock = clocks.SystemClock()
        self.fresh = 0
        self.control = FakeControl(self.lease_ms)
        self.control.start()
        self.addCleanup(self.control.stop)
        self.backend = self.start_backend()
        self.client = client.Client()
        self.addCleanup(self.client.close)
        self.agent = self.start_agent()
        self.wait_for(self.agent.is_ready)

    def start_backend(self, address=None):
        backend = standin.StandinServer(
            address=address or reserve_address(),
            service_times_ms={'quick': 1, 'slow': 300},
        )
        backend.start()
        self.addCleanup(backend.stop)
        return backend

    def start_agent(self, listen=None):
        role = agent.AgentRole(
            settings=settings.Settings(
                name='pond-1',
                zone='tainan',
                listen=listen or reserve_address(),
                backend=self.backend.address,
                control=[self.control.address],
            ),
            clock=self.clock,
            drain_notice=clocks.seconds(0),
        )
        role.start()
        self.addCleanup(role.stop)
        return role

    def get_load(self):
        return self.revoke([]).load

    def revoke(self, request_ids):
        return self.client.send(
            self.agent.address,
            message.RevokeRequest(request_ids=request_ids),
            timeout=PATIENCE,
            step='revoke',
        )

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
        return self.call_in_thread(lambda: self.admit(request_id, **fields))

    def admit_fresh(self):
        self.fresh += 1
        return self.admit(f'fresh-{self.fresh}', deadline_ms=500)

    def call_in_thread(self, func):
        results = []
        thread = threading.Thread(target=lambda: results.append(func()))
        thread.start()
        self.addCleanup(thread.join)
        return thread, results
