"""Faults of the rig; each function returns once the fault has ended."""

import contextlib
import http.client
import json
import signal
import subprocess
import time

from bilberryhaven import registry

__all__ = [
    'await_leave',
    'choose',
    'choose_workers',
    'inject',
    'leave',
    'list_kinds',
    'overlap_agents',
    'read_heartbeat',
    'register',
]

LEAVE_TIMEOUT_S = 15

_registry = registry.Registry(family='rig fault')
register = _registry.register


def choose(random, kinds=None):
    """Return the name of a kind of fault."""
    return random.choice(
        [name for name in list_kinds() if kinds is None or name in kinds]
    )


def list_kinds():
    """Return the names of all kinds."""
    return _registry.names()


def inject(name, rig):
    """Inject a fault into a ``Rig``."""
    dict(_registry.items())[name](rig, rig.random)


def _choose_key(rig, random, *roles):
    keys = rig.list_keys(*roles)
    return random.choice(keys) if keys else None


def choose_workers(rig, random, share):
    """Return the machines of a share of the workers, one at least."""
    names = [name for name, _ in rig.list_keys('worker')]
    count = max(1, round(share * len(names)))
    return random.sample(names, min(count, len(names)))


def _restart(rig, key, delay_s=0.3):
    time.sleep(delay_s)
    rig.start(*key)


@register('kill')
def kill(rig, random):
    """SIGKILL of a process, which is started again."""
    key = _choose_key(rig, random, 'entry', 'control', 'agent', 'agent')
    if key is not None:
        rig.kill(key)
        _restart(rig, key, random.uniform(0.1, 3.5))


@register('kill leader')
def kill_leader(rig, random):
    """SIGKILL of the leader."""
    name = rig.find_leader()
    if name is not None:
        rig.kill((name, 'control'))
        _restart(rig, (name, 'control'), random.uniform(0.1, 3.5))


@register('roll')
def roll(rig, random):
    """SIGTERM and restart of processes in turn."""
    keys = rig.list_keys('entry', 'control', 'agent')
    for key in random.sample(keys, max(1, round(0.3 * len(keys)))):
        rig.terminate(key)
        _restart(rig, key)
        time.sleep(0.5)


