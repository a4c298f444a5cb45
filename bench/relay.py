"""Heartbeats of many agents relayed by one entry to the leader.

Keys ``relay.<role>.{cpu_ms_per_heartbeat,cpu_percent_base,spread}`` are
measured on real entry and control processes; threads of this process simulate
the agents. ``relay.p99_ms`` is the 99th percentile of the round-trip time at
the largest number of agents.
"""

import concurrent.futures
import threading
import time

from bench import _slope
from bench import _watch
from bilberryhaven import clock
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from tests import processes

__all__ = ['measure']

AGENT_COUNTS = (60, 120, 180, 240)
# Below the limit of heartbeats that may wait at an entry at one time.
SENDER_THREADS = 24
MEASURE_SECONDS = 6
JOBS_PER_AGENT = 20
TIMEOUT = clock.seconds(5)


class SimulatedAgents:
    """Sends a heartbeat per second for each of many agents.

    Args:
        address: Address of the entry as HOST:PORT.
        count: Number of agents.
    """

    def __init__(self, *, address, count):
        self._address = address
        self._client = client.Client()
        self._epochs = dict.fromkeys((f'i{n}' for n in range(count)), 0)
        self._stopping = threading.Event()
        self.latencies = []

    def run(self):
        """Send heartbeats until ``stop``, divided among the threads."""
        names = list(self._epochs)
        with concurrent.futures.ThreadPoolExecutor(SENDER_THREADS) as pool:
            shares = [names[i::SENDER_THREADS] for i in range(SENDER_THREADS)]
            list(pool.map(self._run_share, shares))

    def stop(self):
        """Stop after the current round of heartbeats."""
        self._stopping.set()

    def _run_share(self, names):
        due = time.monotonic()
        while not self._stopping.is_set():
            for name in names:
                self._send_heartbeat(name)
            due += 1
            self._stopping.wait(max(0, due - time.monotonic()))

    def _send_heartbeat(self, name):
        start = time.monotonic()
        reply = self._client.send(
            self._address,
            self._build_heartbeat(name),
            timeout=TIMEOUT,
            step='heartbeat',
        )
        self.latencies.append(time.monotonic() - start)
        self._epochs[name] = reply.epoch

    def _build_heartbeat(self, name):
        running = [
            message.RunningJob(job_id=f'{name}-{job}', epoch=1)
            for job in range(JOBS_PER_AGENT)
        ]
        return message.Heartbeat(
            instance=name,
            epoch=self._epochs[name],
            announcement=message.Announcement(
                name=name, zone='z', rack='r', address='127.0.0.1:1'
            ),
            load=message.Load(slots=8),
            running=running,
        )


def _measure_size(fleet, count):
    simulated_agents = SimulatedAgents(
        address=fleet.addresses['entry-1'], count=count
    )
    sender = threading.Thread(target=simulated_agents.run)
    sender.start()
    time.sleep(MEASURE_SECONDS / 2)
    names = ('entry-1', 'control-1')
    before = [_watch.read_process(fleet.processes[n].pid) for n in names]
    start, sent = time.monotonic(), len(simulated_agents.latencies)
    time.sleep(MEASURE_SECONDS)
    elapsed, sent = (
        time.monotonic() - start,
        len(simulated_agents.latencies) - sent,
    )
    after = [_watch.read_process(fleet.processes[n].pid) for n in names]
    simulated_agents.stop()
    sender.join()
    shares = [
        1000 * (b.cpu_seconds - a.cpu_seconds) / elapsed
        for a, b in zip(before, after, strict=True)
    ]
    return sent / elapsed, shares, sorted(simulated_agents.latencies)


def measure():
    """Return the results by key."""
    points = {'entry': [], 'leader': []}
    for count in AGENT_COUNTS:
        fleet = processes.Fleet(controls=1, entries=1, agents=0)
        try:
            fleet.wait(
                lambda f=fleet: f.call_any('GET', '/v1/in-force'),
                processes.START_SECONDS,
                'a leader',
            )
            rate, shares, sorted_latencies = _measure_size(fleet, count)
        finally:
            fleet.close()
        for role, share in zip(points, shares, strict=True):
            points[role].append((rate, share))
    figures = {}
    for role, role_points in points.items():
        slope = _slope.fit_slope(role_points)
        key = f'relay.{role}'
        figures[f'{key}.cpu_ms_per_heartbeat'] = round(slope.per_unit, 4)
        figures[f'{key}.cpu_percent_base'] = round(slope.base / 10, 3)
        figures[f'{key}.spread'] = round(slope.spread, 4)
    figures['relay.p99_ms'] = round(
        1000 * sorted_latencies[int(len(sorted_latencies) * 0.99)], 1
    )
    return figures
