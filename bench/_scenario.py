"""Scenarios of the placement benchmark.

The actual resource use and effects of tasks are hidden from the policies.
"""

import dataclasses

__all__ = [
    'BASE_MS',
    'INSTANCES',
    'INSTANCES_PER_RACK',
    'Scenario',
    'TASKS',
    'Task',
    'WARM_UP_S',
    'WATCH_WORKLOADS',
    'JOBS_PER_WATCH',
    'compute_effect',
    'find_task',
    'list_services',
]

INSTANCES = 24
INSTANCES_PER_RACK = 3
WARM_UP_S = 60
BASE_MS = {'desk': 20.0, 'prices': 8.0, 'quotes': 40.0}
SERVICE_SETS = ('desk', 'desk', 'desk prices', 'prices', 'desk quotes', '')


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """Actual behaviour of the jobs of a batch workload.

    Attributes:
        name: Name of the workload.
        cpu: CPU use in cores.
        memory_mb: Memory use in MiB.
        seconds: Median run time at full speed.
        arrivals_per_second: Rate at which jobs are submitted.
        checkpoints: Whether jobs save checkpoints.
        noisy: Whether arrivals come in waves if the scenario has waves.
    """

    name: str
    cpu: float
    memory_mb: int
    seconds: float
    arrivals_per_second: float
    checkpoints: bool = True
    noisy: bool = False


TASKS = (
    Task(
        name='survey',
        cpu=2.0,
        memory_mb=4000,
        seconds=90,
        arrivals_per_second=0.28,
        noisy=True,
    ),
    Task(
        name='render',
        cpu=3.0,
        memory_mb=6000,
        seconds=60,
        arrivals_per_second=0.28,
        noisy=True,
    ),
    Task(
        name='index',
        cpu=1.0,
        memory_mb=3000,
        seconds=120,
        arrivals_per_second=0.22,
    ),
    Task(
        name='recipe',
        cpu=1.0,
        memory_mb=1000,
        seconds=30,
        arrivals_per_second=0.5,
        checkpoints=False,
    ),
    Task(
        name='archive',
        cpu=1.5,
        memory_mb=5000,
        seconds=60,
        arrivals_per_second=0.3,
    ),
)
WATCH_WORKLOADS = ('tide', 'stock')
JOBS_PER_WATCH = 5
EFFECTS = {
    ('desk', 'survey'): 0.30,
    ('desk', 'render'): 0.03,
    ('prices', 'survey'): 0.03,
    ('prices', 'render'): 0.32,
    ('quotes', 'survey'): 0.12,
    ('quotes', 'render'): 0.20,
    ('quotes', 'index'): 0.10,
    ('desk', 'archive'): 0.06,
}
DEFAULT_EFFECT = 0.01


def compute_effect(service, name, load):
    """Return the true effect of a job on the log of a service's latency."""
    effect = EFFECTS.get((service, name), DEFAULT_EFFECT)
    return effect * (0.4 + 1.2 * load * load)


def find_task(name):
    """Return the ``Task`` of workload ``name``; None if it is a watch."""
    return next((task for task in TASKS if task.name == name), None)


def list_services(instance_number):
    """Return the names of the services that an instance serves."""
    return SERVICE_SETS[instance_number % len(SERVICE_SETS)].split()


@dataclasses.dataclass(kw_only=True, slots=True)
class Scenario:
    """Load and faults of a simulation run.

    Attributes:
        name: Name used in the result keys.
        seconds: Simulated duration.
        arrival_factor: Multiplier of the usual job arrival rates.
        waves: Whether noisy tasks arrive in waves.
        shifted: Whether load shifts between services at half-time.
        misdeclared: Whether declared resources are wrong by a factor of 0.1
            to 10.
        rack_lost: Whether a rack fails at half-time.
        rolling: Whether the instances are restarted one after another.
    """

    name: str
    seconds: int = 360
    arrival_factor: float = 1.0
    waves: bool = False
    shifted: bool = False
    misdeclared: bool = False
    rack_lost: bool = False
    rolling: bool = False
