"""Request core: the state machine of requests, from arrival to response.

The core performs no I/O. Each method takes one event and returns effects;
``EntryService`` performs them and passes their results back as events.
"""

import datetime

from bilberryhaven.entry import admission
from bilberryhaven.entry import budget
from bilberryhaven.entry import claims
from bilberryhaven.entry import effect
from bilberryhaven.entry import reply_checks
from bilberryhaven.entry import request_state
from bilberryhaven.entry import responses
from bilberryhaven.entry import revocation
from bilberryhaven.entry import routing
from bilberryhaven import errors
from bilberryhaven.wire import limits as wire_limits

__all__ = ['RequestCore']

MILLISECOND = datetime.timedelta(milliseconds=1)
HOP_MARGIN = 2 * MILLISECOND
MAX_RESYNC = 500 * MILLISECOND
# From an agent's deadline to the arrival of its reply at the latest.
REPLY_MARGIN = 1000 * MILLISECOND


class RequestCore:
    """State machine that decides the next step of each request.

    Args:
        name: Name of the entry.
        view: Its ``View``.
        policy: The ``RoutePolicy``.
        clock: Source of time.
        random: Source of random numbers.
        limits: Its ``Limits``.
        response_cache: Its ``ResponseCache``.
    """

    def __init__(
        self,
        *,
        name,
        view,
        policy,
        clock,
        random,
        limits=None,
        response_cache=None,
    ):
        self.name = name
        self.limits = limits or request_state.Limits()
        self._view = view
        self._clock = clock
        self._router = routing.Router(
            view=view, policy=policy, random=random, clock=clock
        )
        self.admission = admission.AdmissionControl(
            view=view, router=self._router, limits=self.limits
        )
        self.budgets = budget.RetryBudgets(limits=self.limits)
        self._response_cache = response_cache or responses.ResponseCache()
        self._holder_names = claims.HolderNames(name=name)
        self._pending = {}

    def __len__(self):
        return len(self._pending)

    def submit(self, caller, request):
        """Handle a new request.

        Args:
            caller: Opaque key of the caller, returned with the response.
            request: The ``Request``.
        """
        now = self._clock.monotonic()
        fingerprint = request_state.compute_fingerprint(request)
        try:
            found = self._find_duplicate(caller, request, fingerprint, now)
            if found is not None:
                return found
            workload = self.admission.check(request, len(self), now)
        except errors.BilberryhavenError as error:
            return [admission.build_refusal(caller, request, error)]
        self.budgets.add_request()
        timeout = min(request.timeout, self.limits.max_timeout)
        pending = request_state.PendingRequest(
            request=request,
            fingerprint=fingerprint,
            deadline=now + timeout,
            repeatable=workload.repeatable,
            callers=[caller],
        )
        self._pending[request.id] = pending
        if not workload.repeatable:
            return self._claim(pending, now)
        return self._dispatch(pending, now)

    def handle_claim(self, claim, *, granted, error=None):
        """Handle the result of a ``Claim``.

        Args:
            claim: The ``Claim``.
            granted: Whether the leader granted the claim.
            error: The error where it was not granted.
        """
        pending = self._find(claim.request_id, request_state.Step.CLAIM)
        if pending is None or pending.holder != claim.holder:
            return []
        if not granted:
            return self._finish_error(pending, error)
        return self._resume(pending)

    def handle_reply(self, dispatch, reply):
        """Handle the agent's ``AdmitReply`` to a ``Dispatch``."""
        now = self._clock.monotonic()
        if not self._complete_dispatch(dispatch):
            return []
        integrity_error = reply_checks.check_integrity(dispatch, reply)
        if integrity_error is None:
            self._view.apply_load(dispatch.target, reply.load, at=now)
        pending = self._find_by_dispatch(dispatch)
        if integrity_error is not None:
            self._router.record_failure(dispatch)
            return (
                self._handle_unknown_outcome(pending, integrity_error, now)
                if pending
                else []
            )
        if not reply.code:
            self._router.record_success(dispatch)
            return (
                self._finish_success(pending, dispatch, reply)
                if pending
                else []
            )
        error = reply_checks.build_reply_error(dispatch, reply)
        if reply_checks.is_instance_failure(error):
            self._router.record_failure(dispatch)
        return self._handle_error(pending, error, now) if pending else []

    def handle_dispatch_error(self, dispatch, error):
        """Handle a ``Dispatch`` that failed without a complete reply.

        Args:
            dispatch: The ``Dispatch``.
            error: A ``BilberryhavenError`` that carries the outcome.
        """
        if not self._complete_dispatch(dispatch):
            return []
        now = self._clock.monotonic()
        self._router.record_failure(dispatch)
        pending = self._find_by_dispatch(dispatch)
        if pending is None:
            return []
        if error.outcome == errors.Outcome.NOT_RUN:
            return self._handle_error(pending, error, now, not_accepted=True)
        return self._handle_unknown_outcome(pending, error, now)

    def handle_revoked(self, revoke, state, *, incarnation=0):
        """Handle the result of a ``Revoke``.

        Args:
            revoke: The ``Revoke``.
            state: State that the agent reported: ``not_run``, ``started``
                or ``finished``; empty if there was no reply.
            incarnation: Incarnation of the agent that replied, 0 if unknown.
        """
        pending = self._find(revoke.request_id, request_state.Step.REVOKE)
        if pending is None or pending.dispatch is not revoke.dispatch:
            return []
        error = pending.last_error
        now = self._clock.monotonic()
        if not revocation.is_addressee(revoke.dispatch, incarnation):
            state = ''
        if state == 'not_run' and revocation.is_recorded(revoke.dispatch, now):
            error.outcome = errors.Outcome.NOT_RUN
            return self._handle_error(pending, error, now)
        if state == 'finished':
            error.outcome = errors.Outcome.RAN
        if pending.is_retry_safe:
            return self._retry(pending, error, now)
        return self._finish_error(pending, error)

    def handle_synced(self, request_id):
        """Handle the end of a ``Resync``."""
        pending = self._find(request_id, request_state.Step.RESYNC)
        return [] if pending is None else self._resume(pending)

    def cancel(self, request_id):
        """Cancel a request: revoke its dispatch and allow no more retries."""
        pending = self._pending.get(request_id)
        if pending is None or pending.cancelled:
            return []
        pending.cancelled = True
        if pending.step is request_state.Step.DISPATCH:
            now = self._clock.monotonic()
            return [revocation.build_revoke(pending, now, awaited=False)]
        return []

    def is_pending(self, request_id):
        """Return whether a request is in progress."""
        return request_id in self._pending

    def list_pending_ids(self):
        """Return the ids of the requests in progress."""
        return list(self._pending)

    def handle_caller_timeout(self, caller, request_id):
        """Handle the time-out of a caller; it gets a deadline error."""
        pending = self._pending.get(request_id)
        if pending is None or caller not in pending.callers:
            return []
        if pending.callers == [caller]:
            return self._expire(pending)
        pending.callers.remove(caller)
        error = reply_checks.build_deadline_error(pending)
        error.request_id = request_id
        response = responses.Response(request_id=request_id, error=error)
        return [effect.Respond(caller=caller, response=response)]

    def tick(self):
        """Expire the requests that are past their deadline."""
        now = self._clock.monotonic()
        effects = []
        for pending in list(self._pending.values()):
            if now >= pending.deadline:
                effects += self._expire(pending)
        return effects

    def _resume(self, pending):
        """Dispatch a request after a claim or resync, unless cancelled."""
        if pending.cancelled:
            error = errors.RefusedError(
                'the request was cancelled', step='cancel'
            )
            return self._finish_error(pending, error)
        return self._dispatch(pending, self._clock.monotonic())

    def _expire(self, pending):
        error = reply_checks.build_deadline_error(pending)
        if pending.step in (
            request_state.Step.CLAIM,
            request_state.Step.RESYNC,
        ):
            error.outcome = errors.Outcome.NOT_RUN
        return self._finish_error(pending, error)

    def _find_duplicate(self, caller, request, fingerprint, now):
        stored = self._response_cache.find(request.id, now)
        pending = self._pending.get(request.id)
        if stored is None and pending is None:
            return None
        known = stored[0] if stored is not None else pending.fingerprint
        admission.check_fingerprint(known, fingerprint)
        if stored is not None:
            return [effect.Respond(caller=caller, response=stored[1])]
        self.admission.join(pending, caller)
        return []

    def _claim(self, pending, now):
        request = pending.request
        pending.holder = self._holder_names.pick(request.id)
        pending.step = request_state.Step.CLAIM
        timeout = pending.deadline - now
        return [
            effect.Claim(
                request_id=request.id,
                workload=request.workload,
                holder=pending.holder,
                timeout=timeout,
            )
        ]

    def _dispatch(self, pending, now):
        request = pending.request
        revocation_reserve = request_state.compute_revocation_reserve(request)
        remaining = pending.deadline - revocation_reserve - now
        try:
            self.admission.check_lease(now)
            choice = self._router.choose(
                request, excluded=pending.excluded, remaining=remaining
            )
        except errors.UnavailableError as error:
            return self._renew_view_or_finish(pending, error, now)
        except errors.BilberryhavenError as error:
            return self._finish_error(pending, pending.last_error or error)
        target = choice.target
        pending.attempts += 1
        pending.step = request_state.Step.DISPATCH
        pending.last_error = None
        network_time = target.round_trip_ms * MILLISECOND + HOP_MARGIN
        deadline = min(remaining - network_time, wire_limits.MAX_DEADLINE)
        deadline_ms = max(int(deadline / MILLISECOND), 1)
        latest_reply = wire_limits.MAX_DEADLINE + network_time + REPLY_MARGIN
        pending.dispatch = effect.Dispatch(
            request_id=request.id,
            target=target,
            address=target.address,
            message=routing.build_admit_request(
                request,
                entry=self.name,
                deadline_ms=deadline_ms,
                attempt=pending.attempts,
                incarnation=target.incarnation,
                revision=self._view.revision,
            ),
            timeout=min(remaining, latest_reply),
            sent_at=now,
        )
        target.in_flight += 1
        return [pending.dispatch]

    def _renew_view_or_finish(self, pending, error, now):
        """Renew the view where it offers no instance for the request."""
        last = pending.last_error or error
        ran = {pending.previous_outcome, last.outcome} != {
            errors.Outcome.NOT_RUN
        }
        final = ran or last.code not in reply_checks.TRANSIENT_ERROR_CODES
        if (
            pending.view_renewed
            or final
            or not request_state.has_time_for_retry(pending, now)
        ):
            return self._finish_error(pending, last)
        if pending.attempts and not self.budgets.take(not_accepted=True):
            return self._finish_error(pending, last)
        pending.excluded.clear()
        return [self._resync(pending, now)]

    def _resync(self, pending, now):
        pending.step = request_state.Step.RESYNC
        pending.view_renewed = True
        timeout = min(MAX_RESYNC, pending.deadline - now)
        return effect.Resync(request_id=pending.request.id, timeout=timeout)

    def _complete_dispatch(self, dispatch):
        if dispatch.settled:
            return False
        dispatch.settled = True
        dispatch.target.finish_request()
        return True

    def _finish_success(self, pending, dispatch, reply):
        response = responses.Response(
            request_id=pending.request.id,
            instance=dispatch.target.name,
            body=reply.body,
        )
        return self._finish(pending, response)

    def _handle_error(self, pending, error, now, not_accepted=False):
        """Retry or finish a request after an attempt failed with ``error``."""
        if error.code in reply_checks.CALLER_ERROR_CODES:
            return self._finish_error(pending, error)
        if error.outcome == errors.Outcome.NOT_RUN or (
            error.outcome == errors.Outcome.RAN and pending.is_retry_safe
        ):
            return self._retry(pending, error, now, not_accepted=not_accepted)
        if error.outcome == errors.Outcome.UNKNOWN:
            return self._handle_unknown_outcome(pending, error, now)
        return self._finish_error(pending, error)

    def _handle_unknown_outcome(self, pending, error, now):
        """Revoke an attempt whose outcome is unknown, and retry if safe."""
        pending.last_error = error
        if pending.is_retry_safe and request_state.has_time_for_retry(
            pending, now
        ):
            revoke = revocation.build_revoke(pending, now, awaited=False)
            return [revoke, *self._retry(pending, error, now)]
        if now >= pending.deadline:
            return self._finish_error(pending, error)
        pending.step = request_state.Step.REVOKE
        return [revocation.build_revoke(pending, now, awaited=True)]

    def _retry(self, pending, error, now, not_accepted=False):
        pending.last_error = error
        if error.outcome != errors.Outcome.NOT_RUN:
            pending.previous_outcome = error.outcome
        refused = error.code == errors.RefusedError.code
        refused = refused and not pending.view_renewed
        if not refused:
            pending.excluded.append(pending.dispatch.target)
        if not self._may_retry(pending, now, not_accepted or refused):
            return self._finish_error(pending, error)
        if refused:
            return [self._resync(pending, now)]
        return self._dispatch(pending, now)

    def _may_retry(self, pending, now, not_accepted):
        if pending.cancelled or not request_state.has_time_for_retry(
            pending, now
        ):
            return False
        if pending.attempts >= self.limits.attempts:
            return False
        return self.budgets.take(not_accepted=not_accepted)

    def _find(self, request_id, step):
        pending = self._pending.get(request_id)
        return pending if pending and pending.step is step else None

    def _find_by_dispatch(self, dispatch):
        pending = self._pending.get(dispatch.request_id)
        if pending is None or pending.dispatch is not dispatch:
            return None
        return pending if pending.step is request_state.Step.DISPATCH else None

    def _finish_error(self, pending, error):
        if error is None:
            error = reply_checks.build_deadline_error(pending)
        error.request_id = pending.request.id
        if error.outcome == errors.Outcome.NOT_RUN:
            error.outcome = pending.previous_outcome
        response = responses.Response(
            request_id=pending.request.id, error=error
        )
        return self._finish(pending, response)

    def _finish(self, pending, response):
        del self._pending[pending.request.id]
        if pending.holder:
            self._holder_names.record_end(
                pending.request.id,
                pending.holder,
                response.error and response.error.outcome,
            )
        if (
            pending.request.has_idempotency_key
            and request_state.must_store_response(pending, response.error)
        ):
            self._response_cache.put(
                response,
                fingerprint=pending.fingerprint,
                now=self._clock.monotonic(),
            )
        return [
            effect.Respond(caller=caller, response=response)
            for caller in pending.callers
        ]
