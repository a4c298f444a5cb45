"""Commits, job starts, recovery and failover of the replicated log.

Three replicas run in separate processes on the loopback interface and write
real files. ``python -m bench.consensus NAME DIRECTORY`` runs one of the two
replicas outside the benchmark process.
"""

import datetime
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

from bilberryhaven import clock
from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import claim as claim_commands
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven.consensus import replica
from bilberryhaven.consensus import transport
from bilberryhaven.control import machine
from bilberryhaven import errors
from bilberryhaven.tables import instance
from bilberryhaven.tables import workload
from bilberryhaven.wire import client
from bilberryhaven.wire import message
from bilberryhaven.wire import server

__all__ = ['measure']

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
TIMEOUT = clock.seconds(20)
COMMIT_COUNT = 6_000
COMMITS_IN_FLIGHT = 64
JOB_COUNT = 18_000
JOBS_PER_BATCH = 180
BATCHES_IN_FLIGHT = 4
CHANGE_COUNT = 100_000
INSTANCE_COUNT = 200
WORKLOAD_COUNT = 1_000
FAILOVER_COUNT = 3


class Node:
    """A replica and a server that proposes commands sent by peers."""

    def __init__(self, *, name, folder):
        self.name = name
        self._folder = folder
        self.server = server.Server(
            address='127.0.0.1:0',
            handlers={
                message.ConsensusBatch: self._handle,
                message.CallRequest: self._call,
            },
        )
        self.server.start()

    def start(self, voters):
        """Start the replica.

        Args:
            voters: Addresses of the voters by name.
        """
        self.machine = machine.TableStateMachine()
        self.replica = replica.Replica(
            name=self.name,
            address=self.server.address,
            voters=voters,
            folder=pathlib.Path(self._folder) / self.name,
            machine=self.machine,
            clock=clock.SystemClock(),
            transport=transport.WireTransport(client=client.Client()),
        )
        self.replica.start()

    def _handle(self, batch):
        replies = self.replica.handle(batch.messages, batch.sender)
        return message.ConsensusBatch(sender=self.name, messages=replies)

    def _call(self, request):
        if request.method == 'TRANSFER':
            self.replica.transfer_leadership(request.path)
        else:
            self.replica.propose(request.body, timeout=TIMEOUT)
        return message.CallReply(status=200)

    def stop(self):
        """Stop the replica and its server."""
        self.replica.stop()
        self.server.stop()


