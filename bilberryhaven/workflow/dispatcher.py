"""Serves workflow requests, keeps agent sessions and schedules runs."""

import concurrent.futures
import contextlib
import threading

import msgspec

from bilberryhaven import border
from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.tables import workflow
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import callers
from bilberryhaven.workflow import closing
from bilberryhaven.workflow import memory
from bilberryhaven.workflow import message
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import poll_requests
from bilberryhaven.workflow import registration
from bilberryhaven.workflow import reports
from bilberryhaven.workflow import run_watch
from bilberryhaven.workflow import upkeep
from bilberryhaven.workflow import zone_orders
from bilberryhaven.workflow import zones as workflow_zones

__all__ = ['Dispatcher']

COMMIT_TIMEOUT = clocks.seconds(2)
# Interval of the checks for due workflows, expired leases and ended
# quarantines while no event wakes the scheduler.
IDLE_SECONDS = 0.1
# Longest time for which a round plans starts before leases and servers that
# leave are checked again.
MAX_PLANNING = clocks.seconds(0.5)
# Characters of a command in a log line, some twenty starts or ends.
MAX_COMMAND_CHARS = 2_000

# Requests from outside that would undo what was done since they were sent, if
# they were carried out late.
TIMED_REQUESTS = (message.Submit, message.Withdraw, message.Restore)

_logger = log.get_logger('workflow')


