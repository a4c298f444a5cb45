"""Simulated worker that implements the worker protocol over HTTP."""

import json
import math
import threading
import time

import urllib3

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.wire import server
from tests.fuzz import workflow_server

__all__ = ['CAPACITY', 'InvariantChecker', 'Worker']

CAPACITY = 6
HEARTBEAT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1
MAX_WAIT_S = 2
POLL_INTERVAL_S = 0.02
THREAD_COUNT = 24
MEMORY_MB = 64_000
# Some tasks outlast a lease, which reveals a run that is released too early.
SHORT_DURATION_RANGE_S = (0.1, 1.5)
LONG_DURATION_RANGE_S = (3.0, 9.0)
LONG_PROBABILITY = 0.15
CLOSE_HEADERS = {'Connection': 'close'}
StartResult = workflow_server.StartResult


class InvariantChecker(workflow_server.Oracle):
    """Checks invariants over the events of all workers.

    Attributes:
        lock: Held while the state of any worker is read or changed.
        workers: All ``Worker`` objects.
        violations: Descriptions of the violations that were found.
        succeeded: (workflow, task) pairs with a run that succeeded.
        specs: Spec that the caller sent, by workflow.
        started: Workflows of which a run was started.
        withdrawn_at: Time from which no run may start in a zone, by zone.
    """

    def __init__(self):
        super().__init__()
        self.lock = threading.RLock()
        self.workers = []
        self.violations = []
        self.succeeded = set()
        self.specs = {}
        self.started = set()
        self.withdrawn_at = {}

    def check_start(self, server, ref):
        """Check a start, after advancing all workers to the present."""
        for worker in self.workers:
            worker.advance()
        self.started.add(ref.workflow)
        super().check_start(server, ref)

    def record_end(self, server, ref):
        """Record the end of a run."""
        super().record_end(server, ref)

    def record_success(self, ref):
        """Record that a run succeeded."""
        self.succeeded.add((ref.workflow, ref.task))

    def check_zone(self, ref, zone, now):
        """Check that a start is not in a withdrawn availability zone."""
        if now > self.withdrawn_at.get(zone, math.inf):
            self.violations.append(f'{ref} started in withdrawn zone {zone}')

    def check_spec(self, ref, spec):
        """Check that a start carries the spec that its caller sent."""
        if self.specs.get(ref.workflow) != spec:
            self.violations.append(f'{ref} was started with another spec')


class _Incarnation(workflow_server.ServerModel):
    def _end(self, ref, how, now):
        super()._end(ref, how, now)
        if how == 'done':
            self.oracle.record_success(ref)


