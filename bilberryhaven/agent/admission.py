"""Admission core: decides what the backend server runs; does no I/O.

Each method takes the current monotonic time and returns effects, which the
caller carries out in order.
"""

import dataclasses
import datetime
import enum

from bilberryhaven.agent import effects
from bilberryhaven.agent import gauge
from bilberryhaven.agent import limits as bounds
from bilberryhaven.agent import memory
from bilberryhaven.agent import queue
from bilberryhaven.agent import slots
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['AdmissionCore', 'Settled', 'Stage']

NO_TIME = datetime.timedelta()

_logger = log.get_logger('admission')


class Stage(enum.Enum):
    """Where a request in progress stands.

    ``LINGERING``: its answer won't come, but it may still run.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    LINGERING = 'lingering'


class Settled(enum.StrEnum):
    """Fate of a request, as the backend server and revocations tell it."""

    NOT_RUN = 'not_run'
    STARTED = 'started'
    RUNNING = 'running'
    FINISHED = 'finished'


@dataclasses.dataclass(kw_only=True, slots=True)
class _Active:
    request: effects.Request
    stage: Stage
    tickets: list
    since: datetime.timedelta


class AdmissionCore:
    """The only authority over a backend server's slots and connections.

    Args:
        limits: What is admitted and remembered at most.
        now: Time of the start.
        incarnation: Differs after each start of the agent; entries echo it.
    """

    def __init__(self, *, limits=None, now=NO_TIME, incarnation=0):
        self._limits = limits or bounds.Limits()
        self._memory = memory.Memory(limits=self._limits, now=now)
        self._queue = queue.Queue()
        self._jobs = slots.JobSlots(limits=self._limits)
        self._gauge = gauge.Gauge()
        self._active = {}
        self._lingering = 0
        self._running = 0
        self._lease_until = NO_TIME
        self._revision = 0
        self.incarnation = incarnation
        self.draining = False

    # Views

    @property
    def slots_used(self):
        """Slots in use by requests and jobs."""
        return self._running + self._lingering + self._jobs.used

    @property
    def connections_used(self):
        """Connections held by requests, waiting ones included."""
        return len(self._active) + self._limits.control_connections

    def is_idle(self):
        """Return whether no request is in progress and no job holds a slot."""
        return not self._active and not self._jobs.used

    def has_requests(self):
        """Return whether a request waits or runs for a caller."""
        return len(self._active) > self._lingering

    def list_lingering(self):
        """Return the ids of requests that may run without a caller."""
        return [
            request_id
            for request_id, active in self._active.items()
            if active.stage is Stage.LINGERING
        ]

    def list_jobs(self):
        """Return the (job id, epoch) pairs that hold slots."""
        return self._jobs.list_held()

    def build_load(self):
        """Return the ``Load`` that goes with each answer."""
        return message.Load(
            slots=self._limits.slots,
            slots_used=self.slots_used,
            batch_slots=self._jobs.used,
            connections=self._limits.connections,
            connections_used=self.connections_used,
            queued=len(self._queue),
            service_ms=self._gauge.service_ms,
            failure_share=self._gauge.failure_share,
            draining=self.draining,
        )

    # Leases and draining

    def renew_lease(self, until, revision):
        """Admit until ``until`` at ``revision``; neither ever goes back."""
        self._lease_until = max(self._lease_until, until)
        self._revision = max(self._revision, revision)

    def drop_lease(self):
        """Admit nothing more until the lease is renewed."""
        self._lease_until = NO_TIME

    def drain(self, now):
        """Refuse new work from now on; what was admitted goes on."""
        self.draining = True
        return self._jobs.refuse(now, 'the agent is leaving', everything=True)

    # Requests

    def admit(self, request, now):
        """Decide on one dispatch of a request.

        A refusal with ``not_run`` is about this dispatch; where an earlier
        one may have run, the outcome is unknown.
        """
        latest = now + self._limits.max_deadline
        request.deadline_at = min(request.deadline_at, latest)
        found = self._find_known(request, now)
        if found is not None:
            return found
        refusal = self._check(request, now)
        if refusal is not None:
            code, reason = refusal
            outcome = self._get_outcome(request.request_id, now)
            return [self._refuse(request, code, reason, outcome)]
        effs = self._make_room(request, now)
        if effs is None:
            reason = 'the queue is full or its wait exceeds the deadline'
            outcome = self._get_outcome(request.request_id, now)
            return [self._refuse(request, 'overload', reason, outcome)]
        self._active[request.request_id] = _Active(
            request=request,
            stage=Stage.QUEUED,
            tickets=[request.ticket],
            since=now,
        )
        self._queue.put(request)
        started = self._start_next(now)
        if self._active[request.request_id].stage is Stage.QUEUED:
            self._log(request, 'queue', 'no slot is free')
        return effs + started

    def complete(self, request_id, body, now):
        """Record the whole answer of a request that ran."""
        active = self._active[request_id]
        self._gauge.record_success(now - active.since)
        result = effects.Result(body=body)
        return self._end(request_id, result, ran=True, now=now)

    def fail(self, request_id, code, reason, outcome, now):
        """Record a failure of a request that was sent.

        An unknown outcome keeps its slot until ``settle`` frees it.
        """
        active = self._active[request_id]
        self._gauge.record_failure()
        result = effects.Result(code=code, message=reason, outcome=outcome)
        if outcome == errors.Outcome.UNKNOWN:
            replies = self._reply(active, result)
            active.tickets = []
            active.stage = Stage.LINGERING
            self._running -= 1
            self._lingering += 1
            return replies
        ran = outcome == errors.Outcome.RAN
        return self._end(request_id, result, ran=ran, now=now)

    def settle(self, request_id, state, now):
        """Free a lingering request's slot unless it still runs."""
        active = self._active.get(request_id)
        if active is None or active.stage is not Stage.LINGERING:
            return []
        if state == Settled.RUNNING:
            return []
        result = effects.Result(
            code='peer',
            message='its answer was lost',
            outcome=errors.Outcome.UNKNOWN,
        )
        return self._end(request_id, result, ran=True, now=now)

    def adopt(self, request_ids, now):
        """Count requests that run for a former agent."""
        for request_id in request_ids:
            if request_id in self._active:
                continue
            request = effects.Request(
                ticket=0,
                request_id=request_id,
                deadline_at=now + self._limits.max_deadline,
            )
            self._active[request_id] = _Active(
                request=request,
                stage=Stage.LINGERING,
                tickets=[],
                since=now,
            )
            self._lingering += 1

    def revoke(self, request_ids, now):
        """Keep requests from ever starting.

        Returns:
            The ``Settled`` state of each, and the effects.
        """
        states, effs = [], []
        for request_id in request_ids:
            state, more = self._revoke_one(request_id, now)
            states.append(state)
            effs += more
        return states, effs + self._start_next(now)

    def tick(self, now):
        """Refuse what waited too long and start what fits."""
        effs = []
        for request in self._queue.pop_expired(now):
            effs += self._reject_queued(
                request.request_id, 'deadline', 'deadline passed', now
            )
        effs += self._jobs.refuse(now, 'no slot became free')
        return effs + self._start_next(now)

    # Jobs

    def start_job(self, job_id, epoch, slots_wanted, now):
        """Start a granted job now or when slots are free, once an epoch."""
        if self.draining or now >= self._lease_until:
            reason = 'draining' if self.draining else 'lease ran out'
            return [
                effects.RefuseJob(job_id=job_id, epoch=epoch, reason=reason)
            ]
        if not self._jobs.ask(job_id, epoch, slots_wanted, now):
            return []
        return self._start_next(now)

    def hold_job(self, job_id, epoch, slots_held):
        """Count a job that the backend server already runs."""
        self._jobs.hold(job_id, epoch, slots_held)

    def end_job(self, job_id, epoch, now):
        """Free the slots of a job that no longer runs."""
        self._jobs.release(job_id, epoch)
        return self._start_next(now)

    # Internals

    def _find_known(self, request, now):
        active = self._active.get(request.request_id)
        if active is not None:
            return self._join(active, request)
        record = self._memory.find(request.request_id, now)
        if record is None:
            return None
        if record.fingerprint not in ('', request.fingerprint):
            return [self._refuse_reuse(request)]
        if record.ran and record.repeatable:
            return None
        result = record.result or effects.Result(
            code='refused',
            message='it ran before; its answer is no longer kept',
            outcome=errors.Outcome.RAN,
        )
        self._log(request, 'repeat', f'known: {result.code or "answered"}')
        return [
            effects.Reply(
                ticket=request.ticket,
                request_id=request.request_id,
                result=result,
            )
        ]

    def _join(self, active, request):
        if active.request.fingerprint not in ('', request.fingerprint):
            return [self._refuse_reuse(request)]
        if active.stage is Stage.LINGERING:
            reason = 'an earlier dispatch may still run'
            outcome = errors.Outcome.UNKNOWN
            return [self._refuse(request, 'refused', reason, outcome)]
        active.tickets.append(request.ticket)
        self._log(request, 'join', f'already {active.stage.value}')
        return []

    def _refuse_reuse(self, request):
        reason = 'the id belongs to another request'
        return self._refuse(request, 'bad_input', reason)

    def _check(self, request, now):
        """Return the (code, reason) of a refusal, or None."""
        if self.draining:
            return 'draining', 'the agent is leaving'
        if now >= self._lease_until:
            return 'lease_lapsed', 'the lease ran out'
        if request.incarnation not in (0, self.incarnation):
            return 'refused', 'it was sent to a former incarnation'
        if request.revision < self._revision:
            return 'refused', f'revision {self._revision} is in force'
        if request.deadline_at <= now:
            return 'deadline', 'deadline passed'
        if not self._memory.has_room(len(self._active), now):
            return 'overload', 'no room to remember another request'
        return None

    def _make_room(self, request, now):
        """Return the effects that make room, or None if there is none."""
        connections_left = self._limits.connections - self.connections_used
        if self._has_free_slot() and not len(self._queue):
            return [] if connections_left > 0 else None
        if now + self._estimate_wait(request) > request.deadline_at:
            return None
        if len(self._queue) < self._limits.queue and connections_left > 0:
            return []
        displaced = self._queue.pop_displaced(request)
        if displaced is None:
            return None
        return self._reject_queued(
            displaced.request_id, 'overload', 'urgent work displaced it', now
        )

    def _estimate_wait(self, request):
        ahead = self._queue.count_ahead(request) + 1
        share = max(self._limits.slots - self._jobs.used, 1)
        return self._gauge.service_time * (ahead / share)

    def _has_free_slot(self):
        return self.slots_used < self._limits.slots

    def _start_next(self, now):
        effs = []
        while self._has_free_slot():
            more = self._start_one(now)
            if not more:
                break
            effs += more
        return effs

    def _start_one(self, now):
        if not self._queue.has_urgent():
            free = self._limits.slots - self.slots_used
            job = self._jobs.start_next(free)
            if job is not None:
                return [job]
        request = self._queue.pop()
        if request is None:
            return []
        if request.deadline_at <= now:
            return self._reject_queued(
                request.request_id, 'deadline', 'deadline passed', now
            )
        if now >= self._lease_until:
            return self._reject_queued(
                request.request_id, 'lease_lapsed', 'the lease ran out', now
            )
        active = self._active[request.request_id]
        active.stage = Stage.RUNNING
        active.since = now
        self._running += 1
        self._log(request, 'run', 'a slot is free')
        return [
            effects.Run(
                ticket=active.tickets[0], request_id=request.request_id
            )
        ]

    def _end(self, request_id, result, *, ran, now):
        active = self._active.pop(request_id)
        if active.stage is Stage.RUNNING:
            self._running -= 1
        if active.stage is Stage.LINGERING:
            self._lingering -= 1
        if ran:
            request = active.request
            failed = bool(result.code)
            kept = now if request.deadline_at < now else request.deadline_at
            record = memory.Record(
                fingerprint=request.fingerprint,
                ran=True,
                repeatable=request.idempotent and failed,
                expires_at=kept + self._limits.kept_for,
                result=result,
            )
            self._memory.keep(request_id, record)
        replies = self._reply(active, result)
        return replies + self._start_next(now)

    def _reply(self, active, result):
        return [
            effects.Reply(
                ticket=ticket,
                request_id=active.request.request_id,
                result=result,
            )
            for ticket in active.tickets
        ]

    def _reject_queued(self, request_id, code, reason, now):
        active = self._active.pop(request_id)
        self._log(active.request, 'refuse', reason, code=code)
        outcome = self._get_outcome(request_id, now)
        result = self._build_refusal(code, reason, outcome)
        return self._reply(active, result)

    def _get_outcome(self, request_id, now):
        record = self._memory.find(request_id, now)
        if record is not None and record.ran:
            return errors.Outcome.UNKNOWN
        return errors.Outcome.NOT_RUN

    def _revoke_one(self, request_id, now):
        active = self._active.get(request_id)
        if active is not None and active.stage is not Stage.QUEUED:
            return Settled.STARTED, []
        effs = []
        if active is not None:
            self._queue.remove(active.request)
            effs = self._reject_queued(request_id, 'refused', 'revoked', now)
        record = self._memory.find(request_id, now)
        if record is not None and record.ran:
            answered = record.result is None or not record.result.code
            return (Settled.FINISHED if answered else Settled.STARTED), effs
        return self._bury(request_id, active, now), effs

    def _bury(self, request_id, active, now):
        if not self._memory.has_room(len(self._active), now):
            return Settled.STARTED
        fingerprint = active.request.fingerprint if active else ''
        record = memory.Record(
            fingerprint=fingerprint,
            ran=False,
            repeatable=False,
            expires_at=now + self._limits.horizon,
            result=effects.Result(
                code='refused',
                message='the request was revoked',
                outcome=errors.Outcome.NOT_RUN,
            ),
        )
        self._memory.keep(request_id, record)
        if active is None and not self._memory.is_complete(now):
            return Settled.STARTED
        return Settled.NOT_RUN

    def _refuse(self, request, code, reason, outcome=errors.Outcome.NOT_RUN):
        self._log(request, 'refuse', reason, code=code)
        return effects.Reply(
            ticket=request.ticket,
            request_id=request.request_id,
            result=self._build_refusal(code, reason, outcome),
        )

    def _build_refusal(self, code, reason, outcome):
        retry_after = None
        if code == 'overload':
            retry_after = self._gauge.service_time
        return effects.Result(
            code=code, message=reason, outcome=outcome, retry_after=retry_after
        )

    def _log(self, request, decision, reason, **terms):
        log.log_decision(
            _logger,
            decision,
            reason=reason,
            request_id=request.request_id,
            slots_used=self.slots_used,
            queued=len(self._queue),
            **terms,
        )
