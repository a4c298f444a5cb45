"""A system of real processes on loopback, for tests."""

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

POLL_SECONDS = 0.05
START_SECONDS = 30
STOP_SECONDS = 40


def find_ports(count):
    """Return free loopback ports."""
    holders = [socket.socket() for _ in range(count)]
    for holder in holders:
        holder.bind(('127.0.0.1', 0))
    ports = [holder.getsockname()[1] for holder in holders]
    for holder in holders:
        holder.close()
    return ports


class Fleet:
    """Control instances, entries, and agents with stand-in servers."""

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
                [
                    sys.executable,
                    '-m',
                    'bilberryhaven',
                    '--settings',
                    path,
                    role,
                ],
                stderr=log,
                stdout=log,
                # A frozen process would get SIGHUP when its group's last
                # parent ends.
                start_new_session=True,
            )

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
        """End a process at once."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name):
        """Stop a process where it stands; it looks cut off, silently."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        """Let a frozen process go on, with all that it believed."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name):
        """Ask a process to stop; return its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_SECONDS)

    def call(self, name, method, path, body=None, headers=None, timeout=10):
        """Return the JSON answer, or raise its error."""
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
        """Ask the first live entry."""
        names = [n for n in self.list_names('entry') if n in self.processes]
        return self.call(names[0], method, path, body)

    def wait(self, condition, seconds, text):
        """Wait until ``condition()`` is true, ``seconds`` at most."""
        end = time.monotonic() + seconds
        last = None
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (
                errors.BilberryhavenError,
                urllib3.exceptions.HTTPError,
            ) as error:
                last = error
            time.sleep(POLL_SECONDS)
        raise AssertionError(f'not within {seconds} s: {text}; last {last}')

    def find_leader(self):
        """Return the name of the leading control instance, or empty."""
        for name in self.list_names('control'):
            if name not in self.processes:
                continue
            status = self.call(name, 'GET', '/readyz', timeout=2)
            if status['role'] == 'leader':
                return name
        return ''

    def list_tasks(self):
        """Return the running (backend, task) pairs of all servers."""
        found = []
        for name in self.list_names('backend'):
            if name in self.processes:
                status = self.call(name, 'GET', '/v1/status')
                found += [
                    (name, task)
                    for task in status['tasks']
                    if task['state'] == 'running'
                ]
        return found

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.http.clear()