class Worker:
    """Worker beside one agent; each incarnation is a ``ServerModel``.

    Args:
        number: Number of the worker, part of its id.
        zone: Its availability zone.
        listen: HOST:PORT that it listens on.
        advertised: HOST:PORT that it advertises, of the proxy in front of it.
        agent: HOST:PORT of the agent beside it.
        checker: The ``InvariantChecker``.
        random: Source of run durations.
        on_crash: Called on a crash to reset the connections of the worker.

    Attributes:
        stale_calls: Number of calls on connections of earlier incarnations.
    """

    def __init__(
        self,
        *,
        number,
        zone,
        listen,
        advertised,
        agent,
        checker,
        random,
        on_crash=lambda: None,
    ):
        self.id = f'i-{number:08x}'
        self.number = number
        self.zone = zone
        self._advertised = advertised
        self._agent = agent
        self._on_crash = on_crash
        self._checker = checker
        self._random = random
        self._http = urllib3.PoolManager(retries=False, maxsize=2)
        self._sequence = 0
        self._connections = {}
        self.stale_calls = 0
        self._stopping = threading.Event()
        self._server = server.Server(
            address=listen,
            handlers={},
            fallback=self._handle_request,
            threads=THREAD_COUNT,
        )
        checker.workers.append(self)
        self._incarnation = None
        self.start_incarnation()

    def start_incarnation(self):
        """Crash the present incarnation, if any, and start an empty one."""
        with self._checker.lock:
            if self._incarnation is not None:
                self._incarnation.crash()
                self._on_crash()
            self._incarnation = _Incarnation(
                key=self.id,
                born_ms=int(time.time() * 1000),
                oracle=self._checker,
                capacity=CAPACITY,
                born_at=time.monotonic(),
            )

    def start(self):
        """Start listening and sending heartbeats."""
        self._server.start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def stop(self):
        """Stop listening and sending heartbeats."""
        self._stopping.set()
        self._server.stop()
        self._http.clear()

    def advance(self):
        """End the runs whose duration or lease has expired."""
        self._incarnation.advance(time.monotonic())

    def list_running(self):
        """Return the active runs."""
        with self._checker.lock:
            self.advance()
            return list(self._incarnation.running)

    def _send_heartbeats(self):
        while not self._stopping.wait(HEARTBEAT_INTERVAL_S):
            self._sequence += 1
            body = {
                'service': 'desk',
                'address': self._advertised,
                'zone': self.zone,
                'state': 'ready',
                'sequence': self._sequence,
                'capacity': {'cpu': CAPACITY * 1000, 'mem_mb': MEMORY_MB},
                'labels': ['a', f'r-{self.number}'],
                'born': self._incarnation.born_ms,
            }
            url = f'http://{self._agent}/Instances.Heartbeat/{self.id}'
            try:
                self._http.request(
                    'POST', url, json=body, timeout=CALL_TIMEOUT_S
                )
            except urllib3.exceptions.HTTPError:
                # The agent is unreachable; the next heartbeat replaces this.
                continue

    def _handle_request(self, environ, body):
        calls = {
            '/run-start': self._start_run,
            '/run-stop': self._stop_run,
            '/hold': self._hold,
            '/pace': self._pace,
        }
        call = calls.get(environ['PATH_INFO'])
        if call is None:
            return server.Response(status=404)
        if self._is_stale(environ):
            return server.Response(status=502, headers=CLOSE_HEADERS)
        status, fields = call(json.loads(body))
        answer = {'clock_ms': self._read_clock_ms(), **fields}
        answer['born'] = self._incarnation.born_ms
        return server.Response(status=status, body=json.dumps(answer).encode())

    def _is_stale(self, environ):
        """Return whether the connection belongs to an earlier incarnation.

        Bytes that a proxy held back can still arrive on such a connection.
        A real process that crashed would never read them.
        """
        peer = (environ['REMOTE_ADDR'], environ['REMOTE_PORT'])
        born_ms = self._incarnation.born_ms
        stale = self._connections.setdefault(peer, born_ms) != born_ms
        self.stale_calls += stale
        return stale

    def _read_clock_ms(self):
        return self._incarnation.clock_ms(time.monotonic())

    def _start_run(self, fields):
        ref = _read_run(fields)
        with self._checker.lock:
            now = time.monotonic()
            self._checker.check_spec(ref, fields['spec'])
            self.advance()
            try:
                verdict = self._incarnation.start(
                    ref,
                    fields['deadline_ms'],
                    fields['fencing_token'],
                    now,
                    self._choose_duration_s(),
                )
            except AssertionError as error:
                self._checker.violations.append(str(error))
                return 409, {'reason': 'old'}
        if verdict == StartResult.STARTED:
            self._checker.check_zone(ref, self.zone, now)
            return 200, {}
        reason = 'late' if verdict == StartResult.LATE else 'old'
        return 409, {'reason': reason}

    def _choose_duration_s(self):
        if self._random.random() < LONG_PROBABILITY:
            return self._random.uniform(*LONG_DURATION_RANGE_S)
        return self._random.uniform(*SHORT_DURATION_RANGE_S)

    def _stop_run(self, fields):
        with self._checker.lock:
            self.advance()
            self._incarnation.stop(
                _read_run(fields), fields['fencing_token'], time.monotonic()
            )
        return 200, {}

    def _pace(self, fields):
        return 200, {}

    def _hold(self, fields):
        end = time.monotonic() + min(
            fields.get('wait_ms', 0) / 1000, MAX_WAIT_S
        )
        incarnation = self._incarnation
        while True:
            with self._checker.lock:
                if incarnation is not self._incarnation:
                    # A waiting call fails when the incarnation that accepted
                    # it ends.
                    return 502, {}
                self.advance()
                listing = incarnation.hold(
                    fields.get('deadline_ms'),
                    fields['fencing_token'],
                    fields['ack_cursor'],
                    time.monotonic(),
                )
            if listing is None:
                return 409, {'reason': 'fence'}
            if listing.ends or time.monotonic() >= end:
                return 200, {
                    'running': [
                        _write_run(row.run) for row in listing.running
                    ],
                    'finished': [_write_end(row) for row in listing.ends],
                }
            time.sleep(POLL_INTERVAL_S)


def _read_run(fields):
    name, _, task = fields['task'].partition('.')
    return workflow_commands.RunRef(name, task, fields['run'])


def _write_run(ref):
    return [f'{ref.workflow}.{ref.task}', ref.number, '', 0, 0]


def _write_end(end):
    ref = end.run
    task = f'{ref.workflow}.{ref.task}'
    return [end.number, task, ref.number, end.how, '']
