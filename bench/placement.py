"""Service latency, batch throughput and evictions by placement policy.

Keys ``placement.<case>.<policy>.{p99_ratio,throughput,evictions}``:
``p99_ratio`` is the services' 99th percentile over the one that they have
with no batch work, ``throughput`` the seconds of batch work done a second.
"""

import logbook

from bench import _baselines
from bench import _colocation
from bilberryhaven import settings
from bilberryhaven import systems
from bilberryhaven.systems import memory as memories

__all__ = ['measure']

SEED = 7
CASES = (
    _colocation.Scenario(name='steady'),
    _colocation.Scenario(name='waves', waves=True),
    _colocation.Scenario(name='shifted', shifted=True),
    _colocation.Scenario(name='misdeclared', misdeclared=True),
    _colocation.Scenario(name='rack_lost', rack_lost=True),
    _colocation.Scenario(name='rolling', rolling=True),
)
OBJECTIVES = {
    'lianhe': settings.Objective(
        tail_latency=4.0, throughput=1.0, evictions=1.0
    ),
    'al_harthy': settings.Objective(
        tail_latency=1.0, throughput=1.0, evictions=4.0
    ),
}
MODELS = {
    '': None,
    '_no_estimator': _baselines.PriorInterference,
    '_told': _baselines.ToldInterference,
}
BASELINES = ('random', 'least_loaded', 'best_fit')
BASELINE_SYSTEMS = ('health', 'relocation', 'holding', 'placement')


def build_baseline(name):
    """Return the systems of a baseline, in running order."""
    memory = memories.Memory(policy=f'place_{name}')
    found = [
        systems.get_system_by_name(each)(memory=memory)
        for each in BASELINE_SYSTEMS
    ]
    found.append(_baselines.ReactiveSystem(memory=memory))
    return sorted(found, key=lambda system: system.order)


def build_learned(model):
    """Return the product's systems with the given interference model."""
    memory = memories.Memory(learned=model() if model else None)
    return systems.build_systems(memory=memory)


def compute_p99(values):
    """Return the 99th percentile."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * 0.99)]


def run_case(scenario, objective, running, *, seed=SEED):
    """Run one case and return its three figures and the fleet."""
    fleet = _colocation.Colocation(
        scenario=scenario, objective=objective, running=running, seed=seed
    )
    with logbook.NullHandler().applicationbound():
        fleet.run()
    ratio = compute_p99(fleet.latencies) / compute_p99(fleet.alone)
    figures = {
        'p99_ratio': round(ratio, 3),
        'throughput': round(fleet.work_done / scenario.seconds, 2),
        'evictions': fleet.evictions,
        'watch_repeats': fleet.watch_repeats,
    }
    return figures, fleet


def list_runs():
    """Yield (policy name, objective, builder) of each policy."""
    for name in BASELINES:
        yield (
            name,
            settings.Objective(),
            lambda name=name: build_baseline(name),
        )
    for user, objective in OBJECTIVES.items():
        for suffix, model in MODELS.items():
            yield (
                user + suffix,
                objective,
                lambda model=model: build_learned(model),
            )


def measure():
    """Return the figures of each case and policy."""
    found = {}
    for scenario in CASES:
        for name, objective, build in list_runs():
            figures, _ = run_case(scenario, objective, build())
            for key, value in figures.items():
                found[f'placement.{scenario.name}.{name}.{key}'] = value
    return found
