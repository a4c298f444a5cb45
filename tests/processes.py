"""Deployment of separate processes on loopback, for tests."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import urllib3
import yaml

from bilberryhaven import errors

POLL_INTERVAL_S = 0.05
START_SECONDS = 30
STOP_TIMEOUT_S = 40


def find_ports(count):
    """Return free loopback ports."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Fleet:
    """Control instances, entries, agents and simulated backend servers."""

    def __init__(self, *, controls=3, entries=2, agents=2):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        names = [f'control-{i}' for i in range(1, controls + 1)]
        names += [f'entry-{i}' for i in range(1, entries + 1)]
        names += [f'agent-{i}' for i in range(1, agents + 1)]
        names += [f'backend-{i}' for i in range(1, agents + 1)]
        ports = find_ports(len(names))
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(names, ports, strict=True)
        }
        self.processes = {}
        self.http = urllib3.PoolManager(retries=False, maxsize=64)
        for name in names:
            self.start(name)

    def list_names(self, role):
        return [n for n in self.addresses if n.startswith(f'{role}-')]

    def start(self, name):
        role = name.partition('-')[0]
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(self._build_settings(name, role)))
        role = 'standin' if role == 'backend' else role
        with (self.folder / f'{name}.log').open('a') as log:
            self.processes[name] = subprocess.Popen(
                self.build_command(path, role),
                stderr=log,
                stdout=log,
                # Without a session of its own, a suspended process would
                # get SIGHUP when the last parent of its group ends.
                start_new_session=True,
            )

    def build_command(self, path, role):
        """Return the command of a role with the settings file ``path``."""
        module = [sys.executable, '-m', 'bilberryhaven']
        return [*module, '--settings', str(path), role]

    def _build_settings(self, name, role):
        controls = {n: self.addresses[n] for n in self.list_names('control')}
        fields = {'name': name, 'listen': self.addresses[name], 'zone': 'z'}
        fields['zones'] = [{'name': 'z'}]
        if role == 'control':
            fields['voters'] = controls
            fields['data'] = str(self.folder / name)
        if role in ('entry', 'agent'):
            fields['control'] = list(controls.values())
        if role == 'agent':
            entries = self.list_names('entry')
            fields['entries'] = [self.addresses[n] for n in entries]
            number = name.partition('-')[2]
            fields['backend'] = self.addresses[f'backend-{number}']
        return fields

    def kill(self, name):
        """Kill a process by SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def suspend(self, name):
        """Suspend a process; to its peers it looks like a silent partition."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended process, whose state may be stale by then."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name):
        """Shut a process down by SIGTERM; return its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def call(self, name, method, path, body=None, headers=None, timeout=10):
        """Return the JSON answer, or raise the error that it reports."""
        response = self.http.request(
            method,
            f'http://{self.addresses[name]}{path}',
            json=body,
            headers={'Content-Type': 'application/json', **(headers or {})},
            timeout=timeout,
        )
        answer = json.loads(response.data)
        if response.status >= 400:
            raise errors.build_error(answer)
        return answer

    def call_any(self, method, path, body=None):
        """Call the first entry that runs."""
        names = [n for n in self.list_names('entry') if n in self.processes]
        return self.call(names[0], method, path, body)

    def wait(self, condition, seconds, text):
        """Poll until ``condition()`` is true, for at most ``seconds``.

        Errors of the API and of connections count as not true.
        """
        end = time.monotonic() + seconds
        last_error = None
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (
                errors.BilberryhavenError,
                urllib3.exceptions.HTTPError,
            ) as error:
                last_error = error
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f'timed out after {seconds} s: {text}; last error {last_error}'
        )

    def find_leader(self):
        """Return the name of the leader, or an empty string without one."""
        for name in self.list_names('control'):
            if name not in self.processes:
                continue
            status = self.call(name, 'GET', '/readyz', timeout=2)
            if status['role'] == 'leader':
                return name
        return ''

    def list_tasks(self):
        """Return (backend server, task) of all tasks that run."""
        tasks = []
        for name in self.list_names('backend'):
            if name in self.processes:
                status = self.call(name, 'GET', '/v1/status')
                tasks += [
                    (name, task)
                    for task in status['tasks']
                    if task['state'] == 'running'
                ]
        return tasks

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.http.clear()
