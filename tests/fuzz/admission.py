"""Stateful fuzzing of the admission core against a simple oracle."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bilberryhaven.agent import effects
from bilberryhaven import clock
from bilberryhaven import errors
from tests.fuzz import admission_model

MAX_AGE = admission_model.LIMITS.kept_for
SHORT = st.sampled_from([0.1, 0.5, 1.0, 3.0, 8.0])
WAIT = st.sampled_from([2.0, 4.0, 60.0, 0.2])
INDEX = st.integers(0, 30)
TEARDOWN_ROUNDS = 8
CI = hypothesis.settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
)
LONG = hypothesis.settings(
    max_examples=1500,
    stateful_step_count=80,
    database=None,
    deadline=None,
)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Entries, an agent and a backend server that take arbitrary steps."""

    def __init__(self):
        super().__init__()
        self.world = admission_model.World()
        self.network = []
        self.born = {}
        self.tickets = 0
        self.world.renew_lease()

    def pick(self, items, index):
        items = list(items)
        return items[index % len(items)] if items else None

    def list_resendable(self):
        """Return the ids that a conformant entry may send again."""
        world = self.world
        return [
            request_id
            for request_id, (born, incarnation) in self.born.items()
            if world.idempotent[request_id]
            or (
                incarnation == world.incarnation and world.now - born < MAX_AGE
            )
        ]

    def send(self, request_id, urgent, wait, *, delayed=False, stale=False):
        """Send one dispatch, at once or over a slow network."""
        world = self.world
        deadline_at = world.now + clock.seconds(wait)
        self.tickets += 1
        world.order += 1
        dispatch = admission_model.Dispatch(
            request=effects.Request(
                ticket=self.tickets,
                request_id=request_id,
                fingerprint=request_id,
                deadline_at=deadline_at,
                urgent=urgent,
                idempotent=world.idempotent[request_id],
                revision=world.revision - stale,
                incarnation=world.incarnation,
            ),
            sent_at=world.now,
            order=world.order,
        )
        latest = world.now + admission_model.LIMITS.max_deadline
        last = world.last_deadline.get(request_id, world.now)
        world.last_deadline[request_id] = max(last, min(deadline_at, latest))
        if delayed:
            self.network.append(dispatch)
        else:
            world.deliver(dispatch)

    def create_id(self, idempotent):
        request_id = f'r{len(self.born)}'
        self.born[request_id] = (self.world.now, self.world.incarnation)
        self.world.idempotent[request_id] = idempotent
        return request_id

    @stateful.rule(
        count=st.integers(1, 6),
        urgent=st.booleans(),
        idempotent=st.booleans(),
        wait=WAIT,
    )
    def admit(self, count, urgent, idempotent, wait):
        for _ in range(count):
            self.send(self.create_id(idempotent), urgent, wait)

    @stateful.rule(idempotent=st.booleans(), wait=WAIT)
    def admit_later(self, idempotent, wait):
        self.send(self.create_id(idempotent), True, wait, delayed=True)

    @stateful.rule(idempotent=st.booleans())
    def admit_at_old_revision(self, idempotent):
        self.send(self.create_id(idempotent), True, 2.0, stale=True)

    @stateful.precondition(lambda self: self.born)
    @stateful.rule(index=INDEX, wait=WAIT)
    def resend(self, index, wait):
        request_id = self.pick(self.list_resendable(), index)
        if request_id is not None:
            self.send(request_id, True, wait)

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(index=INDEX)
    def deliver_late(self, index):
        dispatch = self.network.pop(index % len(self.network))
        self.world.deliver(dispatch)

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(index=INDEX)
    def revoke_in_flight(self, index):
        dispatch = self.pick(self.network, index)
        self.world.revoke([dispatch.request.request_id])

    @stateful.precondition(lambda self: self.born)
    @stateful.rule(first=INDEX, second=INDEX)
    def revoke(self, first, second):
        newest = list(reversed(self.born))
        ids = {self.pick(newest, first), self.pick(newest, second)}
        self.world.revoke(sorted(ids))

    @stateful.precondition(lambda self: self.world.sent)
    @stateful.rule(index=INDEX)
    def begin(self, index):
        self.world.begin(self.pick(self.world.sent, index))

    @stateful.precondition(lambda self: self.world.executing)
    @stateful.rule(index=INDEX)
    def answer(self, index):
        self.world.answer(self.pick(self.world.executing, index))

    @stateful.rule(index=INDEX, ran=st.booleans())
    def fail(self, index, ran):
        world = self.world
        running = world.executing if ran else world.sent
        request_id = self.pick(running, index)
        outcome = errors.Outcome.RAN if ran else errors.Outcome.NOT_RUN
        if request_id is not None:
            world.fail(request_id, outcome)

    @stateful.rule(index=INDEX)
    def lose_answer(self, index):
        world = self.world
        request_id = self.pick([*world.sent, *world.executing], index)
        lingering = world.core.list_lingering()
        if request_id is not None and request_id not in lingering:
            world.lose_connection(request_id)

    @stateful.rule()
    def settle(self):
        self.world.settle()

    @stateful.rule(index=st.integers(0, 3), newer=st.booleans())
    def start_job(self, index, newer):
        world = self.world
        job_id = f'j{index}'
        epoch = world.newest_epoch[job_id] + newer or 1
        effs = world.core.start_job(job_id, epoch, 1, world.now)
        world.perform(effs)

    @stateful.precondition(lambda self: self.world.jobs)
    @stateful.rule(index=INDEX)
    def end_job(self, index):
        job_id = self.pick(self.world.jobs, index)
        self.world.end_job(job_id, self.world.jobs[job_id][0])

    @stateful.rule(wait=SHORT)
    def advance(self, wait):
        world = self.world
        world.now += clock.seconds(wait)
        horizon = admission_model.LIMITS.horizon
        self.network = [
            row for row in self.network if world.now - row.sent_at < horizon
        ]
        world.perform(world.core.tick(world.now))

    @stateful.rule(newer=st.booleans())
    def renew_lease(self, newer):
        self.world.revision += newer
        self.world.renew_lease()

    @stateful.rule(index=st.integers(0, 4))
    def lose_lease(self, index):
        if index == 0:
            self.world.lease_until = self.world.now
            self.world.core.drop_lease()

    @stateful.rule(index=st.integers(0, 2))
    def restart_agent(self, index):
        if index == 0:
            self.world.start_agent()
            self.world.renew_lease()

    @stateful.precondition(lambda self: self.born)
    @stateful.rule(first=INDEX, second=INDEX)
    def restart_agent_and_revoke(self, first, second):
        """Entries revoke at once what a crash of the agent broke off."""
        self.restart_agent(0)
        self.revoke(first, second)

    @stateful.rule(index=st.integers(0, 5))
    def restart_backend(self, index):
        if index == 0:
            self.world.restart_backend()

    @stateful.rule(index=st.integers(0, 19))
    def drain(self, index):
        world = self.world
        if index == 0:
            world.draining = True
            world.perform(world.core.drain(world.now))

    @stateful.invariant()
    def nothing_waits_in_vain(self):
        self.world.check_nothing_waits_in_vain()

    def teardown(self):
        """Let everything end; then no caller may be left waiting."""
        world = self.world
        for _ in range(TEARDOWN_ROUNDS):
            for request_id in list(world.sent):
                world.begin(request_id)
            for request_id in list(world.executing):
                world.answer(request_id)
            world.settle()
        self.advance(60.0)
        assert not world.waiting, 'a caller was never answered'


def run(seed):
    """Search longer than the tests do, with the given seed."""
    machine = type('SeededMachine', (AdmissionMachine,), {})
    stateful.run_state_machine_as_test(
        hypothesis.seed(seed)(machine), settings=LONG
    )
