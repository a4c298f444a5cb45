"""Routing policies under load and faults, simulated in virtual time."""

import functools
import multiprocessing
import statistics

import logbook

from bench import _cluster

POLICIES = ('two_choice', 'random', 'round_robin', 'least_reported')
SEEDS = (1, 2, 3, 4, 5)
WORKERS = 4
WARM_UP_MS = 1000.0
FAULT_AT_MS = 1500.0
LOAD_DURATION_MS = 6000.0
RESTORE_AT_MS = 4500.0
SETTLE_MS = 2000.0
STEADY_LOAD = 0.6
FAULTY_INSTANCE = 'pond-0'
FAILED_ZONE = 'kaohsiung'
ZONE_LOSS_FIGURES = ('failed_after', 'lost_elsewhere')


def _make_instance_fail(cluster):
    cluster.agents[FAULTY_INSTANCE].failing = True


def _slow_instance(cluster):
    cluster.agents[FAULTY_INSTANCE].slowdown = 10.0


def _fail_zone(cluster):
    cluster.fail_zone(FAILED_ZONE)
    cluster.call_later(
        RESTORE_AT_MS - FAULT_AT_MS,
        functools.partial(cluster.restore_zone, FAILED_ZONE),
    )


def _restart_entries(cluster):
    cluster.start_entries()


CASES = {
    'steady': (STEADY_LOAD, None, 0.0),
    'full': (1.0, None, 0.0),
    'overload': (1.5, None, 0.0),
    'black_hole': (STEADY_LOAD, _make_instance_fail, 0.0),
    'slow_instance': (STEADY_LOAD, _slow_instance, 0.0),
    'zone_lost': (0.4, _fail_zone, 0.0),
    'late_reports': (STEADY_LOAD, None, 2000.0),
    'entries_restarted': (STEADY_LOAD, _restart_entries, 0.0),
}


def run_case(job):
    """Return the results of a (case, policy, seed) tuple."""
    case, policy, seed = job
    load, fault, delay = CASES[case]
    with logbook.NullHandler().applicationbound():
        cluster = _cluster.Cluster(
            policy=policy, seed=seed, report_delay_ms=delay
        )
        rate = load * _cluster.CAPACITY_PER_SECOND
        # The first delayed report must arrive before the first request.
        start = delay + 1
        cluster.call_later(
            start, cluster.generate, rate, start + LOAD_DURATION_MS
        )
        if fault is not None:
            cluster.call_later(start + FAULT_AT_MS, fault, cluster)
        cluster.run(start + LOAD_DURATION_MS + 2 * _cluster.DEADLINE_MS)
    return _summarize(cluster, start)


def _summarize(cluster, start):
    # Requests open at an entry when its zone fails are left out: their
    # outcome does not depend on the policy.
    rows = [
        row
        for row in cluster.callers.values()
        if row['submitted_ms'] >= start + WARM_UP_MS
        and not row.get('entry_down')
    ]
    deadline_ms = _cluster.DEADLINE_MS
    succeeded = [
        row
        for row in rows
        if row.get('ok') and row['latency_ms'] <= deadline_ms
    ]
    latencies = [row['latency_ms'] for row in succeeded]
    latencies += [float(deadline_ms)] * (len(rows) - len(succeeded))
    latencies.sort()
    sent = sum(len(row['sent']) for row in rows)
    dispatched = sum(bool(row['sent']) for row in rows)
    figures = {
        'p50_ms': latencies[len(latencies) // 2],
        'p99_ms': latencies[int(0.99 * len(latencies))],
        'p999_ms': latencies[int(0.999 * len(latencies))],
        'in_deadline': len(succeeded) / len(rows),
        'goodput': len(succeeded) * 1000 / (LOAD_DURATION_MS - WARM_UP_MS),
        'retries_per_request': (sent - dispatched) / len(rows),
    }
    since = start + FAULT_AT_MS + SETTLE_MS
    late_dispatches = [name for at, name in cluster.dispatches if at >= since]
    figures['sick_share'] = late_dispatches.count(FAULTY_INSTANCE) / len(
        late_dispatches
    )
    failed_zone_instances = {
        n for n, a in cluster.agents.items() if a.zone == FAILED_ZONE
    }
    figures['failed_after'] = sum(
        not row.get('ok')
        for row in rows
        if row['submitted_ms'] > start + FAULT_AT_MS
    )
    figures['lost_elsewhere'] = sum(
        not row.get('ok')
        and not failed_zone_instances.intersection(row['sent'])
        for row in rows
    )
    return figures


def measure(cases=None, policies=POLICIES, seeds=SEEDS):
    """Return medians over the seeds, and the range of two of them."""
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
            if name in ZONE_LOSS_FIGURES and case != 'zone_lost':
                continue
            figures[f'{prefix}.{name}'] = round(statistics.median(values), 4)
            if name in ('p99_ms', 'in_deadline'):
                spread = max(values) - min(values)
                figures[f'{prefix}.{name}_spread'] = round(spread, 4)
    return figures
