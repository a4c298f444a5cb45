"""Agent that executes the leader's orders on its backend server."""

import functools
import threading
import zlib

import msgspec

from bilberryhaven import actor
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import ticker
from bilberryhaven.workflow import announced
from bilberryhaven.workflow import departure
from bilberryhaven.workflow import message
from bilberryhaven.workflow import order_calls
from bilberryhaven.workflow import pacing
from bilberryhaven.workflow import server_client
from bilberryhaven.workflow import start_permit
from bilberryhaven.workflow import supervision

__all__ = ['WorkflowAgent']

# The leader holds a poll for up to 0.5 s, so the time-out must exceed that.
POLL_TIMEOUT = clocks.seconds(1.5)
REPORT_TIMEOUT = clocks.seconds(1.5)
# Longest time that a hold call waits for an end; the backend server updates
# its measurements at the same interval.
HOLD_WAIT_MS = 400
# Pause after a failed call before it is retried.
RETRY_DELAY_S = 0.1
# Longest time for which the report of a crash delays the next session.
MAX_REPORT_DELAY = clocks.seconds(2)
MILLISECOND = clocks.seconds(0.001)
IDLE_DELAY_S = 0.05
# Time after which an announced server that didn't answer, or whose pool is
# unknown to the leader, is asked again.
CANDIDATE_INTERVAL = clocks.seconds(0.5)
# Orders are executed concurrently, so that one that gets no answer does not
# delay the others.
ORDER_ACTOR_COUNT = 6
START_ATTEMPTS = 3
StartResult = server_client.StartResult
RunPhase = supervision.RunPhase

_logger = log.get_logger('agent')


class OrderActor(actor.ResilientActor):
    """Executes orders; all orders on one run go to the same actor."""

    def handle(self, message):
        """Execute one order.

        Args:
            message: A function without arguments.
        """
        message()


