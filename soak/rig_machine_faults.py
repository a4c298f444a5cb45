"""Faults of late answers, processors, clocks, disks and links, for the rig.

Each function returns once its fault has ended.
"""

import shutil
import signal
import subprocess
import sys
import time

from soak import proxy
from soak import rig_faults

__all__ = ['needs_links']

MAX_BUSY_LOOPS = 8
CORE_TIMEOUT_S = 15
# A machine that is back counts as lost for this long.
CATCH_UP_S = 4.0
# Longest time until a worker has read its start from the clock.
WORKER_START_S = 3.0
MAX_BASE_S = 1e7
STEPS_S = (0.3, 2.0, 20.0, 3_600.0)
LINK_KINDS = set()
ALL_ROLES = ('entry', 'control', 'agent')
BUSY_LOOP = (
    'import sys, time\n'
    'end = time.monotonic() + float(sys.argv[1])\n'
    'while time.monotonic() < end: pass\n'
)
# How a one-way cut treats the links from a process and those to it.
CUTS = {
    'out': (proxy.Mode.MUTE_REQUESTS, proxy.Mode.MUTE_ANSWERS),
    'in': (proxy.Mode.MUTE_ANSWERS, proxy.Mode.MUTE_REQUESTS),
    'both': (proxy.Mode.MUTE, proxy.Mode.MUTE),
}

register = rig_faults.register


def _register_link_kind(name):
    LINK_KINDS.add(name)
    return register(name)


def needs_links(kinds):
    """Return whether some of these kinds (None: all) disturb links."""
    return kinds is None or not LINK_KINDS.isdisjoint(kinds)


def _play_mode(rig, random, mode):
    share = random.choice([0.055, 0.3, 1.0])
    seconds = random.uniform(1.0, 6.5)
    for name in rig_faults.choose_workers(
        rig, random, random.choice([0.1, 0.4])
    ):
        rig.write_mode(name, mode, share, seconds)
    time.sleep(seconds)


@register('grants late')
def carry_grants_out_late(rig, random):
    """``/hold`` gets no answer and is carried out seconds later."""
    _play_mode(rig, random, 'late-grants')


@register('calls late')
def carry_calls_out_late(rig, random):
    """Orders and ``/hold`` get no answer and are carried out later."""
    _play_mode(rig, random, 'late-all')


@register('grant answers lost')
def lose_grant_answers(rig, random):
    """``/hold`` is carried out and its answer lost."""
    _play_mode(rig, random, 'lost-grants')


@register('acknowledgement answers lost')
def lose_acknowledgement_answers(rig, random):
    """A ``/hold`` that takes note of ends is carried out, its answer lost."""
    _play_mode(rig, random, 'lost-acks')


@register('answers lost')
def lose_answers(rig, random):
    """Orders and ``/hold`` are carried out and their answers lost."""
    _play_mode(rig, random, 'lost-all')


@register('silent connections')
def silence_connections(rig, random):
    """Open connections to workers go silent for good; new ones work."""
    for name in rig_faults.choose_workers(rig, random, 0.35):
        rig.write_mode(name, 'silence', 1.0, 0.0)


@register('starved processors')
def starve(rig, random):
    """Busy loops take the host's processors for some seconds."""
    seconds = random.uniform(1.0, 5.0)
    command = [sys.executable, '-c', BUSY_LOOP, str(seconds)]
    loops = []
    try:
        for _ in range(random.randint(4, MAX_BUSY_LOOPS)):
            loops.append(subprocess.Popen(command, start_new_session=True))
        time.sleep(seconds)
    finally:
        for loop in loops:
            loop.kill()
            loop.wait()


@register('clock base')
def change_base(rig, random):
    """A process starts again with a steady clock of another base."""
    key = rig_faults._choose_key(rig, random, 'control', 'agent', 'agent')
    if key is None:
        return
    rig.hooks.bases[key] = random.choice([0.0, random.uniform(0, MAX_BASE_S)])
    rig.kill(key)
    time.sleep(random.uniform(0.1, 3.5))
    rig.start(*key)


@register('clock step')
def step_clocks(rig, random):
    """The time of day of some processes steps, and back after seconds."""
    keys = rig.list_keys(*ALL_ROLES)
    keys = random.sample(keys, min(len(keys), random.choice([1, 3, 8])))
    for key in keys:
        seconds = random.choice(STEPS_S) * random.choice([-1, 1])
        rig.hooks.step_time(key, seconds)
    time.sleep(random.uniform(0.5, 6.0))
    for key in keys:
        rig.hooks.step_time(key, 0)


@register('suspend')
def suspend(rig, random):
    """A stop of a process that its steady clock doesn't count."""
    key = rig_faults._choose_key(rig, random, 'control', 'agent', 'agent')
    if key is None:
        return
    rig.signal(key, signal.SIGSTOP)
    stopped_at = time.monotonic()
    time.sleep(random.uniform(0.5, 8.0))
    rig.hooks.add_suspension(key, time.monotonic() - stopped_at)
    rig.signal(key, signal.SIGCONT)


def _list_core(rig):
    return [
        name
        for name, _ in rig.list_keys('control')
        if rig.hosts[name].has_disk
    ]


def _wait_for_core(rig, name, catch_up_s=CATCH_UP_S):
    """Wait until an instance has a leader and has caught up."""
    end = time.monotonic() + CORE_TIMEOUT_S
    while time.monotonic() < end and rig.find_status(name) is None:
        time.sleep(0.2)
    time.sleep(catch_up_s)


