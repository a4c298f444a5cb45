"""Worker stand-in that speaks the infrastructure's protocol over HTTP."""

import json
import threading
import time

import urllib3

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.wire import server
from tests.fuzz import workflow_server

__all__ = ['CAPACITY', 'Judge', 'Worker']

CAPACITY = 6
HEARTBEAT_SECONDS = 0.5
CALL_SECONDS = 1
MAX_WAIT_SECONDS = 2
WAIT_STEP = 0.02
THREADS = 24
MEMORY_MB = 64_000
# Some tasks outlast a lease, so that a run which is freed too early is seen.
SHORT_SECONDS = (0.1, 1.5)
LONG_SECONDS = (3.0, 9.0)
LONG_SHARE = 0.15
CLOSE = {'Connection': 'close'}
StartResult = workflow_server.StartResult


class Judge(workflow_server.Oracle):
    """What the workers saw, judged over all of them.

    Attributes:
        lock: Held while any worker's state is used.
        workers: The ``Worker`` rows.
        broken: Sentences that say which promise was broken.
    """

    def __init__(self):
        super().__init__()
        self.lock = threading.RLock()
        self.workers = []
        self.broken = []
        self.ended_well = set()
        self.specs = {}
        self.started = set()

    def check_start(self, server, ref):
        """Check a start, also against what lapses elsewhere just now."""
        for worker in self.workers:
            worker.advance()
        self.started.add(ref.workflow)
        super().check_start(server, ref)

    def record_end(self, server, ref):
        """Note the end of a run."""
        super().record_end(server, ref)

    def note_done(self, ref):
        """Note that a run has ended well."""
        self.ended_well.add((ref.workflow, ref.task))

    def check_spec(self, ref, spec):
        """Check that a start carries what its caller has sent."""
        if self.specs.get(ref.workflow) != spec:
            self.broken.append(f'{ref} was started with another spec')


class _Life(workflow_server.ServerModel):
    def _end(self, ref, how, now):
        super()._end(ref, how, now)
        if how == 'done':
            self.oracle.note_done(ref)


class Worker:
    """A worker beside one agent; each life is a ``ServerModel``.

    Args:
        number: Its number, part of its id.
        listen: HOST:PORT that it takes orders at.
        announced: HOST:PORT that it announces: a proxy before it.
        agent: HOST:PORT of the agent beside it.
        judge: The ``Judge``.
        random: Source of run times.
        on_crash: Called when it crashes, to end its connections.
    """

    def __init__(
        self,
        *,
        number,
        listen,
        announced,
        agent,
        judge,
        random,
        on_crash=lambda: None,
    ):
        self.id = f'i-{number:08x}'
        self.number = number
        self._announced = announced
        self._agent = agent
        self._on_crash = on_crash
        self._judge = judge
        self._random = random
        self._http = urllib3.PoolManager(retries=False, maxsize=2)
        self._sequence = 0
        self._connections = {}
        self.stale_calls = 0
        self._stopping = threading.Event()
        self._server = server.Server(
            address=listen,
            handlers={},
            fallback=self._answer,
            threads=THREADS,
        )
        judge.workers.append(self)
        self._life = None
        self.begin_life()

    def begin_life(self):
        """Crash, if it was up, and come back knowing nothing."""
        with self._judge.lock:
            if self._life is not None:
                self._life.crash()
                self._on_crash()
            self._life = _Life(
                key=self.id,
                born_ms=int(time.time() * 1000),
                oracle=self._judge,
                capacity=CAPACITY,
                born_at=time.monotonic(),
            )

    def start(self):
        """Listen and send heartbeats."""
        self._server.start()
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self):
        """Stop for good."""
        self._stopping.set()
        self._server.stop()
        self._http.clear()

    def advance(self):
        """Let runs end whose time has come."""
        self._life.advance(time.monotonic())

    def list_running(self):
        """Return the runs that work here now."""
        with self._judge.lock:
            self.advance()
            return list(self._life.running)

    def _beat(self):
        while not self._stopping.wait(HEARTBEAT_SECONDS):
            self._sequence += 1
            body = {
                'service': 'desk',
                'address': self._announced,
                'zone': 'z',
                'state': 'ready',
                'sequence': self._sequence,
                'capacity': {'cpu': CAPACITY * 1000, 'mem_mb': MEMORY_MB},
                'labels': ['a', f'r-{self.number}'],
                'born': self._life.born_ms,
            }
            url = f'http://{self._agent}/Instances.Heartbeat/{self.id}'
            try:
                self._http.request(
                    'POST', url, json=body, timeout=CALL_SECONDS
                )
            except urllib3.exceptions.HTTPError:
                # The agent is away; the next heartbeat is as good.
                continue

    def _answer(self, environ, body):
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
            return server.Response(status=502, headers=CLOSE)
        status, fields = call(json.loads(body))
        answer = {'clock_ms': self._find_clock(), **fields}
        answer['born'] = self._life.born_ms
        return server.Response(status=status, body=json.dumps(answer).encode())

    def _is_stale(self, environ):
        """Return whether the connection is one of a former life.

        What a proxy has held back may still arrive on it; a process that
        has crashed would never read it.
        """
        peer = (environ['REMOTE_ADDR'], environ['REMOTE_PORT'])
        born_ms = self._life.born_ms
        stale = self._connections.setdefault(peer, born_ms) != born_ms
        self.stale_calls += stale
        return stale

    def _find_clock(self):
        return self._life.clock_ms(time.monotonic())

    def _start_run(self, fields):
        ref = _read_run(fields)
        with self._judge.lock:
            now = time.monotonic()
            self._judge.check_spec(ref, fields['spec'])
            self.advance()
            try:
                verdict = self._life.start(
                    ref,
                    fields['deadline_ms'],
                    fields['fencing_token'],
                    now,
                    self._draw_seconds(),
                )
            except AssertionError as error:
                self._judge.broken.append(str(error))
                return 409, {'reason': 'old'}
        if verdict == StartResult.STARTED:
            return 200, {}
        reason = 'late' if verdict == StartResult.LATE else 'old'
        return 409, {'reason': reason}

    def _draw_seconds(self):
        if self._random.random() < LONG_SHARE:
            return self._random.uniform(*LONG_SECONDS)
        return self._random.uniform(*SHORT_SECONDS)

    def _stop_run(self, fields):
        with self._judge.lock:
            self.advance()
            self._life.stop(
                _read_run(fields), fields['fencing_token'], time.monotonic()
            )
        return 200, {}

    def _pace(self, fields):
        return 200, {}

    def _hold(self, fields):
        end = time.monotonic() + min(
            fields.get('wait_ms', 0) / 1000, MAX_WAIT_SECONDS
        )
        life = self._life
        while True:
            with self._judge.lock:
                if life is not self._life:
                    # A call that waited ends with the life that took it.
                    return 502, {}
                self.advance()
                listing = life.hold(
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
            time.sleep(WAIT_STEP)


def _read_run(fields):
    name, _, task = fields['task'].partition('.')
    return workflow_commands.RunRef(name, task, fields['run'])


def _write_run(ref):
    return [f'{ref.workflow}.{ref.task}', ref.number, '', 0, 0]


def _write_end(end):
    ref = end.run
    task = f'{ref.workflow}.{ref.task}'
    return [end.number, task, ref.number, end.how, '']
