"""Cost of a tick of all systems by fleet size."""

import dataclasses
import datetime
import io
import itertools
import random
import time
import tracemalloc

from bench import _slope
from bilberryhaven import commands
from bilberryhaven.commands import job as job_commands
from bilberryhaven import log
from bilberryhaven import settings
from bilberryhaven import systems
from bilberryhaven import tables
from bilberryhaven.tables import instance
from bilberryhaven.tables import job
from bilberryhaven.tables import workload
from bilberryhaven.wire import message

__all__ = ['measure_ticks']

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
TICK_INTERVAL = datetime.timedelta(milliseconds=100)
FLEET_SIZES = (850, 1700, 3400, 6800)
STARTS_PER_TICK = 180
JOBS_PER_INSTANCE = 16
SLOTS = 24
SERVICES = 30
SERVICES_PER_INSTANCE = 4
WORKLOADS = 200
TEAMS = 66
USAGE_REPORTS_PER_TICK = 400
WARM_UP_TICKS = 35
MEASURED_TICKS = 15
MEMORY_TASKS = 10_000


class _NullStream(io.TextIOBase):
    def write(self, text):
        return len(text)


@dataclasses.dataclass(kw_only=True, slots=True)
class SyntheticFleet:
    """Synthetic fleet in a steady state.

    Attributes:
        size: Number of instances.
        starts: Number of jobs that are submitted, started and finished in
            each tick.
    """

    size: int
    starts: int
    state: object = dataclasses.field(default_factory=tables.State)
    now: datetime.datetime = START
    ids: object = dataclasses.field(default_factory=itertools.count)
    random: object = dataclasses.field(
        default_factory=lambda: random.Random(3)
    )
    throttles: dict = dataclasses.field(default_factory=dict)

    def populate(self):
        """Put workloads, instances and running jobs into the tables."""
        for number in range(SERVICES):
            self._put_workload(
                f's{number}', workload.Kind.SERVICE, runs_on=f's{number}'
            )
        for number in range(WORKLOADS):
            runs_on = '' if number % 4 else f'zone=z{number % 19}'
            self._put_workload(
                f'b{number}', workload.Kind.BATCH, runs_on=runs_on
            )
        for number in range(self.size):
            self._put_instance(number)
        return self

    def _put_workload(self, name, kind, **fields):
        self.state.workloads.put(
            workload.Workload(
                name=name,
                kind=kind,
                team=f't{len(self.state.workloads) % TEAMS}',
                **fields,
            )
        )

    def _put_instance(self, number):
        first = number % SERVICES
        labels = {
            f's{(first + step * 7) % SERVICES}': 'yes'
            for step in range(SERVICES_PER_INSTANCE)
        }
        name = f'i{number}'
        self.state.instances.put(
            instance.Instance(
                name=name,
                zone=f'z{number % 19}',
                rack=f'r{number // 40}',
                announced=labels,
                capacity=instance.Capacity(
                    slots=SLOTS, cpu=64.0, memory_mb=250_000
                ),
                epoch=1,
                connected=True,
            )
        )
        for _ in range(JOBS_PER_INSTANCE):
            row = self._build_job()
            row.state = job.JobState.RUNNING
            row.instance = name
            row.epoch = row.session = 1
            row.granted_at = row.started_at = START
            self.state.jobs.put(row)

    def _build_job(self):
        number = next(self.ids)
        return job.Job(
            id=f'job-{number:08}',
            workload=f'b{number % WORKLOADS}',
            payload=b'payload',
            submitted_at=self.now,
        )

    def _submit(self):
        for _ in range(self.starts):
            self.state.jobs.put(self._build_job())

    def _finish(self):
        first = list(itertools.islice(self.state.jobs, self.starts * 2))
        for row in first[: self.starts]:
            self.state.jobs.remove(row.id)

    def _list_usage(self):
        reports = []
        for _ in range(USAGE_REPORTS_PER_TICK):
            number = self.random.randrange(self.size)
            service = f's{number % SERVICES}'
            latency = 10 * self.random.lognormvariate(0, 0.2)
            usage = message.Usage(
                workload=service,
                latency_ms=latency,
                load=self.random.random(),
                age_ms=2000,
            )
            reports.append((f'i{number}', usage))
        return reports

    def tick(self, active_systems):
        """Run one tick; return the CPU time of the systems in ms."""
        self.now += TICK_INTERVAL
        self._submit()
        self._finish()
        world = systems.World(
            state=self.state,
            now=self.now,
            loads={},
            usage=self._list_usage(),
            objective=settings.Objective(),
            throttles=self.throttles,
        )
        begin = time.process_time_ns()
        batch = []
        for system in active_systems:
            batch.extend(system.run(world))
        cpu_ms = (time.process_time_ns() - begin) / 1e6
        for command in batch:
            commands.apply(self.state, command)
            if isinstance(command, job_commands.GrantJobs):
                self._start(command)
        return cpu_ms

    def _start(self, command):
        for grant in command.grants:
            row = self.state.jobs.get(grant.job_id)
            row.started_at = self.now
            self.state.jobs.update(row.id, state=job.JobState.RUNNING)


def measure_tick_ms(size, starts):
    """Return the median CPU time of a tick in ms."""
    fleet = SyntheticFleet(size=size, starts=starts).populate()
    active_systems = systems.build_systems()
    cpu_ms = [
        fleet.tick(active_systems)
        for _ in range(WARM_UP_TICKS + MEASURED_TICKS)
    ]
    return sorted(cpu_ms[WARM_UP_TICKS:])[MEASURED_TICKS // 2]


def measure_bytes_per_task():
    """Return the memory of tables and indexes per running job in bytes."""
    fleet = SyntheticFleet(
        size=MEMORY_TASKS // JOBS_PER_INSTANCE, starts=0
    ).populate()
    active_systems = systems.build_systems()
    fleet.tick(active_systems)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(MEMORY_TASKS):
        row = fleet._build_job()
        row.state = job.JobState.RUNNING
        row.instance = f'i{next(fleet.ids) % fleet.size}'
        row.granted_at = row.started_at = START
        fleet.state.jobs.put(row)
    fleet.tick(active_systems)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / MEMORY_TASKS


def measure_ticks():
    """Return the cost of a tick by fleet size, with decision logging.

    Keys ``*_ref`` give CPU time in steps of the reference loop, so that load
    on the machine affects both alike.
    """
    step_ns = _slope.measure_reference_step_ns()
    handler = log.start_logging(stream=_NullStream())
    try:
        points = [
            (n, measure_tick_ms(n, STARTS_PER_TICK)) for n in FLEET_SIZES
        ]
        without_starts_ms = measure_tick_ms(FLEET_SIZES[-1], 0)
    finally:
        handler.pop_application()
    slope = _slope.fit_slope(points)
    largest_ms = points[-1][1]
    ms_per_start = (largest_ms - without_starts_ms) / STARTS_PER_TICK
    return {
        'placement.tick_ref': round(largest_ms * 1e6 / step_ns),
        'placement.decision_ref': round(ms_per_start * 1e6 / step_ns),
        'placement.tick_ms': round(largest_ms, 2),
        'placement.tick_ms_no_starts': round(without_starts_ms, 2),
        'placement.tick_ms_smallest': round(points[0][1], 2),
        'placement.tick_us_per_instance': round(slope.per_unit * 1000, 3),
        'placement.decision_us_per_start': round(ms_per_start * 1000, 1),
        'placement.bytes_per_task': round(measure_bytes_per_task()),
    }
