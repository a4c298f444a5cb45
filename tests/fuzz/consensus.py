"""Stateful fuzzing of replicas against an oracle."""

import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bilberryhaven import clock
from bilberryhaven.commands import change
from bilberryhaven.commands import claim as claim_commands
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven.consensus import memory
from bilberryhaven import errors
from bilberryhaven.tables import instance
from bilberryhaven.tables import workload
from tests.fuzz import cluster

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
TARGETS = ('pump', 'silt')
CLOCK_RATES = (1.0, 0.97, 1.03, 1.02, 0.98)
EXAMPLES = 300
STEPS = 50
FUZZ_EXAMPLES = 2000
MAX_NODES = 5
JOBS = ('j1', 'j2')
ACTIONS = ('start', 'start', ('stopped', 0), ('stopped', 1), ('finished', 0))
PICK = strategies.integers(min_value=0, max_value=60)


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Changes, claims, jobs and faults in any order.

    The oracle records the replies: the revision of each accepted change, the
    change accepted for each version, and the holder of each claim.
    """

    @stateful.initialize(
        seed=strategies.integers(min_value=0, max_value=2**32),
        size=strategies.sampled_from([3, 3, 5]),
    )
    def begin(self, seed, size):
        self.cluster = cluster.Cluster(
            names='abcde'[:size], seed=seed, clock_rates=CLOCK_RATES
        )
        self.accepted = {}
        self.winners = {}
        self.holders = {}
        self.sent = []
        self.newest = 0
        self.count = 0
        self.ended = set()
        self.set_up_jobs()

    def set_up_jobs(self):
        survey = workload.Workload(name='survey', kind=workload.Kind.BATCH)
        command = self.build_change('survey', 0, survey)
        self.cluster.commit(command)
        opened = session.OpenSession(
            name='i',
            zone='z',
            rack='r',
            address='i:1',
            labels={},
            capacity=instance.Capacity(),
            at=NOW,
        )
        self.cluster.commit(opened)

    @stateful.invariant()
    def pass_time(self):
        self.cluster.run(0.1, self.check)

    def pick(self, choice, test=lambda node: True):
        nodes = [n for n in self.cluster.nodes.values() if test(n)]
        return nodes[choice % len(nodes)] if nodes else None

    def pick_leader(self, choice):
        return self.pick(
            choice, lambda node: node.is_leading and not node.paused
        )

    def count_running(self):
        return sum(node.is_up for node in self.cluster.nodes.values())

    def check(self):
        for node in self.cluster.nodes.values():
            if self.cluster.can_read(node):
                self.check_state(node.machine.state)

    def check_state(self, state):
        assert state.revision >= self.newest, 'a read misses a change'
        for change_id, revision in self.accepted.items():
            row = state.changes.find(change_id)
            assert row is not None, f'change {change_id} is lost'
            assert row.revision == revision, f'{change_id} was reverted'

    def propose(self, command, node, record):
        if node is not None and node.is_up:
            self.cluster.propose(node, command, record)
            self.check()

    def send(self, command, node):
        def record(result):
            if isinstance(result, errors.BilberryhavenError):
                return
            known = self.accepted.setdefault(result.id, result.revision)
            assert known == result.revision, 'a resend changed the revision'
            winner = self.winners.setdefault(
                (result.target, result.version), result.id
            )
            assert winner == result.id, 'a version was accepted twice'
            self.newest = max(self.newest, result.revision)

        self.propose(command, node, record)

    def build_change(self, name, expect, spec=None):
        self.count += 1
        labels = {'n': str(self.count)}
        spec = spec or workload.Workload(name=name, labels=labels)
        command = change.ApplyWorkload(
            change_id=f'c{self.count}',
            by='op',
            at=NOW,
            kind='workload',
            name=name,
            expect=expect,
            spec=spec,
        )
        self.sent.append(command)
        return command

    @stateful.rule(
        position=strategies.integers(min_value=0, max_value=1),
        choice=PICK,
        rivals=strategies.integers(min_value=1, max_value=3),
    )
    def race(self, position, choice, rivals):
        """Submit changes with equal versions, perhaps to different leaders."""
        name = TARGETS[position]
        versions = [v for t, v in self.winners if t.endswith(name)]
        expect = max(versions, default=0)
        for rival in range(rivals):
            command = self.build_change(name, expect)
            self.send(command, self.pick_leader(choice + rival))

    @stateful.rule(choice=PICK, count=strategies.sampled_from([5, 60, 200]))
    def change_many(self, choice, count):
        node = self.pick_leader(choice)
        if node is None:
            return
        for _ in range(count):
            command = self.build_change(TARGETS[0], change.ANY_VERSION)
            self.send(command, node)
        self.run(0.3)

    @stateful.rule(choice=PICK, which=PICK)
    def resend(self, choice, which):
        if self.sent:
            command = self.sent[-1 - which % len(self.sent)]
            self.send(command, self.pick_leader(choice))

    @stateful.rule(choice=PICK, request=PICK, holder=PICK)
    def claim(self, choice, request, holder):
        command = claim_commands.ClaimRequest(
            request_id=f'r{request % 6}',
            workload='recipe',
            holder=f'entry{holder}-{self.count}',
            at=NOW,
        )
        self.count += 1

        def record(result):
            if isinstance(result, errors.BilberryhavenError):
                return
            assert result.request_id not in self.holders, 'claimed twice'
            self.holders[result.request_id] = result.holder

        self.propose(command, self.pick_leader(choice), record)

    @stateful.rule(
        choice=PICK,
        job=strategies.sampled_from(JOBS),
        actions=strategies.lists(strategies.sampled_from(ACTIONS)),
    )
    def handle_job(self, choice, job, actions):
        """Grant one job and report on it, in part with a stale epoch."""
        for action in actions:
            node = self.pick_leader(choice)
            if node is None:
                return
            if action == 'start':
                self.start_job(node, job)
            else:
                self.end_grant(node, job, *action)
            self.run(0.2)

    def start_job(self, node, job):
        submission = job_commands.SubmitJob(
            job_id=job, workload='survey', payload=b'', at=NOW
        )
        self.propose(submission, node, ignore_result)
        grant = job_commands.Grant(job_id=job, instance='i', session=1)
        command = job_commands.GrantJobs(grants=[grant], at=NOW)
        self.propose(command, node, ignore_result)

    def end_grant(self, node, job, kind, age):
        row = node.machine.state.jobs.find(job)
        if row is None or row.epoch <= age:
            return
        epoch = row.epoch - age
        event = job_commands.JobEvent(job_id=job, epoch=epoch, kind=kind)
        command = job_commands.RecordEvents(events=[event], at=NOW)

        def record(result):
            if result == 1:
                assert (job, epoch) not in self.ended, 'a grant ended twice'
                self.ended.add((job, epoch))

        self.propose(command, node, record)

    @stateful.rule(
        seconds=strategies.sampled_from([0.05, 0.2, 0.5, 1.0, 2.0, 4.0])
    )
    def run(self, seconds):
        self.cluster.run(seconds, self.check)

    @stateful.rule(choice=PICK)
    def crash(self, choice):
        node = self.pick(choice, lambda node: node.is_up)
        if node is not None:
            self.cluster.crash(node.name)

    @stateful.rule(choice=PICK, operations=PICK)
    def lose_power_soon(self, choice, operations):
        node = self.pick(choice, lambda node: node.is_up)
        if node is not None:
            node.folder.operations_until_power_loss = operations + 1

    @stateful.rule(choice=PICK)
    def lose_disk(self, choice):
        """Wipe one disk, unless a voter is down or has not recovered yet."""
        leader = self.pick_leader(choice)
        if leader is None:
            return
        voters = leader.driver.core.members.voters
        nodes = [self.cluster.nodes[name] for name in voters]
        lost = [n for n in nodes if not n.is_up or not n.driver.core.joined]
        if not lost and len(nodes) > 2:
            self.cluster.wipe(nodes[choice % len(nodes)].name)

    @stateful.rule(choice=PICK)
    def restart(self, choice):
        node = self.pick(choice, lambda node: not node.is_up)
        if node is not None:
            self.cluster.start(node.name)

    @stateful.rule(choice=PICK)
    def fail_disk(self, choice):
        node = self.pick(choice, lambda node: node.is_up)
        if node is not None:
            node.folder.fail_sync = True

    @stateful.rule(
        choice=PICK,
        fault=strategies.sampled_from(memory.DiskFault),
        prefix=strategies.sampled_from(['', '', 'log-', 'snapshot-']),
    )
    def break_disk(self, choice, fault, prefix):
        """Let the writes to some files fail, also over restarts."""
        node = self.pick(choice)
        node.folder.fault = fault
        node.folder.fault_prefix = prefix

    @stateful.rule(choice=PICK)
    def repair_disk(self, choice):
        node = self.pick(choice, lambda node: node.folder.fault is not None)
        if node is not None:
            node.folder.fault = None

    @stateful.rule(choice=PICK, other=PICK, both=strategies.booleans())
    def cut_link(self, choice, other, both):
        one, two = self.pick(choice).name, self.pick(other).name
        self.cluster.blocked.add((one, two))
        if both:
            self.cluster.blocked.add((two, one))

    @stateful.rule(choice=PICK)
    def isolate(self, choice):
        node = self.pick_leader(choice) or self.pick(choice)
        self.cluster.partition([node.name])

    @stateful.rule(choice=PICK, inward=strategies.booleans())
    def depose(self, choice, inward):
        """Isolate the leader; submit further changes to the next one."""
        old = self.pick_leader(choice)
        if old is None:
            return
        for name in self.cluster.nodes:
            self.cluster.blocked.add((old.name, name))
            if inward:
                self.cluster.blocked.add((name, old.name))
        for _ in range(30):
            self.run(0.1)
            new = self.pick(choice, lambda n: n.is_leading and n is not old)
            if new is not None:
                command = self.build_change(TARGETS[1], change.ANY_VERSION)
                self.send(command, new)

    @stateful.rule()
    def heal_links(self):
        self.cluster.blocked = set()

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.05, 0.3]),
        repeat=strategies.sampled_from([0.0, 0.2]),
        jitter=strategies.sampled_from([0.0, 0.05, 0.4]),
    )
    def disturb(self, loss, repeat, jitter):
        self.cluster.loss = loss
        self.cluster.repeat = repeat
        self.cluster.jitter = clock.seconds(jitter)

    @stateful.rule(choice=PICK)
    def pause(self, choice):
        node = self.pick(choice, lambda node: node.is_up)
        if node is not None:
            node.paused = not node.paused

    @stateful.rule(choice=PICK)
    def hand_over(self, choice):
        node = self.pick_leader(choice)
        if node is not None:
            self.cluster.transfer(node)
            self.check()

    @stateful.rule(choice=PICK)
    def add_member(self, choice):
        leader = self.pick_leader(choice)
        if leader is None or len(self.cluster.nodes) >= MAX_NODES + 2:
            return
        self.count += 1
        name = f'n{self.count}'
        clock_rate = CLOCK_RATES[self.count % len(CLOCK_RATES)]
        self.cluster.add_node(name, clock_rate=clock_rate)
        self.cluster.call_driver(
            leader, 'change_members', add=(name, f'{name}:1')
        )

    @stateful.rule(choice=PICK, which=PICK, lose=strategies.booleans())
    def remove_member(self, choice, which, lose):
        """Remove a member; perhaps another crashes right after."""
        leader = self.pick_leader(choice)
        if leader is None:
            return
        names = leader.driver.core.members.list_names()
        name = names[which % len(names)]
        if len(names) > 2:
            self.cluster.call_driver(leader, 'change_members', remove=name)
            self.run(0.5)
        if lose:
            self.crash(which + 1)

    def teardown(self):
        """Check that all accepted changes are present after the faults."""
        if not hasattr(self, 'cluster'):
            return
        self.cluster.heal()
        self.cluster.find_leader(seconds=30)
        self.check()
        command = self.build_change(TARGETS[0], change.ANY_VERSION)
        results = [self.cluster.commit(command) for _ in range(3)]
        assert not isinstance(results[-1], Exception), results
        leader = self.cluster.find_leader()
        self.cluster.wait_until_applied(leader)
        for name in leader.driver.core.members.voters:
            self.check_state(self.cluster.nodes[name].machine.state)


def ignore_result(result):
    """Discard a result that the oracle does not check."""


def build_settings(**fields):
    return hypothesis.settings(
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        **fields,
    )


def run(seed):
    """Fuzz with more examples than the tests."""
    settings = build_settings(max_examples=FUZZ_EXAMPLES)
    factory = hypothesis.seed(seed)(ReplicaMachine)
    stateful.run_state_machine_as_test(factory, settings=settings)