@register('herd')
def herd(rig, random):
    """SIGKILL of all control instances, or of half of all processes."""
    keys = rig.list_keys('control')
    if random.random() < 0.5:
        keys = rig.list_keys('entry', 'control', 'agent')
        keys = random.sample(keys, len(keys) // 2)
    for key in keys:
        rig.kill(key)
    time.sleep(random.uniform(0.1, 2.0))
    for key in keys:
        rig.start(*key)


@register('freeze')
def freeze(rig, random):
    """SIGSTOP of a process for some seconds."""
    key = _choose_key(rig, random, 'control', 'agent', 'agent', 'worker')
    _freeze(rig, [key] if key else [], random.uniform(0.5, 6.0))


@register('freeze leader')
def freeze_leader(rig, random):
    """SIGSTOP of the leader for some seconds."""
    name = rig.find_leader()
    keys = [(name, 'control')] if name else []
    _freeze(rig, keys, random.uniform(0.5, 6.0))


@register('freeze side')
def freeze_side(rig, random):
    """SIGSTOP of an agent and its worker."""
    names = choose_workers(rig, random, 0.1)
    keys = [(n, role) for n in names for role in ('agent', 'worker')]
    _freeze(rig, keys, random.uniform(0.5, 8.0))


def _freeze(rig, keys, seconds):
    for key in keys:
        rig.signal(key, signal.SIGSTOP)
    time.sleep(seconds)
    for key in keys:
        rig.signal(key, signal.SIGCONT)


@register('stutter')
def stutter(rig, random):
    """Many short pauses of agents and workers, as on a starved host."""
    keys = rig.list_keys('agent', 'worker')
    for key in random.choices(keys, k=20):
        _freeze(rig, [key], random.uniform(0.02, 0.5))


@register('crash')
def crash(rig, random):
    """Crash of workers; they start again, with or without the id of before."""
    names = choose_workers(rig, random, 0.14)
    for name in names:
        rig.kill((name, 'worker'))
    time.sleep(random.choice([0.05, 0.3, 4.5]))
    for name in names:
        rig.start_worker(name, same_id=random.random() < 0.3)


def leave(rig, random, name, how, linger_s):
    """Let a worker leave as planned; returns once its process has ended."""
    process = rig.processes.get((name, 'worker'))
    if process is None:
        return
    rig.write_mode(name, 'drain', how, linger_s)
    await_leave(rig, name, process)


def await_leave(rig, name, process, *, role='worker'):
    """Wait until a worker that leaves has ended; end it if that lasts."""
    with contextlib.suppress(subprocess.TimeoutExpired):
        process.wait(LEAVE_TIMEOUT_S)
    with rig.lock:
        if rig.processes.get((name, role)) is process:
            rig.kill((name, role))


@register('release')
def release(rig, random):
    """Replacement of workers by ones on other machines, which start first."""
    for name in choose_workers(rig, random, 0.3):
        spares = [
            h.name
            for h in rig.hosts.values()
            if 'agent' in h.roles and (h.name, 'worker') not in rig.processes
        ]
        if spares:
            rig.start_worker(random.choice(spares))
            time.sleep(0.5)
        leave(rig, random, name, 'open', random.choice([0.2, 1.5, 4.0]))


def _scale_in(rig, random, how):
    for name in choose_workers(rig, random, 0.07):
        leave(rig, random, name, how, random.choice([0.2, 1.5, 4.0]))
        time.sleep(random.uniform(0.0, 2.0))
        rig.start_worker(name)


@register('scale in')
def scale_in(rig, random):
    """A worker leaves and listens to its end; another comes later."""
    _scale_in(rig, random, 'open')


@register('scale in, listener closed')
def scale_in_closed(rig, random):
    """A worker that leaves takes no new connections while it lingers."""
    _scale_in(rig, random, 'closed')


@register('scale in, some connections closed')
def scale_in_some(rig, random):
    """A worker that leaves closes its open connections one by one."""
    _scale_in(rig, random, 'some')


@register('scale in, connections closed')
def scale_in_cut(rig, random):
    """A worker that leaves also closes its open connections."""
    _scale_in(rig, random, 'cut')


@register('order mode')
def set_order_mode(rig, random):
    """Workers treat a share of the calls badly for some seconds."""
    mode = random.choice(['late', 'late', 'hang', 'mute', 'busy', 'reset'])
    share = random.choice([0.055, 0.3, 1.0])
    seconds = random.uniform(1.0, 6.5)
    for name in choose_workers(rig, random, random.choice([0.1, 0.4])):
        rig.write_mode(name, mode, share, seconds)
    time.sleep(seconds)


@register('reset connections')
def reset_connections(rig, random):
    """Connections to workers are closed."""
    for name in choose_workers(rig, random, 0.35):
        rig.write_mode(name, 'cut', 1.0, 0.0)


@register('configure')
def configure(rig, random):
    """Replace the configuration."""
    rig.replace()


@register('exchange seeds')
def exchange_seeds(rig, random):
    """The settings name other seeds; SIGHUP."""
    controls = [h.name for h in rig.hosts.values() if 'control' in h.roles]
    rig.seeds = random.sample(controls, min(3, len(controls)))
    for key in rig.list_keys('entry', 'control', 'agent'):
        rig._write_settings(*key)
        rig.signal(key, signal.SIGHUP)


def read_heartbeat(rig, name):
    """Return (worker's id, its newest heartbeat), or None before the first."""
    events = rig.folder / f'{name}.events'
    if (name, 'worker') not in rig.processes or not events.exists():
        return None
    with open(events) as file:
        rows = [json.loads(line) for line in file]
    sent = [row for row in rows if row['what'] == 'heartbeat']
    return (sent[-1]['worker'], sent[-1]['body']) if sent else None


@register('odd heartbeat')
def send_odd_heartbeat(rig, random):
    """Heartbeats of another writer: odd fields, or bytes that are no JSON."""
    for name in choose_workers(rig, random, 0.3):
        known = read_heartbeat(rig, name)
        if known is None:
            continue
        worker_id, body = known
        body = {**body, 'sequence': body['sequence'] + random.choice([0, 1])}
        how = random.choice(['missing', 'type', 'state', 'service', 'bytes'])
        field = random.choice(sorted(body))
        if how == 'missing':
            del body[field]
        elif how == 'type':
            body[field] = random.choice([None, 'x', -1, [], {}, 1.5, True])
        elif how in ('state', 'service'):
            body[how] = 'unnamed'
        data = json.dumps(body).encode()
        if how == 'bytes':
            data = data[: random.randrange(len(data))] + b'\xff'
        host, _, port = rig.find_address(name, 'control').partition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        with contextlib.suppress(OSError, http.client.HTTPException):
            path = f'/Instances.Heartbeat/{worker_id}'
            connection.request('POST', path, data)
            connection.getresponse().read()
        connection.close()


@register('overlap')
def overlap(rig, random):
    """SIGTERM of an agent whose successor starts before it has ended."""
    key = _choose_key(rig, random, 'agent')
    if key is not None:
        overlap_agents(rig, random, key)


def overlap_agents(rig, random, key):
    """End an agent by SIGTERM and start its successor before it has ended."""
    with rig.lock:
        former = rig.processes.pop(key, None)
        if former is None:
            return
        if random.random() < 0.5:
            former.send_signal(signal.SIGSTOP)
            former.send_signal(signal.SIGTERM)
        else:
            former.terminate()
        rig.start(*key)
    time.sleep(random.uniform(0.2, 2.0))
    former.send_signal(signal.SIGCONT)
    try:
        former.wait(LEAVE_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        former.kill()
        former.wait()
