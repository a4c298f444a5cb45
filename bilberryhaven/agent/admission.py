"""Admission core: decides what the backend server runs; does no I/O.

Methods take the current monotonic time where they need it. Those that start
or refuse work return effects, which the caller executes in order.
"""

import datetime

from bilberryhaven.agent import active
from bilberryhaven.agent import averages
from bilberryhaven.agent import dedup
from bilberryhaven.agent import effects
from bilberryhaven.agent import fence
from bilberryhaven.agent import limits as bounds
from bilberryhaven.agent import slots
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['AdmissionCore']

NO_TIME = datetime.timedelta()
_logger = log.get_logger('admission')


class AdmissionCore:
    """Allocates the slots and connections of one backend server.

    No other component allocates them.

    Args:
        limits: Bounds on admitted work and stored results.
        now: Monotonic time at which the agent started.
        incarnation: Differs after each start of the agent; entries echo it.
    """

    def __init__(self, *, limits=None, now=NO_TIME, incarnation=0):
        self._limits = limits or bounds.Limits()
        self._dedup = dedup.DedupTable(limits=self._limits, now=now)
        self._active = active.ActiveTable()
        self._jobs = slots.JobSlots(limits=self._limits)
        self._averages = averages.MovingAverages()
        self._fence = fence.Fence(incarnation=incarnation)

    @property
    def slots_used(self):
        """Number of slots in use by requests and jobs."""
        return self._active.slots_used + self._jobs.used

    @property
    def connections_used(self):
        """Number of connections in use or reserved.

        Counts the requests in progress, queued ones included, and the
        connections kept for the agent's own calls.
        """
        return len(self._active) + self._limits.control_connections

    def has_requests(self):
        """Return whether any request has a waiting caller."""
        return self._active.awaited > 0

    def list_lingering(self):
        """Return the ids of requests that may run without a caller."""
        return self._active.list_lingering()

    def build_load(self):
        """Return the ``Load`` that is sent with each reply."""
        return message.Load(
            slots=self._limits.slots,
            slots_used=self.slots_used,
            batch_slots=self._jobs.used,
            connections=self._limits.connections,
            connections_used=self.connections_used,
            queued=self._active.queued,
            service_ms=self._averages.service_ms,
            failure_share=self._averages.failure_share,
            draining=self._fence.draining,
            incarnation=self._fence.incarnation,
        )

    def renew_lease(self, until, revision):
        """Extend the lease to ``until`` and raise the revision.

        Neither value ever decreases.
        """
        self._fence.renew(until, revision)

    def drop_lease(self):
        """Stop admitting until the lease is renewed."""
        self._fence.drop_lease()

    def drain(self, now):
        """Refuse new work and waiting jobs; admitted requests continue."""
        self._fence.draining = True
        return self._jobs.refuse(now, 'the agent is leaving', include_all=True)

    def admit(self, request, now):
        """Decide on one dispatch of a request.

        The outcome ``not_run`` of a refusal covers this dispatch only. If an
        earlier dispatch may have run, the outcome is ``unknown``.
        """
        latest = now + self._limits.max_deadline
        request.deadline_at = min(request.deadline_at, latest)
        known = self._handle_known(request, now)
        if known is not None:
            return known
        refusal = self._fence.check_request(request, now)
        if refusal is None and not self._has_dedup_room(now):
            refusal = fence.DEDUP_FULL
        if refusal is None:
            return self._enqueue(request, now)
        return [self._refuse(request, refusal, now)]

    def complete(self, request_id, body, now):
        """Record the complete answer to a request that ran."""
        self._averages.record_success(
            now - self._active.get(request_id).entered_at
        )
        return self._end(request_id, effects.Result(body=body), now)

    def fail(self, request_id, code, reason, outcome, now):
        """Record the failure of a request that was sent.

        With an unknown outcome, the request may still be running, so it
        keeps its slot until ``resolve`` frees it.
        """
        self._averages.record_failure()
        result = effects.Result(code=code, message=reason, outcome=outcome)
        if outcome != errors.Outcome.UNKNOWN:
            return self._end(request_id, result, now)
        row = self._active.get(request_id)
        replies = _reply_all(row, result)
        self._active.mark_lingering(row)
        return replies

    def resolve(self, request_id, state, now):
        """Free the slot of a lingering request unless it is still running."""
        row = self._active.find(request_id)
        if row is None or row.stage is not active.Stage.LINGERING:
            return []
        if state == effects.RunState.RUNNING:
            return []
        result = effects.Result(
            code='peer',
            message='the answer was lost; the request may have run',
            outcome=errors.Outcome.UNKNOWN,
        )
        return self._end(request_id, result, now)

    def adopt(self, request_ids, now):
        """Count requests that an earlier incarnation started.

        Their deadlines are unknown, so the longest possible one is assumed.
        """
        for request_id in request_ids:
            if self._active.find(request_id) is None:
                request = effects.Request(
                    ticket=0,
                    request_id=request_id,
                    deadline_at=now + self._limits.max_deadline,
                )
                self._active.adopt(request, now)

    def revoke(self, request_ids, now):
        """Prevent requests from ever starting.

        Returns:
            The ``effects.RunState`` of each request, and the effects.
        """
        states, effs = [], []
        for request_id in request_ids:
            row = self._active.find(request_id)
            if row is not None and row.stage is active.Stage.QUEUED:
                effs += self._reject(request_id, fence.REVOKED, now)
            states.append(self._revoke(request_id, row, now))
        return states, effs + self._start_next(now)

    def tick(self, now):
        """Refuse queued work that waited too long; start what fits."""
        effs = []
        for request_id in self._active.list_expired(now):
            request = self._active.get(request_id).request
            refusal = fence.check_deadline(request, now)
            effs += self._reject(request_id, refusal, now)
        effs += self._jobs.refuse(now, 'no slot became free')
        return effs + self._start_next(now)

    def start_job(self, job_id, epoch, slots_wanted, now):
        """Start a granted job once its slots are free.

        An epoch of a job is started at most once.
        """
        refusal = self._fence.check_agent(now)
        if refusal is not None:
            return [
                effects.RefuseJob(
                    job_id=job_id, epoch=epoch, reason=refusal.reason
                )
            ]
        if not self._jobs.enqueue(job_id, epoch, slots_wanted, now):
            return []
        return self._start_next(now)

    def hold_job(self, job_id, epoch, slots_held):
        """Count the slots of a job that is already running."""
        self._jobs.hold(job_id, epoch, slots_held)

    def end_job(self, job_id, epoch, now):
        """Free the slots of a job that has ended."""
        self._jobs.release(job_id, epoch)
        return self._start_next(now)

    def _handle_known(self, request, now):
        """Return the effects for a known request id, or None if it is new.

        A repeat of a request that failed counts as new if it may run again.
        """
        row = self._active.find(request.request_id)
        if row is not None:
            return self._join(row, request, now)
        record = self._dedup.find(request.request_id, now)
        if record is None:
            return None
        if record.fingerprint not in ('', request.fingerprint):
            return [self._refuse(request, fence.ID_REUSED, now)]
        if record.ran:
            self._dedup.extend(
                request.request_id,
                request.deadline_at + self._limits.result_retention,
            )
        if record.ran and record.retryable:
            return None
        self._log(request, 'repeat', record.result.code or 'already answered')
        return [_build_reply(request, record.result)]

    def _join(self, row, request, now):
        if row.request.fingerprint not in ('', request.fingerprint):
            return [self._refuse(request, fence.ID_REUSED, now)]
        row.awaited_until = max(row.awaited_until, request.deadline_at)
        if row.stage is active.Stage.LINGERING:
            return [self._refuse(request, fence.MAY_RUN, now)]
        row.tickets.append(request.ticket)
        self._log(request, 'join', f'already {row.stage.value}')
        return []

    def _enqueue(self, request, now):
        if not self._has_connection() or not self._fits_deadline(request, now):
            return [self._refuse(request, fence.OVERLOAD, now)]
        effs = []
        if self._is_queue_full():
            displaced = self._active.find_displaced(request)
            if not displaced:
                return [self._refuse(request, fence.OVERLOAD, now)]
            effs = self._reject(displaced, fence.DISPLACED, now)
        row = self._active.enqueue(request, now)
        effs += self._start_next(now)
        if row.stage is active.Stage.QUEUED:
            self._log(request, 'queue', 'no slot is free')
        return effs

    def _has_dedup_room(self, now):
        return self._dedup.has_room(len(self._active), now)

    def _has_connection(self):
        return self.connections_used < self._limits.connections

    def _has_free_slot(self):
        return self.slots_used < self._limits.slots

    def _is_queue_full(self):
        if self._active.queued < self._limits.queue:
            return False
        return self._active.queued > 0 or not self._has_free_slot()

    def _fits_deadline(self, request, now):
        if self._has_free_slot() and not self._active.queued:
            return True
        ahead = self._active.count_ahead(request) + 1
        request_slots = max(self._limits.slots - self._jobs.used, 1)
        wait = self._averages.service_time * (ahead / request_slots)
        return now + wait <= request.deadline_at

    def _start_next(self, now):
        effs = []
        while self._has_free_slot():
            started = self._start_one(now)
            if not started:
                break
            effs += started
        return effs

    def _start_one(self, now):
        lease_refusal = self._fence.check_lease(now)
        if not self._active.has_urgent() and not lease_refusal:
            free = self._limits.slots - self.slots_used
            job = self._jobs.start_next(free)
            if job is not None:
                return [job]
        row = self._active.pop_next()
        if row is None:
            return []
        refusal = self._fence.check_start(row.request, now)
        if refusal is not None:
            return self._reject(row.request.request_id, refusal, now)
        self._active.start(row, now)
        self._log(row.request, 'run', 'a slot is free')
        return [
            effects.Run(
                ticket=row.tickets[0], request_id=row.request.request_id
            )
        ]

    def _end(self, request_id, result, now):
        row = self._active.remove(request_id)
        if result.outcome != errors.Outcome.NOT_RUN:
            request = row.request
            # Until then, an entry may ask what became of its dispatch.
            retained_from = max(now, row.awaited_until)
            record = dedup.Record(
                fingerprint=request.fingerprint,
                ran=True,
                retryable=request.idempotent and bool(result.code),
                expires_at=retained_from + self._limits.result_retention,
                result=result,
            )
            self._dedup.store(request_id, record)
        return _reply_all(row, result) + self._start_next(now)

    def _reject(self, request_id, refusal, now):
        """Refuse a queued request; reply to all of its dispatches."""
        row = self._active.remove(request_id)
        result = self._build_refusal(row.request, refusal, now)
        return _reply_all(row, result)

    def _refuse(self, request, refusal, now):
        """Refuse one dispatch."""
        return _build_reply(
            request, self._build_refusal(request, refusal, now)
        )

    def _build_refusal(self, request, refusal, now):
        retry_after = None
        if refusal.code == 'overload':
            retry_after = self._averages.service_time
        outcome = self._infer_outcome(request.request_id, now)
        self._log(request, 'refuse', refusal.reason, code=refusal.code)
        return effects.Result(
            code=refusal.code,
            message=refusal.reason,
            outcome=outcome,
            retry_after=retry_after,
        )

    def _infer_outcome(self, request_id, now):
        """Return the outcome to report for a request that is refused."""
        record = self._dedup.find(request_id, now)
        if record is not None and record.ran:
            return errors.Outcome.UNKNOWN
        if self._active.find(request_id) is not None:
            return errors.Outcome.UNKNOWN
        return errors.Outcome.NOT_RUN

    def _revoke(self, request_id, row, now):
        """Return the state of a revoked request.

        Stores a tombstone unless the request may have run. ``STARTED`` means
        that it may have run: also where no tombstone fits, or where records
        may be missing.
        """
        if row is not None and row.stage is not active.Stage.QUEUED:
            return effects.RunState.STARTED
        record = self._dedup.find(request_id, now)
        if record is not None and record.ran:
            failed = bool(record.result.code)
            return (
                effects.RunState.STARTED
                if failed
                else effects.RunState.FINISHED
            )
        if not self._has_dedup_room(now):
            return effects.RunState.STARTED
        self._store_tombstone(request_id, row, now)
        if row is None and not self._dedup.is_complete(now):
            return effects.RunState.STARTED
        return effects.RunState.NOT_RUN

    def _store_tombstone(self, request_id, row, now):
        """Store a tombstone, which prevents the request from starting."""
        record = dedup.Record(
            fingerprint=row.request.fingerprint if row else '',
            ran=False,
            retryable=False,
            expires_at=now + self._limits.horizon,
            result=effects.Result(
                code=fence.REVOKED.code,
                message=fence.REVOKED.reason,
                outcome=errors.Outcome.NOT_RUN,
            ),
        )
        self._dedup.store(request_id, record)

    def _log(self, request, decision, reason, **terms):
        log.log_decision(
            _logger,
            decision,
            reason=reason,
            request_id=request.request_id,
            slots_used=self.slots_used,
            queued=self._active.queued,
            **terms,
        )


def _build_reply(request, result):
    return effects.Reply(
        ticket=request.ticket, request_id=request.request_id, result=result
    )


def _reply_all(row, result):
    return [
        effects.Reply(
            ticket=ticket, request_id=row.request.request_id, result=result
        )
        for ticket in row.tickets
    ]
