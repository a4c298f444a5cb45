"""Value served under overload by the order in which waiting work gets room.

A fluid model: slots are given to tasks in the order under test, once every
``STEP_S``. It compares orders, and says nothing of a whole system.
"""

import dataclasses
import random
import statistics

from bilberryhaven.overload import precedence
from bilberryhaven.overload import shares

STEP_S = 0.25
SECONDS = 60
SLOTS = 90
SEEDS = range(12)
ZONES = ('a', 'b', 'c')


@dataclasses.dataclass(kw_only=True, slots=True)
class Kind:
    """A kind of work.

    Attributes:
        name: Its name.
        per_s: Arrivals a second.
        width: Mean number of tasks of a step.
        steps: Largest number of steps, one after the other.
        task_s: Run time of a task.
        priority: Its priority; 0 is the highest.
        latency_s: Time allowed for waiting.
        slack: Time allowed for running, as a multiple of the run time.
    """

    name: str
    per_s: float
    width: int
    steps: int
    task_s: float
    priority: int
    latency_s: float
    slack: float = 2.0


KINDS = (
    Kind(
        name='narrow',
        per_s=2.0,
        width=5,
        steps=2,
        task_s=1.0,
        priority=0,
        latency_s=0.25,
    ),
    Kind(
        name='wide',
        per_s=0.4,
        width=20,
        steps=3,
        task_s=4.0,
        priority=1,
        latency_s=1.0,
    ),
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Load:
    """A load by its deviations from the normal one.

    Attributes:
        surge: (first second, last second, factor) of the arrivals.
        zone: Zone whose callers surge; empty for all zones.
        room: Function of the time in seconds that returns the share of the
            slots that there are.
    """

    surge: tuple = (0, 0, 1.0)
    zone: str = ''
    room: object = lambda now: 1.0


def _swing(now):
    return 1.0 if now % 20 < 10 else 0.5


LOADS = {
    'normal': Load(),
    'surge': Load(surge=(10, 16, 2.6)),
    'zone_surge': Load(surge=(4, 24, 4.0), zone='a', room=lambda now: 1.5),
    'swing': Load(room=_swing),
    'withdrawn_zone': Load(
        surge=(10, 16, 2.6),
        room=lambda now: 2 / 3 if 12 <= now < 30 else 1.0,
    ),
    'outage': Load(room=lambda now: 0.0 if 10 <= now < 18 else 1.0),
}


class Job:
    """A piece of work in the model.

    Args:
        kind: Its ``Kind``.
        due_at: When it arrives, in seconds.
        rng: Source of its size.
    """

    def __init__(self, *, kind, due_at, rng):
        self.kind = kind
        self.due_at = due_at
        self.zone = rng.choice(ZONES)
        count = rng.randint(1, kind.steps)
        self.undone = [
            max(1, round(rng.expovariate(1 / kind.width)))
            for _ in range(count)
        ]
        self.size = sum(self.undone)
        self.allowed_s = kind.latency_s + kind.slack * count * kind.task_s
        mean = kind.width * (1 + kind.steps) / 2
        self.value = (0.3 * mean + 0.7 * self.size) * kind.task_s
        self.waiting = list(self.undone)
        self.done_at = None

    @property
    def step(self):
        """Number of the step whose turn it is; None if all are done."""
        return next((n for n, left in enumerate(self.undone) if left), None)

    def describe(self):
        """Return the ``Need``."""
        return precedence.Need(
            due_at=self.due_at,
            allowed_s=self.allowed_s,
            remaining_s=self.kind.task_s * sum(n > 0 for n in self.undone),
            work=self.kind.task_s * sum(self.undone),
            value=self.value,
            priority=self.kind.priority,
            begun=sum(self.waiting) < self.size,
        )

    def measure(self):
        """Return the share of its value that its caller got."""
        if self.done_at is None:
            return 0.0
        elapsed_s = self.done_at - self.due_at
        if elapsed_s <= self.allowed_s:
            return 1.0
        return 0.15 * (elapsed_s <= 3 * self.allowed_s)


def _sort_by(find_key):
    """Return an order by a key that depends on the work alone."""

    def list_keys(jobs, slots, now):
        return {id(job): (find_key(job),) for job in jobs}

    return list_keys


def _sort_by_value(jobs, slots, now):
    """Order by remaining work for the value, whatever else is waiting."""
    return {
        id(job): (job.kind.priority, precedence.find_rank(job.describe(), now))
        for job in jobs
    }


def _choose(jobs, slots, now):
    needs = {id(job): job.describe() for job in jobs}
    ranks = precedence.choose_ranks(needs, slots, now)
    return {
        key: precedence.build_sort_key(needs[key].priority, rank)
        for key, rank in ranks.items()
    }


# Functions of the unfinished work, the slots and the time that return sort
# keys by the id of the ``Job``.
ORDERS = {
    'first_come': _sort_by(lambda job: job.due_at),
    'shortest': _sort_by(lambda job: sum(job.undone) * job.kind.task_s),
    'deadline': _sort_by(lambda job: job.due_at + job.allowed_s),
    'strict_priority': _sort_by(lambda job: (job.kind.priority, job.due_at)),
    'value': _sort_by_value,
    'precedence': _choose,
}


def build_divided_order():
    """Return the order by shares of zones, without any credit yet."""
    ledger = shares.ShareLedger()

    def list_keys(jobs, slots, now):
        needs = {id(job): job.describe() for job in jobs}
        requests = {
            id(job): shares.Request(zone=job.zone, queue=job.kind.name)
            for job in jobs
        }
        ranks = shares.choose_ranks(
            needs, requests, shares.Room(cpu=slots), now, ledger
        )
        return {
            key: precedence.build_sort_key(needs[key].priority, rank)
            for key, rank in ranks.items()
        }

    return list_keys


def build_jobs(load, seed):
    """Return the ``Job`` rows of a load, by arrival."""
    rng = random.Random(seed)
    first, last, factor = load.surge
    jobs = []
    for kind in KINDS:
        now = 0.0
        while now < SECONDS / 2:
            surges = first <= now < last
            rate = kind.per_s * (factor if surges else 1.0)
            now += rng.expovariate(rate)
            job = Job(kind=kind, due_at=now, rng=rng)
            if surges and load.zone and rng.random() > 1 / factor:
                job.zone = load.zone
            jobs.append(job)
    return sorted(jobs, key=lambda job: job.due_at)


def serve(load, order, seed):
    """Play a load in one order and return its ``Job`` rows."""
    jobs = build_jobs(load, seed)
    running = []
    for tick in range(int(SECONDS / STEP_S)):
        now = tick * STEP_S
        for item in [item for item in running if item[0] <= now]:
            running.remove(item)
            _, job, step = item
            job.undone[step] -= 1
            if job.step is None:
                job.done_at = now
        slots = int(SLOTS * load.room(now))
        free = slots - len(running)
        present = [
            job for job in jobs if job.due_at <= now and job.step is not None
        ]
        keys = order(present, slots, now)
        for job in sorted(present, key=lambda job: keys[id(job)]):
            count = max(0, min(free, job.waiting[job.step]))
            free -= count
            job.waiting[job.step] -= count
            running += [(now + job.kind.task_s, job, job.step)] * count
    return jobs


def share(jobs):
    """Return the share of the jobs' value that their callers got."""
    owed = sum(job.value for job in jobs)
    return sum(job.value * job.measure() for job in jobs) / owed


def measure():
    """Return the mean shares by load and order, worst kind and zone."""
    figures = {}
    for name, load in LOADS.items():
        for order in (*ORDERS, 'shares'):
            played = [
                serve(load, ORDERS.get(order) or build_divided_order(), seed)
                for seed in SEEDS
            ]
            worst_kind = [
                min(
                    share([job for job in jobs if job.kind is kind])
                    for kind in KINDS
                )
                for jobs in played
            ]
            worst_zone = [
                min(
                    share([job for job in jobs if job.zone == zone])
                    for zone in ZONES
                )
                for jobs in played
            ]
            prefix = f'overload.{name}.{order}'
            figures[f'{prefix}.value'] = statistics.mean(map(share, played))
            figures[f'{prefix}.worst_kind'] = statistics.mean(worst_kind)
            figures[f'{prefix}.worst_zone'] = statistics.mean(worst_zone)
    return {key: round(value, 4) for key, value in figures.items()}
