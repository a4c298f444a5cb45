"""Reporter: sends heartbeats, forwards leases and executes job orders."""

import dataclasses
import datetime

from bilberryhaven import actor
from bilberryhaven.agent import actors
from bilberryhaven.agent import effects
from bilberryhaven.agent import job
from bilberryhaven.agent import jobs
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['Beat', 'HEARTBEAT_INTERVAL', 'Leave', 'ReporterActor']

HEARTBEAT_INTERVAL = clocks.seconds(1)
USAGE_INTERVAL = clocks.seconds(2)
LEASE_MARGIN = clocks.seconds(0.5)
MILLISECOND = datetime.timedelta(milliseconds=1)
NO_TIME = datetime.timedelta()

_logger = log.get_logger('reporter')


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Beat:
    """Message: send a heartbeat now."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Leave:
    """Message: report that the agent is leaving, from now on."""


class ReporterActor(actor.ResilientActor):
    """Renews the session and reconciles jobs with control's orders.

    Args:
        session: The ``Session``.
        admission: Proxy of the ``AdmissionActor``.
        backend: The ``BackendClient``.
        leader_client: The ``LeaderClient``.
        clock: Source of the monotonic time.
        owner: Name of this incarnation, as ADDRESS/INSTANCE/INCARNATION.
        on_replaced: Called once another agent is attached to the backend
            server.
    """

    def __init__(
        self,
        *,
        session,
        admission,
        backend,
        leader_client,
        clock,
        owner,
        on_replaced,
    ):
        super().__init__()
        self._session = session
        self._admission = admission
        self._backend = backend
        self._leader_client = leader_client
        self._clock = clock
        self._owner = owner
        self._on_replaced = on_replaced
        self._task_actor = None
        self._jobs = jobs.Jobs(
            report=self._report,
            hold=admission.hold_job.defer,
            release=admission.end_job.defer,
        )
        self._boot = ''
        self._replaced = False
        self._leaving = False
        self._has_left = False
        self._heartbeat_queued = False
        self._next_usage_at = NO_TIME
        self._usage = []
        self._backend_lease_until = NO_TIME

    def on_start(self):
        """Start the actor that executes task commands."""
        ref = self.actor_ref
        self._task_actor = actors.TaskActor.start(
            backend=self._backend, on_result=ref.tell
        )

    def on_stop(self):
        """Stop the actor that executes task commands."""
        self._task_actor.stop(block=False)

    def handle(self, msg):
        """Handle one message."""
        if isinstance(msg, Beat):
            self._heartbeat_queued = False
            self._send_heartbeat()
        elif isinstance(msg, Leave):
            self._leaving = True
            self._schedule_heartbeat()
        elif isinstance(msg, effects.RunJob):
            self._execute(self._jobs.run(msg.job_id, msg.epoch))
        elif isinstance(msg, effects.RefuseJob):
            self._jobs.refuse(msg.job_id, msg.epoch, msg.reason)
        elif isinstance(msg, actors.CommandDone):
            self._record_done(msg.command, msg.task)
        elif isinstance(msg, actors.CommandError):
            self._record_error(msg.command, msg.error)

    # Queries, called through a proxy

    def is_ready(self):
        """Return whether the agent has a session with a valid lease."""
        return not self._session.has_lapsed(self._clock.monotonic())

    def has_open_session(self):
        """Return whether the session is still open."""
        if self._session.has_lapsed(self._clock.monotonic()):
            return False
        return not self._has_left

    # Heartbeats

    def _send_heartbeat(self):
        self._admission.tick.defer()
        status = self._poll_backend()
        if not self._boot or self._replaced or self._has_left:
            return
        heartbeat = self._session.build_heartbeat(
            load=self._admission.get_load().get(),
            usage=self._collect_usage(status),
            running=self._jobs.list_running(),
            leaving=self._is_leaving(),
        )
        try:
            sent = self._leader_client.send(heartbeat)
        except errors.BilberryhavenError as error:
            _logger.warning('heartbeat failed: {}', error)
            return
        self._handle_reply(sent.reply, sent.sent_at, status)

    def _is_leaving(self):
        """Return whether to report that the agent is leaving.

        Control closes the session of a leaving agent that runs no jobs, so
        leaving is reported only once no request is in progress.
        """
        return self._leaving and not self._admission.has_requests().get()

    def _handle_reply(self, reply, sent_at, status):
        former_epoch = self._session.epoch
        renewed = self._session.accept(reply, sent_at)
        if former_epoch and self._session.epoch != former_epoch:
            self._admission.drop_lease.defer()
            self._execute(self._jobs.orphan_all())
        if not renewed:
            if not self._session.epoch:
                self._admission.drop_lease.defer()
                self._has_left = self._leaving
            return
        if status is not None and self._jobs.may_start_late():
            # Without a lease the server refuses the start, until the stop
            # that was sent rules it out.
            _logger.info('no lease is forwarded before a stop is answered')
            return
        if status is not None and not self._forward_lease(sent_at, status):
            return
        self._admission.renew_lease.defer(
            self._session.lease_until, self._session.revision
        )
        if status is not None:
            self._apply_orders(reply)
        self._execute(
            self._jobs.forget_acknowledged(
                self._session.pending_events, self._clock.monotonic()
            )
        )

    def _forward_lease(self, sent_at, status):
        """Extend the backend server's lease; return whether that succeeded."""
        until = sent_at + self._session.lease
        self._backend_lease_until = max(self._backend_lease_until, until)
        try:
            self._backend.renew_lease(
                self._session.epoch, self._session.lease, status.ticket
            )
        except errors.BilberryhavenError as error:
            _logger.warning(
                'could not forward the lease to the backend server: {}', error
            )
            return False
        return True

    def _apply_orders(self, reply):
        now = self._clock.monotonic()
        if not self._leaving:
            new_orders, commands = self._jobs.apply_starts(reply.starts, now)
            self._execute(commands)
            for order in new_orders:
                self._admission.start_job.defer(
                    order.job_id, order.epoch, order.slots
                )
        self._execute(self._jobs.apply_stops(reply.stops))
        self._execute(self._jobs.apply_throttles(reply.throttles))

    # Backend server

    def _poll_backend(self):
        """Reconcile with the backend server; return its ``Status`` or None."""
        try:
            status = self._get_status()
        except errors.BilberryhavenError as error:
            self._handle_backend_error(error)
            return None
        now = self._clock.monotonic()
        self._execute(self._jobs.observe(status, self._session.epoch, now))
        self._resolve_lingering()
        return status

    def _get_status(self):
        if not self._boot:
            return self._attach()
        status = self._backend.get_status()
        if status.boot != self._boot:
            return self._attach()
        if status.owner != self._owner:
            self._handle_replacement(status.owner)
        return status

    def _attach(self):
        status = self._backend.attach()
        self._admission.adopt.defer([row.id for row in status.requests])
        if not self._boot:
            self._resume(status)
        self._boot = status.boot
        return status

    def _handle_replacement(self, owner):
        _logger.warning('agent {} has taken over the backend server', owner)
        self._replaced = True
        self._admission.drop_lease.defer()
        self._on_replaced()

    def _resume(self, status):
        """Resume the session of an earlier incarnation if its lease is valid.

        Only an agent of the same instance at the same address is an earlier
        incarnation. Sessions of other instances have the same numbers.
        """
        lease = status.lease_remaining_ms * MILLISECOND
        former = status.former_owner.rpartition('/')[0]
        if not lease or former != self._owner.rpartition('/')[0]:
            return
        _logger.info(
            'resuming session {} of an earlier incarnation', status.session
        )
        self._session.resume(status.session)
        self._jobs.resume()
        # The rest of the lease was measured before the answer arrived.
        self._backend_lease_until = self._clock.monotonic() + lease

    def _handle_backend_error(self, error):
        _logger.warning('the backend server does not answer: {}', error)
        lapsed = (
            self._clock.monotonic() > self._backend_lease_until + LEASE_MARGIN
        )
        if lapsed:
            self._jobs.end_active_jobs('the backend server did not answer')

    def _resolve_lingering(self):
        for request_id in self._admission.list_lingering().get():
            try:
                state = self._backend.revoke_request(request_id).state
            except errors.BilberryhavenError as error:
                _logger.warning(
                    'could not resolve the state of request {}: {}',
                    request_id,
                    error,
                )
                return
            self._admission.resolve.defer(request_id, state)

    def _collect_usage(self, status):
        now = self._clock.monotonic()
        if status is None or now < self._next_usage_at:
            return []
        self._next_usage_at = now + USAGE_INTERVAL
        try:
            report = self._backend.get_usage()
        except errors.BilberryhavenError as error:
            _logger.warning(
                'could not read usage from the backend server: {}', error
            )
            return []
        return [
            message.Usage(
                workload=item.workload,
                job_id=item.job_id,
                age_ms=report.age_ms,
                cpu=item.cpu,
                memory_mb=item.memory_mb,
                latency_ms=item.latency_ms,
                load=item.load,
                progress=item.progress,
            )
            for item in report.usage
        ]

    # Commands

    def _execute(self, commands):
        task_actor = self._task_actor.proxy()
        for command in commands:
            task_actor.execute.defer(command, self._session.epoch)

    def _record_done(self, command, task):
        now = self._clock.monotonic()
        if isinstance(command, job.StartTask):
            self._jobs.record_status(task, command.order.epoch)
        elif isinstance(command, job.StopTask):
            self._jobs.record_stopped(task, command.epoch, now)
        elif isinstance(command, job.CheckpointTask):
            self._jobs.record_checkpoint(task, command.epoch, now)
        elif isinstance(command, job.ThrottleTask):
            self._jobs.record_throttled(task, command.epoch)
        else:
            self._jobs.record_forgotten(command.job_id, command.epoch)

    def _record_error(self, command, error):
        if not isinstance(command, job.StartTask):
            self._jobs.record_error(command.job_id, command.epoch)
            return
        known = error.outcome != errors.Outcome.UNKNOWN
        if not known and not isinstance(error, errors.PeerError):
            self._jobs.record_doubtful_start(
                command.order.job_id, command.order.epoch, str(error)
            )
            return
        lapsed = isinstance(
            error, errors.LeaseLapsedError | errors.FencedError
        )
        refused = lapsed or isinstance(error, errors.OverloadError)
        not_running = refused or not isinstance(error, errors.PeerError)
        self._jobs.record_start_error(
            command.order.job_id,
            command.order.epoch,
            str(error),
            ran=not refused,
            not_running=not_running,
        )

    def _report(self, event):
        self._session.report(event)
        self._schedule_heartbeat()

    def _schedule_heartbeat(self):
        if not self._heartbeat_queued:
            self._heartbeat_queued = True
            self.actor_ref.tell(Beat())
