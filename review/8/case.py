"""A worker goes down and up by turns; the job that waits for it is given up.

Ten workers, one of them of kind ``b``. A job needs that kind. Its worker goes
down five times within 6.5 s, as in ``srv_flap`` with a period of 1.4 s, and is
sound from then on. No run of the job ever ends ``failed``.
"""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))

import deployment  # noqa: E402

SIDES = 10
JOB = '5c0e7a21d94b36f8'
WORK_S = 4.0
# Together with the start of a process, a period of about 1.4 s.
DOWN_S = 0.9
UP_S = 0.4
CRASHES = 5
START_S = 10
WAIT_S = 30


def play(fleet):
    """Return why the rule was broken, or an empty string."""
    side = fleet.sides[0]
    status = fleet.submit(
        JOB,
        {
            'spec': str(WORK_S),
            'steps': [
                {
                    'task_count': 1,
                    'cpu': 1000,
                    'mem_mb': 256,
                    'estimate_ms': int(WORK_S * 1000),
                    'requirements': 'b',
                }
            ],
        },
    )
    if status != 200:
        raise deployment.NotRunError(f'the job was answered {status}')
    time.sleep(1.0)
    if fleet.trouble:
        go_down_and_up(fleet, side)
    until = time.monotonic() + WAIT_S
    state = ''
    while time.monotonic() < until and state not in ('completed', 'failed'):
        time.sleep(0.5)
        _, state = fleet.read_state(JOB)
    failed = fleet.list_events('worker: end', how='failed')
    if state == 'failed' and not failed:
        return (
            'LOST: the job is shown as failed, though none of its runs has '
            'ended failed'
        )
    if state != 'completed':
        return f'LOST: the job is {state} long after its worker is sound'
    return ''


def go_down_and_up(fleet, side):
    """Let the worker go down and up by turns, then stay up."""
    fleet.signal(side, 'worker', signal.SIGKILL)
    for life in range(2, CRASHES + 1):
        time.sleep(DOWN_S)
        start_and_wait(fleet, side, life)
        time.sleep(UP_S)
        fleet.signal(side, 'worker', signal.SIGKILL)
    time.sleep(DOWN_S)
    start_and_wait(fleet, side, CRASHES + 1)


def start_and_wait(fleet, side, life):
    """Start the next life of a worker; return once it listens."""
    fleet.start_worker(side)
    until = time.monotonic() + START_S
    while len(fleet.list_events('worker: born', machine=side)) < life:
        if time.monotonic() > until:
            raise deployment.NotRunError('a worker did not start')
        time.sleep(0.005)


if __name__ == '__main__':
    deployment.run_case(play, HERE, sides=SIDES, kinds={0: 'b'})
