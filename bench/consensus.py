"""Measures commits, starts, recovery and failover of the replicated log.

Three replicas on loopback, each in a process of its own, on real files. Run
as a program it is one of the other two replicas.
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
COMMITS = 6_000
WINDOW = 64
JOBS = 18_000
GRANTS_PER_BATCH = 180
BATCHES_IN_FLIGHT = 4
CHANGES = 100_000
INSTANCES = 200
WORKLOADS = 1_000
FAILOVERS = 3


class Node:
    """A replica behind a server, which proposes what callers send."""

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
        """Take part in the quorum of ``voters``."""
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


class Quorum:
    """One replica in this process and two in others."""

    def __init__(self, *, folder):
        self._folder = folder
        self._client = client.Client()
        self.children = {}
        self.node = Node(name='a', folder=folder)
        self.addresses = {'a': self.node.server.address}
        for name in 'bc':
            self._spawn(name)

    def _spawn(self, name):
        child = subprocess.Popen(
            [sys.executable, '-m', 'bench.consensus', name, self._folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.children[name] = child
        self.addresses[name] = child.stdout.readline().strip()

    def start(self):
        """Start all replicas and wait for a leader."""
        for name in self.children:
            self._tell_voters(name)
        self.node.start(self.addresses)
        self.wait_leader()

    def _tell_voters(self, name):
        stdin = self.children[name].stdin
        stdin.write(json.dumps(self.addresses) + '\n')
        stdin.flush()

    def wait_leader(self, unlike=''):
        """Return the leader's name once it commits proposals."""
        probe = commands.encode(build_claim(f'probe-{time.monotonic_ns()}'))
        while True:
            status = self.node.replica.status()
            if status.leader and status.leader != unlike:
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

    def lead(self, name):
        """Make ``name`` the leader."""
        leader = self.wait_leader()
        while leader != name:
            if leader == 'a':
                self.node.replica.transfer_leadership(name)
            else:
                request = message.CallRequest(method='TRANSFER', path=name)
                self._call(leader, request)
            leader = self.wait_leader(unlike=leader)

    def kill(self, name):
        """Kill a replica's process."""
        child = self.children.pop(name)
        child.kill()
        child.wait()
        child.stdin.close()
        child.stdout.close()

    def stop(self):
        """Stop all replicas."""
        for name in list(self.children):
            self.kill(name)
        self.node.stop()


def build_claim(request_id):
    """Return a small command."""
    return claim_commands.ClaimRequest(
        request_id=request_id, workload='w', holder='entry', at=NOW
    )


def propose_all(target, batch, *, window):
    """Commit commands with ``window`` in flight; return their latencies."""
    slots = threading.Semaphore(window)
    latencies = []
    faults = []

    def note(future, began):
        latencies.append(time.perf_counter() - began)
        if future.exception() is not None:
            faults.append(future.exception())
        slots.release()

    for command in batch:
        data = commands.encode(command)
        slots.acquire()
        began = time.perf_counter()
        future = target.propose_future(data)
        future.add_done_callback(lambda f, began=began: note(f, began))
    for _ in range(window):
        slots.acquire()
    if faults:
        raise faults[0]
    return latencies


