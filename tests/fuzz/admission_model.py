"""Model of the environment of an admission core, with invariants."""

import collections
import dataclasses
import datetime

from bilberryhaven.agent import admission
from bilberryhaven.agent import effects
from bilberryhaven.agent import limits
from bilberryhaven import clock
from bilberryhaven import errors

LIMITS = limits.Limits(
    slots=3,
    connections=7,
    control_connections=1,
    queue=8,
    max_deadline=clock.seconds(5),
    result_retention=clock.seconds(5),
    max_records=9,
    max_stored_bytes=40,
    job_slot_timeout=clock.seconds(2),
)
BODY = b'answer to '
LEASE = clock.seconds(30)


@dataclasses.dataclass(kw_only=True)
class Dispatch:
    """A dispatch that an entry sent.

    Attributes:
        request: The request.
        sent_at: Time of sending.
        order: Position among all dispatches and revocations.
    """

    request: effects.Request
    sent_at: datetime.timedelta
    order: int


class AdmissionModel:
    """Models a backend server and entries; checks the core's effects.

    Attributes:
        now: Current monotonic time.
        order: Number of dispatches and revocations so far.
        sent: Tickets of requests in flight to the backend server, by id.
        executing: Incarnations that started the running requests, by id.
        backend_revoked: Ids that the backend server refuses to start.
        executions: Number of runs of each request.
        last_deadline: Latest deadline of the dispatches of each request.
        waiting: Dispatches without a reply, by ticket.
        tombstones: For each id revoked as not_run: order, incarnation and
            time until which it must not run.
        jobs: Epoch and slots of the running jobs, by id.
        jobs_run: Incarnations that started (id, epoch) of jobs.
    """

    def __init__(self):
        self.now = clock.seconds(100)
        self.order = 0
        self.incarnation = 0
        self.revision = 1
        self.sent = {}
        self.executing = {}
        self.backend_revoked = set()
        self.executions = collections.Counter()
        self.idempotent = {}
        self.last_deadline = {}
        self.waiting = {}
        self.tombstones = {}
        self.jobs = {}
        self.jobs_run = {}
        self.newest_epoch = collections.Counter()
        self.lease_until = datetime.timedelta()
        self.draining = False
        self.start_agent()
        self.now += LIMITS.horizon

    # Restarts of the agent and the backend server

    def start_agent(self):
        """Start an agent, which adopts running work and fences the rest."""
        self.incarnation += 1
        self.core = admission.AdmissionCore(
            limits=LIMITS, now=self.now, incarnation=self.incarnation
        )
        self.sent.clear()
        self.waiting.clear()
        self.draining = False
        self.lease_until = datetime.timedelta()
        self.core.adopt(list(self.executing), self.now)
        for job_id, (epoch, slots) in self.jobs.items():
            self.core.hold_job(job_id, epoch, slots)

    def restart_backend(self):
        """Lose all running work; the agent sees each connection break."""
        lost = [*self.sent, *self.executing]
        self.sent.clear()
        self.executing.clear()
        self.backend_revoked.clear()
        for request_id in lost:
            if request_id not in self.core.list_lingering():
                self.lose_connection(request_id)
        for job_id, (epoch, _) in list(self.jobs.items()):
            self.end_job(job_id, epoch)
        self.resolve()

    def renew_lease(self):
        """Renew the lease at the newest revision."""
        self.lease_until = self.now + LEASE
        self.core.renew_lease(self.lease_until, self.revision)

    # Entries

    def deliver(self, dispatch):
        """Deliver a dispatch to the agent."""
        request = dataclasses.replace(dispatch.request)
        self.waiting[request.ticket] = dispatch
        self.perform(self.core.admit(request, self.now))

    def revoke(self, request_ids):
        """Revoke requests and check the reported states."""
        self.order += 1
        states, effs = self.core.revoke(request_ids, self.now)
        self.perform(effs)
        for request_id, state in zip(request_ids, states, strict=True):
            if state != effects.RunState.NOT_RUN:
                continue
            self.check_never_ran(request_id)
            until = self.now + LIMITS.horizon
            self.tombstones[request_id] = (self.order, self.incarnation, until)

    def check_never_ran(self, request_id):
        """Check the report that a request hasn't run and won't."""
        assert request_id not in self.sent, 'not_run, but it was sent'
        assert request_id not in self.executing, 'not_run, but it runs'
        last = self.last_deadline.get(request_id, self.now)
        if self.now < last + LIMITS.result_retention:
            assert not self.executions[request_id], 'not_run, but it ran'

    # The backend server

    def begin(self, request_id):
        """Start a request that reached the backend server."""
        del self.sent[request_id]
        if request_id in self.backend_revoked:
            self.fail(request_id, errors.Outcome.NOT_RUN)
            return
        assert request_id not in self.executing, 'runs twice concurrently'
        self.executing[request_id] = self.incarnation
        self.executions[request_id] += 1
        if not self.idempotent[request_id]:
            assert self.executions[request_id] == 1, 'ran twice'

    def answer(self, request_id):
        """Finish a request; deliver the answer unless it is lingering."""
        del self.executing[request_id]
        if request_id not in self.core.list_lingering():
            body = BODY + request_id.encode()
            self.perform(self.core.complete(request_id, body, self.now))

    def fail(self, request_id, outcome):
        """Fail a request with an outcome that matches its state."""
        self.sent.pop(request_id, None)
        if outcome != errors.Outcome.UNKNOWN:
            self.executing.pop(request_id, None)
        if request_id not in self.core.list_lingering():
            self.lose_connection(request_id, outcome)

    def lose_connection(self, request_id, outcome=errors.Outcome.UNKNOWN):
        """Report the failure of a sent request to the agent."""
        self.perform(
            self.core.fail(request_id, 'peer', 'lost', outcome, self.now)
        )

    def resolve(self):
        """Report the state of each lingering request to the agent."""
        for request_id in self.core.list_lingering():
            state = effects.RunState.FINISHED
            if request_id in self.executing:
                state = effects.RunState.RUNNING
            elif request_id in self.sent:
                del self.sent[request_id]
                self.backend_revoked.add(request_id)
                state = effects.RunState.NOT_RUN
            self.perform(self.core.resolve(request_id, state, self.now))

    def end_job(self, job_id, epoch):
        """End a job that runs."""
        del self.jobs[job_id]
        self.perform(self.core.end_job(job_id, epoch, self.now))

    # Effects

    def perform(self, effs):
        """Execute effects and check each."""
        for effect in effs:
            if isinstance(effect, effects.Run):
                self.run(effect)
            elif isinstance(effect, effects.Reply):
                self.reply(effect)
            elif isinstance(effect, effects.RunJob):
                self.run_job(effect)
        self.check()

    def run(self, effect):
        """Check a ``Run`` effect and send its request."""
        dispatch = self.waiting[effect.ticket]
        request = dispatch.request
        assert self.now < self.lease_until, 'started without a lease'
        assert request.revision >= self.revision_in_force(), 'old revision'
        assert self.now < request.deadline_at, 'started past its deadline'
        assert request.incarnation in (0, self.incarnation), 'old dispatch'
        assert request.request_id not in self.sent, 'sent twice'
        self.check_no_tombstone(dispatch)
        self.sent[request.request_id] = effect.ticket
        self.backend_revoked.discard(request.request_id)

    def revision_in_force(self):
        """Return the highest revision that the agent received."""
        return self.core._fence._revision

    def check_no_tombstone(self, dispatch):
        """Check that no revocation reported the dispatch as not_run."""
        request_id = dispatch.request.request_id
        if request_id not in self.tombstones:
            return
        order, incarnation, until = self.tombstones[request_id]
        assert dispatch.order > order, 'runs after not_run was reported'
        if incarnation == self.incarnation:
            assert self.now >= until, 'runs despite its tombstone'

    def reply(self, effect):
        """Check a ``Reply`` effect."""
        dispatch = self.waiting.pop(effect.ticket)
        request_id = dispatch.request.request_id
        assert effect.request_id == request_id, 'reply to another request'
        if not effect.result.code:
            assert effect.result.body == BODY + request_id.encode()
        if effect.result.outcome == errors.Outcome.NOT_RUN:
            assert request_id not in self.executing, 'not_run, but it runs'
            assert request_id not in self.sent, 'not_run, but it was sent'

    def run_job(self, effect):
        """Check a ``RunJob`` effect and run its job."""
        key = (effect.job_id, effect.epoch)
        if self.jobs_run.get(key, self.incarnation) != self.incarnation:
            self.perform(
                self.core.end_job(effect.job_id, effect.epoch, self.now)
            )
            return
        assert key not in self.jobs_run, 'job started twice'
        assert effect.job_id not in self.jobs, 'job runs in two epochs'
        assert effect.epoch >= self.newest_epoch[effect.job_id], 'old epoch'
        assert self.now < self.lease_until, 'job started without a lease'
        assert not self.draining, 'job started while draining'
        self.newest_epoch[effect.job_id] = effect.epoch
        self.jobs_run[key] = self.incarnation
        self.jobs[effect.job_id] = (effect.epoch, 1)

    # Invariants

    def check(self):
        """Check the limits on slots, connections and stored results."""
        slots = len(self.sent) + len(self.executing)
        slots += sum(count for _, count in self.jobs.values())
        assert slots <= LIMITS.slots, 'over the slots'
        awaited = {row.request.request_id for row in self.waiting.values()}
        held = awaited | set(self.sent) | set(self.executing)
        spare = LIMITS.connections - LIMITS.control_connections
        assert len(held) <= spare, 'over the connections'
        assert self.core._dedup.answer_bytes <= LIMITS.max_stored_bytes
        assert len(self.core._dedup) <= LIMITS.max_records

    def check_no_request_waits_beside_a_free_slot(self):
        """Check that no request waits while a slot is free."""
        load = self.core.build_load()
        if load.queued:
            assert load.slots_used >= load.slots, 'waits beside a free slot'
