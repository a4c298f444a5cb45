"""CPU time and memory of real processes by number of agents.

Keys ``fleet.<role>.{cpu_percent_per_agent,cpu_percent_base,rss_mb_per_agent,
rss_mb_base,spread,anon_mb}``. CPU time is in percent of one core while the
agents send a heartbeat each second and there is no other work.
"""

import time

from bench import _slope
from bench import _watch
from bench import soak
from tests import processes

__all__ = ['measure']

AGENT_COUNTS = (2, 6, 12, 20)
MEASURE_SECONDS = 8.0
SETTLE_SECONDS = 3.0
ENTRY_COUNT = 1


def _measure_roles(agents):
    """Return (CPU percent, RSS MiB, anonymous MiB) by role."""
    fleet = processes.Fleet(controls=3, entries=ENTRY_COUNT, agents=agents)
    try:
        soak.wait_connected(fleet)
        soak.declare_workloads(fleet)
        time.sleep(SETTLE_SECONDS)
        leader = fleet.find_leader()
        followers = [n for n in fleet.list_names('control') if n != leader]
        names = {
            'leader': leader,
            'follower': followers[0],
            'entry': 'entry-1',
            'agent': 'agent-1',
        }
        before = {r: _read_stats(fleet, n) for r, n in names.items()}
        start = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        elapsed = time.monotonic() - start
        after = {r: _read_stats(fleet, n) for r, n in names.items()}
    finally:
        fleet.close()
    return {
        role: (
            100
            * (after[role].cpu_seconds - before[role].cpu_seconds)
            / elapsed,
            after[role].rss_mb,
            after[role].anon_mb,
        )
        for role in names
    }


def _read_stats(fleet, name):
    return _watch.read_process(fleet.processes[name].pid)


def measure():
    """Return the results by key."""
    measurements = [(size, _measure_roles(size)) for size in AGENT_COUNTS]
    figures = {}
    for role in measurements[0][1]:
        cpu = _slope.fit_slope(
            [(n, stats[role][0]) for n, stats in measurements]
        )
        rss = _slope.fit_slope(
            [(n, stats[role][1]) for n, stats in measurements]
        )
        key = f'fleet.{role}'
        figures[f'{key}.cpu_percent_per_agent'] = round(cpu.per_unit, 4)
        figures[f'{key}.cpu_percent_base'] = round(cpu.base, 3)
        figures[f'{key}.spread'] = round(cpu.spread, 3)
        figures[f'{key}.rss_mb_per_agent'] = round(rss.per_unit, 4)
        figures[f'{key}.rss_mb_base'] = round(rss.base, 2)
        figures[f'{key}.anon_mb'] = round(measurements[-1][1][role][2], 2)
    return figures
