"""CPU time of an entry per request and per routing decision."""

import concurrent.futures
import json
import multiprocessing
import os
import pathlib
import random
import time

import logbook
import urllib3

from bench import _stub
from bilberryhaven import clock
from bilberryhaven.entry import effect
from bilberryhaven.entry import routing
from bilberryhaven.entry import view
from bilberryhaven import log
from bilberryhaven.policies import route_two_choice
from bilberryhaven.wire import message

REQUEST_COUNT = 4000
CLIENT_COUNT = 8
WARM_UP_REQUESTS = 200
DECISION_COUNT = 2000
FLEET_SIZES = (11, 6800)
ZONES = 19
ROUNDS = 9
US_PER_SECOND = 1_000_000


def _build_view(size):
    instance_view = view.View(zone='zone-0', delays={})
    instances = [
        message.InstanceView(
            name=f'worker-{number}',
            zone=f'zone-{number % ZONES if size > ZONES else number % 3}',
            address='127.0.0.1:1',
            load=message.Load(slots=8, slots_used=number % 8, service_ms=10),
        )
        for number in range(size)
    ]
    reply = message.SyncReply(
        revision=1,
        lease_ms=4000,
        feed='f',
        cursor=1,
        full=True,
        workloads=[message.WorkloadView(name='price', kind='service')],
        instances=instances,
    )
    now = clock.seconds(0)
    instance_view.apply(reply, sent_at=now, now=now)
    return instance_view


def _time_decisions(size):
    """Return the CPU time of a routing decision in microseconds."""
    source = random.Random(1)
    router = routing.Router(
        view=_build_view(size),
        policy=route_two_choice.TwoChoicePolicy(random=source),
        random=source,
        clock=clock.ManualClock(),
    )
    request = effect.Request(
        id='r', workload='price', timeout=clock.seconds(1)
    )

    def run_decisions(count):
        started = time.process_time()
        for _ in range(count):
            router.choose(request, excluded=[], remaining=request.timeout)
        return (time.process_time() - started) / count

    run_decisions(DECISION_COUNT // 10)
    least = min(run_decisions(DECISION_COUNT) for _ in range(ROUNDS))
    return least * US_PER_SECOND


def _measure_decisions():
    figures = {}
    for size in FLEET_SIZES:
        with logbook.NullHandler().applicationbound():
            figures[f'decision_us_{size}'] = _time_decisions(size)
        with open(os.devnull, 'w', encoding='utf-8') as null_file:
            handler = log.JsonHandler(null_file, level='INFO')
            with handler.applicationbound():
                figures[f'decision_logged_us_{size}'] = _time_decisions(size)
    return figures


def _read_cpu_seconds(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks / os.sysconf('SC_CLK_TCK')


def _send_all(address, count):
    pool = urllib3.HTTPConnectionPool(
        *address.split(':'), maxsize=CLIENT_COUNT
    )
    body = json.dumps({'workload': 'price', 'body': {'liner': 7}})

    def send(_):
        response = pool.request('POST', '/v1/requests', body=body, timeout=10)
        return response.status

    with concurrent.futures.ThreadPoolExecutor(CLIENT_COUNT) as threads:
        return list(threads.map(send, range(count)))


def _measure_requests():
    context = multiprocessing.get_context('spawn')
    queue = context.Queue()
    peer_process = context.Process(target=_stub.run_peers, args=(queue,))
    peer_process.start()
    control = queue.get(timeout=30)
    entry_process = context.Process(
        target=_stub.run_entry, args=(control, queue)
    )
    entry_process.start()
    try:
        address = queue.get(timeout=30)
        _send_all(address, WARM_UP_REQUESTS)
        before = _read_cpu_seconds(entry_process.pid)
        started = time.monotonic()
        statuses = _send_all(address, REQUEST_COUNT)
        elapsed = time.monotonic() - started
        cpu_seconds = _read_cpu_seconds(entry_process.pid) - before
    finally:
        for process in (entry_process, peer_process):
            process.terminate()
            process.join()
    succeeded = statuses.count(200)
    return {
        'entry_cpu_us_per_request': cpu_seconds
        / REQUEST_COUNT
        * US_PER_SECOND,
        'entry_requests_per_second': succeeded / elapsed,
        'entry_requests_failed': REQUEST_COUNT - succeeded,
    }


def measure():
    """Return the results by key."""
    figures = {**_measure_decisions(), **_measure_requests()}
    return {name: round(value, 2) for name, value in figures.items()}
