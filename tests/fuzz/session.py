"""Stateful fuzzing of the leader's leases, orders and reports.

Leaders, agents and backend servers each have their own drifting clock.
Messages are delayed, lost and repeated. The committed state is one copy, as
the log's own fuzzing shows that it may be; leaders change over it.
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
    """A heartbeat or its reply on its way."""

    due: int
    agent: str
    beat: message.Heartbeat
    sent_at: object
    boot: int
    reply: message.HeartbeatReply | None = None


class Backend:
    """An agent and its backend server, by the rules of the contract."""

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

    def stop_lapsed(self):
        if self.holds_lease():
            return
        for job_id, epoch in list(self.running.items()):
            self.report('stopped', job_id, epoch, b'half')
        self.running.clear()

    def restart(self):
        """Lose the agent's memory; the server goes on by its lease."""
        self.boot += 1
        self.opening += 1
        self.events = list(self.ended.values())
        self.first_event = 0
        self.seen = {*self.running.items(), *self.ended}
        for job_id, epoch in self.running.items():
            self.report('started', job_id, epoch)
        if not self.holds_lease():
            self.epoch = 0

    def build_beat(self):
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

    def take_reply(self, packet):
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
    """Faults in any order; the oracle watches true time."""

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
            made = leader.Leader(
                settings=settings.Settings(),
                clock=clock.ManualClock(rate=self.random.choice(RATES)),
                replica=replica,
                machine=target,
            )
            replica.leading = False
            self.leaders.append(made)
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
        """The other control instance leads, in a new term."""
        self.term += 1
        for index, made in enumerate(self.leaders):
            made.replica.leading = index == self.term % 2
            made.replica.term = self.term

    @stateful.rule(
        name=strategies.sampled_from(AGENTS),
        delay=strategies.integers(0, MAX_DELAY_STEPS),
        copies=strategies.sampled_from([0, 1, 1, 2, 3]),
    )
    def beat(self, name, delay, copies):
        """Send a heartbeat; it is lost, late or delivered twice."""
        self.send(name, delay, copies)

    def send(self, name, delay, copies=1):
        backend = self.backends[name]
        if not backend.up:
            return
        backend.stop_lapsed()
        for copy in range(copies):
            self.network.append(
                Packet(
                    due=self.step + delay * (copy + 1),
                    agent=name,
                    beat=backend.build_beat(),
                    sent_at=backend.clock.monotonic(),
                    boot=backend.boot,
                )
            )

    @stateful.rule(
        steps=strategies.integers(1, 12), beats=strategies.booleans()
    )
    def advance(self, steps, beats):
        """Let time pass, with or without heartbeats each second."""
        for _ in range(steps):
            self.step += 1
            for clocked in (*self.backends.values(), *self.leaders):
                clocked.clock.advance(STEP)
            if beats and self.step % 4 == 0:
                self.beat_all()
            self.deliver()
            for made in self.leaders:
                made.tick()
            self.check_places()

    def beat_all(self):
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
        """Cut one agent off for about a lease, beside the others."""
        self.backends[name].up = False
        self.advance(steps=steps, beats=True)
        self.backends[name].up = True

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def evict_all(self, name):
        """Evict what the tables hold on one instance."""
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
        due = [p for p in self.network if p.due <= self.step]
        self.network = [p for p in self.network if p.due > self.step]
        for packet in due:
            if packet.reply is None:
                self.serve(packet)
            elif self.backends[packet.agent].boot == packet.boot:
                backend = self.backends[packet.agent]
                backend.stop_lapsed()
                if backend.up:
                    backend.take_reply(packet)
            self.check_places()

    def serve(self, packet):
        beat = codec.decode(codec.encode(packet.beat))
        handler = heartbeat.HeartbeatHandler(leader=self.leading)
        try:
            packet.reply = handler.handle(beat)
        except errors.BilberryhavenError:
            return
        delay = 0 if self.healed else self.random.choice([0, 0, 1, 4, 16])
        packet.due = self.step + delay
        self.network.append(packet)

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def restart_agent(self, name):
        self.backends[name].restart()

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def cut_off(self, name):
        """The agent falls silent; its server goes on by its lease."""
        self.backends[name].up = not self.backends[name].up

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def finish(self, name):
        backend = self.backends[name]
        backend.stop_lapsed()
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

    def check_places(self):
        held = {}
        for backend in self.backends.values():
            backend.stop_lapsed()
            for job_id, epoch in backend.running.items():
                other = held.setdefault(job_id, backend.name)
                assert other == backend.name, f'{job_id} runs in two places'
                first = self.starts.setdefault((job_id, epoch), backend.name)
                assert first == backend.name, f'{job_id} resumed twice'
        for row in self.state.jobs:
            self.check_row(row)

    def check_row(self, row):
        ended = row.state in job.END_STATES
        was = self.finished.get(row.id)
        assert was is None or was == row.state, f'{row.id} ended twice'
        if ended:
            self.finished[row.id] = row.state
        runs = {epoch for name, epoch in self.starts if name == row.id}
        if row.workload == 'recipe' and not row.evictions:
            assert len(runs) <= 1, f'{row.id} ran more than once'

    def teardown(self):
        """With all reachable again, each job must come to run or end."""
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
    """Fuzz with one seed."""
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
