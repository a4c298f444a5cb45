"""The agent's shell: polls, holds and orders, as actors around its rules."""

import functools
import threading
import zlib

import pykka

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import ticker
from bilberryhaven.workflow import message
from bilberryhaven.workflow import pacing
from bilberryhaven.workflow import server_client
from bilberryhaven.workflow import supervision

__all__ = ['WorkflowAgent']

# A poll is held for half a second by the leader.
POLL_TIMEOUT = clocks.seconds(1.5)
REPORT_TIMEOUT = clocks.seconds(1.5)
# Longest wait of a hold for an end; the server refreshes its figures as often.
HOLD_WAIT_MS = 400
# Pause after a fault, before the same is tried again.
FAULT_PAUSE = 0.1
IDLE_PAUSE = 0.05
# Orders are carried out side by side, so that one that isn't answered
# doesn't hold up the others.
ORDER_ACTORS = 6
START_ATTEMPTS = 3
StartResult = server_client.StartResult
RunPhase = supervision.RunPhase

_logger = log.get_logger('agent')


class OrderActor(pykka.ThreadingActor):
    """Carries out orders; those on one run go to the same actor."""

    use_daemon_thread = True

    def on_receive(self, message):
        """Run one order, a function without arguments."""
        message()


class WorkflowAgent:
    """Runs tasks on the backend server beside it.

    Args:
        name: Name of the agent's instance.
        gateway: The ``Gateway`` to the leader.
        client: The ``ServerClient``.
        clock: The ``Clock``.
        options: The ``Options`` of workflows.
        on_control_addresses: Called with the addresses of control instances.
    """

    def __init__(
        self,
        *,
        name,
        gateway,
        client,
        clock,
        options,
        on_control_addresses=None,
    ):
        self._gateway = gateway
        self._client = client
        self._clock = clock
        self._options = options
        self._on_control = on_control_addresses or (lambda addresses: None)
        self._rules = supervision.Supervision(agent=name)
        self._lock = threading.Lock()
        self._reported_at = clock.monotonic()
        self._listed_runs = None
        self._answered_at = None
        self._connected = None
        self._server_answers = None
        self._stopping = threading.Event()
        self._actors = []
        self._stop_tickers = []

    def start(self):
        """Start to poll and to hold."""
        self._actors = [OrderActor.start() for _ in range(ORDER_ACTORS)]
        self._stop_tickers = [
            ticker.Ticker.launch(
                name=name,
                func=func,
                interval=clocks.seconds(0),
                clock=self._clock,
            )
            for name, func in (('poll', self._poll), ('hold', self._hold))
        ]

    def stop(self):
        """Stop; what runs goes on until its lease ends."""
        self._stopping.set()
        for stop in self._stop_tickers:
            stop()
        for actor in self._actors:
            actor.stop(block=False)
        self._client.close()

    def handle_announcement(self, told):
        """Take a heartbeat of the backend server over."""
        with self._lock:
            known = self._rules.target
            news = self._rules.handle_announcement(told)
            drains = told.state.draining and not (
                known and known.state.draining
            )
        if news or drains:
            log.log_decision(
                _logger,
                'follow backend server',
                reason='it drains' if drains else 'a new life has begun',
                backend=told.state.id,
                born_ms=told.state.born_ms,
                sequence=told.sequence,
            )

    def _poll(self):
        with self._lock:
            ready = self._rules.target is not None and (
                self._rules.epoch or self._answered_at is not None
            )
            poll = self._rules.build_poll() if ready else None
        if poll is None:
            self._stopping.wait(IDLE_PAUSE)
            return
        sent_at = self._clock.monotonic()
        try:
            reply = self._gateway.send(poll, timeout=POLL_TIMEOUT, step='poll')
        except errors.FencedError as error:
            self._start_over(poll, error)
            return
        except errors.BilberryhavenError as error:
            self._note_connection(error)
            self._stopping.wait(FAULT_PAUSE)
            return
        self._note_connection(None)
        self._take_orders(poll, reply, sent_at)

    def _take_orders(self, poll, reply, sent_at):
        with self._lock:
            if self._rules.target.state.id != poll.server.id or (
                self._rules.target.state.born_ms != poll.server.born_ms
            ):
                return
            if self._rules.epoch not in (poll.epoch, reply.epoch):
                return
            now = self._clock.monotonic()
            orders = self._rules.note_poll(reply, sent_at, now)
            target = self._rules.target
            epoch = reply.epoch
        self._on_control(reply.control)
        for order in orders:
            run = self._start_run
            if order.kind == message.OrderKind.STOP:
                run = self._stop_run
            index = zlib.crc32(repr(order.run).encode()) % ORDER_ACTORS
            self._actors[index].tell(
                functools.partial(run, target, epoch, order)
            )

    def _start_over(self, poll, error):
        with self._lock:
            if self._rules.epoch == poll.epoch:
                self._rules.forget_epoch()
        _logger.warning('asks for a new session: {}', error)

    def _note_connection(self, error):
        connected = error is None
        if connected == self._connected:
            return
        self._connected = connected
        if connected:
            _logger.info('leader reached')
        else:
            _logger.warning('leader lost: {}', error)

    def _start_run(self, target, epoch, order):
        phase, trouble = self._try_start(target, epoch, order)
        if phase is None:
            # A start without an answer may still be carried out; after a
            # stop it can't be.
            self._stop_run(target, epoch, order)
            return
        with self._lock:
            now = self._clock.monotonic()
            self._rules.set_phase(order.run, phase, now, trouble=trouble)
        if trouble:
            log.log_decision(
                _logger,
                'give a start up',
                reason=trouble,
                workflow=order.run.workflow,
                task=order.run.task,
                run=order.run.number,
                backend=target.state.id,
            )

    def _try_start(self, target, epoch, order):
        """Return the (phase, trouble) pair; phase None if not known."""
        if not self._wait_for_listing(epoch):
            return None, 'the server was not listed'
        trouble = ''
        for _ in range(START_ATTEMPTS):
            with self._lock:
                now = self._clock.monotonic()
                deadline = self._rules.find_deadline(now)
                allowed = self._rules.may_start(order.run)
                listed = self._rules.is_listed(order.run)
            if listed:
                return RunPhase.STARTED, ''
            if deadline is None or not allowed:
                break
            try:
                verdict = self._client.start_run(
                    target, order, deadline_ms=deadline, epoch=epoch
                )
            except errors.PeerError as error:
                trouble = f'no answer to a start: {error.message}'
                continue
            except errors.BilberryhavenError as error:
                return RunPhase.DOUBTFUL, error.message
            if verdict == StartResult.STARTED:
                self._start_pacing(target, epoch, order)
                return RunPhase.STARTED, ''
            if verdict != StartResult.LATE:
                return RunPhase.DOUBTFUL, f'start answered {verdict.value}'
            trouble = 'start answered late'
        return None, trouble

    def _start_pacing(self, target, epoch, order):
        with self._lock:
            percent = self._rules.get_percent(order.run)
        if order.best_effort and percent < pacing.FULL_PERCENT:
            self._set_pace(target, epoch, order.run, percent)

    def _wait_for_listing(self, epoch):
        """Wait until the server was listed with this epoch.

        An agent that has just started can't know what its predecessor has
        started before that.
        """
        while not self._stopping.is_set():
            with self._lock:
                if self._rules.epoch != epoch:
                    return False
                if self._rules.listed_epoch == epoch:
                    return True
            self._stopping.wait(IDLE_PAUSE)
        return False

    def _stop_run(self, target, epoch, order):
        while not self._stopping.is_set():
            with self._lock:
                if self._rules.epoch != epoch:
                    return
            try:
                self._client.stop_run(target, order.run, epoch=epoch)
                break
            except errors.PeerError:
                self._stopping.wait(FAULT_PAUSE)
            except errors.BilberryhavenError as error:
                _logger.warning('stop was refused: {}', error)
                break
        with self._lock:
            now = self._clock.monotonic()
            self._rules.set_phase(order.run, RunPhase.DOUBTFUL, now)

    def _hold(self):
        with self._lock:
            target = self._rules.target
            epoch = self._rules.epoch
            acked = self._rules.acked
            sent_at = self._clock.monotonic()
            deadline = self._rules.find_deadline(sent_at)
        if target is None:
            self._stopping.wait(IDLE_PAUSE)
            return
        try:
            listing = self._client.hold(
                target,
                deadline_ms=deadline,
                epoch=epoch,
                acked=acked,
                wait_ms=HOLD_WAIT_MS if deadline is not None else 0,
            )
        except errors.FencedError as error:
            self._answered_at = self._clock.monotonic()
            _logger.warning('another agent holds the server: {}', error)
            self._stopping.wait(FAULT_PAUSE)
            return
        except errors.BilberryhavenError as error:
            self._note_server(error)
            gone = isinstance(error, errors.GoneError)
            self._report_lapse(target, gone)
            self._stopping.wait(FAULT_PAUSE)
            return
        self._note_server(None)
        self._answered_at = self._clock.monotonic()
        self._note_listing(target, epoch, listing, sent_at)
        if deadline is None:
            self._stopping.wait(IDLE_PAUSE)

    def _note_server(self, error):
        answers = error is None
        if answers == self._server_answers:
            return
        self._server_answers = answers
        if answers:
            _logger.info('backend server answers')
        else:
            _logger.warning('backend server does not answer: {}', error)

    def _note_listing(self, target, epoch, listing, sent_at):
        if listing.born_ms and listing.born_ms != target.state.born_ms:
            return
        now = self._clock.monotonic()
        with self._lock:
            if self._rules.target.state.born_ms != target.state.born_ms:
                return
            report = self._rules.note_listing(listing, epoch, sent_at, now)
            paces = self._rules.list_paces()
            tails = self._rules.list_tails(listing.running)
            changed = self._rules.paces_changed
        if changed:
            log.log_decision(
                _logger,
                'pace best-effort tasks',
                reason='tail latencies against their targets',
                share=self._rules.share,
                tails=[(row.latency_ms, row.target_ms) for row in tails],
                runs=len(listing.running),
            )
        for run, percent in paces:
            self._set_pace(target, epoch, run, percent)
        if epoch and report.epoch == epoch and self._is_due(report, now):
            self._send_report(report, now)

    def _set_pace(self, target, epoch, run, percent):
        try:
            self._client.pace_run(target, run, percent=percent, epoch=epoch)
        except errors.BilberryhavenError as error:
            _logger.warning('pace was not set: {}', error)
            return
        with self._lock:
            self._rules.note_pace(run, percent)

    def _is_due(self, report, now):
        if report.ends or report.trouble or self._rules.report_due:
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
            _logger.debug('report lost: {}', error)
            if report.ends:
                self._stopping.wait(FAULT_PAUSE)
            return
        self._reported_at = now
        self._listed_runs = {row.run for row in report.running}
        with self._lock:
            if self._rules.epoch == report.epoch:
                self._rules.note_reported(report, reply)

    def _report_lapse(self, target, gone):
        """Tell the leader once the server can't run anything more.

        Args:
            target: The ``Announcement`` of the life that is meant.
            gone: Whether that life has surely ended.
        """
        now = self._clock.monotonic()
        with self._lock:
            rules = self._rules
            epoch, key = rules.epoch, rules.key
            lapsed = gone or rules.has_lapsed(now, self._options.lease_margin)
        if not epoch or not lapsed:
            return
        report = message.Report(
            agent=target.state.id, key=key, epoch=epoch, lapsed=True
        )
        try:
            self._gateway.send(report, timeout=REPORT_TIMEOUT, step='report')
        except errors.BilberryhavenError as error:
            _logger.debug('lapse not reported: {}', error)
            return
        self._answered_at = None
        with self._lock:
            if rules.epoch == epoch:
                rules.forget_epoch()
