"""Faults of the rig that attack what is believed of a server on hearsay.

Each sends what another writer could send, or hides from an agent what its
server does. The worker goes on in all of them, so that a run that is given up
before its lease has expired shows as one that runs twice.
"""

import contextlib
import http.client
import json
import signal
import subprocess
import time

from soak import rig_faults

__all__ = ['build_deregistration', 'build_heartbeat']

UNNAMED_SERVICE = 'unnamed'
HIGH_SEQUENCE = 1_000_000_000
SHARE = 0.3
DRAIN_S = 2.0
LINGER_S = 4.0
FIRST_ATTEMPTS = 200
ATTEMPT_INTERVAL_S = 0.01
MS_PER_S = 1000


def build_heartbeat(worker_id, body, random, **changes):
    """Return (id, heartbeat) of another writer.

    Args:
        worker_id: Id of the worker that it is about.
        body: The worker's newest heartbeat.
        random: Source of random choices.
        **changes: ``id``, ``born`` and ``sequence`` say how these are chosen
            (``own``: of the writer; ``worker``: of the worker; ``next``,
            ``high``, ``later``, ``missing``); the others are fields.
    """
    body = dict(body)
    writer = changes.pop('id', 'worker')
    if writer == 'own':
        worker_id = f'i-{random.getrandbits(32):08x}'
        body['sequence'] = 1
    if writer == 'worker':
        body['sequence'] += 1
    if changes.pop('sequence', '') == 'high':
        body['sequence'] = HIGH_SEQUENCE
    born = changes.pop('born', '')
    if born == 'later':
        body['born'] += random.randrange(1, 10 * MS_PER_S)
    if born == 'missing':
        del body['born']
    return worker_id, {**body, **changes}


def build_deregistration(body, *, with_born):
    """Return the deregistration of the worker that sent a heartbeat."""
    return {'born': body['born']} if with_born else {}


def _post(rig, name, path, fields, *, port='control'):
    """Send a call to the agent of a machine; return whether it took it."""
    host, _, number = rig.find_address(name, port).partition(':')
    connection = http.client.HTTPConnection(host, int(number), timeout=1)
    status = None
    try:
        connection.request('POST', path, json.dumps(fields))
        status = connection.getresponse().status
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    if status is not None:
        rig.note_call(name, path, fields, status)
    return status == 200


def _send(rig, random, name, *, port='control', **changes):
    """Send a heartbeat of another writer; return whether it was taken."""
    known = rig_faults.read_heartbeat(rig, name)
    if known is None:
        return False
    worker_id, body = build_heartbeat(*known, random, **changes)
    path = f'/Instances.Heartbeat/{worker_id}'
    return _post(rig, name, path, body, port=port)


def _send_to_some(rig, random, **changes):
    for name in rig_faults.choose_workers(rig, random, SHARE):
        _send(rig, random, name, **changes)


def _choose_service(random):
    """Return no change, or the change to a service that isn't configured."""
    return random.choice([{}, {'service': UNNAMED_SERVICE}])


def _draw_strange(rig, random, name):
    """Return changes of a heartbeat of any of the kinds below."""
    unnamed = {'service': UNNAMED_SERVICE}
    return random.choice(
        [
            {'id': 'own', **unnamed},
            {'id': 'worker', 'sequence': 'high', **unnamed},
            {'id': 'worker', 'address': rig.find_address(name, 'closed')},
            {'id': 'own', 'born': 'later'},
            {'id': 'worker', 'born': 'later'},
            {'id': 'own', 'born': 'missing'},
        ]
    )


@rig_faults.register('hearsay: own id, unnamed service')
def send_own_id(rig, random):
    """A heartbeat with an id of its own and an unnamed service."""
    _send_to_some(rig, random, id='own', service=UNNAMED_SERVICE)


@rig_faults.register('hearsay: high sequence, unnamed service')
def send_high_sequence(rig, random):
    """A heartbeat with the worker's id, a high sequence, unnamed service."""
    _send_to_some(
        rig, random, id='worker', sequence='high', service=UNNAMED_SERVICE
    )


@rig_faults.register('hearsay: closed address')
def send_closed_address(rig, random):
    """A heartbeat with the worker's id and an address that is closed."""
    for name in rig_faults.choose_workers(rig, random, SHARE):
        address = rig.find_address(name, 'closed')
        service = _choose_service(random)
        _send(rig, random, name, id='worker', address=address, **service)


@rig_faults.register('hearsay: address of another worker')
def send_address_of_another(rig, random):
    """A heartbeat with the worker's id and the address of another worker."""
    for name in rig_faults.choose_workers(rig, random, SHARE):
        others = set(rig_faults.choose_workers(rig, random, 1)) - {name}
        if others:
            address = rig.find_address(random.choice(sorted(others)), 'app')
            service = _choose_service(random)
            _send(rig, random, name, id='worker', address=address, **service)


