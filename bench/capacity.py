"""Memory, bytes and CPU time of the leader at several sizes.

Keys ``capacity.<quantity>.{slope,base,spread}``. CPU times are in
microseconds; ``slope_ref`` is the slope in steps of the reference loop.
"""

import datetime
import threading
import tracemalloc

from bench import _slope
from bilberryhaven import clock
from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven.control import heartbeat
from bilberryhaven.control import leader
from bilberryhaven.control import machine
from bilberryhaven.control import sync
from bilberryhaven import log
from bilberryhaven import settings
from bilberryhaven import tables
from bilberryhaven.tables import instance
from bilberryhaven.tables import workload
from bilberryhaven.wire import codec
from bilberryhaven.wire import message

__all__ = ['measure']

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
FLEET_SIZES = (400, 800, 1600, 3200)
JOBS_PER_INSTANCE = 20
HEARTBEATS_PER_BATCH = 100
TASK_COUNTS = (4_000, 8_000, 16_000)
VIEW_COUNTS = (100, 400, 1600)
RUNNING_COUNTS = (0, 8, 16, 32)
NODE_COUNTS = (500, 1000, 2000, 4000)


class _CompletedFuture:
    def __init__(self, value):
        self._value = value

    def result(self, timeout=None):
        return self._value


class ImmediateReplica:
    """Commits at once in memory, to measure the cost of the leader alone."""

    def __init__(self, *, target):
        self.machine_lock = threading.RLock()
        self.term = 1
        self._machine = target
        self.log_bytes = 0

    def check_read(self):
        """Accept every read: this replica is always the leader."""

    def status(self):
        """Return ``self``; callers only read ``term``."""
        return self

    def propose_future(self, data):
        """Apply ``data`` at once; return a completed future."""
        self.log_bytes += len(data)
        return _CompletedFuture(self._machine.apply(0, data))

    def propose(self, data, *, timeout, term=0):
        """Apply ``data`` at once; return the result."""
        return self.propose_future(data).result()


def _build_leader():
    target = machine.TableStateMachine(
        on_applied=lambda command: built_leader.record_applied(command)
    )
    built_leader = leader.Leader(
        settings=settings.Settings(),
        clock=clock.ManualClock(),
        replica=ImmediateReplica(target=target),
        machine=target,
    )
    return built_leader


def _declare(control, name='survey'):
    spec = workload.Workload(name=name, kind=workload.Kind.BATCH)
    control.propose(
        change.ApplyWorkload(
            change_id=f'c-{name}',
            by='bench',
            at=NOW,
            kind='workload',
            name=name,
            spec=spec,
        )
    )


def _build_heartbeat(name, epoch, running):
    return message.Heartbeat(
        instance=name,
        epoch=epoch,
        revision=1,
        load=message.Load(slots=8, slots_used=running, batch_slots=running),
        announcement=message.Announcement(
            name=name, zone='pingtung', rack='r1', address='127.0.0.1:7100'
        )
        if epoch == 0
        else message.Announcement(),
        running=[
            message.RunningJob(job_id=f'{name}-{i}', epoch=1)
            for i in range(running)
        ],
    )


def _fill_fleet(control, count, jobs):
    """Open ``count`` sessions and start ``jobs`` jobs on each instance."""
    for index in range(count):
        name = f'i{index}'
        control.propose(
            session.OpenSession(
                name=name,
                zone='pingtung',
                rack='r',
                address='127.0.0.1:7100',
                labels={},
                capacity=instance.Capacity(),
                at=NOW,
            )
        )
        _start_jobs(control, name, jobs)


def _start_jobs(control, name, jobs):
    ids = [f'{name}-{i}' for i in range(jobs)]
    for job_id in ids:
        control.propose(
            job_commands.SubmitJob(
                job_id=job_id, workload='survey', payload=b'{}', at=NOW
            )
        )
    grants = [
        job_commands.Grant(job_id=job_id, instance=name, session=1)
        for job_id in ids
    ]
    control.propose(job_commands.GrantJobs(grants=grants, at=NOW))
    events = [
        job_commands.JobEvent(job_id=job_id, epoch=1, kind='started')
        for job_id in ids
    ]
    control.propose(job_commands.RecordEvents(events=events, at=NOW))


def _build_heartbeat_batches(handler, count):
    for first in range(0, count, HEARTBEATS_PER_BATCH):
        heartbeats = [
            _build_heartbeat(f'i{index}', 1, JOBS_PER_INSTANCE)
            for index in range(first, min(first + HEARTBEATS_PER_BATCH, count))
        ]
        data = codec.encode(
            message.HeartbeatBatch(entry='e', heartbeats=heartbeats)
        )
        yield data, handler


def _measure_heartbeats():
    """Return the leader's CPU time for a heartbeat from each instance."""
    points = []
    for count in FLEET_SIZES:
        control = _build_leader()
        _declare(control)
        _fill_fleet(control, count, JOBS_PER_INSTANCE)
        handler = heartbeat.HeartbeatHandler(leader=control)
        batches = [
            data for data, _ in _build_heartbeat_batches(handler, count)
        ]

        def run(batches=batches, handler=handler):
            for data in batches:
                codec.encode(handler.handle_batch(codec.decode(data)))

        points.append((count, _slope.measure_cpu_us(run)))
    return points


def _measure_heartbeat_bytes():
    request_sizes, reply_sizes = [], []
    for running in RUNNING_COUNTS:
        heartbeat_request = _build_heartbeat('instance-0001', 1, running)
        request_sizes.append((running, len(codec.encode(heartbeat_request))))
        stops = [
            message.StopOrder(job_id=f'job-{i:08}', epoch=1)
            for i in range(running)
        ]
        reply = message.HeartbeatReply(
            instance='instance-0001', epoch=1, stops=stops
        )
        reply_sizes.append((running, len(codec.encode(reply))))
    return request_sizes, reply_sizes


