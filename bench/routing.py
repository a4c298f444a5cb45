"""Routing policies under load and faults, in virtual time."""

import functools
import multiprocessing
import statistics

import logbook

from bench import _cluster

POLICIES = ('two_choice', 'random', 'round_robin', 'least_reported')
SEEDS = (1, 2, 3, 4, 5)
WORKERS = 4
WARM_MS = 1000.0
FAULT_MS = 1500.0
END_MS = 6000.0
BACK_MS = 4500.0
SETTLE_MS = 2000.0
STEADY = 0.6
SICK = 'pond-0'
LOST_ZONE = 'kaohsiung'
ZONE_FIGURES = ('failed_after', 'lost_elsewhere')


def _fail_one(cluster):
    cluster.agents[SICK].failing = True


def _slow_one(cluster):
    cluster.agents[SICK].slow = 10.0


def _lose_zone(cluster):
    cluster.lose_zone(LOST_ZONE)
    cluster.call_later(
        BACK_MS - FAULT_MS, functools.partial(cluster.restore_zone, LOST_ZONE)
    )


def _restart_entries(cluster):
    cluster.start_entries()


CASES = {
    'steady': (STEADY, None, 0.0),
    'full': (1.0, None, 0.0),
    'overload': (1.5, None, 0.0),
    'black_hole': (STEADY, _fail_one, 0.0),
    'slow_instance': (STEADY, _slow_one, 0.0),
    'zone_lost': (0.4, _lose_zone, 0.0),
    'late_reports': (STEADY, None, 2000.0),
    'entries_restarted': (STEADY, _restart_entries, 0.0),
}


def run_case(job):
    """Return the figures of one (case, policy, seed)."""
    case, policy, seed = job
    load, fault, delay = CASES[case]
    with logbook.NullHandler().applicationbound():
        cluster = _cluster.Cluster(
            policy=policy, seed=seed, report_delay_ms=delay
        )
        rate = load * _cluster.CAPACITY
        # Late reports must have come once before the first request.
        start = delay + 1
        cluster.call_later(start, cluster.generate, rate, start + END_MS)
        if fault is not None:
            cluster.call_later(start + FAULT_MS, fault, cluster)
        cluster.run(start + END_MS + 2 * _cluster.DEADLINE_MS)
    return _summarize(cluster, start)


def _summarize(cluster, start):
    # Requests that a lost entry held are no policy's matter.
    rows = [
        row
        for row in cluster.callers.values()
        if row['at'] >= start + WARM_MS and not row.get('cut')
    ]
    limit = _cluster.DEADLINE_MS
    good = [row for row in rows if row.get('ok') and row['took'] <= limit]
    times = [row['took'] for row in good]
    times += [float(limit)] * (len(rows) - len(good))
    times.sort()
    sent = sum(len(row['sent']) for row in rows)
    first = sum(bool(row['sent']) for row in rows)
    figures = {
        'p50_ms': times[len(times) // 2],
        'p99_ms': times[int(0.99 * len(times))],
        'p999_ms': times[int(0.999 * len(times))],
        'in_deadline': len(good) / len(rows),
        'goodput': len(good) * 1000 / (END_MS - WARM_MS),
        'retries_per_request': (sent - first) / len(rows),
    }
    since = start + FAULT_MS + SETTLE_MS
    late = [name for at, name in cluster.dispatches if at >= since]
    figures['sick_share'] = late.count(SICK) / len(late)
    lost = {n for n, a in cluster.agents.items() if a.zone == LOST_ZONE}
    figures['failed_after'] = sum(
        not row.get('ok') for row in rows if row['at'] > start + FAULT_MS
    )
    figures['lost_elsewhere'] = sum(
        not row.get('ok') and not lost.intersection(row['sent'])
        for row in rows
    )
    return figures


def measure(cases=None, policies=POLICIES, seeds=SEEDS):
    """Return medians over the seeds, and the spread of two of them."""
    jobs = [
        (case, policy, seed)
        for case in cases or CASES
        for policy in policies
        for seed in seeds
    ]
    with multiprocessing.get_context('fork').Pool(WORKERS) as pool:
        results = pool.map(run_case, jobs, chunksize=1)
    figures = {}
    grouped = {}
    for (case, policy, _), result in zip(jobs, results, strict=True):
        grouped.setdefault((case, policy), []).append(result)
    for (case, policy), rows in grouped.items():
        prefix = f'routing.{case}.{policy}'
        for name in rows[0]:
            values = [row[name] for row in rows]
            if name == 'sick_share' and case != 'black_hole':
                continue
            if name in ZONE_FIGURES and case != 'zone_lost':
                continue
            figures[f'{prefix}.{name}'] = round(statistics.median(values), 4)
            if name in ('p99_ms', 'in_deadline'):
                spread = max(values) - min(values)
                figures[f'{prefix}.{name}_spread'] = round(spread, 4)
    return figures
