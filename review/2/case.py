"""Seeds that are exchanged for control instances that hold no vote."""

import signal
import sys
import time

from review import deployment

FIRST = ('frontend-a-1', 'frontend-b-1', 'frontend-c-1')
OTHER = ('frontend-a-2', 'frontend-b-2', 'frontend-c-2')
JOB = '5c0e7a21d94b36f8'
LASTING = [
    {
        'task_count': 1,
        'cpu': 500,
        'mem_mb': 256,
        'estimate_ms': 900,
        'long_running': True,
    }
]
SEED_LAG_S = 3
ROLL_GAP_S = 1.3  # gap_s of roll_term in the site file
FINISH_S = 14  # bounds.finish_s; longer than bounds.recovery_s


def build_machines():
    """Return six machines with a disk in three zones, and two workers."""
    machines = []
    for number, zone in enumerate(('a', 'b', 'c'), start=1):
        for index in (1, 2):
            machines.append(
                deployment.Machine(
                    name=f'frontend-{zone}-{index}',
                    host=f'127.0.{number}.{index}',
                    zone=zone,
                    roles=('control', 'entry'),
                )
            )
    for number, zone in enumerate(('a', 'b'), start=1):
        machines.append(
            deployment.Machine(
                name=f'side-{zone}-1',
                host=f'127.0.{number}.101',
                zone=zone,
                roles=('agent',),
                worker=('--labels', f'a,r{number}-1'),
            )
        )
    return machines


def play(fleet, trouble):
    """Exchange the seeds, then restart all processes in turn."""
    if not fleet.send_config():
        raise RuntimeError('the first configuration was not acknowledged')
    if not fleet.submit(JOB, LASTING, spec='lasts'):
        raise RuntimeError('the first job was not accepted')
    if not fleet.wait(lambda: fleet.read_state(JOB) == 'running', 10):
        raise RuntimeError('the first job does not run')
    if trouble:
        fleet.change_seeds(OTHER)
        for name, role in list(fleet.processes):
            if role != 'worker':
                fleet.send_signal(name, role, signal.SIGHUP)
        time.sleep(SEED_LAG_S)
        for role in ('agent', 'entry', 'control'):
            for name, _ in fleet.list_names(role):
                fleet.terminate(name, role)
                fleet.start(name, role)
                time.sleep(ROLL_GAP_S)
    fleet.record.write('all processes run')
    return check(fleet)


def check(fleet):
    """Return what callers and the operator miss."""
    breaks = []
    known = fleet.wait(lambda: fleet.read_state(JOB) == 'running', FINISH_S)
    if not known:
        breaks.append(f'LOST: no answer for the accepted job {JOB}')
    if not any(fleet.read_config().values()):
        breaks.append('CONFIG: the configuration is not read back')
    exited = fleet.list_exited()
    if exited:
        fleet.record.write(f'ended by themselves: {exited}')
    return breaks


if __name__ == '__main__':
    sys.exit(deployment.run_case(__file__, build_machines(), FIRST, play))
