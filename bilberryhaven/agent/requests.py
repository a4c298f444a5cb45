"""Handler of requests from entries: admits, runs and answers them."""

import datetime
import itertools
import queue

from bilberryhaven.agent import effects
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven.wire import message

__all__ = ['RequestHandler']

MILLISECOND = datetime.timedelta(milliseconds=1)
DEFAULT_DEADLINE = clocks.seconds(30)
REPLY_GRACE = clocks.seconds(0.02)


class RequestHandler:
    """Answers ``AdmitRequest`` and ``RevokeRequest``.

    Args:
        admission: Proxy of the ``AdmissionActor``.
        backend: The ``BackendClient``.
        clock: Source of the monotonic time.
        on_backend_failure: Called when a request failed at the backend
            server and it isn't certain that it ran.
    """

    def __init__(self, *, admission, backend, clock, on_backend_failure):
        self._admission = admission
        self._backend = backend
        self._clock = clock
        self._on_backend_failure = on_backend_failure
        self._tickets = itertools.count(1)

    def admit(self, msg):
        """Admit and run a request; block until its ``AdmitReply``."""
        request = self._build_request(msg)
        reply_queue = queue.SimpleQueue()
        self._admission.admit.defer(request, reply_queue)
        while True:
            effect, load = self._wait(reply_queue, request.deadline_at)
            if isinstance(effect, effects.Reply):
                return _build_reply(msg.request_id, effect.result, load)
            self._run(msg, request.deadline_at)

    def revoke(self, msg):
        """Revoke requests and return the ``RevokeReply``."""
        states, load = self._admission.revoke(msg.request_ids).get()
        return message.RevokeReply(states=states, load=load)

    def _build_request(self, msg):
        wait = msg.deadline_ms * MILLISECOND or DEFAULT_DEADLINE
        content = msg.workload.encode() + b'\0' + msg.body
        return effects.Request(
            ticket=next(self._tickets),
            request_id=msg.request_id,
            fingerprint=util.compute_digest(content),
            deadline_at=self._clock.monotonic() + wait,
            urgent=msg.urgent,
            idempotent=msg.idempotent,
            revision=msg.revision,
            incarnation=msg.incarnation,
        )

    def _wait(self, reply_queue, deadline_at):
        while True:
            remaining = deadline_at + REPLY_GRACE - self._clock.monotonic()
            try:
                return reply_queue.get(
                    timeout=max(remaining, REPLY_GRACE).total_seconds()
                )
            except queue.Empty:
                self._admission.tick.defer()

    def _run(self, msg, deadline_at):
        remaining = max(deadline_at - self._clock.monotonic(), MILLISECOND)
        try:
            body = self._backend.run_request(
                msg.request_id, msg.workload, msg.body, remaining
            )
        except errors.BilberryhavenError as error:
            self._fail(msg.request_id, error.code, str(error), error.outcome)
        except Exception as error:  # noqa: BLE001
            unknown = errors.Outcome.UNKNOWN
            self._fail(msg.request_id, 'internal', repr(error), unknown)
        else:
            self._admission.complete.defer(msg.request_id, body)

    def _fail(self, request_id, code, reason, outcome):
        self._admission.fail.defer(request_id, code, reason, outcome)
        if outcome != errors.Outcome.RAN:
            self._on_backend_failure()


def _build_reply(request_id, result, load):
    outcome = str(result.outcome) if result.code else ''
    retry_after = result.retry_after or datetime.timedelta()
    return message.AdmitReply(
        request_id=request_id,
        code=result.code,
        message=result.message,
        step='admit' if result.code else '',
        outcome=outcome,
        body=result.body,
        length=len(result.body),
        digest='' if result.code else util.compute_digest(result.body),
        load=load,
        retry_after_ms=retry_after // MILLISECOND,
    )
