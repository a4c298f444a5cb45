"""Faults of late answers and processors, for the rig.

Each function returns once its fault has ended.
"""

import subprocess
import sys
import time

from soak import rig_faults

__all__ = []

MAX_BUSY_LOOPS = 8
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
