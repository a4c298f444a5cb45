"""A worker leaves while a job of a route without attempts is there."""

import json
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness3  # noqa: E402

WORKERS = 16
LASTING_TASKS = 8
NEW_PREFIX = '/extra/'
MAX_ATTEMPTS = int(os.environ.get('MAX_ATTEMPTS', '0'))
DRAIN_S = 2.0
LINGER_S = 1.5
LAST_RUN_S = 6.0
CALM_S = 4.0
IDLE_S = 3.0


def add_route(deployment):
    """Send a configuration with one more route, and a job there."""
    configuration = deployment.build_configuration(2)
    configuration['routes'].append(
        {
            **configuration['routes'][0],
            'name': 'r-2',
            'path_prefix': NEW_PREFIX,
            'max_attempts': MAX_ATTEMPTS,
        }
    )
    deployment.replace(configuration)
    time.sleep(2)
    job = os.urandom(8).hex()
    body = {
        'spec': json.dumps({'work_s': 0.5}),
        'steps': [{'task_count': 1, 'cpu': 100}],
    }
    with deployment.plan.lock:
        deployment.plan.jobs[job] = body
    status, _ = harness3.call(
        deployment.find_address(deployment.fronts[0], 'frontend'),
        'POST',
        NEW_PREFIX + job,
        body,
    )
    deployment.record.add('post to the new route', job=job, status=status)
    return status


def leave(deployment, worker):
    """Let a worker drain and leave, and then its machine."""
    worker.remaining_ms = int(DRAIN_S * 1000)
    worker.state = 'draining'
    while not worker.send_heartbeat():
        time.sleep(0.2)
    deployment.record.add('draining acknowledged', worker=worker.id)
    time.sleep(DRAIN_S + LINGER_S)
    status, _ = harness3.call(
        deployment.find_address(worker.name, 'control'),
        'POST',
        f'/Instances.Deregister/{worker.id}',
        {'born': worker.born},
    )
    deployment.record.add('deregistered', worker=worker.id, status=status)
    worker.crash()
    deployment.signal(worker.name, 'agent', signal.SIGTERM)


def play(deployment, disrupts):
    """Hand a job in at the new route; take one worker away."""
    job = deployment.submit(
        [
            {
                'task_count': LASTING_TASKS,
                'cpu': 1_000,
                'mem_mb': 256,
                'long_running': True,
                'anti_affinity': 1,
            }
        ],
        1_000,
    )
    add_route(deployment)
    task = f'{job}.0.0.0'
    worker = deployment.find_worker(task)
    if worker is None:
        raise harness3.CannotRunError('the lasting tasks were not started')
    if disrupts:
        leave(deployment, worker)
    time.sleep(LAST_RUN_S + CALM_S)
    is_idle = deployment.watch_idle(task, IDLE_S)
    _, state = deployment.get(job)
    if is_idle and state == 'running':
        return [
            f'LOST: {task}, which lasts, has had no run for '
            f'{LAST_RUN_S + CALM_S + IDLE_S} s since its worker has left, '
            f'and its job is {state}; free and whole CPU by rack: '
            f'{deployment.describe_room()}'
        ]
    return []


if __name__ == '__main__':
    sys.exit(
        harness3.play(HERE, play, sides=WORKERS, racks=(3, 3, 3, 3, 3, 1))
    )
