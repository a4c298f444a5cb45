"""Simulates a small fleet on which batch jobs slow down services.

The systems receive usage reports with a delay of 1 to 10 seconds. Every
eighth instance sends no usage reports.
"""

import dataclasses
import datetime
import heapq
import math
import random

from bench import _faults
from bench import _scenario
from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven import systems
from bilberryhaven import tables
from bilberryhaven.tables import instance
from bilberryhaven.tables import workload
from bilberryhaven.wire import message

__all__ = ['Colocation']

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
SLOTS = 8
CPU = 16.0
MEMORY_MB = 61440
SILENT_INSTANCE_INTERVAL = 8
REPORT_INTERVAL_S = 2
CHECKPOINT_INTERVAL_S = 30
REQUESTS_PER_SECOND = 6
LATENCY_SIGMA = 0.25


@dataclasses.dataclass(slots=True)
class _TaskProgress:
    task: object
    seconds: float
    done_s: float = 0.0
    saved_s: float = 0.0


class Colocation:
    """Runs one scenario with one set of systems.

    Args:
        scenario: The ``Scenario``.
        objective: The ``Objective``: weights of tail latency, throughput and
            evictions.
        active_systems: The systems, in the order in which they run.
        seed: Seed of arrivals, run times, latencies and report delays.
    """

    def __init__(self, *, scenario, objective, active_systems, seed):
        self._scenario = scenario
        self._objective = objective
        self._systems = active_systems
        self._random = random.Random(seed)
        self._noise = random.Random(seed + 1)
        self.state = tables.State()
        self.now = START
        self.second = 0
        self.latency_ratios = []
        self.baseline_ratios = []
        self.evictions = 0
        self.watch_repeats = 0
        self.work_done = 0.0
        self._progress = {}
        self._reports = []
        self._throttles = {}
        self._sequence = 0
        self._watch_evictions = {}
        self._faults = _faults.FaultInjector(fleet=self, scenario=scenario)
        self._set_up()

    def _apply(self, command):
        return commands.apply(self.state, command)

    def _set_up(self):
        for name in _scenario.BASE_MS:
            self._declare(name, workload.Kind.SERVICE, runs_on=f'{name}=yes')
        factors = random.Random(99)
        for task in _scenario.TASKS:
            factor = 1.0
            if self._scenario.misdeclared:
                factor = 10 ** factors.uniform(-1, 1)
            resources = workload.Resources(
                cpu=min(task.cpu * factor, CPU),
                memory_mb=min(int(task.memory_mb * factor), MEMORY_MB),
            )
            self._declare(
                task.name,
                workload.Kind.BATCH,
                resources=resources,
                run_seconds=task.seconds * factor,
            )
        for name in _scenario.WATCH_WORKLOADS:
            self._declare(name, workload.Kind.WATCH)
        for number in range(_scenario.INSTANCES):
            self.open_session(number)
        for name in _scenario.WATCH_WORKLOADS:
            for _ in range(_scenario.JOBS_PER_WATCH):
                self._submit_job(name)

    def _build_change_fields(self):
        self._sequence += 1
        return {
            'change_id': f'c{self._sequence}',
            'by': 'bench',
            'at': self.now,
        }

    def _declare(self, name, kind, **fields):
        spec = workload.Workload(name=name, kind=kind, **fields)
        self._apply(
            change.ApplyWorkload(
                kind='workload',
                name=name,
                spec=spec,
                **self._build_change_fields(),
            )
        )

    def open_session(self, number):
        """Open a session for instance ``number``."""
        served = _scenario.list_services(number)
        self._apply(
            session.OpenSession(
                name=f'i{number:02}',
                zone=f'z{number % 3}',
                rack=f'r{number // _scenario.INSTANCES_PER_RACK}',
                address='127.0.0.1:1',
                labels={name: 'yes' for name in served},
                capacity=instance.Capacity(
                    slots=SLOTS, cpu=CPU, memory_mb=MEMORY_MB
                ),
                at=self.now,
            )
        )

    def _submit_job(self, name):
        self._sequence += 1
        self._apply(
            job_commands.SubmitJob(
                job_id=f'{name}-{self._sequence}',
                workload=name,
                payload=b'',
                at=self.now,
            )
        )

    def run(self):
        """Run the whole scenario and return ``self``."""
        for second in range(self._scenario.seconds):
            self.second = second
            self.now += SECOND
            self._faults.run()
            self._submit_arrivals()
            self._advance_jobs()
            self._simulate_services()
            self._run_systems()
        return self

    def _submit_arrivals(self):
        for task in _scenario.TASKS:
            rate = task.arrivals_per_second * self._scenario.arrival_factor
            if self._scenario.waves and task.noisy:
                rate *= 2.2 if self.second % 120 < 45 else 0.3
            while rate > 0.0:
                if self._random.random() < rate:
                    self._submit_job(task.name)
                rate -= 1.0

    def _compute_load(self, number, service):
        phase = math.sin(self.second / 60.0 + number * 0.7)
        load = 0.5 + 0.15 * phase + 0.1 * (number % 3 - 1)
        if self._scenario.shifted:
            second_half = self.second > self._scenario.seconds / 2
            increased = (service == 'prices') == second_half
            load += 0.25 if increased else -0.25
        return min(max(load, 0.05), 0.95)

    def _simulate_services(self):
        for row in self.state.instances:
            if not row.connected:
                continue
            number = int(row.name[1:])
            job_rows = [
                job_row
                for job_row in self.state.jobs.select('instance', row.name)
                if job_row.state != 'granted'
            ]
            for service in _scenario.SERVICE_SETS[
                number % len(_scenario.SERVICE_SETS)
            ].split():
                self._simulate_requests(row.name, number, service, job_rows)
            if (
                number % SILENT_INSTANCE_INTERVAL
                and self.second % REPORT_INTERVAL_S == 0
            ):
                self._report_jobs(row.name, job_rows)

    def _simulate_requests(self, name, number, service, job_rows):
        load = self._compute_load(number, service)
        effect = sum(
            self._throttles.get(row.id, 1.0)
            * _scenario.compute_effect(service, row.workload, load)
            for row in job_rows
        )
        baseline_ms = _scenario.BASE_MS[service] / (1.0 - 0.5 * load)
        total = 0.0
        count = max(int(REQUESTS_PER_SECOND * load), 1)
        for _ in range(count):
            noise_factor = math.exp(self._noise.gauss(0.0, LATENCY_SIGMA))
            if self.second >= _scenario.WARM_UP_S:
                self.baseline_ratios.append(
                    baseline_ms * noise_factor / _scenario.BASE_MS[service]
                )
                self.latency_ratios.append(
                    baseline_ms
                    * noise_factor
                    * math.exp(effect)
                    / _scenario.BASE_MS[service]
                )
            total += baseline_ms * noise_factor * math.exp(effect)
        if (
            number % SILENT_INSTANCE_INTERVAL
            and self.second % REPORT_INTERVAL_S == 0
        ):
            usage = message.Usage(
                workload=service, latency_ms=total / count, load=load
            )
            self._queue_report(name, usage)

    def _queue_report(self, name, usage):
        delay = self._noise.uniform(1.0, 10.0)
        usage.age_ms = int(delay * 1000)
        self._sequence += 1
        item = (self.second + delay, self._sequence, name, usage)
        heapq.heappush(self._reports, item)

    def _report_jobs(self, name, job_rows):
        for row in job_rows:
            progress = self._progress.get(row.id)
            if progress is None or progress.task is None:
                continue
            noise = math.exp(self._noise.gauss(0.0, 0.1))
            self._queue_report(
                name,
                message.Usage(
                    workload=row.workload,
                    job_id=row.id,
                    cpu=progress.task.cpu * noise,
                    memory_mb=progress.task.memory_mb * noise,
                ),
            )

    def _advance_jobs(self):
        events = []
        for row in list(self.state.instances):
            if row.connected:
                events += self._advance_instance(row)
        if events:
            self._apply(job_commands.RecordEvents(events=events, at=self.now))

    def _advance_instance(self, target):
        events = []
        running = []
        for row in self.state.jobs.select('instance', target.name):
            if row.state == 'granted':
                self._start_job(row)
                events.append(self._build_event(row, 'started'))
            elif row.state == 'evicting':
                events.append(self._stop_job(row))
            elif row.state == 'running':
                running.append(row)
        return events + self._advance_running(target, running)

    def _start_job(self, row):
        progress = self._progress.get(row.id)
        if progress is None:
            task = next(
                (t for t in _scenario.TASKS if t.name == row.workload), None
            )
            seconds = math.inf
            if task is not None:
                spread = math.exp(self._random.gauss(0.0, 0.3))
                seconds = task.seconds * spread
            progress = _TaskProgress(task, seconds)
            self._progress[row.id] = progress
        progress.done_s = progress.saved_s

    def _stop_job(self, row):
        self._discard_progress(row)
        body = b'saved' if self._progress[row.id].saved_s else b''
        return self._build_event(row, 'stopped', body)

    def _discard_progress(self, row):
        progress = self._progress.get(row.id)
        if progress is not None and progress.task is not None:
            self.work_done -= progress.done_s - progress.saved_s
            progress.done_s = progress.saved_s

    def _advance_running(self, target, rows):
        tasks = [self._progress[row.id].task for row in rows]
        demand = sum(t.cpu for t in tasks if t is not None)
        speed = min(1.0, CPU / demand) if demand else 1.0
        memory = sum(t.memory_mb for t in tasks if t is not None)
        events = []
        for row, task in zip(rows, tasks, strict=True):
            if task is None:
                continue
            if memory > target.capacity.memory_mb:
                memory -= task.memory_mb
                self._discard_progress(row)
                events.append(self._build_event(row, 'failed'))
                continue
            events += self._advance_job(row, task, speed)
        return events

    def _advance_job(self, row, task, speed):
        progress = self._progress[row.id]
        step = speed * self._throttles.get(row.id, 1.0)
        progress.done_s += step
        self.work_done += step
        if progress.done_s >= progress.seconds:
            return [self._build_event(row, 'finished')]
        if (
            task.checkpoints
            and progress.done_s - progress.saved_s >= CHECKPOINT_INTERVAL_S
        ):
            progress.saved_s = progress.done_s
            return [self._build_event(row, 'checkpoint', b'saved')]
        return []

    def _build_event(self, row, kind, body=b''):
        return job_commands.JobEvent(
            job_id=row.id,
            epoch=row.epoch,
            kind=job_commands.EventKind(kind),
            body=body,
            reason='stand-in',
        )

    def _run_systems(self):
        usage = []
        while self._reports and self._reports[0][0] <= self.second:
            _, _, name, item = heapq.heappop(self._reports)
            usage.append((name, item))
        world = systems.World(
            state=self.state,
            now=self.now,
            loads={},
            usage=usage,
            objective=self._objective,
            service_reserve=2,
            throttles=self._throttles,
        )
        for system in self._systems:
            for command in system.run(world):
                result = self._apply(command)
                if isinstance(command, job_commands.EvictJobs):
                    self._count_evictions(result, command)

    def _count_evictions(self, job_ids, command):
        self.evictions += len(job_ids)
        reasons = {item.job_id: item.reason for item in command.evictions}
        for job_id in job_ids:
            if 'draining' in reasons[job_id]:
                continue
            row = self.state.jobs.get(job_id)
            if row.workload in _scenario.WATCH_WORKLOADS:
                if job_id in self._watch_evictions:
                    self.watch_repeats += 1
                self._watch_evictions[job_id] = self.now

    def close_session(self, number):
        """Close the session of instance ``number``.

        Work since the last checkpoint of its jobs is lost.
        """
        row = self.state.instances.get(f'i{number:02}')
        for job_row in self.state.jobs.select('instance', row.name):
            self._discard_progress(job_row)
        self._apply(
            session.CloseSession(
                name=row.name, epoch=row.epoch, at=self.now, reason='lost'
            )
        )

    def set_draining(self, number, *, draining):
        """Start or end draining of instance ``number``."""
        self._apply(
            change.DrainInstance(
                kind='instance',
                name=f'i{number:02}',
                draining=draining,
                **self._build_change_fields(),
            )
        )

    def is_empty(self, number):
        """Return whether no job is placed on instance ``number``."""
        return not self.state.jobs.count('instance', f'i{number:02}')
