"""Small deployment for the script cases 11 to 15: programs and stand-ins.

The programs are those of the deploy file, started as separate processes on
loopback addresses. Workers, callers and the operator are stand-ins that
follow the users' pages. Everything that they see goes to ``record.txt``.
"""

import contextlib
import http.client
import http.server
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'desk.example'
PREFIX = '/surveys/'
SERVICE = 'pond'
KIND = 'a'
ZONE = 'z1'
REGION = 'taiwan-south'
PORTS = ('frontend', 'ready', 'control', 'internal', 'app')
MAX_LEASE_MS = 10_000
GANG_TIMEOUT_S = 3.0
CHECKPOINT_INTERVAL_S = 2.0
RESTORE_S = 0.1
STARTUP_S = 0.4
QUIET_TAIL_MS = 20
HEARTBEAT_S = 1.5
MAX_ENDS = 500
MAX_WAIT_S = 2.0
TICK_S = 0.01
STOP_S = 6.0
# After an outage TCP sends the oldest segment again, and the end of the
# channel once that is acknowledged: a round trip of the sender's link, with
# some time for a delayed acknowledgement.
ROUND_TRIP_S = 0.01
# Status of a case whose rule was broken; that of an error is 1.
BROKEN = 10


class CannotRunError(Exception):
    """The case can't be run here."""


