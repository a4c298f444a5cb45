"""Cost of an entry: processor time a request, and of one decision."""

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

REQUESTS = 4000
CLIENTS = 8
WARM_REQUESTS = 200
DECISIONS = 5000
FLEETS = (11, 6800)
ZONES = 19
ROUNDS = 3
MICROSECONDS = 1_000_000


def _build_view(size):
    known = view.View(zone='zone-0', delays={})
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
    known.apply(reply, sent_at=now, now=now)
    return known


def _time_decisions(size):
    """Return the processor time of a decision in microseconds."""
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

    def decide(count):
        started = time.process_time()
        for _ in range(count):
            router.choose(request, excluded=[], remaining=request.timeout)
        return (time.process_time() - started) / count

    decide(DECISIONS // 10)
    best = min(decide(DECISIONS) for _ in range(ROUNDS))
    return best * MICROSECONDS


def _measure_decisions():
    figures = {}
    for size in FLEETS:
        with logbook.NullHandler().applicationbound():
            figures[f'decision_us_{size}'] = _time_decisions(size)
        with open(os.devnull, 'w', encoding='utf-8') as sink:
            handler = log.JsonHandler(sink, level='INFO')
            with handler.applicationbound():
                figures[f'decision_logged_us_{size}'] = _time_decisions(size)
    return figures


def _read_cpu_seconds(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks / os.sysconf('SC_CLK_TCK')


def _send_all(address, count):
    pool = urllib3.HTTPConnectionPool(*address.split(':'), maxsize=CLIENTS)
    body = json.dumps({'workload': 'price', 'body': {'liner': 7}})

    def send(_):
        response = pool.request('POST', '/v1/requests', body=body, timeout=10)
        return response.status

    with concurrent.futures.ThreadPoolExecutor(CLIENTS) as threads:
        return list(threads.map(send, range(count)))


def _measure_service():
    context = multiprocessing.get_context('spawn')
    queue = context.Queue()
    peers = context.Process(target=_stub.run_peers, args=(queue,))
    peers.start()
    control = queue.get(timeout=30)
    served = context.Process(target=_stub.run_entry, args=(control, queue))
    served.start()
    try:
        address = queue.get(timeout=30)
        _send_all(address, WARM_REQUESTS)
        before = _read_cpu_seconds(served.pid)
        started = time.monotonic()
        statuses = _send_all(address, REQUESTS)
        elapsed = time.monotonic() - started
        spent = _read_cpu_seconds(served.pid) - before
    finally:
        for process in (served, peers):
            process.terminate()
            process.join()
    good = statuses.count(200)
    return {
        'entry_cpu_us_per_request': spent / REQUESTS * MICROSECONDS,
        'entry_requests_per_second': good / elapsed,
        'entry_requests_failed': REQUESTS - good,
    }


def measure():
    """Return the figures of one run."""
    figures = {**_measure_decisions(), **_measure_service()}
    return {name: round(value, 2) for name, value in figures.items()}
