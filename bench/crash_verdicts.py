"""Simulates verdicts on tasks; see docs/design/crash-verdicts.md.

Times are in seconds. A planned rule is (window W, outage span V, evidence
limit E, crash limit H); None is the rule in force.
"""

import argparse
import bisect
import heapq
import itertools
import math
import random

NOTICE = (0.034, 0.153)  # from a crash until it is noticed
LISTED = (0.0, 0.1)  # from an order until the first listing
LETHAL = (0.011, 0.044)  # from a deadly task's start until the crash
DURATION = (1.3, 5.0)  # of a run
ANSWER = 0.005  # from a start until its answer
HOLD = 0.15  # from a crash until a planned rule judges it
IDLE = 0.1  # share of the servers that have started nothing lately
WARM_UP, HORIZON = -8.0, 30.0
MAX_CRASHES = 50  # by one deadly task, where no rule ends it
SIZES, WIDTHS, DEADLY = (11, 56, 160), (5, 8, 20, 39), (1, 3, 7)
KINDS = [('none',), ('flap',), *(('poisson', 1 / t) for t in (60, 20, 10))]
KINDS += [('wave', s, p) for s in (0.2, 0.3, 0.5) for p in (2.5, 6.0)]
PARTS = (0.1, 0.25, 0.5), (0.0, 0.05, 0.15, 0.5, 1.0, 2.0), (2, 3), (3, 4, 5)


class Fleet:
    """The crashes of each server: rows of (crash, noticed, up again)."""

    def __init__(self, kind, size, rng, wait):
        self.rng, self.wait, self.flaps = rng, wait, kind[0] == 'flap'
        self.rows = [[] for _ in range(size)]
        at = WARM_UP + rng.uniform(0, 2.8)
        while kind[0] == 'wave' and at < HORIZON:
            up = [r for r in self.rows if not r or r[-1][2] <= at]
            for rows in rng.sample(up, min(len(up), round(kind[1] * size))):
                rows.append((at, at + rng.uniform(*NOTICE), at + 2.0))
            at += kind[2] * rng.uniform(0.8, 1.2)
        for rows in self.rows[: {'flap': 1, 'poisson': size}.get(kind[0], 0)]:
            at = WARM_UP + rng.uniform(0, 2.8)
            while at < HORIZON:
                at += 1.4 if self.flaps else rng.expovariate(kind[1])
                back = at + (1.4 if self.flaps else 3.0)
                rows.append((at, at + rng.uniform(*NOTICE), back))
                at = back
        crashes = [(i, *r) for i, rows in enumerate(self.rows) for r in rows]
        self.crashes = sorted(row[1] for row in crashes)
        # Crashes of servers that had started nothing of other workflows.
        self.idle = [r[:3] for r in crashes if rng.random() < IDLE]

    def find(self, server, at):
        """Return the crash that the server is down from, or its next one."""
        rows = self.rows[server]
        i = bisect.bisect(rows, at, key=lambda row: row[2])
        return rows[i] if i < len(rows) else (math.inf,) * 3

    def draw_wait(self):
        """Draw the time from the notice of a crash until the next start."""
        waits = (
            self.rng.uniform(0.02, 0.08),
            self.rng.expovariate(1 / self.wait),
        )
        return self.rng.choice(waits)

    def run_task(self, server):
        """Return a sound task's crashes: (server, crash, noticed, start)."""
        hits, at, duration = [], 0.0, self.rng.uniform(*DURATION)
        while at < HORIZON and self.find(server, at)[0] < at + duration:
            hits.append((server, *self.find(server, at)[:2], at))
            at = hits[-1][2] + self.draw_wait()
            server = 0 if self.flaps else self.rng.randrange(len(self.rows))
            while self.find(server, at)[1] <= at:  # Known to be down.
                server, at = self.rng.randrange(len(self.rows)), at + 0.01
        return hits


def is_excused(idle, noticed, until):
    """Return whether the detector in force sees an outage in time."""
    ends = [t for t in (noticed, *idle) if noticed <= t <= until]
    return any(sum(e - 2 <= t <= e for t in idle) >= 3 for e in ends)


def is_outage(crashes, own, crash, span, least):
    """Return whether crashes beyond the workflow's own surround one."""
    low, high = crash - span, crash + min(span, HOLD)
    near = bisect.bisect(crashes, high) - bisect.bisect_left(crashes, low)
    return near - sum(low <= hit[1] <= high for hit in own) >= least