class Record:
    """Writes what was sent, answered and run, in order.

    Args:
        path: The file.
    """

    def __init__(self, path):
        self._file = open(path, 'w')  # noqa: SIM115
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self.rows = []

    def now(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def add(self, what, **fields):
        """Add a line."""
        with self._lock:
            at = round(self.now(), 3)
            self.rows.append({'at': at, 'what': what, **fields})
            text = ' '.join(f'{k}={json.dumps(v)}' for k, v in fields.items())
            self._file.write(f'{at:8.3f} {what} {text}\n')
            self._file.flush()

    def find(self, what, **fields):
        """Return the rows of a kind that have these fields."""
        with self._lock:
            return [
                row
                for row in self.rows
                if row['what'] == what
                and all(row.get(k) == v for k, v in fields.items())
            ]


class Plan:
    """What the stand-in of the platform knows of the callers' jobs.

    Attributes:
        jobs: Submitted bodies by job id.
        gangs: Members by (job, occurrence, step, run).
        lock: Held while any worker's runs are read or changed.
    """

    def __init__(self):
        self.jobs = {}
        self.gangs = {}
        self.lock = threading.RLock()

    def find_step(self, task):
        """Return the step of a task, None if no caller has sent it."""
        job, _, step, _ = task.split('.')
        body = self.jobs.get(job)
        return None if body is None else body['steps'][int(step)]

    def find_work_s(self, task):
        """Return the seconds that a task works."""
        job = task.partition('.')[0]
        return json.loads(self.jobs[job]['spec'])['work_s']

    def find_gang(self, task, run):
        """Return the members present of a task's gang, by task."""
        return self.gangs.setdefault((*task.split('.')[:3], run), {})


class Run:
    """One run on a worker.

    Attributes:
        began_at: When it began to work, None while it waits for its gang.
        base_s: Work that its checkpoint contains.
    """

    def __init__(self, worker, fields, step, total_s):
        self.worker = worker
        self.task = fields['task']
        self.number = fields['run']
        self.given = fields.get('checkpoint', '')
        self.step = step
        self.total_s = total_s
        self.present_at = time.monotonic()
        self.began_at = None
        self.pace = 100
        self.base_s = int(self.given[:8], 16) / 1000 if self.given else 0.0

    def begin(self, now):
        """Begin to work."""
        self.began_at = now + (RESTORE_S if self.given else 0.0)

    def is_at_work(self, now):
        """Return whether a task that lasts has started up."""
        return self.began_at is not None and now >= (self.began_at + STARTUP_S)

    def find_work_s(self, now):
        """Return the work done, the checkpoint's included."""
        if self.began_at is None:
            return self.base_s
        return self.base_s + max(0.0, now - self.began_at)

    def build_checkpoint(self, now, *, exact=False):
        """Return the newest checkpoint; members of a gang make the same."""
        if not self.step.get('saves_progress'):
            return ''
        new_s = self.find_work_s(now) - self.base_s
        if not exact:
            new_s -= new_s % CHECKPOINT_INTERVAL_S
        if new_s <= 0:
            return self.given
        millis = int((self.base_s + new_s) * 1000)
        return f'{millis:08x}{self.task[4:12]}'


class Worker:
    """A worker beside one agent.

    Args:
        name: Name of its machine.
        address: HOST:PORT to listen on.
        agent: HOST:PORT of the agent.
        record: The ``Record``.
        plan: The ``Plan``.
        cpu: Its capacity in thousandths of a core.
        rack: Its rack.
        service: The service that it belongs to.
        kind: Its kind, which is one of its labels.
        zone: Its zone.
    """

    def __init__(
        self,
        *,
        name,
        address,
        agent,
        record,
        plan,
        cpu,
        rack,
        service,
        kind,
        zone,
    ):
        self.name = name
        self.address = address
        self.cpu = cpu
        self.tail_ms = QUIET_TAIL_MS
        self._agent = agent
        self.rack = rack
        self.service = service
        self._kind = kind
        self.zone = zone
        self._record = record
        self._plan = plan
        self._server = None
        self._sockets = set()
        self._closed = threading.Event()
        self._lives = 0
        self.up = False

    def start(self):
        """Start an incarnation that knows nothing of earlier ones."""
        with self._plan.lock:
            self._lives += 1
            self.id = f'i-{self.name}-{self._lives}'
            self.born = int(time.time() * 1000)
            self._origin = time.monotonic()
            self._fence = 0
            self._deadline_ms = 0
            self._number = 0
            self.runs = {}
            self._newest = {}
            self._ends = []
            self._sequence = 0
            self.state = 'ready'
            self.remaining_ms = 0
            self._closed = threading.Event()
            self.up = True
        host, _, port = self.address.partition(':')
        handler = type('Handler', (_Handler,), {'worker': self})
        self._server = _Server((host, int(port)), handler)
        for target in (
            self._server.serve_forever,
            self._send_heartbeats,
            self._run_clock,
        ):
            threading.Thread(
                target=target, args=self._list_args(target), daemon=True
            ).start()
        self._record.add('worker up', worker=self.id, born=self.born)

    def _list_args(self, target):
        if target in (self._send_heartbeats, self._run_clock):
            return (self._closed,)
        return ()

    def crash(self):
        """End at once; nothing is sent."""
        with self._plan.lock:
            self.up = False
            self._closed.set()
            self._record.add(
                'worker crash', worker=self.id, runs=sorted(self.runs)
            )
            runs, self.runs = list(self.runs.values()), {}
            for run in runs:
                self._leave_gang(run)
        self._close_sockets()

    def _close_sockets(self):
        self._server.shutdown()
        self._server.server_close()
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def read_clock_ms(self):
        """Return its own steady clock."""
        return int((time.monotonic() - self._origin) * 1000)

    def _run_clock(self, closed):
        while not closed.wait(TICK_S):
            with self._plan.lock:
                if not closed.is_set():
                    self.advance()

    def advance(self):
        """End what is done, alone or has no lease."""
        now = time.monotonic()
        if self.runs and 0 < self._deadline_ms <= self.read_clock_ms():
            for task in list(self.runs):
                self.end(task, 'lapsed')
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            if run.began_at is None:
                if now >= run.present_at + GANG_TIMEOUT_S:
                    self.end(task, 'alone')
            elif run.find_work_s(now) >= run.total_s and not run.step.get(
                'long_running'
            ):
                self.end(task, 'done')

    def end(self, task, how):
        """End a run and list it."""
        now = time.monotonic()
        run = self.runs.pop(task)
        saved = ''
        if how != 'done':
            saved = run.build_checkpoint(now, exact=how == 'stopped')
        self._number += 1
        self._ends.append([self._number, task, run.number, how, saved])
        self._record.add(
            'ended',
            worker=self.id,
            task=task,
            run=run.number,
            how=how,
            saved=saved,
            number=self._number,
        )
        self._leave_gang(run, how)

    def _leave_gang(self, run, how='crash'):
        if not run.step.get('gang'):
            return
        gang = self._plan.find_gang(run.task, run.number)
        gang.pop(run.task, None)
        if run.began_at is None:
            return
        for other in list(gang.values()):
            if other.task in other.worker.runs:
                other.worker.end(
                    other.task, 'done' if how == 'done' else 'broken'
                )

    def _join_gang(self, run):
        gang = self._plan.find_gang(run.task, run.number)
        gang[run.task] = run
        # All members must carry the same checkpoint.
        if (
            len(gang) == run.step['task_count']
            and len({item.given for item in gang.values()}) == 1
        ):
            for item in gang.values():
                item.begin(time.monotonic())

    def handle(self, path, fields):
        """Carry a call out; return (status, fields)."""
        with self._plan.lock:
            self.advance()
            call = {
                '/run-start': self._start_run,
                '/run-stop': self._stop_run,
                '/hold': self._hold,
                '/pace': self._set_pace,
            }[path]
            if fields.get('fencing_token', 0) < self._fence:
                status, answer = 409, {'reason': 'fence'}
            else:
                self._fence = fields.get('fencing_token', 0)
                status, answer = call(fields)
            if path in ('/run-start', '/run-stop'):
                self._record.add(
                    f'order {path}',
                    worker=self.id,
                    task=fields['task'],
                    run=fields['run'],
                    checkpoint=fields.get('checkpoint', ''),
                    fence=fields.get('fencing_token', 0),
                    status=status,
                    reason=answer.get('reason', ''),
                )
        if path == '/hold' and status == 200 and fields.get('wait_ms'):
            self._wait(fields)
            with self._plan.lock:
                answer = self._list()
        return status, answer

    def _wait(self, fields):
        wait_s = min(fields['wait_ms'] / 1000, MAX_WAIT_S)
        until = time.monotonic() + wait_s
        while time.monotonic() < until and not self._closed.is_set():
            if self._ends:
                return
            time.sleep(TICK_S)

    def _extend(self, fields):
        deadline_ms = min(
            fields.get('deadline_ms', 0), self.read_clock_ms() + MAX_LEASE_MS
        )
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _start_run(self, fields):
        task, number = fields['task'], fields['run']
        known = self.runs.get(task)
        if known is not None and known.number == number:
            self._extend(fields)
            return 200, {}
        if number <= self._newest.get(task, 0) or known is not None:
            self._extend(fields)
            return 409, {'reason': 'old'}
        if fields['deadline_ms'] <= self.read_clock_ms():
            return 409, {'reason': 'late'}
        self._extend(fields)
        step = self._plan.find_step(task)
        if step is None:
            self._record.add('unasked', worker=self.id, task=task)
            return 400, {}
        run = Run(self, fields, step, self._plan.find_work_s(task))
        self._newest[task] = number
        self.runs[task] = run
        self._record.add(
            'start', worker=self.id, task=task, run=number, given=run.given
        )
        if step.get('gang'):
            self._join_gang(run)
        else:
            run.begin(time.monotonic())
        return 200, {}

    def _stop_run(self, fields):
        task, number = fields['task'], fields['run']
        self._newest[task] = max(self._newest.get(task, 0), number)
        known = self.runs.get(task)
        if known is not None and known.number <= number:
            self.end(task, 'stopped')
        return 200, {}

    def _set_pace(self, fields):
        run = self.runs.get(fields['task'])
        if run is None or run.number != fields['run']:
            return 409, {'reason': 'old'}
        run.pace = fields['percentage']
        self._record.add(
            'pace', worker=self.id, task=run.task, percentage=run.pace
        )
        return 200, {}

    def _read_gauge(self, run):
        """Return the tail latency of a serving task, or the CPU in use."""
        if not run.step.get('target_ms'):
            return run.step.get('cpu', 0) * run.pace // 100
        fills = [
            other.pace / 100
            for other in self.runs.values()
            if other.step.get('fill_count')
        ]
        return int(self.tail_ms * (1 + 0.5 * sum(fills)))

    def _hold(self, fields):
        if fields.get('deadline_ms'):
            self._extend(fields)
        upto = fields.get('ack_cursor', 0)
        acked = [row for row in self._ends if row[0] <= upto]
        self._ends = [row for row in self._ends if row[0] > upto]
        for row in acked:
            self._record.add(
                'noted', worker=self.id, task=row[1], run=row[2], how=row[3]
            )
        return 200, self._list()

    def _list(self):
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            percent = int(100 * run.find_work_s(now) / run.total_s)
            if run.step.get('long_running'):
                percent = 100 if run.is_at_work(now) else 0
            running.append(
                [
                    run.task,
                    run.number,
                    run.build_checkpoint(now),
                    min(percent, 100),
                    self._read_gauge(run),
                ]
            )
        return {'running': running, 'finished': self._ends[:MAX_ENDS]}

    def _send_heartbeats(self, closed):
        while not closed.is_set():
            sent = self.send_heartbeat()
            closed.wait(HEARTBEAT_S if sent else 0.2)

    def send_heartbeat(self):
        """Send a heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_remaining_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 64_000, 'gpu': 0},
            'labels': [self._kind, self.rack],
            'clock_ms': self.read_clock_ms(),
            'sequence': self._sequence,
            'born': self.born,
        }
        if self.state == 'draining':
            body['remaining_ms'] = self.remaining_ms
        status, _ = call(
            self._agent, 'POST', f'/Instances.Heartbeat/{self.id}', body, 1.0
        )
        return status == 200


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Print nothing: agents are killed while they call."""


class _Handler(http.server.BaseHTTPRequestHandler):
    worker = None
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.worker._sockets.add(self.connection)
        self.born = self.worker.born

    def finish(self):
        self.worker._sockets.discard(self.connection)
        with contextlib.suppress(OSError):
            super().finish()

    def do_POST(self):  # noqa: N802
        worker = self.worker
        length = int(self.headers.get('Content-Length', 0))
        fields = json.loads(self.rfile.read(length))
        if not worker.up or worker.born != self.born:
            self.close_connection = True
            return
        if self.headers.get('X-Expected-Instance', worker.id) != worker.id:
            status, answer = 421, {}
        else:
            status, answer = worker.handle(self.path, fields)
        if not worker.up or worker.born != self.born:
            self.close_connection = True
            return
        answer = {
            'clock_ms': worker.read_clock_ms(),
            'born': worker.born,
            **answer,
        }
        data = json.dumps(answer).encode()
        with contextlib.suppress(OSError):
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)

    def log_message(self, *args):
        pass


