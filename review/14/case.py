"""The worker without a serving task is lost before a gang that fills."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness3  # noqa: E402

WORKERS = 8
WORK_S = 5.0
LOSS_S = 8.0
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 20.0


def play(deployment, disrupts):
    """Lose a worker; hand the gang in; ask for it ``finish_s`` later."""
    serving = {
        'task_count': WORKERS - 1,
        'cpu': 4_000,
        'mem_mb': 256,
        'long_running': True,
        'image': 'desk',
        'target_ms': 100,
        'anti_affinity': 1,
    }
    filling = {
        'task_count': WORKERS,
        'cpu': 1_000,
        'mem_mb': 256,
        'gang': True,
        'image': 'index',
        'fill_count': True,
        'estimate_ms': int(WORK_S * 1000),
    }
    deployment.submit([serving], 1_000)
    time.sleep(3)
    idle = [row for row in deployment.workers.values() if not row.runs]
    if len(idle) != 1:
        raise harness3.CannotRunError('the serving tasks were not started')
    if disrupts:
        idle[0].crash()
    time.sleep(LOSS_S)
    job = deployment.submit([filling], WORK_S)
    time.sleep(FINISH_S)
    status, state = deployment.get(job)
    room = deployment.describe_room()
    deployment.record.add('room', free_and_whole=room)
    is_idle = deployment.watch_idle(job, IDLE_S)
    if status == 200 and state in ('queued', 'running') and is_idle:
        is_completed = deployment.await_state(job, ('completed',), WATCH_S)
        return [
            f'LOST: {FINISH_S} s after {job} was accepted nothing of it ran '
            f'for {IDLE_S} s, though its turn had come; free and whole CPU '
            f'by rack: {room}; '
            f'completed {WATCH_S} s later: {is_completed}'
        ]
    return []


if __name__ == '__main__':
    sys.exit(harness3.play(HERE, play, sides=WORKERS))
