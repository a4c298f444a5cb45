"""A start that is held up is carried out by the next life of a worker.

Eight workers that close each connection after its answer, as HTTP allows. The
starts to one of them are held up on their way; it crashes and is back at once
under its id, and then what was held up arrives.
"""

import itertools
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import deployment_2 as deployment  # noqa: E402

SIDES = 8
JOB = '5c0e7a21d94b36f8'
TASKS = 24
WORK_S = 5.0
START_S = 10
WAIT_S = 30


def play(fleet):
    """Return why the rule was broken, or an empty string."""
    side = fleet.sides[0]
    if fleet.trouble:
        fleet.tell(side, 'hold /run-start', role='proxy')
    step = {
        'task_count': TASKS,
        'cpu': 1000,
        'mem_mb': 256,
        'estimate_ms': int(WORK_S * 1000),
    }
    status = fleet.submit(JOB, {'spec': str(WORK_S), 'steps': [step]})
    if status != 200:
        raise deployment.NotRunError(f'the job was answered {status}')
    if fleet.trouble:
        await_events(fleet, side, 'proxy: hold', 1)
        fleet.signal(side, 'worker', signal.SIGKILL)
        fleet.start_worker(side)
        await_events(fleet, side, 'worker: born', 2)
        fleet.tell(side, 'release all', role='proxy')
    until = time.monotonic() + WAIT_S
    state = ''
    while time.monotonic() < until and state not in ('completed', 'failed'):
        time.sleep(0.5)
        _, state = fleet.read_state(JOB)
    return find_overlap(fleet, side)


def await_events(fleet, side, what, count):
    """Wait until a machine has shown so many events of a kind."""
    until = time.monotonic() + START_S
    while len(fleet.list_events(what, machine=side)) < count:
        if time.monotonic() > until:
            raise deployment.NotRunError(f'{what}: fewer than {count}')
        time.sleep(0.002)


def find_overlap(fleet, side):
    """Return which task ran twice at the same time, or ''."""
    kills = [event['at'] for event in fleet.list_events('signal')]
    ends = {
        (event['machine'], event['task'], event['run']): event['at']
        for event in fleet.list_events('worker: end')
    }
    spans = {}
    for event in fleet.list_events('worker: begin'):
        task, run, machine = event['task'], event['run'], event['machine']
        until = ends.get((machine, task, run), float('inf'))
        if machine == side:
            # What ran there has ended with the worker's life.
            until = min([until, *(at for at in kills if at > event['at'])])
        spans.setdefault(task, []).append((event['at'], until, machine, run))
    for task, found in spans.items():
        found.sort()
        for (_, until, *first), (at, end, *second) in itertools.pairwise(
            found
        ):
            if at < until:
                seconds = min(until, end) - at
                return (
                    f'TWICE: {task} at work at the same time for '
                    f'{seconds:.2f} s: run {first[1]} on {first[0]} and run '
                    f'{second[1]} on {second[0]}'
                )
    return ''


if __name__ == '__main__':
    deployment.run_case(
        play, HERE, sides=SIDES, proxied=[0], worker_args=['--closes']
    )
