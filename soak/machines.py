"""Manages the processes; each machine has its own loopback address."""

import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile

from tests import processes

__all__ = ['WITHDRAWAL_BOUND_S', 'Machines']

FRONTEND_HOST_COUNT = 3
STOP_TIMEOUT_S = 20
WITHDRAWAL_BOUND_S = 5
ENTRY_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORT, APP_PORT = range(5)


class Machines:
    """Starts, stops and signals its own child processes by id.

    Args:
        worker_host_count: Number of worker hosts.
        frontend_host_count: Number of frontend hosts.

    Attributes:
        seeds: Frontend hosts whose control addresses the settings contain.
        diskless: Frontend hosts whose control instance has no disk.
    """

    def __init__(
        self, *, worker_host_count, frontend_host_count=FRONTEND_HOST_COUNT
    ):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        self.ports = processes.find_ports(5)
        self.processes = {}
        self._paused = set()
        self._bootstrapped = set()
        self.frontend_hosts = [
            f'front-{n}' for n in range(1, frontend_host_count + 1)
        ]
        self.seeds = self.frontend_hosts[:FRONTEND_HOST_COUNT]
        self.diskless = set()
        self.worker_hosts = [
            f'side-{n}' for n in range(1, worker_host_count + 1)
        ]
        self.names = [f'control/{name}' for name in self.frontend_hosts]
        self.names += [f'entry/{name}' for name in self.frontend_hosts]
        self.names += [f'agent/{name}' for name in self.worker_hosts]

    def find_host(self, machine):
        """Return the loopback address of a machine."""
        kind, _, number = machine.partition('-')
        return f'127.0.{1 if kind == "front" else 2}.{number}'

    def find_zone(self, machine):
        """Return the availability zone of a machine."""
        return f'z{int(machine.partition("-")[2]) % 2}'

    def find_address(self, machine, port):
        """Return HOST:PORT of one of a machine's services."""
        return f'{self.find_host(machine)}:{self.ports[port]}'

    def start(self, name):
        """Start a process; the first start of each one bootstraps the log."""
        settings = self._write_settings(name)
        self._bootstrapped.add(name)
        log_path = self.folder / f'{name.replace("/", "-")}.log'
        with log_path.open('a') as log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'bilberryhaven',
                    'platform',
                    name.partition('/')[0],
                ],
                env={'BILBERRYHAVEN_BOOT': str(settings)},
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def change_seeds(self, seeds):
        """Write other seeds to the settings of all running processes."""
        self.seeds = list(seeds)
        for name in self.processes:
            self._write_settings(name)

    def _write_settings(self, name):
        path = self.folder / f'{name.replace("/", "-")}.conf'
        draft = path.with_suffix('.new')
        draft.write_text(self._build_settings(name))
        draft.replace(path)
        return path

    def _build_settings(self, name):
        role, _, machine = name.partition('/')
        controls = [
            self.find_address(item, CONTROL_PORT) for item in self.seeds
        ]
        internal = self.ports[INTERNAL_PORT]
        fields = {
            'node_name': machine,
            'ip': self.find_host(machine),
            'zone': self.find_zone(machine),
            'listen.frontend': self.find_address(machine, ENTRY_PORT),
            'listen.ready': self.find_address(machine, READY_PORT),
            'listen.control': self.find_address(machine, CONTROL_PORT),
            'internal_port_range': f'{internal},{internal}',
            'seeds': ','.join(controls),
            'bootstrap': str(name not in self._bootstrapped).lower(),
            'fault_tolerance.machines': '1',
            'bounds.max_lease_ms': '10000',
            'bounds.status_s': '120',
            'bounds.evacuate_ms': str(WITHDRAWAL_BOUND_S * 1000),
        }
        for item in self.worker_hosts:
            fields[f'zones.{self.find_zone(item)}'] = 'r'
        if role == 'control' and machine not in self.diskless:
            fields['data_dir'] = str(self._build_data_path(name))
        return ''.join(f'{key}={value}\n' for key, value in fields.items())

    def _build_data_path(self, name):
        return self.folder / f'{name.replace("/", "-")}.data'

    def kill(self, name, *, wipe=False):
        """Kill a process; ``wipe`` deletes its data."""
        process = self.processes.pop(name)
        self._paused.discard(name)
        process.kill()
        process.wait()
        if wipe:
            shutil.rmtree(self._build_data_path(name), ignore_errors=True)

    def terminate(self, name):
        """Shut a process down by SIGTERM; return its exit status.

        Raises:
            AssertionError: It did not exit in time.
        """
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            process.kill()
            process.wait()
            raise AssertionError(
                f'{name} did not exit in time after SIGTERM'
            ) from error

    def signal(self, name, number):
        """Send a signal to a running process."""
        self.processes[name].send_signal(number)

    def pause(self, name):
        """Suspend a process."""
        self._paused.add(name)
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Resume a process if it is suspended."""
        if name in self._paused:
            self._paused.discard(name)
            self.signal(name, signal.SIGCONT)

    def list_active(self, role):
        """Return the processes of a role that run and are not suspended."""
        return [
            name
            for name in self.names
            if name.startswith(f'{role}/')
            and name in self.processes
            and name not in self._paused
        ]

    def list_exited(self):
        """Return the processes that exited without being stopped."""
        return [
            name
            for name, process in self.processes.items()
            if process.poll() is not None
        ]

    def close(self, *, keep):
        """Kill all processes; ``keep`` keeps their logs and data."""
        for name in list(self.processes):
            self.kill(name)
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
