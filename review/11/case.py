"""A gang's worker loses its lease while its agent's machine is frozen."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness3  # noqa: E402

MEMBERS = 3
WORK_S = 14.0
FREEZE_AFTER_S = 5.0
FREEZE_S = 6.0
CONTACT_S = 3.0
WATCH_S = 25.0


def find_breaks(deployment, job, calm_at):
    """Return the sentences on what broke a rule."""
    record = deployment.record
    breaks = []
    for row in record.find('ended', how='alone'):
        (start,) = record.find(
            'start', worker=row['worker'], task=row['task'], run=row['run']
        )
        if start['at'] >= calm_at:
            others = {
                item['task'].rpartition('.')[2]: item['given']
                for item in record.find('start', run=row['run'])
                if item['task'].startswith(job)
            }
            breaks.append(
                f'GANG: run {row["run"]} of {row["task"]}, started at '
                f'{start["at"]} s, ended alone at {row["at"]} s; the members '
                f'of this run were started with the checkpoints {others}'
            )
    return breaks


def play(deployment, disrupts):
    """Freeze the machine of one member's agent; watch the gang."""
    steps = [
        {
            'task_count': MEMBERS,
            'cpu': 1_000,
            'mem_mb': 256,
            'gang': True,
            'saves_progress': True,
            'estimate_ms': int(WORK_S * 1000),
            'anti_affinity': 1,
        }
    ]
    job = deployment.submit(steps, WORK_S)
    time.sleep(FREEZE_AFTER_S)
    calm_at = 0.0
    worker = deployment.find_worker(f'{job}.0.0.0')
    if worker is None:
        raise harness3.CannotRunError('the gang was not started')
    if disrupts:
        deployment.signal(worker.name, 'agent', signal.SIGSTOP)
        time.sleep(FREEZE_S)
        deployment.signal(worker.name, 'agent', signal.SIGCONT)
        calm_at = deployment.record.now() + CONTACT_S
    is_completed = deployment.await_state(job, ('completed',), WATCH_S)
    deployment.record.add('watched', job=job, completed=is_completed)
    return find_breaks(deployment, job, calm_at)


if __name__ == '__main__':
    sys.exit(harness3.play(HERE, play))
