"""Stateful fuzzing of the admission core against a simple oracle."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bilberryhaven.agent import effects
from bilberryhaven import clock
from bilberryhaven import errors
from tests.fuzz import admission_world

MAX_AGE = admission_world.LIMITS.kept_for
SHORT = st.sampled_from([0.0, 0.1, 0.5, 1.0, 3.0])
INDEX = st.integers(0, 30)
CI = hypothesis.settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
)
LONG = hypothesis.settings(
    max_examples=3000,
    stateful_step_count=80,
    database=None,
    deadline=None,
)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Entries, an agent and a backend server that take arbitrary steps."""

    def __init__(self):
        super().__init__()
        self.world = admission_world.World()
        self.network = []
        self.born = {}
        self.tickets = 0
        self.world.renew_lease()

    def pick(self, items, index):
        items = list(items)
        return items[index % len(items)] if items else None

    def pick_id(self, index):
        """Return an id that a conformant entry may send (again)."""
        world = self.world
        known = [
            request_id
            for request_id, (born, incarnation) in self.born.items()
            if world.idempotent[request_id]
            or (
                incarnation == world.incarnation and world.now - born < MAX_AGE
            )
        ]
        if index % 3 and known:
            return self.pick(known, index)
        request_id = f'r{len(self.born)}'
        self.born[request_id] = (world.now, world.incarnation)
        world.idempotent[request_id] = bool(index % 2)
        return request_id

    @stateful.rule(
        index=INDEX,
        urgent=st.booleans(),
        wait=st.sampled_from([0.0, 0.5, 2.0, 60.0]),
        stale=st.sampled_from([False] * 7 + [True]),
        delayed=st.sampled_from([False] * 3 + [True]),
    )
    def admit(self, index, urgent, wait, stale, delayed):
        world = self.world
        request_id = self.pick_id(index)
        deadline_at = world.now + clock.seconds(wait)
        self.tickets += 1
        world.order += 1
        dispatch = admission_world.Dispatch(
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
        latest = world.now + admission_world.LIMITS.max_deadline
        last = world.last_deadline.get(request_id, world.now)
        world.last_deadline[request_id] = max(last, min(deadline_at, latest))
        if delayed:
            self.network.append(dispatch)
        else:
            world.deliver(dispatch)

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(index=INDEX)
    def deliver_late(self, index):
        dispatch = self.network.pop(index % len(self.network))
        self.world.deliver(dispatch)

    @stateful.rule(first=INDEX, second=INDEX)
    def revoke(self, first, second):
        ids = {self.pick(self.born, first), self.pick(self.born, second)}
        self.world.revoke(sorted(ids - {None}))

    @stateful.rule(index=INDEX)
    def begin(self, index):
        request_id = self.pick(self.world.sent, index)
        if request_id is not None:
            self.world.begin(request_id)

    @stateful.rule(index=INDEX)
    def answer(self, index):
        request_id = self.pick(self.world.executing, index)
        if request_id is not None:
            self.world.answer(request_id)

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

    @stateful.rule(index=INDEX)
    def end_job(self, index):
        job_id = self.pick(self.world.jobs, index)
        if job_id is not None:
            self.world.end_job(job_id, self.world.jobs[job_id][0])

    @stateful.rule(wait=SHORT)
    def advance(self, wait):
        world = self.world
        world.now += clock.seconds(wait)
        horizon = admission_world.LIMITS.horizon
        self.network = [
            row for row in self.network if world.now - row.sent_at < horizon
        ]
        world.perform(world.core.tick(world.now))

    @stateful.rule(newer=st.booleans())
    def renew_lease(self, newer):
        self.world.revision += newer
        self.world.renew_lease()

    @stateful.rule(index=st.integers(0, 5))
    def restart_agent(self, index):
        if index == 0:
            self.world.start_agent()

    @stateful.rule(index=st.integers(0, 5))
    def restart_backend(self, index):
        if index == 0:
            self.world.restart_backend()

    @stateful.rule(index=st.integers(0, 9))
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
        for request_id in list(world.sent):
            world.begin(request_id)
        for _ in range(2):
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