@register('replace core')
def replace_core(rig, random):
    """A control machine with a disk is gone; an empty one takes its place."""
    if not rig.core_lock.acquire(blocking=False):
        return
    try:
        core = _list_core(rig)
        if len(core) < len(rig.seeds):
            return
        gone = random.choice(core)
        name = rig.add_empty_host(gone)
        for role in rig.hosts[name].roles:
            rig.kill((gone, role))
        time.sleep(random.uniform(0.1, 3.0))
        for role in rig.hosts[name].roles:
            rig.start(name, role)
        rig.write_seeds([name if s == gone else s for s in rig.seeds])
        _wait_for_core(rig, name)
    finally:
        rig.core_lock.release()


@register('wipe core')
def wipe_core(rig, random):
    """A control instance comes back with an empty data folder."""
    if not rig.core_lock.acquire(blocking=False):
        return
    try:
        core = _list_core(rig)
        if len(core) < len(rig.seeds):
            return
        name = random.choice(core)
        with rig.lock:
            rig.kill((name, 'control'))
            shutil.rmtree(rig.folder / f'{name}.data', ignore_errors=True)
        time.sleep(random.uniform(0.1, 3.0))
        rig.start(name, 'control')
        _wait_for_core(rig, name)
    finally:
        rig.core_lock.release()


def _bring_forth(rig, random, name):
    """Crash a worker and start another, which may have the same id."""
    rig.kill((name, 'worker'))
    time.sleep(random.choice([0.05, 0.5, 2.0]))
    rig.start_worker(name, same_id=random.random() < 0.5)
    time.sleep(random.uniform(0.0, 2.5))


@register('reborn, agent stopped')
def crash_beside_stopped_agent(rig, random):
    """A worker crashes and starts again while its agent is stopped."""
    for name in rig_faults.choose_workers(rig, random, 0.1):
        keys = [(name, 'agent'), (name, 'worker')]
        for key in keys:
            rig.signal(key, signal.SIGSTOP)
        try:
            time.sleep(random.uniform(0.2, 7.0))
            _bring_forth(rig, random, name)
        finally:
            rig.signal(keys[0], signal.SIGCONT)


@register('reborn, clock stepped back')
def crash_before_clock_step(rig, random):
    """A worker's later life has an earlier ``born``; its id may be new."""
    for name in rig_faults.choose_workers(rig, random, 0.1):
        key = (name, 'worker')
        rig.hooks.step_time(key, -random.choice(STEPS_S))
        _bring_forth(rig, random, name)
        time.sleep(WORKER_START_S)
        rig.hooks.step_time(key, 0)


def _cut(rig, key, direction):
    """Cut a process off; returns the links."""
    own_mode, others_mode = CUTS[direction]
    links = rig.hooks.list_links()
    own = [link for link in links if link[0] == key]
    others = [link for link in links if key == (link[1], 'control')]
    rig.hooks.set_mode(own, own_mode)
    rig.hooks.set_mode(others, others_mode)
    return own + others


def _cut_for(rig, random, key):
    links = _cut(rig, key, random.choice(['out', 'in', 'both']))
    time.sleep(random.uniform(0.5, 8.0))
    rig.hooks.set_mode(links, proxy.Mode.PASS)


@_register_link_kind('cut agent')
def cut_agent(rig, random):
    """An agent's links are cut, one way or both; its worker goes on."""
    key = rig_faults._choose_key(rig, random, 'agent')
    if key is not None:
        _cut_for(rig, random, key)


@_register_link_kind('cut leader')
def cut_leader(rig, random):
    """The leader's links are cut, one way or both."""
    name = rig.find_leader()
    if name is not None:
        _cut_for(rig, random, (name, 'control'))


@_register_link_kind('reborn, agent cut off')
def crash_beside_cut_agent(rig, random):
    """A worker crashes and starts again while its agent is cut off."""
    for name in rig_faults.choose_workers(rig, random, 0.1):
        links = _cut(rig, (name, 'agent'), 'both')
        time.sleep(random.uniform(0.2, 7.0))
        _bring_forth(rig, random, name)
        rig.hooks.set_mode(links, proxy.Mode.PASS)


@_register_link_kind('slow links')
def slow_links(rig, random):
    """Some links are slow."""
    links = rig.hooks.list_links()
    links = random.sample(links, len(links) // 3)
    rig.hooks.set_mode(links, proxy.Mode.DELAY)
    time.sleep(random.uniform(1.0, 6.0))
    rig.hooks.set_mode(links, proxy.Mode.PASS)


@_register_link_kind('lossy links')
def lose_packets(rig, random):
    """Some links stand still again and again, until bytes are sent again."""
    links = rig.hooks.list_links()
    for _ in range(random.randint(2, 10)):
        held = random.sample(links, len(links) // 5)
        rig.hooks.set_mode(held, random.choice(list(CUTS.values()))[0])
        time.sleep(random.uniform(0.2, 1.0))
        rig.hooks.set_mode(held, proxy.Mode.PASS)


@_register_link_kind('silent links')
def silence_links(rig, random):
    """Open connections of some links go silent for good; new ones work."""
    links = rig.hooks.list_links()
    rig.hooks.silence(random.sample(links, len(links) // 3))
