"""Service latency, batch throughput and evictions by placement policy.

Keys ``placement.<case>.<policy>.{p99_ratio,throughput,evictions}``:
``p99_ratio`` is the 99th percentile of service latency divided by that
without batch work, ``throughput`` is the seconds of batch work completed per
second. Each is the mean over ``SEEDS``. Keys
``placement.attribution.<kind>.*`` compare methods to attribute late usage
reports. The other keys give the cost of a tick.
"""

import concurrent.futures

import logbook

from bench import _attribution
from bench import _baselines
from bench import _colocation
from bench import _scenario
from bench import _ticks
from bilberryhaven import settings
from bilberryhaven import systems
from bilberryhaven.systems import learning
from bilberryhaven.systems import memory as memories

__all__ = ['measure']

SEEDS = (7, 8, 9)
WORKER_PROCESSES = 4
LEARNER_CASES = (1, 2)
CASES = (
    _scenario.Scenario(name='steady'),
    _scenario.Scenario(name='waves', waves=True),
    _scenario.Scenario(name='shifted', shifted=True),
    _scenario.Scenario(name='misdeclared', misdeclared=True),
    _scenario.Scenario(name='rack_lost', rack_lost=True),
    _scenario.Scenario(name='rolling', rolling=True),
    _scenario.Scenario(name='crowded', arrival_factor=1.35),
)
OBJECTIVES = {
    'lianhe': settings.Objective(
        tail_latency=4.0, throughput=1.0, evictions=1.0
    ),
    'al_harthy': settings.Objective(
        tail_latency=1.0, throughput=1.0, evictions=4.0
    ),
}
INTERFERENCE_MODELS = {
    '': None,
    '_no_estimator': _baselines.PriorInterference,
    '_told': _baselines.OracleInterference,
}
BASELINES = ('random', 'least_loaded', 'best_fit')
BASELINE_SYSTEMS = ('health', 'relocation', 'holding', 'placement')


def build_baseline(name):
    """Return the systems of a baseline in the order in which they run."""
    memory = memories.Memory(policy=f'place_{name}')
    baseline_systems = [
        systems.get_system_by_name(system_name)(memory=memory)
        for system_name in BASELINE_SYSTEMS
    ]
    baseline_systems.append(_baselines.ReactiveSystem(memory=memory))
    return sorted(baseline_systems, key=lambda system: system.order)


def build_with_model(model):
    """Return the default systems with an interference model.

    Args:
        model: Class of the model, or None for the default.
    """
    memory = memories.Memory(interference_model=model() if model else None)
    return systems.build_systems(memory=memory)


def compute_p99(values):
    """Return the 99th percentile of ``values``."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.99)]


def run_case(scenario, objective, active_systems, *, seed):
    """Run one scenario and return its results by key."""
    fleet = _colocation.Colocation(
        scenario=scenario,
        objective=objective,
        active_systems=active_systems,
        seed=seed,
    )
    with logbook.NullHandler().applicationbound():
        fleet.run()
    ratio = compute_p99(fleet.latency_ratios) / compute_p99(
        fleet.baseline_ratios
    )
    return {
        'p99_ratio': ratio,
        'throughput': fleet.work_done / scenario.seconds,
        'evictions': fleet.evictions,
        'watch_repeats': fleet.watch_repeats,
    }


def list_policies():
    """Return (objective, function that builds the systems) by policy."""
    policies = {
        name: (settings.Objective(), lambda name=name: build_baseline(name))
        for name in BASELINES
    }
    for objective_name, objective in OBJECTIVES.items():
        for suffix, model in INTERFERENCE_MODELS.items():
            policies[objective_name + suffix] = (
                objective,
                lambda model=model: build_with_model(model),
            )
    return policies


def run_policy(job):
    """Run a case; ``job`` is a (case number, policy name, seed) tuple."""
    number, name, seed = job
    objective, build = list_policies()[name]
    return run_case(CASES[number], objective, build(), seed=seed)


def run_learner(job):
    """Run a case with an attribution method; add the estimation error.

    Args:
        job: Tuple of case number, name in ``LEARNERS`` and seed.
    """
    number, kind, seed = job
    memory = memories.Memory()
    active_systems = [
        system
        for system in systems.build_systems(memory=memory)
        if not isinstance(system, learning.LearningSystem)
    ]
    active_systems.insert(0, _attribution.LEARNERS[kind](memory=memory))
    figures = run_case(
        CASES[number], OBJECTIVES['lianhe'], active_systems, seed=seed
    )
    error = _attribution.compute_effect_error(memory.interference)
    return {
        'p99_ratio': figures['p99_ratio'],
        'effect_error': error,
        'late_reports': memory.late_reports,
    }


def compute_means(rows):
    """Return the mean of each key over ``rows``."""
    return {
        key: round(sum(row[key] for row in rows) / len(rows), 4)
        for key in rows[0]
    }


def measure():
    """Return the results of all cases and policies, and of a tick."""
    numbers = range(len(CASES))
    figures = _ticks.measure_ticks()
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        for name in list_policies():
            jobs = [(n, name, seed) for n in numbers for seed in SEEDS]
            rows = list(pool.map(run_policy, jobs))
            for number in numbers:
                first = number * len(SEEDS)
                means = compute_means(rows[first : first + len(SEEDS)])
                prefix = f'placement.{CASES[number].name}.{name}'
                figures |= {f'{prefix}.{k}': v for k, v in means.items()}
        for kind in _attribution.LEARNERS:
            jobs = [(n, kind, s) for n in LEARNER_CASES for s in SEEDS]
            means = compute_means(list(pool.map(run_learner, jobs)))
            prefix = f'placement.attribution.{kind}'
            figures |= {f'{prefix}.{k}': v for k, v in means.items()}
    return figures
