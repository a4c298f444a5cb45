"""A rack of a gang that wants one rack loses a worker for good."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness3  # noqa: E402

RACKS = (4, 3, 3)
MEMBERS = 4
WORK_S = 12.0
CRASH_AFTER_S = 4.0
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 25.0


def play(deployment, disrupts):
    """Crash a worker of the gang; ask for the job ``finish_s`` later."""
    step = {
        'task_count': MEMBERS,
        'cpu': 10_000,
        'mem_mb': 256,
        'gang': True,
        'rack_local': True,
        'estimate_ms': int(WORK_S * 1000),
    }
    job = deployment.submit([step], WORK_S)
    time.sleep(CRASH_AFTER_S)
    worker = deployment.find_worker(f'{job}.0.0.0')
    if worker is None:
        raise harness3.CannotRunError('the gang was not started')
    if disrupts:
        worker.crash()
    time.sleep(FINISH_S)
    status, state = deployment.get(job)
    deployment.record.add('room', free_and_whole=deployment.describe_room())
    is_idle = deployment.watch_idle(job, IDLE_S)
    if status == 200 and state in ('queued', 'running') and is_idle:
        # How long it lasts.
        is_completed = deployment.await_state(job, ('completed',), WATCH_S)
        return [
            f'LOST: {FINISH_S} s after the crash nothing of {job} ran for '
            f'{IDLE_S} s, though its turn had come; free and whole CPU by '
            f'rack: {deployment.describe_room()}; '
            f'completed {WATCH_S} s later: {is_completed}'
        ]
    if not deployment.await_state(job, ('completed',), WATCH_S):
        deployment.record.add('not completed', job=job)
    return []


if __name__ == '__main__':
    sys.exit(harness3.play(HERE, play, sides=10, racks=RACKS))
