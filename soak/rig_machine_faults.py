"""Faults of late answers, processors, clocks and disks, for the rig.

Each function returns once its fault has ended.
"""

import shutil
import subprocess
import sys
import time

from soak import rig_faults

__all__ = []

MAX_BUSY_LOOPS = 8
CORE_TIMEOUT_S = 15
# A machine that is back counts as lost for this long.
CATCH_UP_S = 4.0
MAX_BASE_S = 1e7
STEPS_S = (0.3, 2.0, 20.0, 3_600.0)
ALL_ROLES = ('entry', 'control', 'agent')
BUSY_LOOP = (
    'import sys, time\n'
    'end = time.monotonic() + float(sys.argv[1])\n'
    'while time.monotonic() < end: pass\n'
)

register = rig_faults.register


def _play_mode(rig, random, mode):
    share = random.choice([0.055, 0.3, 1.0])
    seconds = random.uniform(1.0, 6.5)
    for name in rig_faults._choose_workers(
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


def _list_core(rig):
    return [
        name
        for name, _ in rig.list_keys('control')
        if rig.hosts[name].has_disk
    ]


def _wait_for_core(rig, name):
    """Wait until an instance has a leader and has caught up."""
    end = time.monotonic() + CORE_TIMEOUT_S
    while time.monotonic() < end and rig.find_status(name) is None:
        time.sleep(0.2)
    time.sleep(CATCH_UP_S)


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
