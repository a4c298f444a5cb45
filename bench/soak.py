"""Memory growth of real processes under ten minutes of steady load.

``python -m bench.soak [SECONDS]`` prints a JSON line per minute. The last line
gives the memory growth of each process in MiB per hour over the second half.
"""

import json
import sys
import threading
import time

from bench import _slope
from bench import _watch
from bilberryhaven import errors
from tests import processes

DEFAULT_SECONDS = 600
REQUESTS_PER_SECOND = 20
JOBS_PER_SECOND = 2
READ_INTERVAL_S = 10
MINUTE_S = 60
HOUR_S = 3600


class LoadGenerator:
    """Sends requests and short jobs at a steady rate.

    Args:
        fleet: The ``Fleet`` under test.
    """

    def __init__(self, *, fleet):
        self._fleet = fleet
        self.sent = 0
        self.failed = 0
        self.stopping = threading.Event()

    def run(self):
        """Send requests and jobs until ``stopping`` is set."""
        number = 0
        while not self.stopping.wait(1 / REQUESTS_PER_SECOND):
            number += 1
            self._call(self._send_request, number)
            if number % (REQUESTS_PER_SECOND // JOBS_PER_SECOND) == 0:
                self._call(self._submit_job, number)

    def _call(self, func, number):
        self.sent += 1
        try:
            func(number)
        except errors.BilberryhavenError:
            self.failed += 1

    def _send_request(self, number):
        body = {'workload': 'price-check', 'body': number, 'idempotent': True}
        entry = f'entry-{number % 2 + 1}'
        self._fleet.call(entry, 'POST', '/v1/requests', body)

    def _submit_job(self, number):
        body = {
            'id': f'quote-{number}',
            'workload': 'quote',
            'payload': {'seconds': 1},
        }
        self._fleet.call_any('POST', '/v1/jobs', body)


def declare_workloads(fleet):
    """Declare a service and a batch workload; wait until in force."""
    for name, kind in (('price-check', 'service'), ('quote', 'batch')):
        fleet.call_any('PUT', f'/v1/workloads/{name}', {'kind': kind})
    fleet.wait(
        lambda: fleet.call_any('GET', '/v1/in-force')['in_force'],
        processes.START_SECONDS,
        'workloads in force',
    )


def wait_connected(fleet):
    """Wait until every agent has a session."""
    count = len(fleet.list_names('agent'))

    def is_complete():
        rows = fleet.call_any('GET', '/v1/instances')['instances']
        return sum(row['connected'] for row in rows) == count

    fleet.wait(is_complete, processes.START_SECONDS, 'agents connected')


def _read_rss_mb(fleet):
    return {
        name: _watch.read_process(process.pid).rss_mb
        for name, process in fleet.processes.items()
        if not name.startswith('backend')
    }


def run(seconds):
    """Run the soak test and print its measurements.

    Args:
        seconds: Duration of the load.
    """
    fleet = processes.Fleet()
    generator = LoadGenerator(fleet=fleet)
    sender = threading.Thread(target=generator.run, daemon=True)
    readings = []
    try:
        wait_connected(fleet)
        declare_workloads(fleet)
        sender.start()
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            time.sleep(READ_INTERVAL_S)
            at = time.monotonic() - start
            readings.append((at, _read_rss_mb(fleet)))
            if len(readings) % (MINUTE_S // READ_INTERVAL_S) == 0:
                line = {'second': round(at), 'sent': generator.sent}
                line |= {'failed': generator.failed, 'rss_mb': readings[-1][1]}
                print(json.dumps(line), flush=True)
    finally:
        generator.stopping.set()
        fleet.close()
    _report(readings)


def _report(readings):
    second_half = readings[len(readings) // 2 :]
    growth = {}
    for name in second_half[0][1]:
        points = [(at / HOUR_S, values[name]) for at, values in second_half]
        growth[name] = round(_slope.fit_slope(points).per_unit, 1)
    print(json.dumps({'growth_mb_per_hour': growth}))


if __name__ == '__main__':
    run(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SECONDS)
