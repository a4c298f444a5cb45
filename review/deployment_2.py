"""A small deployment on loopback, with the commands of the deploy file.

Every machine has a loopback address of its own. Machines with a disk run
``entry`` and ``control``, side machines ``agent`` beside a worker.
"""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent
ZONES = ('pingtung', 'tainan', 'kaohsiung')
HOST = 'nony24.example'
PREFIX = '/lohu930/'
PORTS = ('frontend', 'ready', 'control', 'internal', 'app', 'inner')
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Traffic starts this long after the machines do.
LEAD_S = 12
STOP_S = 8


class NotRunError(Exception):
    """The case could not run."""


class Deployment:
    """Processes, workers, an operator and callers.

    Args:
        folder: Folder of the case, for its record.
        sides: Number of side machines.
        cpu: Capacity of each worker in thousandths of a core.
        bounds: Bounds that differ from those of lianhe-ops, by name.
        kinds: Kinds of workers other than ``a``, by number.
        program: File of the workers' program.
        proxied: Numbers of the workers that are called through a proxy.
        worker_args: Further options of the workers' program.
    """

    def __init__(
        self,
        folder,
        *,
        sides,
        cpu=4000,
        bounds=None,
        kinds=None,
        program='worker_2.py',
        proxied=(),
        worker_args=(),
    ):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.temp = tempfile.TemporaryDirectory(prefix='case-')
        self.folder = pathlib.Path(self.temp.name)
        self.record_file = open(  # noqa: SIM115
            pathlib.Path(folder) / 'record.txt', 'w'
        )
        self.events = []
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.cpu = cpu
        self.kinds = kinds or {}
        self.program = program
        self.proxied = frozenset(proxied)
        self.worker_args = list(worker_args)
        self.bounds = {
            'contact_ms': 3000,
            'ack_ms': 4000,
            'drain_ms': 2000,
            'config_apply_ms': 2000,
            'max_lease_ms': 10000,
            'stop_timeout_ms': 900,
            'cancel_ms': 3000,
            'visible_ms': 3000,
            'status_s': 120,
            **(bounds or {}),
        }
        self.fronts = [f'127.31.0.{i + 1}' for i in range(3)]
        self.sides = [f'127.32.0.{i + 1}' for i in range(sides)]
        self.ports = dict(zip(PORTS, self._find_ports(), strict=True))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self.commands = {
            name: row['run'].split() for name, row in roles.items()
        }
        self.processes = {}
        self._started = set()
        self._lives = {}

    def _find_ports(self):
        ports = []
        while len(ports) < len(PORTS):
            with contextlib.ExitStack() as stack:
                sock = stack.enter_context(socket.socket())
                sock.bind((self.fronts[0], 0))
                port = sock.getsockname()[1]
                try:
                    for address in [*self.fronts[1:], *self.sides]:
                        other = stack.enter_context(socket.socket())
                        other.bind((address, port))
                except OSError:
                    continue
            if port not in ports:
                ports.append(port)
        return ports

    def find_address(self, machine, port):
        """Return HOST:PORT of a service of a machine."""
        return f'{machine}:{self.ports[port]}'

    def record(self, what, **fields):
        """Write down what was sent, answered or run."""
        event = {'at': time.monotonic(), 'what': what, **fields}
        with self.lock:
            self.events.append(event)
            at = event['at'] - self.started_at
            text = ' '.join(f'{k}={v}' for k, v in fields.items())
            self.record_file.write(f'{at:8.3f} {what} {text}\n')
            self.record_file.flush()

    def _write_settings(self, machine, role):
        zones = list(ZONES)
        machines = self.fronts if machine in self.fronts else self.sides
        zone = zones[machines.index(machine) % len(zones)]
        has_disk = machine in self.fronts and role == 'control'
        serves = {
            'entry': 'frontend',
            'control': 'control_plane',
            'agent': 'side',
        }
        internal = self.ports['internal']
        fields = {
            'node_name': f'{role}-{machine}',
            'role': role,
            'machine_class': 'frontend' if role != 'agent' else 'side',
            'serves': serves[role],
            'ip': machine,
            'zone': zone,
            'region': 'taiwan-south',
            **{f'zones.{name}': 'taiwan-south' for name in zones},
            'listen.frontend': self.find_address(machine, 'frontend'),
            'listen.ready': self.find_address(machine, 'ready'),
            'listen.control': self.find_address(machine, 'control'),
            'internal_port_range': f'{internal},{internal + 15}',
            'seeds': ','.join(
                self.find_address(front, 'control') for front in self.fronts
            ),
            'bootstrap': str((machine, role) not in self._started).lower(),
            'fault_counted': str(has_disk).lower(),
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'data_dir': str(self.folder / f'{machine}.data')
            if has_disk
            else '',
            'discovery': 'local',
            'entry': 'vip',
            'heartbeat_ms': '1500',
            'fault_tolerance.machines': '1',
            'fault_tolerance.zones': '0',
            'fault_tolerance.regions': '0',
            **{f'bounds.{k}': str(v) for k, v in self.bounds.items()},
            'config_mode': 'highest',
            'command_mode': 'push',
        }
        path = self.folder / f'{machine}-{role}.conf'
        path.write_text(''.join(f'{k}={v}\n' for k, v in fields.items()))
        self._started.add((machine, role))
        return path

    def start(self, machine, role):
        """Start a role on a machine as the deploy file says."""
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'BILBERRYHAVEN_BOOT': str(self._write_settings(machine, role)),
        }
        with open(self.folder / f'{machine}-{role}.log', 'a') as log:
            self.processes[machine, role] = subprocess.Popen(
                self.commands[role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record('start process', machine=machine, role=role)

    def start_worker(self, side, *, cpu=None, args=()):
        """Start a life of the worker beside an agent; keeps its id."""
        life = self._lives[side] = self._lives.get(side, 0) + 1
        number = self.sides.index(side)
        port = 'inner' if number in self.proxied else 'app'
        command = [
            sys.executable,
            str(HERE / self.program),
            f'--id=i-{number:08x}',
            f'--zone={ZONES[number % len(ZONES)]}',
            f'--rack=r{number % len(ZONES)}-1',
            f'--listen={self.find_address(side, port)}',
            f'--announce={self.find_address(side, "app")}',
            f'--agent={self.find_address(side, "control")}',
            f'--cpu={cpu or self.cpu}',
            f'--max-lease-ms={self.bounds["max_lease_ms"]}',
            f'--folder={self.folder / "gangs"}',
            *self.worker_args,
            f'--kind={self.kinds.get(number, "a")}',
            *args,
        ]
        self.record('start worker', machine=side, life=life)
        return self._spawn(side, 'worker', command)

    def start_proxy(self, side):
        """Start the proxy before a worker."""
        command = [
            sys.executable,
            str(HERE / 'delay_proxy_2.py'),
            self.find_address(side, 'app'),
            self.find_address(side, 'inner'),
        ]
        return self._spawn(side, 'proxy', command)

    def _spawn(self, side, role, command):
        """Start a stand-in that writes events and reads lines."""
        process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
            text=True,
        )
        self.processes[side, role] = process
        threading.Thread(
            target=self._read_events, args=(process, side, role), daemon=True
        ).start()
        return process

    def _read_events(self, process, side, role):
        for line in process.stdout:
            event = json.loads(line)
            what = event.pop('what')
            event.pop('at')
            self.record(f'{role}: {what}', machine=side, **event)

    def tell(self, side, line, *, role='worker'):
        """Write a line to the standard input of a stand-in."""
        self.record(f'tell {role}', machine=side, line=line)
        process = self.processes[side, role]
        process.stdin.write(line + '\n')
        process.stdin.flush()

    def signal(self, machine, role, number):
        """Send a signal to a process that was started here."""
        self.record(
            'signal',
            machine=machine,
            role=role,
            signal=signal.Signals(number).name,
        )
        process = self.processes[machine, role]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def start_all(self, catalog=None):
        """Start all machines, set the configuration and wait."""
        for front in self.fronts:
            for role in ('entry', 'control'):
                self.start(front, role)
        for side in self.sides:
            self.start(side, 'agent')
            if self.sides.index(side) in self.proxied:
                self.start_proxy(side)
            self.start_worker(side)
        until = time.monotonic() + LEAD_S
        while True:
            try:
                status, _ = self.call(
                    self.fronts[0],
                    'control',
                    'POST',
                    '/Config.Replace',
                    catalog or build_catalog(),
                )
            except OSError:
                status = 0
            if status == 200:
                break
            if time.monotonic() > until + LEAD_S:
                raise NotRunError('no configuration was accepted')
            time.sleep(0.2)
        time.sleep(max(0.0, until - time.monotonic()))

    def call(self, machine, port, method, path, body=None, timeout_s=3.0):
        """Return (status, fields) of a call of a client or the operator."""
        connection = http.client.HTTPConnection(
            machine, self.ports[port], timeout=timeout_s
        )
        data = None if body is None else json.dumps(body)
        headers = {
            'Host': HOST,
            'Content-Type': 'application/json',
            'X-Deadline-Ms': str(int(timeout_s * 1000)),
        }
        status, fields = 0, {}
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            status, fields = response.status, _decode(response.read())
        except (OSError, http.client.HTTPException) as error:
            fields = {'error': repr(error)}
        finally:
            connection.close()
        self.record(
            'call',
            to=machine,
            port=port,
            request=f'{method} {path}',
            status=status,
            answer=json.dumps(fields)[:200],
        )
        return status, fields

    def submit(self, job_id, job, *, front=0):
        """Submit a job until it is accepted or rejected; return the status."""
        status = 0
        for attempt in range(5):
            machine = self.fronts[(front + attempt) % len(self.fronts)]
            status, _ = self.call(
                machine, 'frontend', 'POST', PREFIX + job_id, job
            )
            if status not in (0, 502, 504):
                break
        return status

    def read_state(self, job_id, *, front=0):
        """Return (status, state) of a job."""
        status, fields = self.call(
            self.fronts[front], 'frontend', 'GET', PREFIX + job_id
        )
        return status, fields.get('state', '')

    def list_events(self, what, **wanted):
        """Return the recorded events of a kind."""
        with self.lock:
            return [
                event
                for event in self.events
                if event['what'] == what
                and all(event.get(k) == v for k, v in wanted.items())
            ]

    def find_role(self, front):
        """Return what a control instance says of itself, or None."""
        connection = http.client.HTTPConnection(
            front, self.ports['internal'], timeout=1
        )
        try:
            connection.request('GET', '/readyz')
            return _decode(connection.getresponse().read()).get('role')
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def find_leader(self):
        """Return the machine whose control instance leads, or None."""
        for front in self.fronts:
            if self.find_role(front) == 'leader':
                return front
        return None

    def close(self):
        """End all processes that were started here."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            target = pathlib.Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for path in self.folder.glob('*.log'):
                (target / path.name).write_bytes(path.read_bytes())
        self.record_file.close()
        self.temp.cleanup()


def _decode(data):
    try:
        fields = json.loads(data)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def build_catalog(**changes):
    """Return a configuration of one route and one service."""
    route = {
        'name': 'r-3hwrr6x',
        'host': HOST,
        'path_prefix': PREFIX,
        'kind': 'non_idempotent',
        'timeout_ms': 3000,
        'target_latency_ms': 1000,
        'priority': 0,
        'service': 'desk',
        'max_attempts': 4,
        'slack_factor': 2.0,
        **changes,
    }
    return {
        'version': 7,
        'routes': [route],
        'services': [
            {
                'name': 'desk',
                'health_path': '/healthz',
                'max_connections': 64,
                'protocol': 'h1',
                'tls_enabled': False,
                'enforces_capacity': False,
                'standby': False,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def run_case(play, folder, **options):
    """Play a case and end the process with its verdict.

    Args:
        play: Function of the ``Deployment`` that returns why the rule was
            broken, or an empty string.
        folder: Folder of the case.
        **options: Those of the ``Deployment``.
    """
    verdict = NOT_RUN
    deployment = Deployment(folder, **options)
    try:
        deployment.start_all()
        reason = play(deployment)
        verdict = BROKEN if reason else HELD
        deployment.record('verdict', broken=bool(reason), reason=reason)
        print(reason or 'held')
    except Exception as error:  # noqa: BLE001
        # A fault of the script says nothing of the rule.
        deployment.record('not run', reason=repr(error))
        print(f'not run: {error!r}')
    finally:
        deployment.close()
    sys.exit(verdict)
