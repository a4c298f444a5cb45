"""Memory, processor time and control traffic of one agent process.

The agent runs as a process of its own beside a stand-in backend server; all
figures are taken from outside it. ``agent_cpu_percent`` and
``agent_bytes_per_second`` are of a window with 8 slots busy with jobs and no
requests; ``agent_rss_mb`` is taken after 8 callers have sent requests too.
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
WARM_UP = clocks.seconds(3)
WINDOW = clocks.seconds(20)
PATIENCE = clocks.seconds(30)
CALLERS = 8
CALLS = 50
ROOT = pathlib.Path(__file__).parent.parent


class _Control:
    """Grants a lease to each heartbeat and 8 jobs to the first session."""

    def __init__(self):
        self.granted = threading.Event()
        self.links = []
        self._started = set()
        self._server = server.Server(
            address='127.0.0.1:0',
            handlers={message.Heartbeat: self._answer},
            threads=4,
            wrap_connection=self._count_links,
        )

    def _count_links(self, kind):
        links = self.links

        class CountedConnection(kind):
            def __init__(self, *args, **kwargs):
                super().__init__(*args, **kwargs)
                links.append(self)

        return CountedConnection

    @property
    def address(self):
        return self._server.address

    def start(self):
        self._server.start()

    def stop(self):
        self._server.stop()

    def count_bytes(self):
        return sum(
            link.rfile.bytes_read + link.wfile.bytes_written
            for link in self.links
        )

    def _answer(self, beat):
        for event in beat.events:
            self._started.add(event.job_id)
        if len(self._started) == SLOTS:
            self.granted.set()
        return message.HeartbeatReply(
            instance=beat.instance,
            epoch=1,
            lease_ms=LEASE_MS,
            revision=1,
            acked_events=beat.first_event + len(beat.events),
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
    """Return resident and anonymous MiB of a process."""
    fields = {}
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        name, _, value = line.partition(':')
        fields[name] = value.split()
    return int(fields['VmRSS'][0]) / 1024, int(fields['RssAnon'][0]) / 1024


def _read_cpu(pid):
    """Return the processor seconds that a process has used."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def _write_settings(folder, listen, backend, control):
    path = pathlib.Path(folder) / 'agent.yaml'
    tree = {
        'name': 'bench-agent',
        'zone': 'bench',
        'rack': 'r1',
        'listen': listen,
        'backend': backend,
        'control': [control],
        'data': folder,
    }
    path.write_text(yaml.safe_dump(tree), encoding='utf-8')
    return path


def _wait(seconds):
    threading.Event().wait(seconds.total_seconds())


def _call_from_many(address):
    """Send requests from several callers; return how many were answered."""
    link = client.Client()
    answered = []

    def call(caller):
        for number in range(CALLS):
            reply = link.send(
                address,
                message.AdmitRequest(
                    request_id=f'{caller}-{number}',
                    workload='check',
                    body=b'x' * 200,
                    deadline_ms=5000,
                    revision=1,
                ),
                timeout=PATIENCE,
                step='bench',
            )
            answered.append(reply.code)

    threads = [
        threading.Thread(target=call, args=(caller,))
        for caller in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    link.close()
    return answered.count('')


def _measure_window(pid, control):
    _wait(WARM_UP)
    cpu, count = _read_cpu(pid), control.count_bytes()
    _wait(WINDOW)
    seconds = WINDOW.total_seconds()
    return {
        'agent_cpu_percent': (_read_cpu(pid) - cpu) / seconds * 100,
        'agent_bytes_per_second': (control.count_bytes() - count) / seconds,
    }


def _measure_requests(pid, address, backend):
    for task in backend.list_tasks()[:4]:
        backend.cancel_task(task.id)
    _wait(clocks.seconds(2))
    cpu = _read_cpu(pid)
    answered = _call_from_many(address)
    used = _read_cpu(pid) - cpu
    resident, anonymous = _read_memory(pid)
    return {
        'agent_request_cpu_us': used / max(answered, 1) * 1e6,
        'agent_requests_answered': answered,
        'agent_rss_mb': resident,
        'agent_rss_anon_mb': anonymous,
    }


def _reserve_address():
    spare = standin.StandinServer()
    spare.start()
    address = spare.address
    spare.stop()
    return address


def measure():
    """Return the figures of one agent process."""
    control = _Control()
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
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
        )
        try:
            control.granted.wait(PATIENCE.total_seconds())
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