@rig_faults.register('hearsay: later born')
def send_later_born(rig, random):
    """A heartbeat with an id of its own, or the worker's, born later."""
    _send_to_some(
        rig,
        random,
        id=random.choice(['own', 'worker']),
        born='later',
        **_choose_service(random),
    )


@rig_faults.register('hearsay: born missing')
def send_without_born(rig, random):
    """A heartbeat with an id of its own, or the worker's, without born."""
    _send_to_some(
        rig,
        random,
        id=random.choice(['own', 'worker']),
        born='missing',
        **_choose_service(random),
    )


def _deregister(rig, random, name):
    known = rig_faults.read_heartbeat(rig, name)
    if known is None:
        return
    worker_id, body = known
    fields = build_deregistration(body, with_born=random.random() < 0.5)
    _post(rig, name, f'/Instances.Deregister/{worker_id}', fields)


@rig_faults.register('hearsay: deregistration')
def deregister(rig, random):
    """A deregistration by another writer; later, some workers do leave."""
    for name in rig_faults.choose_workers(rig, random, 0.1):
        _deregister(rig, random, name)
        if random.random() < 0.5:
            time.sleep(random.uniform(0.0, 3.0))
            how = random.choice(['closed', 'some', 'cut'])
            rig_faults.leave(rig, random, name, how, LINGER_S)
            rig.start_worker(name)


@contextlib.contextmanager
def _leaving(rig, random, name):
    """Let a worker leave; another one starts once it has ended."""
    process = rig.processes.get((name, 'worker'))
    how = random.choice(['closed', 'some', 'cut'])
    rig.write_mode(name, 'drain', how, LINGER_S)
    try:
        yield
    finally:
        if process is not None:
            rig_faults.await_leave(rig, name, process)
        rig.start_worker(name)


def _choose_worker(rig, random):
    names = rig_faults.choose_workers(rig, random, 0)
    return names[0] if names else None


@rig_faults.register('hearsay: deregistration, listener closed')
def deregister_leaving(rig, random):
    """A deregistration by another writer while the worker lingers."""
    name = _choose_worker(rig, random)
    if name is None:
        return
    with _leaving(rig, random, name):
        time.sleep(DRAIN_S + random.uniform(-0.5, 1.0))
        _deregister(rig, random, name)


@rig_faults.register('hearsay: leave, agent stopped')
def stop_agent_of_leaving(rig, random):
    """SIGSTOP of an agent while its worker drains and closes its listener."""
    name = _choose_worker(rig, random)
    if name is None:
        return
    key = (name, 'agent')
    rig.signal(key, signal.SIGSTOP)
    try:
        with _leaving(rig, random, name):
            time.sleep(DRAIN_S + random.uniform(0.05, 2.0))
            rig.signal(key, signal.SIGCONT)
    finally:
        rig.signal(key, signal.SIGCONT)


@rig_faults.register('hearsay: leave, agent restarted')
def restart_agent_of_leaving(rig, random):
    """SIGKILL of an agent whose successor comes while the worker lingers."""
    name = _choose_worker(rig, random)
    if name is None:
        return
    time.sleep(random.uniform(0.0, 1.0))
    rig.kill((name, 'agent'))
    with _leaving(rig, random, name):
        time.sleep(DRAIN_S + random.uniform(-1.0, 2.0))
        rig.start(name, 'agent')


@rig_faults.register('hearsay: leave, heartbeats lost')
def lose_leave(rig, random):
    """A worker leaves while its heartbeats and deregistration are lost."""
    name = _choose_worker(rig, random)
    if name is None:
        return
    rig.write_mode(name, 'unheard', 1.0, DRAIN_S + LINGER_S + 1)
    with _leaving(rig, random, name):
        time.sleep(DRAIN_S + LINGER_S)


@rig_faults.register('second worker')
def start_second_worker(rig, random):
    """A worker registers from another port while the first one leaves."""
    name = _choose_worker(rig, random)
    key = (name, 'second worker')
    if name is None or key in rig.processes:
        return
    try:
        # They exchange their places twice, the new one first.
        _exchange(rig, random, name, 'worker', 'second worker')
        time.sleep(random.uniform(1.0, 3.0))
        _exchange(rig, random, name, 'second worker', 'worker')
    finally:
        rig.start_worker(name)


