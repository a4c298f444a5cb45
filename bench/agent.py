"""Memory, CPU time and control traffic of one agent process.

The agent runs in a separate process beside a stand-in backend server and is
measured from outside. ``agent_cpu_percent`` and ``agent_bytes_per_second``
are measured while jobs occupy 8 slots and no requests are sent.
``agent_rss_mb`` is measured after 8 concurrent callers have sent requests.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import threading

import msgspec
import yaml

from bilberryhaven import clock as clocks
from bilberryhaven.standin import server as standin
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from bilberryhaven.wire import server

__all__ = ['measure']

SLOTS = 8
LEASE_MS = 4000
WARM_UP_TIME = clocks.seconds(3)
MEASURE_TIME = clocks.seconds(20)
TIMEOUT = clocks.seconds(30)
CALLER_COUNT = 8
REQUESTS_PER_CALLER = 50
REPOSITORY_ROOT = pathlib.Path(__file__).parent.parent


class _StubLeader:
    """Renews the lease on each heartbeat and orders 8 jobs to start."""

    def __init__(self):
        self.all_started = threading.Event()
        self.connections = []
        self._started = set()
        self._server = server.Server(
            address='127.0.0.1:0',
            handlers={message.Heartbeat: self._handle_heartbeat},
            threads=4,
            wrap_connection=self._wrap_connection,
        )

    def _wrap_connection(self, connection_class):
        connections = self.connections

        class TrackedConnection(connection_class):
            def __init__(self, *args, **kwargs):
                super().__init__(*args, **kwargs)
                connections.append(self)

        return TrackedConnection

    @property
    def address(self):
        return self._server.address

    def start(self):
        self._server.start()

    def stop(self):
        self._server.stop()

    def count_bytes(self):
        return sum(
            connection.rfile.bytes_read + connection.wfile.bytes_written
            for connection in self.connections
        )

    def _handle_heartbeat(self, heartbeat):
        for event in heartbeat.events:
            self._started.add(event.job_id)
        if len(self._started) == SLOTS:
            self.all_started.set()
        return message.HeartbeatReply(
            instance=heartbeat.instance,
            epoch=1,
            lease_ms=LEASE_MS,
            revision=1,
            acked_events=heartbeat.first_event + len(heartbeat.events),
            starts=[
                message.StartOrder(
                    job_id=f'job-{number}',
                    epoch=1,
                    workload='survey',
                    payload=b'{}',
                )
                for number in range(SLOTS)
                if f'job-{number}' not in self._started
            ],
        )


def _read_memory(pid):
    """Return the resident and anonymous memory of a process in MiB."""
    fields = {}
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        name, _, value = line.partition(':')
        fields[name] = value.split()
    return int(fields['VmRSS'][0]) / 1024, int(fields['RssAnon'][0]) / 1024


def _read_cpu(pid):
    """Return the CPU time that a process has used in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def _write_settings(folder, listen, backend, control):
    path = pathlib.Path(folder) / 'agent.yaml'
    settings_tree = {
        'name': 'bench-agent',
        'zone': 'bench',
        'rack': 'r1',
        'listen': listen,
        'backend': backend,
        'control': [control],
        'data': folder,
    }
    path.write_text(yaml.safe_dump(settings_tree), encoding='utf-8')
    return path


def _sleep(seconds):
    threading.Event().wait(seconds.total_seconds())


def _send_concurrently(address):
    """Send requests from several threads; return how many succeeded."""
    connection = client.Client()
    reply_codes = []

    def call(caller):
        for number in range(REQUESTS_PER_CALLER):
            reply = connection.send(
                address,
                message.AdmitRequest(
                    request_id=f'{caller}-{number}',
                    workload='check',
                    body=b'x' * 200,
                    deadline_ms=5000,
                    revision=1,
                ),
                timeout=TIMEOUT,
                step='bench',
            )
            reply_codes.append(reply.code)

    threads = [
        threading.Thread(target=call, args=(caller,))
        for caller in range(CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    connection.close()
    return reply_codes.count('')


def _measure_window(pid, control):
    _sleep(WARM_UP_TIME)
    cpu, count = _read_cpu(pid), control.count_bytes()
    _sleep(MEASURE_TIME)
    seconds = MEASURE_TIME.total_seconds()
    return {
        'agent_cpu_percent': (_read_cpu(pid) - cpu) / seconds * 100,
        'agent_bytes_per_second': (control.count_bytes() - count) / seconds,
    }


def _measure_requests(pid, address, backend):
    for task in backend.list_tasks()[:4]:
        backend.cancel_task(task.id)
    _sleep(clocks.seconds(2))
    cpu = _read_cpu(pid)
    answered = _send_concurrently(address)
    cpu_used = _read_cpu(pid) - cpu
    resident, anonymous = _read_memory(pid)
    return {
        'agent_request_cpu_us': cpu_used / max(answered, 1) * 1e6,
        'agent_requests_answered': answered,
        'agent_rss_mb': resident,
        'agent_rss_anon_mb': anonymous,
    }


def _reserve_address():
    temporary_server = standin.StandinServer()
    temporary_server.start()
    address = temporary_server.address
    temporary_server.stop()
    return address


def measure():
    """Return the results for one agent process by key."""
    control = _StubLeader()
    backend = standin.StandinServer(service_times_ms={'check': 5})
    control.start()
    backend.start()
    listen = _reserve_address()
    with tempfile.TemporaryDirectory() as folder:
        path = _write_settings(
            folder, listen, backend.address, control.address
        )
        process = subprocess.Popen(
            [sys.executable, '-m', 'bilberryhaven', '--settings', str(path)]
            + ['agent'],
            cwd=REPOSITORY_ROOT,
            stderr=subprocess.DEVNULL,
        )
        try:
            control.all_started.wait(TIMEOUT.total_seconds())
            figures = _measure_window(process.pid, control)
            figures |= _measure_requests(process.pid, listen, backend)
        finally:
            process.kill()
            process.wait()
            backend.stop()
            control.stop()
    return {name: round(value, 2) for name, value in figures.items()}


if __name__ == '__main__':
    print(msgspec.json.encode(measure()).decode())
