"""I/O shell of the request core: performs its effects on the network."""

import concurrent.futures
import datetime
import threading

from bilberryhaven.entry import effect
from bilberryhaven.entry import sync
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['EntryService']

BACKGROUND_THREADS = 4
MIN_TIMEOUT = datetime.timedelta(milliseconds=1)

_logger = log.get_logger('entry')


class EntryService:
    """Runs each request through the core, in its caller's thread.

    Args:
        name: Name of the entry.
        core: A ``RequestCore``.
        view: Its ``View``.
        lock: Lock that guards core and view.
        client: A ``wire`` client for agents.
        leader: A ``LeaderClient``.
        syncer: Reference of the ``SyncActor``.
        clock: Source of time.
        metrics: The entry's ``Metrics``.
    """

    def __init__(
        self,
        *,
        name,
        core,
        view,
        lock,
        client,
        leader,
        syncer,
        clock,
        metrics,
    ):
        self._name = name
        self._core = core
        self._view = view
        self._lock = lock
        self._client = client
        self._leader = leader
        self._syncer = syncer
        self._clock = clock
        self._metrics = metrics
        self._background = concurrent.futures.ThreadPoolExecutor(
            max_workers=BACKGROUND_THREADS, thread_name_prefix='revoke'
        )
        self._idle = threading.Condition()
        self._active = 0

    @property
    def pending(self):
        """Number of calls of ``execute`` in progress."""
        return self._active

    def is_ready(self):
        """Return whether the entry accepts new requests."""
        with self._lock:
            has_lease_now = self._view.has_lease(self._clock.monotonic())
            return has_lease_now and not self._core.admission.draining

    def execute(self, request):
        """Run a ``Request`` and return its ``Response``; blocks until then."""
        started_at = self._clock.monotonic()
        caller = concurrent.futures.Future()
        with self._idle:
            self._active += 1
        try:
            with self._lock:
                effects = self._core.submit(caller, request)
            self._run_effects(effects)
            response = self._wait(caller, request, started_at)
        finally:
            with self._idle:
                self._active -= 1
                self._idle.notify_all()
        elapsed = self._clock.monotonic() - started_at
        self._metrics.count_response(response, elapsed)
        return response

    def cancel(self, request_id):
        """Cancel a request; return whether it was in progress."""
        with self._lock:
            was_pending = self._core.is_pending(request_id)
            effects = self._core.cancel(request_id)
        self._run_effects(effects)
        return was_pending

    def expire_requests(self):
        """Expire the requests that are past their deadline."""
        with self._lock:
            effects = self._core.tick()
        self._run_effects(effects)

    def drain(self, timeout):
        """Refuse new requests and wait for those in progress.

        Args:
            timeout: Maximum wait, as a timedelta.

        Returns:
            Whether no request is in progress any more.
        """
        with self._lock:
            self._core.admission.draining = True
        with self._idle:
            return self._idle.wait_for(
                lambda: not self._active, timeout.total_seconds()
            )

    def close(self):
        """Shut down the background threads."""
        self._background.shutdown(wait=False, cancel_futures=True)

    def _wait(self, caller, request, started_at):
        """Return the caller's response, at its own deadline at the latest."""
        limit = started_at + request.timeout - self._clock.monotonic()
        try:
            return caller.result(max(limit, MIN_TIMEOUT).total_seconds())
        except concurrent.futures.TimeoutError:
            with self._lock:
                effects = self._core.handle_caller_timeout(caller, request.id)
            self._run_effects(effects)
            return caller.result()

    def _run_effects(self, effects):
        queue = list(effects)
        while queue:
            item = queue.pop(0)
            if isinstance(item, effect.Respond):
                item.caller.set_result(item.response)
            elif isinstance(item, effect.Revoke) and not item.awaited:
                self._background.submit(self._revoke, item)
            else:
                queue += self._run_effect(item)

    def _run_effect(self, item):
        if isinstance(item, effect.Dispatch):
            return self._dispatch(item)
        if isinstance(item, effect.Revoke):
            return self._await_revoke(item)
        if isinstance(item, effect.Claim):
            return self._claim(item)
        self._renew_view(item.timeout)
        with self._lock:
            return self._core.handle_synced(item.request_id)

    def _dispatch(self, item):
        self._metrics.count_dispatch()
        try:
            reply = self._client.send(
                item.address,
                item.message,
                timeout=item.timeout,
                step='dispatch',
            )
            if not isinstance(reply, message.AdmitReply):
                raise errors.PeerError(
                    'unexpected type of reply to an admit request',
                    step='dispatch',
                    peer=item.address,
                )
        except errors.BilberryhavenError as error:
            with self._lock:
                return self._core.handle_dispatch_error(item, error)
        except Exception as error:  # noqa: BLE001
            _logger.exception('unhandled exception during a dispatch')
            fault = errors.InternalError(repr(error), step='dispatch')
            with self._lock:
                return self._core.handle_dispatch_error(item, fault)
        with self._lock:
            return self._core.handle_reply(item, reply)

    def _await_revoke(self, item):
        state, incarnation = self._revoke(item)
        with self._lock:
            return self._core.handle_revoked(
                item, state, incarnation=incarnation
            )

    def _revoke(self, item):
        """Return the state and the incarnation of the agent that says so."""
        request = message.RevokeRequest(
            request_ids=[item.request_id], entry=self._name
        )
        try:
            reply = self._client.send(
                item.address, request, timeout=item.timeout, step='revoke'
            )
            return reply.states[0], reply.load.incarnation
        except (errors.BilberryhavenError, AttributeError, IndexError):
            return '', 0

    def _claim(self, item):
        request = message.ClaimRequest(
            request_id=item.request_id,
            workload=item.workload,
            entry=item.holder,
        )
        error = None
        granted = False
        try:
            reply = self._leader.send(
                request, timeout=item.timeout, step='claim'
            )
            granted = reply.granted
            if not granted:
                error = _build_claim_conflict(reply.holder)
        except errors.RefusedError as refusal:
            granted = refusal.peer == item.holder
            error = refusal
        except errors.BilberryhavenError as fault:
            fault.outcome = errors.Outcome.NOT_RUN
            error = fault
        with self._lock:
            return self._core.handle_claim(item, granted=granted, error=error)

    def _renew_view(self, timeout):
        renewal = sync.Renew(requested_at=self._clock.monotonic())
        future = self._syncer.ask(renewal, block=False)
        try:
            future.get(timeout=timeout.total_seconds())
        except Exception as error:  # noqa: BLE001
            _logger.warning('could not renew the view in time: {!r}', error)


def _build_claim_conflict(holder):
    return errors.RefusedError(
        'the request id is already claimed by another holder',
        step='claim',
        peer=holder,
        outcome=errors.Outcome.UNKNOWN,
    )