class WorkflowAgent:
    """Runs tasks on the backend server of the same instance.

    Args:
        name: Name of the agent's instance.
        gateway: The ``Gateway`` to the leader.
        client: The ``ServerClient``.
        clock: The ``Clock``.
        options: The ``Options`` of workflows.
    """

    def __init__(
        self,
        *,
        name,
        gateway,
        client,
        clock,
        options,
    ):
        self._gateway = gateway
        self._client = client
        self._clock = clock
        self._options = options
        self._supervisor = supervision.RunSupervisor(agent=name)
        self._permit = start_permit.StartPermit(
            validity=options.start_validity
        )
        self._announced = announced.AnnouncedServers()
        self._departure = departure.Departure()
        self._log = log.BoundedLog(logger=_logger, clock=clock)
        self._lock = threading.Lock()
        self._reported_at = clock.monotonic()
        self._listed_runs = None
        self._answered_at = None
        # Whether the followed server has shown the start that was announced.
        self._is_confirmed = False
        self._connected = None
        self._server_reachable = None
        # Report on the session that ended last, until the leader has it.
        self._lapse_report = None
        self._lapsed_at = None
        self._stopping = threading.Event()
        self._actors = []
        self._stop_tickers = []

    def start(self):
        """Start the threads that poll the leader and renew the lease."""
        self._actors = [OrderActor.start() for _ in range(ORDER_ACTOR_COUNT)]
        self._stop_tickers = [
            ticker.Ticker.launch(
                name=name,
                func=func,
                interval=clocks.seconds(0),
                clock=self._clock,
            )
            for name, func in (
                ('poll', self._poll),
                ('hold', self._renew_lease),
            )
        ]

    def stop(self):
        """Stop the agent; runs continue until their lease expires."""
        self._stopping.set()
        for stop in self._stop_tickers:
            stop()
        for item in self._actors:
            item.stop(block=False)
        self._client.close()

    def handle_announcement(self, announcement):
        """Process a heartbeat of the backend server.

        Args:
            announcement: The ``Announcement``.
        """
        with self._lock:
            known = self._supervisor.target
            was_draining = self._supervisor.draining
            is_followed = self._supervisor.handle_announcement(announcement)
            if not is_followed:
                now = self._clock.monotonic()
                self._announced.record(announcement, now)
            starts_draining = self._supervisor.draining and not was_draining
        if starts_draining:
            self._log_follow(announcement, known, 'backend server is draining')
        if known is not None and not is_followed:
            self._log.warning(
                'announcement',
                'announced server is not followed: another one is',
                announced=announcement.identity,
                followed=known.identity,
            )

    def _log_follow(self, announcement, replaced, reason):
        log.log_decision(
            _logger,
            'follow backend server',
            reason=reason,
            backend=announcement.state.id,
            born_ms=announcement.state.born_ms,
            sequence=announcement.sequence,
            address=announcement.address,
            pool=announcement.state.pool,
            replaced=replaced and replaced.identity,
        )

    def _find_server(self):
        """Follow an announced server that answers at its address.

        Unless the followed one answers, or runs may be there.
        """
        now = self._clock.monotonic()
        with self._lock:
            answers = self._supervisor.target and self._answered_at is not None
            if self._supervisor.epoch or answers:
                return
            due = self._announced.take_due(now, now + CANDIDATE_INTERVAL)
        for announcement in due:
            try:
                is_confirmed = self._client.identify(announcement)
            except errors.BilberryhavenError as error:
                self._log.warning(
                    'identify',
                    f'announced server is not followed: {error}',
                    announced=announcement.identity,
                )
                continue
            self._follow(announcement, is_confirmed)
            return

    def _follow(self, announcement, is_confirmed):
        now = self._clock.monotonic()
        with self._lock:
            known = self._supervisor.target
            if self._supervisor.epoch:
                return
            if known is not None:
                self._announced.record(known, now)
            self._announced.remove(announcement)
            self._supervisor.follow(announcement)
            self._departure.follow(announcement)
            self._answered_at = now
            self._is_confirmed = is_confirmed
        self._log_follow(announcement, known, 'it answers at its address')

    def _leave_server(self, target, epoch, error):
        """Follow another announced server, if any.

        The leader has no registration of the server, thus no runs there.

        Args:
            target: The ``Announcement`` of the server.
            epoch: Fencing token of the poll that the leader has refused.
            error: The error that it has replied with.
        """
        now = self._clock.monotonic()
        with self._lock:
            supervisor = self._supervisor
            if supervisor.epoch != epoch or not supervisor.is_followed(target):
                return
            supervisor.follow(None)
            self._answered_at = None
            self._announced.record(target, now)
            self._announced.put_off(target, now + CANDIDATE_INTERVAL)
        self._log.warning(
            'pool', f'leader takes no server of this pool: {error}'
        )

    def handle_deregistration(self, server_id, born_ms):
        """Process the deregistration of a backend server that leaves.

        Args:
            server_id: Its id.
            born_ms: Start of its incarnation, or 0 if unknown.
        """
        with self._lock:
            self._departure.record_deregistration(server_id, born_ms)
        _logger.info(
            'backend server has deregistered', extra={'backend': server_id}
        )

    def _poll(self):
        with self._lock:
            target = self._supervisor.target
            ready = target is not None and (
                self._supervisor.epoch or self._answered_at is not None
            )
            poll = None
            if ready:
                poll = self._supervisor.build_poll(
                    refusing=self._departure.is_refusing,
                    address=target.address if self._is_confirmed else '',
                )
            lapse_report = self._lapse_report
        if poll is None:
            self._stopping.wait(IDLE_DELAY_S)
            return
        if lapse_report is not None and not poll.epoch:
            # Without the report, the runs there end with their lease only.
            self._send_lapse_report(lapse_report)
            if self._must_report_first():
                self._stopping.wait(RETRY_DELAY_S)
                return
        sent_at = self._clock.monotonic()
        try:
            reply = self._gateway.send(poll, timeout=POLL_TIMEOUT, step='poll')
        except errors.FencedError as error:
            self._reset_session(poll, error)
            self._stopping.wait(RETRY_DELAY_S)
            return
        except errors.UnknownPoolError as error:
            self._update_connected(None)
            self._leave_server(target, poll.epoch, error)
            return
        except errors.BilberryhavenError as error:
            self._update_connected(error)
            self._stopping.wait(RETRY_DELAY_S)
            return
        self._update_connected(None)
        self._dispatch_orders(poll, reply, sent_at)

    def _dispatch_orders(self, poll, reply, sent_at):
        with self._lock:
            target = self._supervisor.target
            if (
                target is None
                or target.state.id != poll.server.id
                or (target.state.born_ms != poll.server.born_ms)
            ):
                return
            if self._supervisor.epoch not in (poll.epoch, reply.epoch):
                return
            now = self._clock.monotonic()
            self._permit.update(reply, sent_at)
            former_epoch = self._supervisor.epoch
            former_runs = []
            if reply.epoch != former_epoch:
                former_runs = self._supervisor.list_runs()
            orders = self._supervisor.handle_poll_reply(reply, sent_at, now)
            target = self._supervisor.target
            epoch = reply.epoch
        if epoch != former_epoch:
            self._log_session(reply, former_epoch, former_runs)
        for order in orders:
            execute = self._start_run
            if order.kind == message.OrderKind.STOP:
                execute = self._stop_run
            index = zlib.crc32(repr(order.run).encode()) % ORDER_ACTOR_COUNT
            self._actors[index].tell(
                functools.partial(execute, target, epoch, order)
            )

    def _log_session(self, reply, former_epoch, former_runs):
        log.log_decision(
            _logger,
            'begin session',
            reason='the leader has ended the former one'
            if former_epoch
            else 'none before',
            backend=reply.key,
            epoch=reply.epoch,
            session=reply.feed,
            former_epoch=former_epoch,
            former_runs=former_runs,
            lease_ms=reply.lease_ms,
            doubt_ms=reply.doubt_ms,
            former_deadline_ms=reply.former_deadline_ms,
        )

    def _reset_session(self, poll, error):
        with self._lock:
            runs = self._supervisor.list_runs()
            if self._supervisor.epoch == poll.epoch:
                self._supervisor.reset_session()
        _logger.warning(
            'fencing token rejected, resetting session: {}',
            error,
            extra={'epoch': poll.epoch, 'runs': runs},
        )

    def _update_connected(self, error):
        connected = error is None
        if connected == self._connected:
            return
        self._connected = connected
        if connected:
            _logger.info('leader reached')
        else:
            _logger.warning('leader lost: {}', error)

    def _start_run(self, target, epoch, order):
        calls = order_calls.OrderCalls(began_at=self._clock.monotonic())
        try:
            phase, trouble = self._try_start(target, epoch, order, calls)
        except Exception:  # noqa: BLE001
            _logger.exception('start of run {} failed', order.run)
            phase, trouble = None, 'unexpected error'
        if trouble:
            outcome = 'unknown' if phase is None else 'not_run'
            self._log_start_given_up(target, order, trouble, outcome=outcome)
        self._log_calls(
            'carry out start',
            phase.value if phase else 'outcome unknown, to be stopped',
            calls,
            target,
            epoch,
            order,
        )
        if phase is None:
            # A stop makes the backend server reject the start.
            self._stop_run(target, epoch, order)
            return
        self._set_phase(epoch, order.run, phase, trouble=trouble)

    def _log_calls(self, decision, reason, calls, target, epoch, order):
        with self._lock:
            current_epoch = self._supervisor.epoch
        log.log_decision(
            _logger,
            decision,
            reason=reason,
            workflow=order.run.workflow,
            task=order.run.task,
            run=order.run.number,
            backend=target.state.id,
            born_ms=target.state.born_ms,
            epoch=epoch,
            current_epoch=current_epoch,
            **calls.describe(self._clock.monotonic()),
        )

    def _try_start(self, target, epoch, order, calls):
        """Return the (phase, trouble) pair; phase is None if unknown."""
        if not self._wait_for_listing(epoch):
            return None, 'runs of the backend server were not listed'
        trouble = ''
        # A start that got no answer may still be executed, whatever a later
        # one is answered.
        refused = RunPhase.DOUBTFUL
        for _ in range(START_ATTEMPTS):
            deadline, outcome = self._prepare_start(target, order, refused)
            if outcome is not None:
                return outcome
            if deadline is None:
                break
            try:
                result = self._send_start(
                    target, epoch, order, deadline, calls
                )
            except errors.PeerError as error:
                trouble = f'no answer to the start request: {error.message}'
                refused = None
                continue
            except errors.BilberryhavenError as error:
                return refused, error.message
            if result == StartResult.STARTED:
                self._start_pacing(target, epoch, order)
                return RunPhase.STARTED, ''
            if result != StartResult.LATE:
                return (
                    refused,
                    f'start request was answered with {result.value}',
                )
            trouble = 'start request arrived after its deadline'
        return None, trouble

    def _prepare_start(self, target, order, refused):
        """Return a deadline for a start, and its outcome if none is sent.

        Args:
            target: The ``Announcement`` of the server.
            order: The ``Order``.
            refused: The phase if a start is refused.

        Returns:
            The deadline or None, and the (phase, trouble) pair or None.
        """
        with self._lock:
            now = self._clock.monotonic()
            deadline = self._grant_deadline(now)
            allowed = self._supervisor.may_start(order.run)
            listed = self._supervisor.is_listed(order.run)
            refusal = self._find_refusal(order.run, now)
            is_refusing = self._departure.is_refusing
        if listed:
            return None, (RunPhase.STARTED, '')
        if refusal:
            self._log_start_given_up(target, order, refusal, outcome='unknown')
            # No trouble of the server: it isn't set aside for it. An
            # earlier attempt may still be executed, hence the stop.
            return None, (None, '')
        if is_refusing:
            return None, (refused, 'backend server refuses connections')
        return (deadline if allowed else None), None

    def _grant_deadline(self, now):
        """Grant all runs a deadline; the lock must be held.

        A server that refuses connections, or has been silent for a whole
        lease, must not be taken to have received a later one, or its lease
        would never expire.
        """
        answered_at = self._answered_at
        is_silent = (
            answered_at is not None and now - answered_at > self._options.lease
        )
        if self._departure.is_refusing or is_silent:
            return None
        return self._supervisor.grant_deadline(now)

    def _find_refusal(self, run, now):
        """Return why a start must not be sent, or an empty string."""
        if not self._supervisor.fits(run):
            return 'backend server has shrunk since it was planned'
        return self._permit.find_refusal(now)

    def _log_start_given_up(self, target, order, reason, *, outcome):
        log.log_decision(
            _logger,
            'give a start up',
            reason=reason,
            outcome=outcome,
            workflow=order.run.workflow,
            task=order.run.task,
            run=order.run.number,
            backend=target.state.id,
        )

    def _send_start(self, target, epoch, order, deadline_ms, calls):
        run = order.run
        sent_at = self._clock.monotonic()

        def add_call(answer):
            now = self._clock.monotonic()
            calls.add(sent_at, now, answer, deadline_ms=deadline_ms)

        with self._lock:
            evidence = self._supervisor.evidence
            self._supervisor.record_request(run, sent_at)
        try:
            result = self._client.start_run(
                target, order, deadline_ms=deadline_ms, epoch=epoch
            )
        except errors.CutOffError as error:
            add_call(error)
            with self._lock:
                evidence.record_cut(run, self._clock.monotonic())
            raise
        except errors.BilberryhavenError as error:
            add_call(error)
            with self._lock:
                evidence.discard_request(run)
            raise
        add_call(result.value)
        with self._lock:
            if result == StartResult.STARTED:
                evidence.record_start(run, self._clock.monotonic())
            else:
                evidence.discard_request(run)
        return result

    def _start_pacing(self, target, epoch, order):
        with self._lock:
            percent = self._supervisor.get_percent(order.run)
        if order.best_effort and percent < pacing.FULL_PERCENT:
            self._set_pace(target, epoch, order.run, percent)

    def _wait_for_listing(self, epoch):
        """Wait until the runs were listed with this fencing token.

        Without a listing, a newly started agent does not know which runs
        its predecessor has started.

        Returns:
            Whether they were; False if the token has changed or the agent
            is stopping.
        """
        while not self._stopping.is_set():
            with self._lock:
                if self._supervisor.epoch != epoch:
                    return False
                if self._supervisor.listed_epoch == epoch:
                    return True
            self._stopping.wait(IDLE_DELAY_S)
        return False

    def _stop_run(self, target, epoch, order):
        calls = order_calls.OrderCalls(began_at=self._clock.monotonic())
        reason, is_answered = self._repeat_stop(target, epoch, order, calls)
        if is_answered:
            self._set_phase(epoch, order.run, RunPhase.DOUBTFUL)
        self._log_calls('carry out stop', reason, calls, target, epoch, order)

    def _repeat_stop(self, target, epoch, order, calls):
        """Send a stop until it is answered.

        Returns:
            How that ended, and whether it was answered.
        """
        while not self._stopping.is_set():
            with self._lock:
                if self._supervisor.epoch != epoch:
                    return 'session has ended', False
            sent_at = self._clock.monotonic()
            answer, is_final = self._send_stop(target, epoch, order)
            calls.add(sent_at, self._clock.monotonic(), answer)
            if is_final:
                return 'answered', True
            self._stopping.wait(RETRY_DELAY_S)
        return 'agent is stopping', False

    def _send_stop(self, target, epoch, order):
        """Return the answer, and whether no other stop needs to be sent."""
        try:
            self._client.stop_run(target, order.run, epoch=epoch)
        except (errors.PeerError, errors.GoneError) as error:
            # If that incarnation has ended, the token changes soon.
            return error, False
        except errors.BilberryhavenError as error:
            _logger.warning('backend server refused to stop a run: {}', error)
            return error, True
        except Exception as error:  # noqa: BLE001
            _logger.exception('stop of run {} failed', order.run)
            return repr(error), False
        return 'stopped', True

    def _set_phase(self, epoch, run, phase, *, trouble=''):
        with self._lock:
            # A later session may have ordered the run again.
            if self._supervisor.epoch == epoch:
                now = self._clock.monotonic()
                self._supervisor.set_phase(run, phase, now, trouble=trouble)

    def _renew_lease(self):
        self._find_server()
        with self._lock:
            target = self._supervisor.target
            epoch = self._supervisor.epoch
            acked = self._supervisor.acked
            sent_at = self._clock.monotonic()
            deadline = self._grant_deadline(sent_at)
        if target is None:
            self._stopping.wait(IDLE_DELAY_S)
            return
        try:
            listing = self._hold(target, deadline, epoch, acked)
        except errors.FencedError as error:
            self._answered_at = self._clock.monotonic()
            self._log.warning(
                'fenced',
                f'backend server is controlled by a newer agent: {error}',
            )
            self._stopping.wait(RETRY_DELAY_S)
            return
        except errors.BilberryhavenError as error:
            was_reachable = self._server_reachable
            self._update_server_reachable(error)
            proof = ''
            with self._lock:
                if self._supervisor.is_followed(target):
                    now = self._clock.monotonic()
                    self._supervisor.evidence.record_failure(now)
                    if self._departure.proves_end(error):
                        proof = error.message
                    if not self._supervisor.epoch:
                        self._answered_at = None
            self._report_lapse(target, proof)
            if isinstance(error, errors.CutOffError) and was_reachable:
                # The next connection shows at once whether it has crashed.
                return
            self._stopping.wait(RETRY_DELAY_S)
            return
        self._update_server_reachable(None)
        self._answered_at = self._clock.monotonic()
        self._handle_listing(target, epoch, listing, sent_at)
        if deadline is None:
            self._stopping.wait(IDLE_DELAY_S)

    def _hold(self, target, deadline, epoch, acked):
        listing = self._client.hold(
            target,
            deadline_ms=deadline,
            epoch=epoch,
            acked=acked,
            wait_ms=HOLD_WAIT_MS if deadline is not None else 0,
        )
        if server_client.check_listing(target, listing):
            self._is_confirmed = True
        return listing

    def _update_server_reachable(self, error):
        reachable = error is None
        if reachable == self._server_reachable:
            return
        self._server_reachable = reachable
        if reachable:
            _logger.info('backend server answers')
        else:
            _logger.warning('backend server does not answer: {}', error)

    def _handle_listing(self, target, epoch, listing, sent_at):
        now = self._clock.monotonic()
        with self._lock:
            if not self._supervisor.is_followed(target):
                return
            self._departure.record_answer()
            report = self._supervisor.handle_listing(
                listing, epoch, sent_at, now
            )
            findings = self._supervisor.take_findings()
            paces = self._supervisor.list_paces()
            tails = self._supervisor.list_tail_latencies(listing.running)
            changed = self._supervisor.paces_changed
        for finding in findings:
            log.log_decision(
                _logger, **finding, backend=target.state.id, epoch=epoch
            )
        if changed:
            log.log_decision(
                _logger,
                'pace best-effort tasks',
                reason='tail latencies relative to their targets',
                share=self._supervisor.mean_percent,
                tails=[(row.latency_ms, row.target_ms) for row in tails],
                runs=len(listing.running),
            )
        for run, percent in paces:
            self._set_pace(target, epoch, run, percent)
        if (
            epoch
            and report.epoch == epoch
            and self._is_report_due(report, now)
        ):
            self._send_report(report, now)

    def _set_pace(self, target, epoch, run, percent):
        try:
            self._client.pace_run(target, run, percent=percent, epoch=epoch)
        except errors.BilberryhavenError as error:
            self._log.warning('pace', f'pace of a run was not set: {error}')
            return
        with self._lock:
            self._supervisor.record_pace(run, percent)

    def _is_report_due(self, report, now):
        if report.ends or report.trouble or self._supervisor.report_due:
            return True
        runs = {row.run for row in report.running}
        if runs != self._listed_runs:
            return True
        return now - self._reported_at >= self._options.report_interval

    def _send_report(self, report, now):
        try:
            reply = self._gateway.send(
                report, timeout=REPORT_TIMEOUT, step='report'
            )
        except errors.BilberryhavenError as error:
            _logger.debug('report could not be delivered: {}', error)
            if report.ends:
                self._stopping.wait(RETRY_DELAY_S)
            return
        self._reported_at = now
        self._listed_runs = {row.run for row in report.running}
        with self._lock:
            if self._supervisor.epoch == report.epoch:
                self._supervisor.handle_report_reply(report, reply)

    def _report_lapse(self, target, proof):
        """Report to the leader once all runs have certainly lapsed.

        Args:
            target: The ``Announcement`` of the incarnation concerned.
            proof: How that incarnation is known to have ended, or empty.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._end_lapsed_session(target, proof, now)
            if self._supervisor.epoch:
                self._lapse_report = None
            report = self._lapse_report
        if report is not None:
            self._send_lapse_report(report)

    def _send_lapse_report(self, report):
        request = self._update_crash_age(report)
        try:
            self._gateway.send(request, timeout=REPORT_TIMEOUT, step='report')
        except errors.FencedError as error:
            _logger.debug('session had ended at the leader before: {}', error)
        except errors.BilberryhavenError as error:
            _logger.debug('lapse could not be reported: {}', error)
            return
        with self._lock:
            if self._lapse_report is report:
                self._lapse_report = None

    def _must_report_first(self):
        """Return whether a crash has to be reported before the next poll."""
        now = self._clock.monotonic()
        with self._lock:
            report = self._lapse_report
            return (
                report is not None
                and report.crashed
                and now - self._lapsed_at < MAX_REPORT_DELAY
            )

    def _update_crash_age(self, report):
        """Return a lapse report with the age that the crash has now."""
        with self._lock:
            if self._lapse_report is not report or not report.crashed:
                return report
            delay = self._clock.monotonic() - self._lapsed_at
        age_ms = report.crash_age_ms + delay // MILLISECOND
        return msgspec.structs.replace(report, crash_age_ms=age_ms)

    def _end_lapsed_session(self, target, proof, now):
        supervisor = self._supervisor
        if not supervisor.epoch or not supervisor.is_followed(target):
            return
        if not proof and not supervisor.has_lapsed(
            now, self._options.lease_margin
        ):
            return
        evidence = proof or 'the granted lease has expired'
        answer_age = self._answered_at and now - self._answered_at
        leaving = self._departure.is_leaving(supervisor.target)
        crashed = (proof or self._departure.is_refusing) and not leaving
        started = supervisor.evidence.list_started(now) if crashed else []
        # The leader may act on the report later than the server answers
        # again, so nothing may run there under this token from here on.
        self._lapsed_at = now
        self._lapse_report = message.Report(
            agent=target.state.id,
            key=supervisor.key,
            epoch=supervisor.epoch,
            lapsed=True,
            crashed=bool(crashed),
            started=started,
            crash_age_ms=supervisor.evidence.get_failure_age_ms(now),
            evidence=evidence,
            evidence_age_ms=answer_age // MILLISECOND if answer_age else 0,
        )
        log.log_decision(
            _logger,
            'report lapse',
            reason=evidence,
            backend=supervisor.key,
            epoch=supervisor.epoch,
            crashed=bool(crashed),
            answer_age_s=log.round_seconds(answer_age),
            **supervisor.describe_lease(now),
            address=supervisor.target.address,
            runs=supervisor.list_runs(),
            listed=supervisor.listed_epoch == supervisor.epoch,
            unlisted=supervisor.list_unlisted(),
            started=[
                (row.run.workflow, row.run.task, row.run.number, row.age_ms)
                for row in started
            ],
        )
        self._answered_at = None
        supervisor.reset_session()