def judge(fleet, tasks, rule, least):
    """Return whether a rule gives a sound workflow up."""
    if not rule:
        listed = (fleet.rng.uniform(*LISTED) for _ in itertools.count())
        tasks = [
            [h for h in t if h[2] - h[3] - next(listed) < 0.5] for t in tasks
        ]
        own = {h[:2] for t in tasks for h in t}
        idle = [c[2] for c in fleet.idle if c[:2] not in own]
        pairs = (p for t in tasks for p in itertools.combinations(t, 2))
        return any(
            not is_excused(idle, a[2], min(b[2], a[2] + 2))
            and not is_excused(idle, b[2], b[2])
            for a, b in pairs
        )
    own = {h[:2] for t in tasks for h in t if 0 < h[1] - h[3] < rule[0]}
    for hits in tasks if len(own) > 1 else ():
        certain = total = 0
        for _, crash, _, start in hits:
            if crash - start >= rule[0]:
                certain = total = 0
            elif crash - start > ANSWER:
                total += 1
                certain += not is_outage(
                    fleet.crashes, own, crash, rule[1], least
                )
                if certain >= rule[2] or total >= rule[3]:
                    return True
    return False


def simulate_sound(fleet, width, rules, least):
    """Return by rule whether a sound workflow is given up."""
    size = len(fleet.rows)
    up = [i for i in range(size) if fleet.find(i, 0.0)[0] > 0.0]
    up = fleet.rng.sample(up, len(up)) or list(range(size))
    up.sort(key=lambda i: fleet.flaps and i > 0)
    tasks = [fleet.run_task(up[i % len(up)]) for i in range(width)]
    likely = any(len(hits) > 1 for hits in tasks)
    return [[int(likely and judge(fleet, tasks, r, least))] for r in rules]


def simulate_deadly(fleet, count, rules, least):
    """Return by rule how many servers each of the deadly tasks crashed."""
    result = []
    for rule in rules:
        crashes, idle = fleet.crashes[:], [row[2] for row in fleet.idle]
        own, certain = [[] for _ in range(count)], [0] * count
        queue = sorted((fleet.rng.random(), i, 0) for i in range(count))
        while queue:
            at, i, crash = heapq.heappop(queue)
            if not crash:
                crash = at + fleet.rng.uniform(*LETHAL)
                noticed = crash + fleet.rng.uniform(*NOTICE)
                bisect.insort(crashes, crash)
                own[i].append((i, crash))
                judged = max(noticed, crash + HOLD) if rule else noticed
                heapq.heappush(queue, (judged, i, crash))
                continue
            certain[i] += not (
                is_outage(crashes, own[i], crash, rule[1], least)
                if rule
                else is_excused(idle, at, at)
            )
            evidence, most = rule[2:] if rule else (2, MAX_CRASHES)
            if certain[i] < evidence and len(own[i]) < most:
                heapq.heappush(queue, (at + fleet.draw_wait(), i, 0))
        result.append([len(hits) for hits in own])
    return result


def expect_sound(rate, width, rule):
    """Return the closed form where no crash is taken for an outage."""
    duration = sum(DURATION) / 2
    ends = [math.exp(-rate * (t - ANSWER)) for t in (rule[0], duration)]
    hit, late = 1 - ends[0], ends[0] - ends[1]
    again = late * sum(hit**j for j in range(rule[2]))
    return 1 - (1 - hit ** rule[2] / (1 - again)) ** width


def main():
    """Print mean and worst by rule, kind of crashes, size and width."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('task', choices=('sound', 'deadly'))
    parser.add_argument('--rules', nargs='*', help='W/V/E/H or in-force')
    parser.add_argument('--kinds', nargs='*', default=['n', 'f', 'p', 'w'])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--trials', type=int, default=300)
    parser.add_argument('--least', type=int, default=1)
    # Mean wait for a server, in half of the restarts.
    parser.add_argument('--wait', type=float, default=0.5)
    args = parser.parse_args()
    rules = [None, *itertools.product(*PARTS)]
    if args.rules:
        parts = (r.split('/') for r in args.rules)
        rules = [
            (float(p[0]), float(p[1]), int(p[2]), int(p[3])) if p[1:] else None
            for p in parts
        ]
    sound = args.task == 'sound'
    simulate = simulate_sound if sound else simulate_deadly
    kinds = [k for k in KINDS if k[0][0] in args.kinds]
    for case in itertools.product(kinds, SIZES, WIDTHS if sound else DEADLY):
        kind, size, count = case
        rng = random.Random(f'{args.seed} {case}')
        found = [[] for _ in rules]
        for _ in range(args.trials):
            fleet = Fleet(kind, size, rng, args.wait)
            results = simulate(fleet, count, rules, args.least)
            for values, more in zip(found, results, strict=True):
                values += more
        for rule, values in zip(rules, found, strict=True):
            mean = sum(values) / len(values)
            print(*kind, size, count, rule, f'{mean:.5f}', max(values), end='')
            if sound and kind[0] == 'poisson' and rule and not rule[1]:
                print(
                    f' closed {expect_sound(kind[1], count, rule):.5f}', end=''
                )
            print()


if __name__ == '__main__':
    main()