def _exchange(rig, random, name, role, other, *, agent='control'):
    process = rig.processes.get((name, role))
    if process is None:
        return
    how = random.choice(['open', 'closed', 'some', 'cut'])
    rig.write_mode(name, 'drain', how, LINGER_S, role=role)
    time.sleep(random.uniform(0.0, DRAIN_S + LINGER_S / 2))
    rig.start_worker(name, role=other, agent=agent)
    rig_faults.await_leave(rig, name, process, role=role)


@rig_faults.register('second worker, second agent')
def start_second_pair(rig, random):
    """A second worker registers at a second agent while the first leaves."""
    name = _choose_worker(rig, random)
    keys = {(name, 'second worker'), (name, 'second agent')}
    if name is None or keys & set(rig.processes):
        return
    rig.start(name, 'second agent')
    try:
        port = 'second control'
        _exchange(rig, random, name, 'worker', 'second worker', agent=port)
        time.sleep(random.uniform(1.0, 3.0))
        _exchange(rig, random, name, 'second worker', 'worker')
    finally:
        _end_second_agent(rig, random, name)
        rig.start_worker(name)


@rig_faults.register('late poll')
def hold_poll_up(rig, random):
    """SIGSTOP of an agent just after a strange heartbeat; it goes on later."""
    name = _choose_worker(rig, random)
    if name is None:
        return
    key = (name, 'agent')
    _send(rig, random, name, **_draw_strange(rig, random, name))
    time.sleep(random.uniform(0.0, 0.1))
    if random.random() < 0.5:
        rig_faults.overlap_agents(rig, random, key)
        return
    rig.signal(key, signal.SIGSTOP)
    time.sleep(random.uniform(0.5, 6.0))
    rig.signal(key, signal.SIGCONT)


@rig_faults.register('second agent')
def start_second_agent(rig, random):
    """A second agent of an instance; one of the two gets strange calls."""
    name = _choose_worker(rig, random)
    key = (name, 'second agent')
    if name is None or key in rig.processes:
        return
    rig.start(name, 'second agent')
    strange = random.choice(['control', 'second control'])
    hears_worker = random.random() < 0.5
    end = time.monotonic() + random.uniform(2.0, 5.0)
    while time.monotonic() < end:
        if hears_worker:
            _repeat_heartbeat(rig, name)
        changes = _draw_strange(rig, random, name)
        _send(rig, random, name, port=strange, **changes)
        time.sleep(random.uniform(0.1, 0.8))
    _end_second_agent(rig, random, name)


def _end_second_agent(rig, random, name):
    process = rig.processes.pop((name, 'second agent'), None)
    if process is None:
        return
    process.send_signal(random.choice([signal.SIGTERM, signal.SIGKILL]))
    with contextlib.suppress(subprocess.TimeoutExpired):
        process.wait(rig_faults.LEAVE_TIMEOUT_S)
    process.kill()
    process.wait()


def _repeat_heartbeat(rig, name):
    """Pass the worker's newest heartbeat on to the second agent."""
    known = rig_faults.read_heartbeat(rig, name)
    if known is not None:
        worker_id, body = known
        path = f'/Instances.Heartbeat/{worker_id}'
        _post(rig, name, path, body, port='second control')


@rig_faults.register('agent restart, strange first')
def restart_agent_with_strange(rig, random):
    """An agent starts again and hears a strange heartbeat first."""
    name = _choose_worker(rig, random)
    if name is None:
        return
    changes = _draw_strange(rig, random, name)
    rig.kill((name, 'agent'))
    time.sleep(random.uniform(0.0, 1.0))
    rig.start(name, 'agent')
    for _ in range(FIRST_ATTEMPTS):
        if _send(rig, random, name, **changes):
            return
        time.sleep(ATTEMPT_INTERVAL_S)


@rig_faults.register('leader restart, strange heartbeats')
def restart_leader_with_strange(rig, random):
    """The leader ends and starts again while strange heartbeats come."""
    leader = rig.find_leader()
    names = rig_faults.choose_workers(rig, random, SHARE)
    strange = {name: _draw_strange(rig, random, name) for name in names}
    ends_at = time.monotonic() + random.uniform(0.2, 1.0)
    end = ends_at + random.uniform(2.0, 4.0)
    starts_at = ends_at + random.uniform(0.1, 3.5)
    ended = False
    while time.monotonic() < end or (ended and leader):
        for name, changes in strange.items():
            _send(rig, random, name, **changes)
        now = time.monotonic()
        if leader and not ended and now >= ends_at:
            stop = random.choice([rig.kill, rig.terminate])
            stop((leader, 'control'))
            ended = True
        if leader and ended and now >= starts_at:
            rig.start(leader, 'control')
            leader = None
        time.sleep(random.uniform(0.05, 0.4))
