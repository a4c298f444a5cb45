"""Stateful fuzzing of the leader's leases, orders and reports.

Leaders, agents and backend servers each have a clock with its own drift.
Messages are delayed, lost and repeated. All leaders share one copy of the
committed state, since the fuzzing of the log tests its replication.
"""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bilberryhaven import clock
from bilberryhaven.commands import change
from bilberryhaven.commands import job as job_commands
from bilberryhaven.control import heartbeat
from bilberryhaven.control import leader
from bilberryhaven.control import machine
from bilberryhaven import errors
from bilberryhaven import settings
from bilberryhaven.tables import job
from bilberryhaven.tables import workload
from bilberryhaven.wire import codec
from bilberryhaven.wire import message
from tests import test_control

EXAMPLES = 200
STEPS = 50
FUZZ_EXAMPLES = 2000
RATES = (1.0, 0.99, 1.01, 0.985, 1.015)
STEP = clock.seconds(0.25)
MAX_DELAY_STEPS = 24
AGENTS = ('a', 'b', 'c')
JOBS = 6
END_STEPS = 120


@dataclasses.dataclass(kw_only=True)
class Packet:
    """A heartbeat or its reply in transit."""

    deliver_at: int
    agent: str
    beat: message.Heartbeat
    sent_at: object
    boot: int
    reply: message.HeartbeatReply | None = None


class Backend:
    """An agent and its backend server that follow their protocol."""

    def __init__(self, name, rate):
        self.name = name
        self.clock = clock.ManualClock(rate=rate)
        self.running = {}
        self.lease_until = self.clock.monotonic()
        self.epoch = 0
        self.boot = 0
        self.opening = 0
        self.up = True
        self.events = []
        self.first_event = 0
        self.seen = set()
        self.ended = {}

    def holds_lease(self):
        return self.clock.monotonic() < self.lease_until

    def stop_after_lease(self):
        if self.holds_lease():
            return
        for job_id, epoch in list(self.running.items()):
            self.report('stopped', job_id, epoch, b'half')
        self.running.clear()

    def restart(self):
        """Restart the agent; its server keeps working within the lease."""
        self.boot += 1
        self.opening += 1
        self.events = list(self.ended.values())
        self.first_event = 0
        self.seen = {*self.running.items(), *self.ended}
        for job_id, epoch in self.running.items():
            self.report('started', job_id, epoch)
        if not self.holds_lease():
            self.epoch = 0

    def build_heartbeat(self):
        return message.Heartbeat(
            instance=self.name,
            epoch=self.epoch,
            announcement=message.Announcement(
                name=self.name,
                zone='z',
                rack='r',
                address='127.0.0.1:1',
                capacity=message.Capacity(cpu=16, memory_mb=4096),
                opening=f'{self.name}-{self.opening}',
            ),
            first_event=self.first_event,
            events=list(self.events),
            running=[
                message.RunningJob(job_id=job_id, epoch=epoch)
                for job_id, epoch in self.running.items()
            ],
        )

    def report(self, kind, job_id, epoch, body=b''):
        event = message.JobEvent(
            job_id=job_id, epoch=epoch, kind=kind, body=body
        )
        self.events.append(event)
        if kind != 'started':
            self.ended[job_id, epoch] = event

    def handle_reply(self, packet):
        reply = packet.reply
        if reply.code == 'fenced':
            if packet.beat.epoch == self.epoch:
                self.epoch = 0
                self.opening += 1
                self.running.clear()
                self.ended.clear()
                self.events = []
                self.first_event = 0
            return
        if reply.code or reply.epoch < self.epoch:
            return
        if reply.epoch > self.epoch:
            self.epoch = reply.epoch
            self.opening += 1
            self.running.clear()
            self.seen.clear()
            self.ended.clear()
        until = packet.sent_at + clock.seconds(reply.lease_ms / 1000)
        self.lease_until = max(self.lease_until, until)
        acked = max(0, reply.acked_events - self.first_event)
        del self.events[:acked]
        self.first_event += acked
        for order in reply.stops:
            key = (order.job_id, order.epoch)
            if self.running.get(order.job_id) == order.epoch:
                del self.running[order.job_id]
                self.report('stopped', *key, b'half')
            elif key not in self.seen:
                self.seen.add(key)
                self.report('refused', *key)
        if self.holds_lease():
            self.start(reply.starts)

    def start(self, orders):
        for order in orders:
            key = (order.job_id, order.epoch)
            if key in self.seen:
                continue
            self.seen.add(key)
            self.running[order.job_id] = order.epoch
            self.report('started', *key)