class Link:
    """The way of channels to a machine, which can be cut silently.

    Args:
        target: HOST:PORT of a service of the machine.
    """

    def __init__(self, target):
        self._target = target
        self._whole = threading.Event()
        self._whole.set()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '{}:{}'.format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Hold up all bytes, and the ends of channels, from now on."""
        self._whole.clear()

    def heal(self):
        """Deliver what was held up, and all that comes."""
        self._whole.set()

    def _accept(self):
        while True:
            source, _ = self._listener.accept()
            host, _, port = self._target.partition(':')
            sink = socket.create_connection((host, int(port)))
            for pair in ((source, sink), (sink, source)):
                threading.Thread(
                    target=self._forward, args=pair, daemon=True
                ).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(65_536):
                self._whole.wait()
                sink.sendall(data)
            self._whole.wait()
            time.sleep(ROUND_TRIP_S)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side is closed.
            return


def call(address, method, path, body=None, timeout=3.0):
    """Send a request; return (status or name of an error, body)."""
    host, _, port = address.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = {
        'Content-Type': 'application/json',
        'Host': HOST,
        'X-Deadline-Ms': str(int(timeout * 1000)),
    }
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read().decode()
        return response.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError) as error:
        return type(error).__name__, {}
    finally:
        connection.close()


class Deployment:
    """Frontends with disks, sides with workers, callers and the operator.

    Args:
        folder: Folder of the case, for ``record.txt``.
        fronts: Number of frontend machines.
        sides: Number of side machines.
        cpu: Capacity of a worker in thousandths of a core.
        racks: Number of workers by rack.
        services: Services of the workers that aren't of the usual one, by
            name of the machine.
        kinds: The same of the workers' kinds.
        zones: The same of the workers' zones.
        evacuate_ms: The bound of that name, None where there is none.
    """

    def __init__(
        self,
        *,
        folder,
        fronts=3,
        sides=7,
        cpu=16_000,
        racks=(3, 3, 3, 3),
        services=None,
        kinds=None,
        zones=None,
        evacuate_ms=None,
    ):
        services, kinds = services or {}, kinds or {}
        zones = zones or {}
        self._zones = sorted({ZONE, *zones.values()})
        self._evacuate_ms = evacuate_ms
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.plan = Plan()
        self._temp = pathlib.Path(tempfile.mkdtemp(prefix='review3-'))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self._commands = {k: v['run'].split() for k, v in roles.items()}
        self._ports = dict(zip(PORTS, _find_ports(len(PORTS)), strict=True))
        self.fronts = [f'front-{n}' for n in range(1, fronts + 1)]
        self.sides = [f'side-{n}' for n in range(1, sides + 1)]
        self._started = set()
        numbers = [n for n, size in enumerate(racks) for _ in range(size)]
        self.processes = {}
        self.workers = {
            name: Worker(
                name=name,
                address=self.find_address(name, 'app'),
                agent=self.find_address(name, 'control'),
                record=self.record,
                plan=self.plan,
                cpu=cpu,
                rack=f'r1-{number}',
                service=services.get(name, SERVICE),
                kind=kinds.get(name, KIND),
                zone=zones.get(name, ZONE),
            )
            for number, name in zip(numbers, self.sides, strict=False)
        }

    def find_host(self, name):
        """Return the loopback address of a machine."""
        kind, _, number = name.partition('-')
        return f'127.{91 if kind == "front" else 92}.0.{number}'

    def find_address(self, name, port):
        """Return HOST:PORT of a service of a machine."""
        return f'{self.find_host(name)}:{self._ports[port]}'

    def _write_settings(self, name, role):
        serves = {'entry': 'frontend', 'control': 'control_plane'}
        internal = self._ports['internal']
        fields = {
            'node_name': name,
            'role': role,
            'machine_class': name.partition('-')[0],
            'serves': serves.get(role, 'side'),
            'ip': self.find_host(name),
            'zone': ZONE,
            'region': REGION,
            **{f'zones.{zone}': REGION for zone in self._zones},
            'listen.control': self.find_address(name, 'control'),
            'internal_port_range': f'{internal},{internal + 15}',
            'seeds': ','.join(
                self.find_address(front, 'control')
                for front in self.fronts[:3]
            ),
            'bootstrap': str((name, role) not in self._started).lower(),
            'limits.max_fds': '4100',
            'limits.memory_mb': '300',
            'fault_tolerance.machines': '1',
            'bounds.max_lease_ms': str(MAX_LEASE_MS),
            'bounds.status_s': '120',
            'bounds.stop_timeout_ms': '900',
            'bounds.gang_timeout_ms': str(int(GANG_TIMEOUT_S * 1000)),
            'bounds.contact_ms': '3000',
            'bounds.cancel_ms': '3000',
            'heartbeat_ms': str(int(HEARTBEAT_S * 1000)),
            'command_mode': 'push',
            'config_mode': 'highest',
        }
        if self._evacuate_ms is not None:
            fields['bounds.evacuate_ms'] = str(self._evacuate_ms)
        if role == 'entry':
            fields['listen.frontend'] = self.find_address(name, 'frontend')
            fields['listen.ready'] = self.find_address(name, 'ready')
        if role == 'control':
            fields['data_dir'] = str(self._temp / f'{name}.data')
        if role == 'agent':
            fields['app'] = self.find_address(name, 'app')
        path = self._temp / f'{name}-{role}.conf'
        path.write_text(''.join(f'{k}={v}\n' for k, v in fields.items()))
        return path

    def start(self, name, role):
        """Start a program of a machine."""
        path = self._write_settings(name, role)
        self._started.add((name, role))
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'BILBERRYHAVEN_BOOT': str(path),
        }
        log_path = self._temp / f'{name}-{role}.log'
        with log_path.open('a') as log:
            self.processes[name, role] = subprocess.Popen(
                self._commands[role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    def signal(self, name, role, number):
        """Send a signal to a program."""
        self.record.add(
            'signal',
            machine=name,
            role=role,
            signal=signal.Signals(number).name,
        )
        self.processes[name, role].send_signal(number)

    def start_all(self, count=None):
        """Start everything; return once a first job has run.

        Args:
            count: Number of the workers that start, None for all.
        """
        sides = self.sides[:count]
        for front in self.fronts:
            self.start(front, 'control')
            self.start(front, 'entry')
        for side in self.sides:
            self.start(side, 'agent')
        for side in sides:
            self.workers[side].start()
        self.replace(self.build_configuration(1))
        self.await_ready(
            sum(self.workers[side].service == SERVICE for side in sides)
        )

    def build_configuration(self, version, *, services=None, **route):
        """Return a configuration with one route.

        Args:
            version: Its version.
            services: Its services; None for those of all workers.
            **route: Other values of the route.
        """
        if services is None:
            services = {worker.service for worker in self.workers.values()}
        return {
            'version': version,
            'routes': [
                {
                    'name': 'r-1',
                    'host': HOST,
                    'path_prefix': PREFIX,
                    'kind': 'non_idempotent',
                    'timeout_ms': 3000,
                    'target_latency_ms': 1000,
                    'priority': 0,
                    'service': SERVICE,
                    'max_attempts': 4,
                    'slack_factor': 2.0,
                    **route,
                }
            ],
            'services': [
                {
                    'name': name,
                    'health_path': '/healthz',
                    'max_connections': 64,
                    'protocol': 'h1',
                    'enforces_capacity': False,
                }
                for name in sorted(services)
            ],
            'limits': {'max_body_bytes': 262_144},
        }

    def replace(self, configuration, seconds=30):
        """Send a configuration until it is acknowledged."""
        until = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < until:
            front = self.fronts[turn % len(self.fronts)]
            turn += 1
            status, _ = call(
                self.find_address(front, 'control'),
                'POST',
                '/Config.Replace',
                configuration,
                1.0,
            )
            if status == 200:
                self.record.add('configured', version=configuration['version'])
                return
            time.sleep(0.3)
        raise CannotRunError('no configuration was accepted')

    def await_ready(self, count, seconds=20):
        """Wait until a job of one task for each worker has run."""
        time.sleep(4)
        job = self.submit(
            [{'task_count': count, 'cpu': 100, 'anti_affinity': 1}], 0.5
        )
        if not self.await_state(job, ('completed',), seconds):
            raise CannotRunError('the first job was not completed')

    def submit(self, steps, work_s, *, front=None, job=None, tries=20):
        """Submit a job until it is accepted; return its id."""
        job = job or os.urandom(8).hex()
        body = {'spec': json.dumps({'work_s': work_s}), 'steps': steps}
        with self.plan.lock:
            self.plan.jobs[job] = body
        for turn in range(tries):
            name = front or self.fronts[turn % len(self.fronts)]
            status = self.post(job, body, name)
            if status == 200:
                return job
            time.sleep(0.3)
        raise CannotRunError(f'job {job} was not accepted')

    def post(self, job, body, front, timeout=3.0):
        """Submit a job once; return the status."""
        self.record.add('post', job=job, front=front, body=body)
        status, answer = call(
            self.find_address(front, 'frontend'),
            'POST',
            PREFIX + job,
            body,
            timeout,
        )
        self.record.add(
            'post answered', job=job, front=front, status=status, body=answer
        )
        return status

    def get(self, job, front=None):
        """Return (status, state) of a job."""
        front = front or self.fronts[0]
        status, answer = call(
            self.find_address(front, 'frontend'), 'GET', PREFIX + job
        )
        state = answer.get('state')
        self.record.add(
            'get', job=job, front=front, status=status, state=state
        )
        return status, state

    def delete(self, job, front=None):
        """Cancel a job once; return the status."""
        front = front or self.fronts[0]
        status, _ = call(
            self.find_address(front, 'frontend'), 'DELETE', PREFIX + job
        )
        self.record.add('delete', job=job, front=front, status=status)
        return status

    def await_state(self, job, states, seconds):
        """Wait for a state of a job; return whether it came."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.get(job)[1] in states:
                return True
            time.sleep(0.5)
        return False

    def watch_idle(self, job, seconds):
        """Return whether no run of a job is there for some seconds."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with self.plan.lock:
                for worker in self.workers.values():
                    if any(task.startswith(job) for task in worker.runs):
                        return False
            time.sleep(TICK_S)
        return True

    def describe_room(self):
        """Return the free and the whole CPU by rack, for the record."""
        room = {}
        with self.plan.lock:
            for worker in self.workers.values():
                if not worker.up:
                    continue
                used = sum(
                    run.step.get('cpu', 0)
                    for run in worker.runs.values()
                    if not run.step.get('fill_count')
                )
                room.setdefault(f'{worker.service} {worker.rack}', []).append(
                    (worker.cpu - used, worker.cpu)
                )
        return room

    def find_worker(self, task):
        """Return the worker that runs a task, or None."""
        with self.plan.lock:
            for worker in self.workers.values():
                if worker.up and task in worker.runs:
                    return worker
        return None

    def close(self):
        """End all processes that were started."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + STOP_S
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, until - time.monotonic()))
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for worker in self.workers.values():
            if worker.up:
                worker.crash()
        if os.environ.get('KEEP_LOGS'):
            print(self._temp)
        else:
            shutil.rmtree(self._temp, ignore_errors=True)


def _find_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def play(folder, case, *, workers=None, **options):
    """Run a case; return its exit status, which ``run.sh`` translates.

    Args:
        folder: Folder of the case.
        case: Function of the ``Deployment`` and of whether to disrupt it; it
            returns the sentences on broken rules.
        workers: Number of the workers that start at first, None for all.
        **options: Those of the ``Deployment``.
    """
    disrupts = os.environ.get('TROUBLE', '1') != '0'
    deployment = Deployment(folder=folder, **options)
    try:
        deployment.start_all(workers)
        breaks = case(deployment, disrupts)
    except CannotRunError as error:
        deployment.record.add('cannot run', error=str(error))
        return 2
    finally:
        deployment.close()
    for sentence in breaks:
        deployment.record.add('broken', sentence=sentence)
        print(sentence)
    return BROKEN if breaks else 0
