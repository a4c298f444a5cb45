"""Random histories of tables, commands and systems against an oracle.

The oracle keeps what each agent really runs and checks the decisions by
plain scans, without any of the systems' indexes or caches.
"""

import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import logbook

from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven import selector
from bilberryhaven import settings
from bilberryhaven import systems
from bilberryhaven import tables
from bilberryhaven.tables import instance
from bilberryhaven.tables import job
from bilberryhaven.tables import workload
from bilberryhaven.wire import message

__all__ = ['PlacementMachine', 'run']

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
TICK = datetime.timedelta(milliseconds=100)
RESERVE = 1
INSTANCES = ('i0', 'i1', 'i2', 'i3')
SERVICE = 'desk'
BATCH = ('w0', 'w1', 'w2', 'w3')
TEAMS = ('a', 'b')
RUNS_ON = ('', 'pond=yes', 'pond!=yes', 'zone=z0', 'pond=never')
SHARES_WITH = ('', 'app=x', 'app!=x', 'kind=batch', 'kind!=service')
APPS = ('x', 'y')
SETTLE_ROUNDS = 1500

choose = strategies.sampled_from


class PlacementMachine(stateful.RuleBasedStateMachine):
    """Operators, agents and faults around one leader's systems."""

    def __init__(self):
        super().__init__()
        self.state = tables.State()
        self.replica = tables.State()
        self.now = START
        self.count = 0
        self.running = {}
        self.throttles = {}
        self.epochs = {}
        self.stopped = {}
        self.broken = set()
        self.sent = []
        self.steps = 0
        self.systems = systems.build_systems()
        for name in (SERVICE, *BATCH):
            self.declare(name, '', '', 'x', 1, 'a')
        for name in INSTANCES[:2]:
            self.open(name, 4, 'yes')

    def do(self, command):
        data = commands.encode(command)
        result = commands.apply(self.state, commands.decode(data))
        commands.apply(self.replica, commands.decode(data))
        return result

    def next_change(self):
        self.count += 1
        return {'change_id': f'c{self.count}', 'by': 'op', 'at': self.now}

    # What operators do.

    @stateful.rule(
        name=choose((SERVICE, *BATCH)),
        runs_on=choose(RUNS_ON),
        shares_with=choose(SHARES_WITH),
        app=choose(APPS),
        slots=strategies.integers(1, 3),
        team=choose(TEAMS),
    )
    def declare(self, name, runs_on, shares_with, app, slots, team):
        kind = workload.Kind.BATCH
        if name == SERVICE:
            kind = workload.Kind.SERVICE
        elif name == BATCH[-1]:
            kind = workload.Kind.WATCH
        labels = {'app': app}
        if name == BATCH[0]:
            labels['urgent'] = 'yes'
        spec = workload.Workload(
            name=name,
            kind=kind,
            team=team,
            labels=labels,
            runs_on=runs_on,
            shares_with=shares_with,
            resources=workload.Resources(slots=slots),
            repeatable=name != BATCH[2],
        )
        self.do(
            change.ApplyWorkload(
                kind='workload', name=name, spec=spec, **self.next_change()
            )
        )

    @stateful.rule(name=choose(INSTANCES), pond=choose(('yes', 'no')))
    def relabel(self, name, pond):
        self.do(
            change.ChangeLabels(
                kind='instance',
                name=name,
                labels={'pond': pond},
                **self.next_change(),
            )
        )

    @stateful.rule(name=choose(INSTANCES), draining=strategies.booleans())
    def drain(self, name, draining):
        self.do(
            change.DrainInstance(
                kind='instance',
                name=name,
                draining=draining,
                **self.next_change(),
            )
        )

    @stateful.rule(team=choose(TEAMS), quota=strategies.integers(0, 6))
    def set_quota(self, team, quota):
        self.do(
            change.ApplyTeam(
                kind='team', name=team, quota=quota, **self.next_change()
            )
        )

    @stateful.rule(name=choose(BATCH), jobs=strategies.integers(1, 6))
    def submit(self, name, jobs):
        for _ in range(jobs):
            self.count += 1
            self.do(
                job_commands.SubmitJob(
                    job_id=f'j{self.count}',
                    workload=name,
                    payload=b'',
                    at=self.now,
                )
            )

    @stateful.precondition(lambda self: len(self.state.jobs))
    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        job_id = data.draw(choose([row.id for row in self.state.jobs]))
        self.do(job_commands.CancelJobs(job_ids=[job_id], at=self.now))

    # What agents and faults do.

    @stateful.rule(
        name=choose(INSTANCES),
        slots=strategies.integers(2, 6),
        pond=choose(('yes', 'no')),
    )
    def open(self, name, slots, pond):
        self.do(
            session.OpenSession(
                name=name,
                zone=f'z{name[1:]}',
                rack='r',
                address='',
                labels={'pond': pond},
                capacity=instance.Capacity(slots=slots),
                at=self.now,
            )
        )

    @stateful.rule(name=choose(INSTANCES))
    def lose(self, name):
        row = self.state.instances.find(name)
        if row is not None and row.connected:
            lost = [key for key, at in self.running.items() if at == name]
            for job_id in lost:
                del self.running[job_id]
            self.do(
                session.CloseSession(name=name, epoch=row.epoch, at=self.now)
            )

    @stateful.rule(name=choose(INSTANCES))
    def leave(self, name):
        row = self.state.instances.find(name)
        if row is not None:
            self.do(session.LeaveSession(name=name, epoch=row.epoch))

    @stateful.rule(name=choose(INSTANCES), broken=strategies.booleans())
    def toggle_fault(self, name, broken):
        if broken:
            self.broken.add(name)
        else:
            self.broken.discard(name)

    @stateful.rule(name=choose(INSTANCES), finishes=strategies.booleans())
    def beat(self, name, finishes):
        """An agent starts, stops and finishes what it was told to."""
        for row in list(self.state.jobs.select('instance', name)):
            if row.state == job.JobState.GRANTED:
                self.start(row)
            elif row.state in (
                job.JobState.EVICTING,
                job.JobState.CANCELLING,
            ):
                self.stop(row)
            elif finishes and row.state == job.JobState.RUNNING:
                self.end(row, 'finished')

    def start(self, row):
        if row.instance in self.broken:
            self.report(row, 'failed')
            return
        assert row.id not in self.running, 'runs in two places'
        self.running[row.id] = row.instance
        self.check_room(row.instance)
        self.report(row, 'started')

    def stop(self, row):
        if row.id not in self.running:
            self.report(row, 'refused')
            return
        del self.running[row.id]
        if row.state == job.JobState.EVICTING:
            self.stopped[row.id] = self.stopped.get(row.id, 0) + 1
        self.report(row, 'stopped', b'saved')
        self.report(row, 'stopped', b'saved again')

    def end(self, row, kind):
        self.running.pop(row.id, None)
        self.report(row, kind)

    def report(self, row, kind, body=b''):
        event = job_commands.JobEvent(
            job_id=row.id,
            epoch=row.epoch,
            kind=job_commands.EventKind(kind),
            body=body,
        )
        self.sent.append(event)
        self.do(job_commands.RecordEvents(events=[event], at=self.now))

    def list_old_events(self):
        return [
            event
            for event in self.sent
            if self.state.jobs.get(event.job_id).epoch != event.epoch
            and self.state.jobs.get(event.job_id).state in job.ACTIVE_STATES
        ]

    @stateful.precondition(lambda self: self.list_old_events())
    @stateful.rule(data=strategies.data())
    def repeat_old_event(self, data):
        event = data.draw(choose(self.list_old_events()))
        before = self.state.dump()
        self.do(job_commands.RecordEvents(events=[event], at=self.now))
        assert self.state.dump() == before, 'an old event was not fenced'

    @stateful.rule(name=choose(INSTANCES))
    def refuse(self, name):
        for row in list(self.state.jobs.select('instance', name)):
            if row.state == job.JobState.GRANTED:
                self.report(row, 'refused')

    @stateful.precondition(lambda self: len(self.state.jobs))
    @stateful.rule(data=strategies.data())
    def hold_late(self, data):
        """A hold is committed after what it rests on has changed."""
        job_id = data.draw(choose([row.id for row in self.state.jobs]))
        self.do(job_commands.HoldJobs(reasons={job_id: 'late'}))

    @stateful.rule()
    def fail_over(self):
        self.systems = systems.build_systems()
        self.throttles.clear()

    @stateful.rule()
    def restore(self):
        self.state.load(self.state.dump())

    # What the leader does.

    @stateful.rule(latency=choose((0, 5, 50)))
    def tick(self, latency):
        self.run_systems(latency)
        for name in INSTANCES:
            self.beat(name, finishes=False)

    @stateful.rule(seconds=choose((1, 31, 700)))
    def wait(self, seconds):
        self.run_systems(step=datetime.timedelta(seconds=seconds))

    @stateful.invariant()
    def time_passes(self):
        """One tick and one agent's heartbeat after each step."""
        self.steps += 1
        self.run_systems()
        self.beat(INSTANCES[self.steps % len(INSTANCES)], finishes=False)

    def run_systems(self, latency=0, step=TICK):
        self.now += step
        usage = [
            (name, message.Usage(workload=SERVICE, latency_ms=latency))
            for name in INSTANCES
        ]
        world = systems.World(
            state=self.state,
            now=self.now,
            loads={},
            usage=usage,
            objective=settings.Objective(),
            service_reserve=RESERVE,
            throttles=self.throttles,
        )
        with logbook.NullHandler().applicationbound():
            batch = [
                command
                for system in self.systems
                for command in system.run(world)
            ]
        before = {row.id: row.epoch for row in self.state.jobs}
        for command in batch:
            self.do(command)
        self.check_decisions(before)

    # What must hold.

    def check_decisions(self, before):
        for row in self.state.jobs:
            if row.epoch != before[row.id]:
                assert row.epoch == before[row.id] + 1
                self.check_grant(row)
            elif row.state == job.JobState.RUNNING:
                assert self.matches(row), f'{row.id} runs against a selector'
        for name in INSTANCES:
            self.check_room(name)

    def check_grant(self, row):
        target = self.state.instances.get(row.instance)
        spec = self.state.workloads.get(row.workload)
        assert target.accepts_work()
        assert self.matches(row), f'{row.id} granted against a selector'
        quota = self.state.teams.find(spec.team)
        if quota is not None and quota.quota:
            assert self.count_held(spec.team) <= quota.quota
        serves = self.list_services(target)
        kept = RESERVE if serves else 0
        assert self.count_slots(row.instance) <= target.capacity.slots - kept

    def count_held(self, team):
        return sum(
            row.slots
            for row in self.state.jobs
            if row.state in job.ACTIVE_STATES
            and self.state.workloads.get(row.workload).team == team
        )

    def count_slots(self, name):
        rows = self.state.jobs.select('instance', name)
        return sum(row.slots for row in rows)

    def list_services(self, target):
        labels = target.merge_labels()
        row = self.state.workloads.get(SERVICE)
        if selector.parse_selector(row.runs_on).match(labels):
            return [row]
        return []

    def matches(self, row):
        target = self.state.instances.get(row.instance)
        spec = self.state.workloads.get(row.workload)
        if not selector.parse_selector(spec.runs_on).match(
            target.merge_labels()
        ):
            return False
        others = [
            self.state.workloads.get(other.workload)
            for other in self.state.jobs.select('instance', row.instance)
            if other.id != row.id
            and other.state in (job.JobState.GRANTED, job.JobState.RUNNING)
        ]
        return all(
            self.accepts(spec, other) and self.accepts(other, spec)
            for other in others + self.list_services(target)
        )

    def accepts(self, one, other):
        labels = other.merge_labels()
        return selector.parse_selector(one.shares_with).match(labels)

    def check_room(self, name):
        target = self.state.instances.find(name)
        used = sum(
            self.state.jobs.get(key).slots
            for key, at in self.running.items()
            if at == name
        )
        assert not used or used <= target.capacity.slots, 'over capacity'

    @stateful.invariant()
    def replicas_are_equal(self):
        assert self.state.dump() == self.replica.dump()

    @stateful.invariant()
    def evictions_are_counted_once(self):
        for job_id, count in self.stopped.items():
            assert self.state.jobs.get(job_id).evictions == count

    def is_possible(self, spec):
        for target in self.state.instances:
            serves = self.list_services(target)
            kept = RESERVE if serves else 0
            if spec.resources.slots > target.capacity.slots - kept:
                continue
            labels = target.merge_labels()
            if not selector.parse_selector(spec.runs_on).match(labels):
                continue
            if all(
                self.accepts(spec, other) and self.accepts(other, spec)
                for other in serves
            ):
                return True
        return False

    def teardown(self):
        """Heal everything; then all that can run must come to an end."""
        self.heal()
        for _ in range(SETTLE_ROUNDS):
            for name in INSTANCES:
                self.beat(name, finishes=True)
            if not self.list_open():
                break
            self.run_systems(step=datetime.timedelta(seconds=1))
        for row in self.list_open():
            raise AssertionError(f'starved: {row}')

    def heal(self):
        self.broken.clear()
        for team in TEAMS:
            self.set_quota(team, 0)
        for name in INSTANCES:
            if self.state.instances.find(name) is None:
                self.open(name, 4, 'yes')
            self.drain(name, False)
            self.lose(name)
            self.open(name, 4, 'yes')

    def list_open(self):
        found = []
        for row in self.state.jobs:
            if row.state in job.END_STATES or row.hold == job.Hold.FAILING:
                continue
            spec = self.state.workloads.get(row.workload)
            if row.state == job.JobState.HELD and not self.is_possible(spec):
                continue
            found.append(row)
        return found


def run(seed=None, *, examples=200, steps=50):
    """Fuzz with ``seed``, or with fixed choices by default."""
    options = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=seed is None,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = PlacementMachine
    if seed is not None:
        machine = hypothesis.seed(seed)(
            type('SeededMachine', (PlacementMachine,), {})
        )
    stateful.run_state_machine_as_test(machine, settings=options)