class SessionMachine(stateful.RuleBasedStateMachine):
    """Faults in any order, checked against an oracle with exact time."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.random = random.Random(seed)
        self.step = 0
        self.network = []
        self.healed = False
        self.finished = {}
        self.starts = {}
        self.backends = {
            name: Backend(name, self.random.choice(RATES)) for name in AGENTS
        }
        self.leaders = []
        target = machine.TableStateMachine()
        self.state = target.state
        for _ in range(2):
            replica = test_control.FakeReplica(target)
            member = leader.Leader(
                settings=settings.Settings(),
                clock=clock.ManualClock(rate=self.random.choice(RATES)),
                replica=replica,
                machine=target,
            )
            replica.leading = False
            self.leaders.append(member)
        self.term = 0
        self.fail_over()
        for name, repeatable in (('silt', True), ('recipe', False)):
            self.declare(name, repeatable)
        for number in range(JOBS):
            self.submit(number)

    @property
    def leading(self):
        return next(m for m in self.leaders if m.replica.leading)

    def declare(self, name, repeatable):
        spec = workload.Workload(
            name=name, kind=workload.Kind.BATCH, repeatable=repeatable
        )
        self.leading.propose(
            change.ApplyWorkload(
                change_id=name,
                by='op',
                at=self.leading.clock.wall(),
                kind='workload',
                name=name,
                spec=spec,
            )
        )

    def submit(self, number):
        name = 'recipe' if number % 3 == 0 else 'silt'
        self.leading.propose(
            job_commands.SubmitJob(
                job_id=f'{name}-{number}',
                workload=name,
                payload=b'',
                at=self.leading.clock.wall(),
            )
        )

    @stateful.rule()
    def fail_over(self):
        """Make the other control instance the leader of a new term."""
        self.term += 1
        for index, member in enumerate(self.leaders):
            member.replica.leading = index == self.term % 2
            member.replica.term = self.term

    @stateful.rule(
        name=strategies.sampled_from(AGENTS),
        delay=strategies.integers(0, MAX_DELAY_STEPS),
        copies=strategies.sampled_from([0, 1, 1, 2, 3]),
    )
    def beat(self, name, delay, copies):
        """Send a heartbeat that is lost, delayed or repeated."""
        self.send(name, delay, copies)

    def send(self, name, delay, copies=1):
        backend = self.backends[name]
        if not backend.up:
            return
        backend.stop_after_lease()
        for copy in range(copies):
            self.network.append(
                Packet(
                    deliver_at=self.step + delay * (copy + 1),
                    agent=name,
                    beat=backend.build_heartbeat(),
                    sent_at=backend.clock.monotonic(),
                    boot=backend.boot,
                )
            )

    @stateful.rule(
        steps=strategies.integers(1, 12), beats=strategies.booleans()
    )
    def advance(self, steps, beats):
        """Advance the time, with or without heartbeats each second."""
        for _ in range(steps):
            self.step += 1
            for participant in (*self.backends.values(), *self.leaders):
                participant.clock.advance(STEP)
            if beats and self.step % 4 == 0:
                self.send_heartbeats()
            self.deliver()
            for member in self.leaders:
                member.tick()
            self.check_running_jobs()

    def send_heartbeats(self):
        for name in AGENTS:
            delay, copies = 0, 1
            if not self.healed:
                delay = self.random.choice([0, 0, 0, 1, 6])
                copies = self.random.choice([1, 1, 1, 2])
            self.send(name, delay, copies)

    @stateful.rule(
        name=strategies.sampled_from(AGENTS), steps=strategies.integers(12, 24)
    )
    def isolate(self, name, steps):
        """Isolate one agent for about a lease while the others report."""
        self.backends[name].up = False
        self.advance(steps=steps, beats=True)
        self.backends[name].up = True

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def evict_all(self, name):
        """Evict all jobs that the tables hold on one instance."""
        evictions = [
            job_commands.Eviction(job_id=row.id, epoch=row.epoch)
            for row in self.state.jobs.select('instance', name)
        ]
        self.leading.propose(
            job_commands.EvictJobs(
                evictions=evictions, at=self.leading.clock.wall()
            )
        )

    def deliver(self):
        arrived = [p for p in self.network if p.deliver_at <= self.step]
        self.network = [p for p in self.network if p.deliver_at > self.step]
        for packet in arrived:
            if packet.reply is None:
                self.serve(packet)
            elif self.backends[packet.agent].boot == packet.boot:
                backend = self.backends[packet.agent]
                backend.stop_after_lease()
                if backend.up:
                    backend.handle_reply(packet)
            self.check_running_jobs()

    def serve(self, packet):
        beat = codec.decode(codec.encode(packet.beat))
        handler = heartbeat.HeartbeatHandler(leader=self.leading)
        try:
            packet.reply = handler.handle(beat)
        except errors.BilberryhavenError:
            return
        delay = 0 if self.healed else self.random.choice([0, 0, 1, 4, 16])
        packet.deliver_at = self.step + delay
        self.network.append(packet)

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def restart_agent(self, name):
        self.backends[name].restart()

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def cut_off(self, name):
        """Toggle the link of an agent; its server works within the lease."""
        self.backends[name].up = not self.backends[name].up

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def finish(self, name):
        backend = self.backends[name]
        backend.stop_after_lease()
        for job_id, epoch in list(backend.running.items())[:1]:
            del backend.running[job_id]
            backend.report('finished', job_id, epoch, b'done')

    @stateful.rule(number=strategies.integers(0, JOBS - 1))
    def evict(self, number):
        rows = list(self.state.jobs)
        row = rows[number]
        eviction = job_commands.Eviction(job_id=row.id, epoch=row.epoch)
        self.leading.propose(
            job_commands.EvictJobs(
                evictions=[eviction], at=self.leading.clock.wall()
            )
        )

    def check_running_jobs(self):
        held = {}
        for backend in self.backends.values():
            backend.stop_after_lease()
            for job_id, epoch in backend.running.items():
                other = held.setdefault(job_id, backend.name)
                assert other == backend.name, f'{job_id} runs in two places'
                first = self.starts.setdefault((job_id, epoch), backend.name)
                assert first == backend.name, f'{job_id} resumed twice'
        for row in self.state.jobs:
            self.check_row(row)

    def check_row(self, row):
        ended = row.state in job.END_STATES
        previous = self.finished.get(row.id)
        assert previous is None or previous == row.state, (
            f'{row.id} ended twice'
        )
        if ended:
            self.finished[row.id] = row.state
        runs = {epoch for name, epoch in self.starts if name == row.id}
        if row.workload == 'recipe' and not row.evictions:
            assert len(runs) <= 1, f'{row.id} ran more than once'

    def teardown(self):
        """Check that each job runs or ends once all agents are reachable."""
        if not hasattr(self, 'backends'):
            return
        for backend in self.backends.values():
            backend.up = True
        self.healed = True
        self.advance(steps=END_STEPS, beats=True)
        for row in self.state.jobs:
            settled = row.state in job.END_STATES
            running = row.state == job.JobState.RUNNING
            assert settled or running, f'{row.id} is stuck: {row}'


def run(seed, *, examples=FUZZ_EXAMPLES, steps=STEPS):
    """Run the fuzzing.

    Args:
        seed: Seed of a random run, or None for the deterministic run of CI.
        examples: Number of examples.
        steps: Maximum number of steps per example.
    """
    phases = [hypothesis.Phase.generate]
    if seed is not None:
        phases.append(hypothesis.Phase.shrink)
    options = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        phases=phases,
        report_multiple_bugs=False,
        database=None,
        deadline=None,
        derandomize=seed is None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    case = SessionMachine
    if seed is not None:
        case = hypothesis.seed(seed)(SessionMachine)
    stateful.run_state_machine_as_test(case, settings=options)
