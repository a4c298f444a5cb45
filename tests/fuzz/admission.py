"""Stateful fuzzing of the admission core against a model."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bilberryhaven.agent import effects
from bilberryhaven import clock
from bilberryhaven import errors
from tests.fuzz import admission_model

RESEND_WINDOW = admission_model.LIMITS.result_retention
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
    """Arbitrary steps of entries, an agent and a backend server."""

    def __init__(self):
        super().__init__()
        self.model = admission_model.AdmissionModel()
        self.network = []
        self.created = {}
        self.tickets = 0
        self.model.renew_lease()

    def pick(self, items, index):
        items = list(items)
        return items[index % len(items)] if items else None

    def list_resendable(self):
        """Return the ids that a conformant entry may resend."""
        model = self.model
        return [
            request_id
            for request_id, (created, incarnation) in self.created.items()
            if model.idempotent[request_id]
            or (
                incarnation == model.incarnation
                and model.now - created < RESEND_WINDOW
            )
        ]

    def send(self, request_id, urgent, wait, *, delayed=False, stale=False):
        """Send one dispatch, at once or over a slow network."""
        model = self.model
        deadline_at = model.now + clock.seconds(wait)
        self.tickets += 1
        model.order += 1
        dispatch = admission_model.Dispatch(
            request=effects.Request(
                ticket=self.tickets,
                request_id=request_id,
                fingerprint=request_id,
                deadline_at=deadline_at,
                urgent=urgent,
                idempotent=model.idempotent[request_id],
                revision=model.revision - stale,
                incarnation=model.incarnation,
            ),
            sent_at=model.now,
            order=model.order,
        )
        latest = model.now + admission_model.LIMITS.max_deadline
        last = model.last_deadline.get(request_id, model.now)
        model.last_deadline[request_id] = max(last, min(deadline_at, latest))
        if delayed:
            self.network.append(dispatch)
        else:
            model.deliver(dispatch)

    def create_id(self, idempotent):
        request_id = f'r{len(self.created)}'
        self.created[request_id] = (self.model.now, self.model.incarnation)
        self.model.idempotent[request_id] = idempotent
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

    @stateful.precondition(lambda self: self.created)
    @stateful.rule(index=INDEX, wait=WAIT)
    def resend(self, index, wait):
        request_id = self.pick(self.list_resendable(), index)
        if request_id is not None:
            self.send(request_id, True, wait)

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(index=INDEX)
    def deliver_late(self, index):
        dispatch = self.network.pop(index % len(self.network))
        self.model.deliver(dispatch)

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(index=INDEX)
    def revoke_in_flight(self, index):
        dispatch = self.pick(self.network, index)
        self.model.revoke([dispatch.request.request_id])

    @stateful.precondition(lambda self: self.created)
    @stateful.rule(first=INDEX, second=INDEX)
    def revoke(self, first, second):
        newest = list(reversed(self.created))
        ids = {self.pick(newest, first), self.pick(newest, second)}
        self.model.revoke(sorted(ids))

    @stateful.precondition(lambda self: self.model.sent)
    @stateful.rule(index=INDEX)
    def begin(self, index):
        self.model.begin(self.pick(self.model.sent, index))

    @stateful.precondition(lambda self: self.model.executing)
    @stateful.rule(index=INDEX)
    def answer(self, index):
        self.model.answer(self.pick(self.model.executing, index))

    @stateful.rule(index=INDEX, ran=st.booleans())
    def fail(self, index, ran):
        model = self.model
        running = model.executing if ran else model.sent
        request_id = self.pick(running, index)
        outcome = errors.Outcome.RAN if ran else errors.Outcome.NOT_RUN
        if request_id is not None:
            model.fail(request_id, outcome)

    @stateful.rule(index=INDEX)
    def lose_answer(self, index):
        model = self.model
        request_id = self.pick([*model.sent, *model.executing], index)
        lingering = model.core.list_lingering()
        if request_id is not None and request_id not in lingering:
            model.lose_connection(request_id)

    @stateful.rule()
    def resolve(self):
        self.model.resolve()

    @stateful.rule(index=st.integers(0, 3), newer=st.booleans())
    def start_job(self, index, newer):
        model = self.model
        job_id = f'j{index}'
        epoch = model.newest_epoch[job_id] + newer or 1
        effs = model.core.start_job(job_id, epoch, 1, model.now)
        model.perform(effs)

    @stateful.precondition(lambda self: self.model.jobs)
    @stateful.rule(index=INDEX)
    def end_job(self, index):
        job_id = self.pick(self.model.jobs, index)
        self.model.end_job(job_id, self.model.jobs[job_id][0])

    @stateful.rule(wait=SHORT)
    def advance(self, wait):
        model = self.model
        model.now += clock.seconds(wait)
        horizon = admission_model.LIMITS.horizon
        self.network = [
            row for row in self.network if model.now - row.sent_at < horizon
        ]
        model.perform(model.core.tick(model.now))

    @stateful.rule(newer=st.booleans())
    def renew_lease(self, newer):
        self.model.revision += newer
        self.model.renew_lease()

    @stateful.rule(index=st.integers(0, 4))
    def lose_lease(self, index):
        if index == 0:
            self.model.lease_until = self.model.now
            self.model.core.drop_lease()

    @stateful.rule(index=st.integers(0, 2))
    def restart_agent(self, index):
        if index == 0:
            self.model.start_agent()
            self.model.renew_lease()

    @stateful.precondition(lambda self: self.created)
    @stateful.rule(first=INDEX, second=INDEX)
    def restart_agent_and_revoke(self, first, second):
        """Restart the agent; entries revoke the interrupted requests."""
        self.restart_agent(0)
        self.revoke(first, second)

    @stateful.rule(index=st.integers(0, 5))
    def restart_backend(self, index):
        if index == 0:
            self.model.restart_backend()

    @stateful.rule(index=st.integers(0, 19))
    def drain(self, index):
        model = self.model
        if index == 0:
            model.draining = True
            model.perform(model.core.drain(model.now))

    @stateful.invariant()
    def no_request_waits_beside_a_free_slot(self):
        self.model.check_no_request_waits_beside_a_free_slot()

    def teardown(self):
        """Complete all work and check that every caller got a reply."""
        model = self.model
        for _ in range(TEARDOWN_ROUNDS):
            for request_id in list(model.sent):
                model.begin(request_id)
            for request_id in list(model.executing):
                model.answer(request_id)
            model.resolve()
        self.advance(60.0)
        assert not model.waiting, 'a caller never got a reply'


def run(seed):
    """Run more and longer examples than the tests, with a seed."""
    machine = type('SeededMachine', (AdmissionMachine,), {})
    stateful.run_state_machine_as_test(
        hypothesis.seed(seed)(machine), settings=LONG
    )
