"""The operator sends a queue to another service while a job waits."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness3  # noqa: E402

OTHER_SERVICE = 'lake'
USUAL_WORKERS = 2
WORKERS = 7
TASKS = 2
TASK_CPU = 8_000
CONFIG_APPLY_S = 2.0
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 20.0


def has_room(room, service):
    """Return whether a service has room as the rule asks for it."""
    rows = [
        row
        for name, group in room.items()
        for row in group
        if name.startswith(f'{service} ')
    ]
    fits = sum(free // TASK_CPU for free, _ in rows)
    free, whole = (sum(column) for column in zip(*rows, strict=True))
    return fits >= 2 * TASKS and free > whole / 2


def play(deployment, disrupts):
    """Move the route; ask for the job that waits ``finish_s`` later."""
    lasting = {
        'task_count': USUAL_WORKERS,
        'cpu': 15_000,
        'mem_mb': 256,
        'long_running': True,
        'anti_affinity': 1,
    }
    waiting = {'task_count': TASKS, 'cpu': TASK_CPU, 'mem_mb': 256}
    deployment.submit([lasting], 1_000)
    time.sleep(3)
    job = deployment.submit([waiting], 1.0)
    time.sleep(3)
    if disrupts:
        deployment.replace(
            deployment.build_configuration(
                2, service=OTHER_SERVICE, services=[OTHER_SERVICE]
            )
        )
        time.sleep(CONFIG_APPLY_S)
        # It shows which version is in force.
        newer = deployment.submit([waiting], 1.0)
        if not deployment.await_state(newer, ('completed',), 10):
            raise harness3.CannotRunError('the new version is not in force')
    time.sleep(FINISH_S)
    status, state = deployment.get(job)
    room = deployment.describe_room()
    deployment.record.add('room', free_and_whole=room)
    is_idle = deployment.watch_idle(job, IDLE_S)
    service = OTHER_SERVICE if disrupts else harness3.SERVICE
    is_lost = has_room(room, service) and is_idle
    if status == 200 and state in ('queued', 'running') and is_lost:
        is_completed = deployment.await_state(job, ('completed',), WATCH_S)
        return [
            f'LOST: {FINISH_S} s after a newer job of the same queue was '
            f'done, {job} is {state} and nothing of it ran for {IDLE_S} '
            f's; free and whole CPU by service and rack: {room}; '
            f'completed {WATCH_S} s later: {is_completed}'
        ]
    return []


if __name__ == '__main__':
    others = [f'side-{n}' for n in range(USUAL_WORKERS + 1, WORKERS + 1)]
    sys.exit(
        harness3.play(
            HERE,
            play,
            sides=WORKERS,
            racks=(USUAL_WORKERS, WORKERS - USUAL_WORKERS),
            services=dict.fromkeys(others, OTHER_SERVICE),
        )
    )