class Dispatcher:
    """Dispatches workflow tasks to backend servers on the leader.

    Sessions and health records are in memory only and are discarded when a
    new term begins. Every request raises ``NotLeaderError`` on an instance
    that isn't the leader.

    Args:
        replica: The ``Replica`` of the replicated log.
        machine: The ``TableStateMachine`` that committed commands are
            applied to.
        clock: The ``Clock``.
        options: The workflow ``Options``.
        membership: Handles ``Join`` requests; None if they aren't served.
        zones: Names of the deployment's availability zones.

    Attributes:
        zone_orders: The ``ZoneOrders``.
    """

    def __init__(
        self,
        *,
        replica,
        machine,
        clock,
        options,
        membership=None,
        zones=(),
    ):
        self._replica = replica
        self._state = machine.state
        self._clock = clock
        self._membership = membership
        self._memory = memory.LeaderMemory(
            machine=machine,
            lock=replica.machine_lock,
            clock=clock,
            options=options,
        )
        self._closer = closing.BackendCloser(
            leader=self, memory=self._memory, clock=clock, options=options
        )
        self._polls = poll_requests.PollHandler(
            leader=self,
            memory=self._memory,
            keeper=registration.SessionKeeper(
                leader=self,
                memory=self._memory,
                closer=self._closer,
                clock=clock,
                options=options,
            ),
            clock=clock,
            options=options,
        )
        self._watch = run_watch.RunWatch(
            leader=self, memory=self._memory, clock=clock
        )
        self._upkeep = upkeep.RunUpkeep(
            leader=self,
            memory=self._memory,
            watch=self._watch,
            clock=clock,
            options=options,
        )
        self._zone_monitor = workflow_zones.ZoneMonitor(
            memory=self._memory, clock=clock
        )
        self.zone_orders = zone_orders.ZoneOrders(clock=clock, zones=zones)
        self._ready_term = 0
        self._ready_lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._handlers = self._build_handlers()

    def _build_handlers(self):
        reports_handler = reports.ReportHandler(
            leader=self,
            memory=self._memory,
            closer=self._closer,
            watch=self._watch,
            clock=self._clock,
        )
        caller_requests = callers.CallerRequestHandler(
            leader=self, memory=self._memory, clock=self._clock
        )
        zone_requests = workflow_zones.ZoneRequestHandler(
            leader=self, clock=self._clock, orders=self.zone_orders
        )
        return {
            message.Poll: self._polls.handle,
            message.Report: reports_handler.handle,
            message.Submit: caller_requests.submit,
            message.Inquire: caller_requests.inquire,
            message.Cancel: caller_requests.cancel,
            message.Replace: caller_requests.replace_catalog,
            message.ReadCatalog: caller_requests.read_catalog,
            message.Withdraw: zone_requests.withdraw,
            message.Restore: zone_requests.restore,
            message.Join: self._join,
        }

    @property
    def outdated_submissions(self):
        """Number of submissions rejected since they may be out of date."""
        return self._memory.late_submissions.outdated

    @property
    def term(self):
        """The term for which sessions are kept; 0 before the first one."""
        return self._ready_term

    def start(self):
        """Start the thread that schedules while this instance leads."""
        threading.Thread(
            target=self._run, name='workflows', daemon=True
        ).start()

    def stop(self):
        """Stop scheduling and end pending polls."""
        self._stopping.set()
        self._wake.set()
        # The sessions stay in the table: without them, a round that still
        # runs would take the leases of all servers for expired.
        self._memory.sessions.close()
        self._polls.stop()

    def handle(self, request):
        """Handle a ``WorkRequest``.

        Args:
            request: The ``WorkRequest``.

        Returns:
            The ``WorkReply``, or a future of it for a poll.
        """
        msg = message.decode_request(request.body)
        handler = self._handlers[type(msg)]
        if isinstance(msg, TIMED_REQUESTS):
            reply = handler(msg, request)
        else:
            reply = handler(msg)
        if isinstance(reply, concurrent.futures.Future):
            return _chain_future(reply, _wrap_reply)
        return _wrap_reply(reply)

    def wake(self):
        """Run the scheduler without waiting for its next interval."""
        self._wake.set()

    def ensure_ready(self):
        """Check leadership; reset the leader's memory in a new term.

        Raises:
            NotLeaderError: This instance is not, or no longer, the leader.
        """
        self._replica.check_read()
        term = self._replica.status().term
        if term == self._ready_term:
            return
        with self._ready_lock:
            if term != self._ready_term:
                self._closer.begin_term()
                with self._memory.lock:
                    self._memory.begin_term()
                self._upkeep.begin_term()
                self.zone_orders.begin_term(term)
                self._ready_term = term
                self._log_term(term)

    def _log_term(self, term):
        with self._memory.lock:
            servers = len(self._state.backends)
            active = self._state.workflows.count(
                'state', workflow.WorkflowState.ACTIVE
            )
        now = self._clock.monotonic()
        leases_end_in = self._closer.earliest_end - now
        _logger.info(
            'schedules workflows',
            extra={
                'term': term,
                'applied': self._replica.status().applied,
                'servers': servers,
                'active': active,
                'leases_end_in_s': log.round_seconds(leases_end_in),
            },
        )

    @contextlib.contextmanager
    def read(self):
        """Lock the tables for a linearizable read.

        Yields:
            The replicated tables.

        Raises:
            NotLeaderError: This instance is not the leader.
        """
        self.ensure_ready()
        with self._replica.machine_lock:
            yield self._state

    def propose(self, command, *, term=0):
        """Commit a command.

        Args:
            command: The ``Command``.
            term: The only term in which it may be proposed; 0 for any.

        Returns:
            The result of its ``apply``.
        """
        try:
            return self._replica.propose(
                commands.encode(command), timeout=COMMIT_TIMEOUT, term=term
            )
        except errors.BilberryhavenError as error:
            if error.outcome == errors.Outcome.UNKNOWN:
                self._log_unknown_commit(command, error)
            raise

    def _log_unknown_commit(self, command, error):
        # What it decided may take effect without a line of its own.
        text = msgspec.json.encode(command).decode()
        log.log_decision(
            _logger,
            'leave commit open',
            reason=f'its outcome is unknown: {error}',
            term=self.term,
            command=text[:MAX_COMMAND_CHARS],
        )

    def _join(self, request):
        self.ensure_ready()
        border.check_printable(request.name, what='name')
        border.parse_peer(request.address)
        member = self._membership.admit(request)
        return message.JoinReply(member=member)

    def _run(self):
        while not self._stopping.is_set():
            self._wake.wait(IDLE_SECONDS)
            self._wake.clear()
            if self._stopping.is_set():
                return
            try:
                self.ensure_ready()
                self._schedule()
            except errors.BilberryhavenError as error:
                if not isinstance(error, errors.NotLeaderError):
                    _logger.warning('scheduling round aborted: {}', error)
            except Exception:  # noqa: BLE001
                _logger.exception('unexpected error in a scheduling round')

    def _schedule(self):
        if self._membership is not None:
            self._membership.tick()
        self._zone_monitor.tick()
        self._closer.close_lapsed()
        self._upkeep.run()
        until = self._clock.monotonic() + MAX_PLANNING
        while not self._stopping.is_set():
            starts, servers = self._plan()
            if not starts:
                return
            command = workflow_commands.StartRuns(
                starts=starts, at=self._clock.wall().timestamp()
            )
            allowed = self.propose(command)
            for start, task in self._list_tasks(starts):
                if task is None or task.last_run < start.number:
                    self._log_refused_start(start)
                else:
                    self._log_start(start, servers[start.backend], task)
            if not allowed:
                # Unless the tables change, the same starts would be planned.
                return
            if self._clock.monotonic() >= until:
                self.wake()
                return

    def _list_tasks(self, starts):
        """Return (start, its ``Task`` or None) pairs, as committed."""
        with self._memory.lock:
            rows = [
                (start, self._state.workflows.find(start.workflow))
                for start in starts
            ]
            return [
                (start, row and row.find_task(start.task))
                for start, row in rows
            ]

    def _log_refused_start(self, start):
        with self._memory.lock:
            refusal = workflow_commands.find_refusal(self._state, start)
        log.log_decision(
            _logger,
            'refuse start',
            reason=refusal or 'the tables had changed since it was planned',
            workflow=start.workflow,
            task=start.task,
            run=start.number,
            backend=start.backend,
            term=self.term,
        )

    def _log_start(self, start, server, task):
        agent_session = self._memory.sessions.find(start.backend)
        now = self._clock.monotonic()
        age = (
            now - agent_session.listed_at
            if agent_session and agent_session.listed_at
            else None
        )
        log.log_decision(
            _logger,
            'start run',
            reason='backend server has sufficient capacity',
            workflow=start.workflow,
            task=start.task,
            run=start.number,
            backend=start.backend,
            epoch=agent_session and agent_session.epoch,
            term=self.term,
            beside=[
                (run.number, run.backend)
                for run in task.runs
                if run.number < start.number
            ],
            unclaimed_cpu=server.unclaimed,
            satisfaction=round(server.satisfaction, 2),
            worst_tail=round(max((t for _, t in server.tails), default=0), 2),
            report_age_s=log.round_seconds(age),
        )

    def _plan(self):
        now = self._clock.wall().timestamp()
        with self._replica.machine_lock:
            servers = self._memory.refresh_fleet(now)
            groups = self._memory.index.list_groups(
                now, self._memory.rooms.rates
            )
            starts = planner.plan_starts(
                groups, servers, now, self._memory.interference
            ) or self._watch.plan_copies(groups, servers)
            return starts, {server.key: server for server in servers}


def _wrap_reply(reply):
    return wire_message.WorkReply(body=message.encode(reply))


def _chain_future(future, convert):
    """Return a future of the converted result of another one."""
    chained = concurrent.futures.Future()

    def copy(done):
        try:
            chained.set_result(convert(done.result()))
        except Exception as error:  # noqa: BLE001
            chained.set_exception(error)

    future.add_done_callback(copy)
    return chained