def _measure_sync():
    control = _build_leader()
    _declare(control)
    _fill_fleet(control, max(VIEW_COUNTS), 2)
    handler = sync.SyncHandler(leader=control)
    feed_position = handler.handle(message.SyncRequest(entry='e'))
    cpu, size = [], []
    for count in VIEW_COUNTS:
        before = handler.handle(
            message.SyncRequest(
                entry='e', feed=feed_position.feed, cursor=feed_position.cursor
            )
        )
        for index in range(count):
            control.feed.record_change('instance', f'i{index}')
        request = message.SyncRequest(
            entry='e', feed=before.feed, cursor=before.cursor
        )
        size.append((count, len(codec.encode(handler.handle(request)))))

        def run(request=request):
            codec.encode(handler.handle(request))

        cpu.append((count, _slope.measure_cpu_us(run)))
        feed_position = handler.handle(request)
    return cpu, size


def _measure_state():
    memory, snapshots, dump_cpu, log_bytes, apply_cpu = [], [], [], [], []
    for count in TASK_COUNTS:
        tracemalloc.start()
        control = _build_leader()
        _declare(control)
        before = tracemalloc.get_traced_memory()[0]
        _fill_fleet(control, count // JOBS_PER_INSTANCE, JOBS_PER_INSTANCE)
        memory.append((count, tracemalloc.get_traced_memory()[0] - before))
        tracemalloc.stop()
        state = control.state
        snapshots.append((count, len(state.dump())))
        dump_cpu.append((count, _slope.measure_cpu_us(state.dump)))
        log_bytes.append((count, control.replica.log_bytes))
        apply_cpu.append(
            (count, _slope.measure_cpu_us(lambda n=count: _build_fleet(n)))
        )
    return memory, snapshots, dump_cpu, log_bytes, apply_cpu


def _build_fleet(count):
    control = _build_leader()
    _declare(control)
    _fill_fleet(control, count // JOBS_PER_INSTANCE, JOBS_PER_INSTANCE)


def _measure_changes():
    """Return CPU time and log bytes of label changes by operators."""
    cpu, size = [], []
    for count in (500, 1000, 2000):
        state = tables.State()
        spec = workload.Workload(name='w')
        first = change.ApplyWorkload(
            change_id='c',
            by='bench',
            at=NOW,
            kind='workload',
            name='w',
            spec=spec,
        )
        commands.apply(state, first)
        batch = [
            commands.encode(
                change.ChangeLabels(
                    change_id=f'change-{i:08}',
                    by='operator',
                    at=NOW,
                    kind='workload',
                    name='w',
                    labels={'season': str(i)},
                )
            )
            for i in range(count)
        ]

        def run(batch=batch, state=state):
            for data in batch:
                commands.apply(state, commands.decode(data))

        cpu.append((count, _slope.measure_cpu_us(run, repeats=1)))
        size.append((count, sum(map(len, batch))))
    return cpu, size


def _measure_nodes():
    points = []
    for count in NODE_COUNTS:
        control = _build_leader()
        for index in range(count):
            control.leases.renew(
                f'n{index}', role='agent', zone='z', revision=1, granted=1
            )
        points.append((count, _slope.measure_cpu_us(control.list_nodes)))
    return points


def _add_slope(figures, name, points, reference_ns=None):
    slope = _slope.fit_slope(points)
    figures[f'capacity.{name}.slope'] = round(slope.per_unit, 4)
    figures[f'capacity.{name}.base'] = round(slope.base, 2)
    figures[f'capacity.{name}.spread'] = round(slope.spread, 4)
    if reference_ns:
        steps = slope.per_unit * 1000 / reference_ns
        figures[f'capacity.{name}.slope_ref'] = round(steps, 1)


def measure():
    """Return the results by key."""
    figures = {}
    reference = _slope.measure_reference_step_ns()
    figures['capacity.reference_step_ns'] = round(reference, 2)
    handler = log.start_logging(level='error')
    try:
        _measure_all(figures, reference)
    finally:
        handler.pop_application()
    return figures


def _measure_all(figures, reference):
    _add_slope(figures, 'heartbeat_cpu_us', _measure_heartbeats(), reference)
    request_sizes, reply_sizes = _measure_heartbeat_bytes()
    _add_slope(figures, 'heartbeat_bytes_per_job', request_sizes)
    _add_slope(figures, 'heartbeat_reply_bytes_per_order', reply_sizes)
    cpu, size = _measure_sync()
    _add_slope(figures, 'sync_cpu_us_per_view', cpu, reference)
    _add_slope(figures, 'sync_bytes_per_view', size)
    memory, snapshots, dump_cpu, log_bytes, apply_cpu = _measure_state()
    _add_slope(figures, 'state_memory_bytes_per_job', memory)
    _add_slope(figures, 'snapshot_bytes_per_job', snapshots)
    _add_slope(figures, 'snapshot_cpu_us_per_job', dump_cpu, reference)
    _add_slope(figures, 'log_bytes_per_job', log_bytes)
    _add_slope(figures, 'job_cpu_us', apply_cpu, reference)
    cpu, size = _measure_changes()
    _add_slope(figures, 'change_cpu_us', cpu, reference)
    _add_slope(figures, 'change_log_bytes', size)
    _add_slope(figures, 'node_list_cpu_us', _measure_nodes(), reference)