def measure_commits(target):
    """Return figures of small commits, many at a time."""
    batch = [build_claim(f'r{number}') for number in range(COMMITS)]
    began = time.perf_counter()
    latencies = propose_all(target, batch, window=WINDOW)
    elapsed = time.perf_counter() - began
    latencies.sort()
    return {
        'commit_per_second': round(COMMITS / elapsed),
        'commit_p99_ms': round(latencies[int(COMMITS * 0.99)] * 1000, 2),
        'commit_p50_ms': round(latencies[COMMITS // 2] * 1000, 2),
    }


def prepare_jobs(target):
    """Declare a workload, open sessions and submit the jobs."""
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
        for number in range(INSTANCES)
    ]
    propose_all(target, batch, window=WINDOW)
    submissions = [
        job_commands.SubmitJob(
            job_id=f'j{number}', workload='survey', payload=b'x' * 64, at=NOW
        )
        for number in range(JOBS)
    ]
    return timed(target, submissions, window=512)


def timed(target, batch, *, window):
    """Commit commands; return elapsed and processor seconds."""
    began, used = time.perf_counter(), time.process_time()
    propose_all(target, batch, window=window)
    return time.perf_counter() - began, time.process_time() - used


def build_grants():
    """Return the commands that grant all jobs, in batches."""
    grants = [
        job_commands.Grant(
            job_id=f'j{number}',
            instance=f'i{number % INSTANCES}',
            session=1,
            reason='most free slots among 5 candidates',
        )
        for number in range(JOBS)
    ]
    return [
        job_commands.GrantJobs(
            grants=grants[start : start + GRANTS_PER_BATCH], at=NOW
        )
        for start in range(0, JOBS, GRANTS_PER_BATCH)
    ]


def build_events(kind):
    """Return the commands that report all jobs, in batches."""
    events = [
        job_commands.JobEvent(job_id=f'j{number}', epoch=1, kind=kind)
        for number in range(JOBS)
    ]
    return [
        job_commands.RecordEvents(
            events=events[start : start + GRANTS_PER_BATCH], at=NOW
        )
        for start in range(0, JOBS, GRANTS_PER_BATCH)
    ]


def measure_starts(target):
    """Return figures of grants, and of whole jobs with all reports."""
    steps = [prepare_jobs(target)]
    grants = build_grants()
    steps.append(timed(target, grants, window=BATCHES_IN_FLIGHT))
    for kind in ('started', 'finished'):
        batch = build_events(kind)
        steps.append(timed(target, batch, window=BATCHES_IN_FLIGHT))
    elapsed, used = steps[1]
    whole_elapsed = sum(step[0] for step in steps)
    whole_used = sum(step[1] for step in steps)
    return {
        'starts_per_second': round(JOBS / elapsed),
        'leader_cpu_per_start_us': round(used / JOBS * 1e6, 1),
        'whole_jobs_per_second': round(JOBS / whole_elapsed),
        'leader_cpu_per_whole_job_us': round(whole_used / JOBS * 1e6, 1),
    }


def measure_failover(quorum):
    """Return the time from a leader's death to the next commit.

    The two replicas that are left elect one, so the killed one is replaced
    by the next measurement's quorum.
    """
    quorum.lead('b')
    began = time.perf_counter()
    quorum.kill('b')
    quorum.wait_leader(unlike='b')
    return (time.perf_counter() - began) * 1000


def build_change(number, name, *, kind=workload.Kind.SERVICE):
    """Return an operator's change."""
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
    """Return figures of a cold start and of snapshots."""
    node = Node(name='a', folder=folder)
    node.start({'a': node.server.address})
    wait_ready(node)
    batch = (
        build_change(number, f'w{number % WORKLOADS}')
        for number in range(CHANGES)
    )
    propose_all(node.replica, batch, window=4096)
    rows = len(node.machine.state.changes) + WORKLOADS
    began = time.perf_counter()
    size = len(node.machine.dump())
    dumped = time.perf_counter() - began
    files = pathlib.Path(folder).rglob('*')
    disk = sum(path.stat().st_size for path in files if path.is_file())
    node.stop()
    again = Node(name='a', folder=folder)
    began = time.perf_counter()
    again.start({})
    wait_ready(again)
    recovered = time.perf_counter() - began
    assert again.machine.state.revision == CHANGES
    again.stop()
    return {
        'recovery_seconds_per_100k': round(recovered, 3),
        'recovery_disk_mb': round(disk / 1e6, 1),
        'snapshot_bytes_per_1k_rows': round(size / rows * 1000),
        'snapshot_ms_per_1k_rows': round(dumped * 1000 / rows * 1000, 3),
    }


def wait_ready(node):
    """Wait until a quorum of one serves."""
    while not node.replica.status().lease_valid:
        time.sleep(0.001)


def measure():
    """Return the figures by key."""
    figures = {}
    failovers = []
    for number in range(FAILOVERS):
        with tempfile.TemporaryDirectory() as folder:
            quorum = Quorum(folder=folder)
            quorum.start()
            if number == 0:
                quorum.lead('a')
                figures.update(measure_commits(quorum.node.replica))
                figures.update(measure_starts(quorum.node.replica))
            failovers.append(measure_failover(quorum))
            quorum.stop()
    figures['failover_ms'] = round(sorted(failovers)[FAILOVERS // 2])
    figures['failover_worst_ms'] = round(max(failovers))
    with tempfile.TemporaryDirectory() as folder:
        figures.update(measure_recovery(folder))
    return figures


def serve(name, folder):
    """Be one replica until the process is killed."""
    node = Node(name=name, folder=folder)
    print(node.server.address, flush=True)
    node.start(json.loads(sys.stdin.readline()))
    sys.stdin.read()


if __name__ == '__main__':
    serve(*sys.argv[1:])