class ReplicaGroup:
    """Three replicas: one in this process, two in child processes."""

    def __init__(self, *, folder):
        self._folder = folder
        self._client = client.Client()
        self.processes = {}
        self.node = Node(name='a', folder=folder)
        self.addresses = {'a': self.node.server.address}
        for name in 'bc':
            self._spawn(name)

    def _spawn(self, name):
        process = subprocess.Popen(
            [sys.executable, '-m', 'bench.consensus', name, self._folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes[name] = process
        self.addresses[name] = process.stdout.readline().strip()

    def start(self):
        """Start all replicas and wait for a leader."""
        for name in self.processes:
            self._send_voters(name)
        self.node.start(self.addresses)
        self.wait_leader()

    def _send_voters(self, name):
        stdin = self.processes[name].stdin
        stdin.write(json.dumps(self.addresses) + '\n')
        stdin.flush()

    def wait_leader(self, exclude=''):
        """Wait for a leader that commits proposals; return its name.

        Args:
            exclude: Name of a replica that is not accepted as the leader.
        """
        probe = commands.encode(build_claim(f'probe-{time.monotonic_ns()}'))
        while True:
            status = self.node.replica.status()
            if status.leader and status.leader != exclude:
                try:
                    self._propose(status.leader, probe)
                    return status.leader
                except errors.BilberryhavenError:
                    pass
            time.sleep(0.005)

    def _propose(self, leader, data):
        if leader == 'a':
            self.node.replica.propose(data, timeout=TIMEOUT)
        else:
            request = message.CallRequest(method='', path='', body=data)
            self._call(leader, request)

    def _call(self, name, request):
        self._client.send(
            self.addresses[name], request, timeout=TIMEOUT, step='bench'
        )

    def transfer_leadership_to(self, name):
        """Transfer leadership to the replica ``name``."""
        leader = self.wait_leader()
        while leader != name:
            if leader == 'a':
                self.node.replica.transfer_leadership(name)
            else:
                request = message.CallRequest(method='TRANSFER', path=name)
                self._call(leader, request)
            leader = self.wait_leader(exclude=leader)

    def kill(self, name):
        """Kill a replica's process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()

    def stop(self):
        """Stop all replicas."""
        for name in list(self.processes):
            self.kill(name)
        self.node.stop()


def build_claim(request_id):
    """Return a small command."""
    return claim_commands.ClaimRequest(
        request_id=request_id, workload='w', holder='entry', at=NOW
    )


def propose_all(target, batch, *, max_in_flight):
    """Commit commands, at most ``max_in_flight`` at a time.

    Returns:
        The commit latencies in seconds.

    Raises:
        Exception: The first failure of a proposal.
    """
    in_flight = threading.Semaphore(max_in_flight)
    latencies = []
    failures = []

    def record_result(future, started_at):
        latencies.append(time.perf_counter() - started_at)
        if future.exception() is not None:
            failures.append(future.exception())
        in_flight.release()

    for command in batch:
        data = commands.encode(command)
        in_flight.acquire()
        started_at = time.perf_counter()
        future = target.propose_future(data)
        future.add_done_callback(
            lambda f, started_at=started_at: record_result(f, started_at)
        )
    for _ in range(max_in_flight):
        in_flight.acquire()
    if failures:
        raise failures[0]
    return latencies


def measure_commits(target):
    """Return throughput and latency of small concurrent commits."""
    batch = [build_claim(f'r{number}') for number in range(COMMIT_COUNT)]
    started_at = time.perf_counter()
    latencies = propose_all(target, batch, max_in_flight=COMMITS_IN_FLIGHT)
    elapsed = time.perf_counter() - started_at
    latencies.sort()
    return {
        'commit_per_second': round(COMMIT_COUNT / elapsed),
        'commit_p99_ms': round(latencies[int(COMMIT_COUNT * 0.99)] * 1000, 2),
        'commit_p50_ms': round(latencies[COMMIT_COUNT // 2] * 1000, 2),
    }


def submit_jobs(target):
    """Declare a workload, open sessions and submit the jobs.

    Returns:
        Elapsed and CPU seconds of the submissions.
    """
    batch = [build_change(0, 'survey', kind=workload.Kind.BATCH)]
    batch += [
        session.OpenSession(
            name=f'i{number}',
            zone='z',
            rack='r',
            address='127.0.0.1:1',
            labels={},
            capacity=instance.Capacity(),
            at=NOW,
        )
        for number in range(INSTANCE_COUNT)
    ]
    propose_all(target, batch, max_in_flight=COMMITS_IN_FLIGHT)
    submissions = [
        job_commands.SubmitJob(
            job_id=f'j{number}', workload='survey', payload=b'x' * 64, at=NOW
        )
        for number in range(JOB_COUNT)
    ]
    return time_batch(target, submissions, max_in_flight=512)


def time_batch(target, batch, *, max_in_flight):
    """Commit commands; return elapsed and CPU seconds."""
    started_at, cpu_seconds = time.perf_counter(), time.process_time()
    propose_all(target, batch, max_in_flight=max_in_flight)
    return time.perf_counter() - started_at, time.process_time() - cpu_seconds


def build_grants():
    """Return the commands that grant all jobs, in batches."""
    grants = [
        job_commands.Grant(
            job_id=f'j{number}',
            instance=f'i{number % INSTANCE_COUNT}',
            session=1,
            reason='most free slots among 5 candidates',
        )
        for number in range(JOB_COUNT)
    ]
    return [
        job_commands.GrantJobs(
            grants=grants[start : start + JOBS_PER_BATCH], at=NOW
        )
        for start in range(0, JOB_COUNT, JOBS_PER_BATCH)
    ]


def build_events(kind):
    """Return the commands that record an event of each job, in batches."""
    events = [
        job_commands.JobEvent(job_id=f'j{number}', epoch=1, kind=kind)
        for number in range(JOB_COUNT)
    ]
    return [
        job_commands.RecordEvents(
            events=events[start : start + JOBS_PER_BATCH], at=NOW
        )
        for start in range(0, JOB_COUNT, JOBS_PER_BATCH)
    ]


def measure_starts(target):
    """Return the cost of job starts and of whole job life cycles."""
    steps = [submit_jobs(target)]
    grants = build_grants()
    steps.append(time_batch(target, grants, max_in_flight=BATCHES_IN_FLIGHT))
    for kind in ('started', 'finished'):
        batch = build_events(kind)
        steps.append(
            time_batch(target, batch, max_in_flight=BATCHES_IN_FLIGHT)
        )
    elapsed, cpu_seconds = steps[1]
    total_elapsed = sum(step[0] for step in steps)
    total_cpu_seconds = sum(step[1] for step in steps)
    return {
        'starts_per_second': round(JOB_COUNT / elapsed),
        'leader_cpu_per_start_us': round(cpu_seconds / JOB_COUNT * 1e6, 1),
        'whole_jobs_per_second': round(JOB_COUNT / total_elapsed),
        'leader_cpu_per_whole_job_us': round(
            total_cpu_seconds / JOB_COUNT * 1e6, 1
        ),
    }


def measure_failover(group):
    """Return the time in ms from killing the leader to the next commit.

    The remaining two replicas elect a new leader. The killed replica is not
    restarted; each measurement uses a new group.
    """
    group.transfer_leadership_to('b')
    started_at = time.perf_counter()
    group.kill('b')
    group.wait_leader(exclude='b')
    return (time.perf_counter() - started_at) * 1000


def build_change(number, name, *, kind=workload.Kind.SERVICE):
    """Return a command that declares a workload for an operator."""
    spec = workload.Workload(
        name=name, kind=kind, labels={'n': str(number)}, runs_on='zone=a'
    )
    return change.ApplyWorkload(
        change_id=f'change-{number}',
        by='operator',
        at=NOW,
        kind='workload',
        name=name,
        spec=spec,
    )


def measure_recovery(folder):
    """Return the cost of recovery from disk and of snapshots."""
    node = Node(name='a', folder=folder)
    node.start({'a': node.server.address})
    wait_lease(node)
    batch = (
        build_change(number, f'w{number % WORKLOAD_COUNT}')
        for number in range(CHANGE_COUNT)
    )
    propose_all(node.replica, batch, max_in_flight=4096)
    rows = len(node.machine.state.changes) + WORKLOAD_COUNT
    started_at = time.perf_counter()
    size = len(node.machine.dump())
    dump_seconds = time.perf_counter() - started_at
    files = pathlib.Path(folder).rglob('*')
    disk_bytes = sum(path.stat().st_size for path in files if path.is_file())
    node.stop()
    restarted = Node(name='a', folder=folder)
    started_at = time.perf_counter()
    restarted.start({})
    wait_lease(restarted)
    recovery_seconds = time.perf_counter() - started_at
    assert restarted.machine.state.revision == CHANGE_COUNT
    restarted.stop()
    return {
        'recovery_seconds_per_100k': round(recovery_seconds, 3),
        'recovery_disk_mb': round(disk_bytes / 1e6, 1),
        'snapshot_bytes_per_1k_rows': round(size / rows * 1000),
        'snapshot_ms_per_1k_rows': round(dump_seconds * 1000 / rows * 1000, 3),
    }


def wait_lease(node):
    """Wait until a single-replica group holds a valid leader lease."""
    while not node.replica.status().lease_valid:
        time.sleep(0.001)


def measure():
    """Return the results by key."""
    figures = {}
    failovers = []
    for number in range(FAILOVER_COUNT):
        with tempfile.TemporaryDirectory() as folder:
            group = ReplicaGroup(folder=folder)
            group.start()
            if number == 0:
                group.transfer_leadership_to('a')
                figures.update(measure_commits(group.node.replica))
                figures.update(measure_starts(group.node.replica))
            failovers.append(measure_failover(group))
            group.stop()
    figures['failover_ms'] = round(sorted(failovers)[FAILOVER_COUNT // 2])
    figures['failover_worst_ms'] = round(max(failovers))
    with tempfile.TemporaryDirectory() as folder:
        figures.update(measure_recovery(folder))
    return figures


def run_replica(name, folder):
    """Run one replica until the process is killed."""
    node = Node(name=name, folder=folder)
    print(node.server.address, flush=True)
    node.start(json.loads(sys.stdin.readline()))
    sys.stdin.read()


if __name__ == '__main__':
    run_replica(*sys.argv[1:])
