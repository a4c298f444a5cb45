"""An operator's order is held up in the network and undoes a later one."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness3  # noqa: E402

EMPTIED = 'z2'
EMPTIED_SIDES = ('side-5', 'side-6', 'side-7')
CUT_S = 5.5
FIRST_S = 6.0
PAUSE_S = 1.0
EVACUATE_MS = 5_000
JOB_INTERVAL_S = 0.5
WATCH_S = 14.0
TRIES = 6


def order(deployment, what, addresses):
    """Send an order on a zone until it is acknowledged; return when."""
    for turn in range(TRIES):
        address = addresses[min(turn, len(addresses) - 1)]
        status, _ = harness3.call(
            address, 'POST', f'/Evacuation.{what}/{EMPTIED}', None, 1.0
        )
        deployment.record.add(
            'zone order', order=what, to=address, status=status
        )
        if status == 200:
            return deployment.record.now()
        time.sleep(0.1)
    raise harness3.CannotRunError(f'{what} was not acknowledged')


def submit_jobs(deployment, stopping):
    """Hand jobs in that have work for all workers."""
    count = len(deployment.sides)
    step = {'task_count': count, 'cpu': 1_000, 'mem_mb': 256}
    while not stopping.wait(JOB_INTERVAL_S):
        deployment.submit([step], 0.3, front=deployment.fronts[1])


def play(deployment, disrupts):
    """Empty a zone, take it back on a cut link, and empty it again."""
    record = deployment.record
    addresses = [
        deployment.find_address(front, 'control')
        for front in deployment.fronts
    ]
    link = harness3.Link(addresses[0])
    stopping = threading.Event()
    callers = threading.Thread(
        target=submit_jobs, args=(deployment, stopping), daemon=True
    )
    callers.start()
    order(deployment, 'Start', addresses[1:])
    time.sleep(FIRST_S)
    if disrupts:
        link.cut()
    cut_at = record.now()
    order(deployment, 'End', [link.address, *addresses[1:]])
    time.sleep(PAUSE_S)
    emptied_at = order(deployment, 'Start', addresses[1:])
    time.sleep(max(0.0, cut_at + CUT_S - record.now()))
    link.heal()
    record.add('link healed')
    time.sleep(WATCH_S)
    stopping.set()
    callers.join()
    emptied = {deployment.workers[side].id for side in EMPTIED_SIDES}
    return [
        f'EVAC: {row["task"]} was started at {row["at"]} s on '
        f'{row["worker"]} in {EMPTIED}, {row["at"] - emptied_at:.1f} s after '
        f'its evacuation was acknowledged; it was not taken back since'
        for row in record.find('start')
        if row['worker'] in emptied
        and row['at'] > emptied_at + EVACUATE_MS / 1000
    ]


if __name__ == '__main__':
    sys.exit(
        harness3.play(
            HERE,
            play,
            zones=dict.fromkeys(EMPTIED_SIDES, EMPTIED),
            evacuate_ms=EVACUATE_MS,
        )
    )
