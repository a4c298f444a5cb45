"""Serves workflow requests, keeps agent sessions and schedules runs."""

import concurrent.futures
import contextlib
import functools
import threading

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.tables import backend
from bilberryhaven.tables import workflow
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import callers
from bilberryhaven.workflow import checkpoints
from bilberryhaven.workflow import evacuation
from bilberryhaven.workflow import fleet
from bilberryhaven.workflow import health
from bilberryhaven.workflow import interference
from bilberryhaven.workflow import message
from bilberryhaven.workflow import pacing
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import polls
from bilberryhaven.workflow import probation
from bilberryhaven.workflow import relocation
from bilberryhaven.workflow import session
from bilberryhaven.workflow import stragglers
from bilberryhaven.workflow import urgency
from bilberryhaven.workflow import workflow_index
from bilberryhaven.workflow import zones as workflow_zones

__all__ = ['Dispatcher']

COMMIT_TIMEOUT = clocks.seconds(2)
# Interval of the checks for due workflows, expired leases and ended
# quarantines while no event wakes the scheduler.
IDLE_SECONDS = 0.1
EXPIRY_INTERVAL = clocks.seconds(10)
MS_PER_S = 1000

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
        self._options = options
        self._sessions = session.SessionTable()
        self._health = health.HealthTable()
        self._interference = interference.InterferenceModel()
        self._run_times = stragglers.RunTimes()
        self._index = workflow_index.WorkflowIndex(
            machine.state, ranker=urgency.ValueRanker(times=self._run_times)
        )
        self._fleet = fleet.FleetView(
            state=machine.state,
            index=self._index,
            sessions=self._sessions,
            health=self._health,
            options=options,
        )
        self._checkpoints = checkpoints.CheckpointCollector(clock=clock)
        self._caller_requests = callers.CallerRequestHandler(
            leader=self, clock=clock
        )
        zone_requests = workflow_zones.ZoneRequestHandler(
            leader=self, clock=clock, zones=zones
        )
        self._zone_monitor = workflow_zones.ZoneMonitor(
            state=machine.state, index=self._index, sessions=self._sessions
        )
        self._membership = membership
        self._ready_term = 0
        self._ready_at = clock.monotonic()
        self._ready_lock = threading.Lock()
        # Epochs of the servers whose closing was proposed, by key. If its
        # outcome is unknown, it may still be committed.
        self._closing = {}
        self._expired_at = clock.monotonic()
        self._polls = polls.HeldPolls(max_wait=options.max_poll_wait)
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._handlers = {
            message.Poll: self._poll,
            message.Report: self._report,
            message.Submit: self._caller_requests.submit,
            message.Inquire: self._caller_requests.inquire,
            message.Cancel: self._caller_requests.cancel,
            message.Replace: self._caller_requests.replace_catalog,
            message.ReadCatalog: self._caller_requests.read_catalog,
            message.Withdraw: zone_requests.withdraw,
            message.Restore: zone_requests.restore,
            message.Join: self._join,
            # Nothing to do: a replica takes the members from its log, or
            # requests to join.
            message.Announce: lambda msg: message.AnnounceReply(),
        }

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
        self._sessions.close()
        self._polls.stop()

    def handle(self, request):
        """Handle a ``WorkRequest``.

        Args:
            request: The ``WorkRequest``.

        Returns:
            The ``WorkReply``, or a future of it for a poll.
        """
        msg = message.decode_request(request.body)
        reply = self._handlers[type(msg)](msg)
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
                with self._replica.machine_lock:
                    # Before the sessions, whose leases are judged by it when
                    # they are missing.
                    self._ready_at = self._clock.monotonic()
                    self._sessions.clear()
                    self._closing.clear()
                self._health.clear()
                self._checkpoints.clear()
                self._ready_term = term
                _logger.info('schedules workflows', extra={'term': term})

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

    def propose(self, command):
        """Commit a command.

        Args:
            command: The ``Command``.

        Returns:
            The result of its ``apply``.
        """
        return self._replica.propose(
            commands.encode(command), timeout=COMMIT_TIMEOUT
        )

    def _join(self, request):
        self.ensure_ready()
        member = self._membership.admit(request)
        return message.JoinReply(member=member)

    def _poll(self, request):
        self.ensure_ready()
        server = request.server
        key = backend.build_backend_key(server.id, server.born_ms)
        agent_session = self._find_or_open_session(key, request)
        self._renew_lease(agent_session, request)
        return self._polls.hold(
            agent_session,
            request,
            functools.partial(self._build_poll_reply, request, agent_session),
        )

    def _build_poll_reply(self, request, agent_session):
        self.ensure_ready()
        _check_open(agent_session)
        key = agent_session.key
        last, orders = agent_session.list_orders(request.feed, request.seen)
        row = self._state.backends.find(key)
        return message.PollReply(
            key=key,
            epoch=agent_session.epoch,
            lease_ms=int(self._options.lease / clocks.seconds(0.001)),
            feed=agent_session.feed,
            last=last,
            orders=orders,
            acked=row.acked if row else 0,
            control=self._list_control_addresses(),
            former_deadline_ms=agent_session.deadline_ms,
            doubt_ms=self._compute_former_lease_ms(agent_session),
            withdrawn=row is not None
            and self._state.zones.is_withdrawn(row.zone),
        )

    def _compute_former_lease_ms(self, agent_session):
        if agent_session.uncertain_until is None:
            return 0
        remaining = agent_session.uncertain_until - self._clock.monotonic()
        # At least 1: by 0, a new agent would conclude that no agent preceded
        # it.
        return max(1, int(remaining / clocks.seconds(0.001)))

    def _renew_lease(self, agent_session, request):
        server = request.server
        with self._replica.machine_lock:
            _check_open(agent_session)
            now = self._clock.monotonic()
            agent_session.lease_end = now + self._options.lease_expiry_delay
            agent_session.draining = server.draining
            if server.draining:
                remaining = clocks.seconds(server.remaining_ms / MS_PER_S)
                agent_session.set_departure(now + remaining)
            changed = agent_session.update_capacity(request)
            agent_session.update_warming(request, now)
        if changed:
            log.log_decision(
                _logger,
                'change capacity',
                reason='announced by the backend server',
                backend=agent_session.key,
                cpu=server.cpu,
                memory_mb=server.memory_mb,
                gpu=server.gpu,
            )
            self.wake()

    def _list_control_addresses(self):
        return [row.address for row in self._replica.status().members]

    def _find_or_open_session(self, key, request):
        with self._replica.machine_lock:
            row = self._state.backends.find(key)
            agent_session = self._sessions.find(key)
        if row is not None and request.epoch > 0:
            if row.epoch != request.epoch:
                raise errors.FencedError(
                    f'epoch {request.epoch} of backend server {key} was '
                    f'replaced by epoch {row.epoch}',
                    step='poll',
                    peer=request.agent,
                )
            if agent_session is not None and agent_session.epoch == row.epoch:
                return agent_session
            return self._open_session(row, request)
        known = row is not None
        row = self._open_backend(key, request)
        return self._open_session(row, request, inherit=known)

    def _open_backend(self, key, request):
        self._close_former_incarnations(key, request)
        server = request.server
        row = backend.Backend(
            key=key,
            id=server.id,
            instance=request.agent,
            pool=server.pool,
            zone=server.zone,
            labels=server.labels,
            rack=server.rack,
            cpu=server.cpu,
            memory_mb=server.memory_mb,
            gpu=server.gpu,
        )
        command = backend_commands.OpenBackend(
            backend=row, at=self._clock.wall().timestamp()
        )
        row = self.propose(command)
        log.log_decision(
            _logger,
            'open backend server',
            reason='registered by its agent',
            backend=key,
            instance=request.agent,
            epoch=row.epoch,
        )
        return row

    def _close_former_incarnations(self, key, request):
        """Close the earlier incarnations of the server on an instance.

        Raises:
            FencedError: A later incarnation is registered: the poll was
                held up by the network.
        """
        born_ms = request.server.born_ms
        with self._replica.machine_lock:
            former = [
                (row.key, self._sessions.find(row.key))
                for row in self._state.backends.select(
                    'instance', request.agent
                )
                if row.key != key
            ]
        for other_key, _ in former:
            if backend.get_born_ms(other_key) > born_ms:
                raise errors.FencedError(
                    f'{key} was replaced by {other_key}',
                    step='poll',
                    peer=request.agent,
                )
        for former_key, agent_session in former:
            # A server that leaves as planned is draining before.
            draining = agent_session is not None and agent_session.draining
            self._close_backend(
                former_key,
                agent_session,
                'a later life has begun there',
                crashed=not draining,
            )

    def _open_session(self, row, request, *, inherit=False):
        """Open the session of a backend server and order its runs.

        Args:
            row: The ``Backend``.
            request: The ``Poll`` of its agent.
            inherit: Whether the agent is new to the server, so that leases
                granted by an earlier agent may still be valid.

        Raises:
            UnavailableError: The backend server is being closed, which
                would end the runs that the session orders.
        """
        delay = self._options.lease_expiry_delay
        agent_session = session.Session(
            key=row.key,
            epoch=row.epoch,
            lease_end=self._clock.monotonic() + delay,
            poll=request,
        )
        with self._replica.machine_lock:
            if self._closing.get(row.key) == row.epoch:
                raise errors.UnavailableError(
                    f'{row.key} is being closed',
                    step='poll',
                    peer=request.agent,
                )
            former = self._sessions.find(row.key)
            if inherit:
                agent_session.uncertain_until = self._ready_at + delay
            if inherit and former is not None:
                agent_session.uncertain_until = former.lease_end
                agent_session.deadline_ms = former.deadline_ms
            self._sessions.put(agent_session)
            self._index.refresh(self._clock.wall().timestamp())
            self._order_runs(agent_session)
        self.wake()
        return agent_session

    def _report(self, request):
        self.ensure_ready()
        agent_session = self._sessions.find(request.key)
        if agent_session is None and self._is_lapse_of_row(request):
            self._close_backend(
                request.key,
                None,
                'its agent says it has lapsed',
                crashed=request.crashed,
                unsent=request.unsent,
            )
            return message.ReportReply()
        valid = agent_session is not None and not agent_session.closed
        if not valid or agent_session.epoch != request.epoch:
            raise errors.FencedError(
                f'session with epoch {request.epoch} of backend server '
                f'{request.key} does not exist',
                step='report',
                peer=request.agent,
            )
        acked = self._record_ends(request)
        now = self._clock.monotonic()
        agent_session.deadline_ms = max(
            agent_session.deadline_ms, request.deadline_ms
        )
        agent_session.paused = request.paused
        if request.trouble and self._health.quarantine(request.key, now):
            log.log_decision(
                _logger,
                'set backend server aside',
                reason=request.trouble,
                backend=request.key,
            )
        effects = []
        if request.listed:
            agent_session.record_presence(request.running, now)
            self._stop_unknown_runs(agent_session, request)
            effects = self._observe_interference(agent_session, now)
            self._stop_stragglers(agent_session, now)
        if request.lapsed:
            self._close_backend(
                request.key,
                agent_session,
                'its agent says it has lapsed',
                crashed=request.crashed and not agent_session.draining,
                unsent=request.unsent,
            )
        return message.ReportReply(acked=acked, effects=effects)

    def _is_lapse_of_row(self, request):
        # An agent that reports a lapse doesn't poll, so that a new leader has
        # no session of it.
        with self._replica.machine_lock:
            row = self._state.backends.find(request.key)
            return (
                request.lapsed
                and row is not None
                and row.epoch == request.epoch
            )

    def _record_ends(self, request):
        if not request.ends and not request.upto:
            return 0
        command = workflow_commands.RecordEnds(
            backend=request.key,
            ends=request.ends,
            upto=request.upto,
            at=self._clock.wall().timestamp(),
            epoch=request.epoch,
        )
        self._record_run_times(request)
        recorded = self.propose(command)
        ignored = set(recorded.ignored)
        for end in request.ends:
            self._handle_end(request.key, end, ignored=end.run in ignored)
        self.wake()
        return recorded.acked

    def _record_run_times(self, request):
        now = self._clock.wall().timestamp()
        with self._replica.machine_lock:
            views = self._index.runs.get(request.key, {})
            for end in request.ends:
                view = views.get(end.run)
                if view is not None and end.how == workflow_commands.DONE:
                    seconds = now - view.ordered_at
                    self._run_times.record(view.row.queue, seconds)

    def _stop_stragglers(self, agent_session, now):
        with self._replica.machine_lock:
            views = self._index.runs.get(agent_session.key, {})
            slow = stragglers.list_stragglers(
                views, agent_session.present, self._run_times, now
            )
        if not slow:
            return
        self._health.mark_slow(agent_session.key, now)
        self.propose(workflow_commands.StopRuns(runs=slow))
        self.wake()
        for ref in slow:
            log.log_decision(
                _logger,
                'stop straggler',
                reason='much slower than the mean run time of its queue',
                workflow=ref.workflow,
                task=ref.task,
                run=ref.number,
                percent=agent_session.present[ref].running.percent,
                backend=agent_session.key,
            )

    def _handle_end(self, key, end, *, ignored):
        log.log_decision(
            _logger,
            'ignore end' if ignored else 'record end',
            reason=end.how,
            workflow=end.run.workflow,
            task=end.run.task,
            run=end.run.number,
            backend=key,
            number=end.number,
        )
        if end.how not in (workflow_commands.DONE, workflow_commands.FAILED):
            return
        newly_quarantined = self._health.record(
            key,
            end.run.workflow,
            failed=end.how == workflow_commands.FAILED,
            now=self._clock.monotonic(),
        )
        if newly_quarantined:
            log.log_decision(
                _logger,
                'set backend server aside',
                reason='consecutive runs of different workflows failed',
                backend=key,
            )

    def _observe_interference(self, agent_session, now):
        with self._replica.machine_lock:
            row = self._state.backends.find(agent_session.key)
            if row is None:
                return []
            row = agent_session.capacity.apply_to(row)
            views = self._index.runs.get(agent_session.key, {})
            self._interference.observe(row, views, agent_session.present, now)
            pairs = self._interference.list_interfering_runs(
                row, views, agent_session.present
            )
            agent_session.interfering = [ref for _, ref in pairs]
            return self._interference.list_present_effects(views)

    def _stop_unknown_runs(self, agent_session, request):
        """Stop reported runs that the replicated tables don't contain."""
        with self._replica.machine_lock:
            self._index.refresh(self._clock.wall().timestamp())
            known = self._index.runs.get(request.key, {})
            unknown = [
                row.run for row in request.running if row.run not in known
            ]
            self._order_runs(agent_session)
        for ref in unknown:
            if agent_session.order_stop(ref):
                log.log_decision(
                    _logger,
                    'stop unknown run',
                    reason='listed, but not assigned to the server',
                    workflow=ref.workflow,
                    task=ref.task,
                    run=ref.number,
                    backend=request.key,
                )

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
        with self._replica.machine_lock:
            self._zone_monitor.tick(self._clock.monotonic())
        self._close_lapsed()
        self._expire()
        self._save_checkpoints()
        self._evacuate()
        self._relocate()
        while not self._stopping.is_set():
            starts, servers = self._plan()
            if not starts:
                return
            command = workflow_commands.StartRuns(
                starts=starts, at=self._clock.wall().timestamp()
            )
            self.propose(command)
            for start in starts:
                self._log_start(start, servers[start.backend])

    def _log_start(self, start, server):
        agent_session = self._sessions.find(start.backend)
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
            unclaimed_cpu=server.unclaimed,
            satisfaction=round(server.satisfaction, 2),
            worst_tail=round(max((t for _, t in server.tails), default=0), 2),
            report_age_s=age and round(age.total_seconds(), 3),
        )

    def _evacuate(self):
        """Stop runs on servers that leave before the runs end."""
        now = self._clock.monotonic()
        evacuated = []
        with self._replica.machine_lock:
            for agent_session in self._sessions:
                if agent_session.draining:
                    views = self._index.runs.get(agent_session.key, {})
                    evacuated += [
                        (ref, agent_session)
                        for ref in evacuation.list_evacuations(
                            agent_session, views, self._run_times, now
                        )
                    ]
        if not evacuated:
            return
        refs = [ref for ref, _ in evacuated]
        self.propose(workflow_commands.StopRuns(runs=refs))
        for ref, agent_session in evacuated:
            remaining = agent_session.leaves_at - now
            log.log_decision(
                _logger,
                'evacuate run',
                reason='its backend server leaves before it ends',
                workflow=ref.workflow,
                task=ref.task,
                run=ref.number,
                backend=agent_session.key,
                leaves_in_s=round(remaining.total_seconds(), 3),
            )

    def _relocate(self):
        """Stop throttled best-effort runs to restart them elsewhere."""
        relocations = []
        with self._replica.machine_lock:
            paused = [
                agent_session
                for agent_session in self._sessions
                if agent_session.paused
            ]
            if not paused:
                return
            now = self._clock.wall().timestamp()
            servers = {row.key: row for row in self._refresh_fleet(now)}
            for agent_session in paused:
                if agent_session.key in servers:
                    relocations += relocation.list_relocations(
                        self._index.runs.get(agent_session.key, {}),
                        agent_session.paused,
                        agent_session.present,
                        servers[agent_session.key],
                        list(servers.values()),
                        self._interference,
                    )
                agent_session.paused = []
        if not relocations:
            return
        self.propose(workflow_commands.StopRuns(runs=relocations))
        for ref in relocations:
            log.log_decision(
                _logger,
                'relocate run',
                reason='throttled for long; another server has capacity',
                workflow=ref.workflow,
                task=ref.task,
                run=ref.number,
            )

    def _order_runs(self, agent_session):
        views = self._index.runs.get(agent_session.key, {})
        row = self._state.backends.find(agent_session.key)
        if row is None:
            return
        row = agent_session.capacity.apply_to(row)

        def find_percent(view):
            if self._interference.is_interference_negligible(
                row, views, view.step
            ):
                return pacing.FULL_PERCENT
            return pacing.INITIAL_PERCENT

        agent_session.reconcile_runs(views, find_percent)

    def _plan(self):
        now = self._clock.wall().timestamp()
        with self._replica.machine_lock:
            servers = self._refresh_fleet(now)
            starts = planner.plan_starts(
                self._index.list_groups(now),
                servers,
                now,
                self._interference,
            )
            return starts, {server.key: server for server in servers}

    def _refresh_fleet(self, now):
        """Order changed runs and return the ``Server`` rows.

        Args:
            now: Unix time in seconds.
        """
        self._index.refresh(now)
        for key in self._index.take_changed():
            self._fleet.invalidate(key)
            agent_session = self._sessions.find(key)
            if agent_session is not None:
                self._order_runs(agent_session)
        return self._fleet.list_servers(self._clock.monotonic())

    def _close_lapsed(self):
        now = self._clock.monotonic()
        earliest_end = self._ready_at + self._options.lease_expiry_delay
        with self._replica.machine_lock:
            lapsed = []
            for row in self._state.backends:
                agent_session = self._sessions.find(row.key)
                end = (
                    agent_session.lease_end if agent_session else earliest_end
                )
                if now >= end:
                    lapsed.append((row.key, agent_session))
                    if agent_session is not None:
                        # No poll may renew the lease from here on, however
                        # long the closing of other servers takes.
                        agent_session.close()
        for key, agent_session in lapsed:
            self._close_backend(
                key, agent_session, 'its agent let the lease run out'
            )

    def _close_backend(
        self, key, agent_session, reason, *, crashed=False, unsent=()
    ):
        """Close a backend server whose runs have certainly ended.

        Args:
            key: Its key.
            agent_session: Its ``Session`` as of that decision, or None.
            reason: Why its runs have ended.
            crashed: Whether the server has certainly crashed.
            unsent: If so, runs that it has certainly not started.
        """
        saved = []
        suspects = []
        with self._replica.machine_lock:
            row = self._state.backends.find(key)
            replaced = self._sessions.find(key) is not agent_session
            if row is None or replaced:
                return
            if agent_session is not None:
                # Stays in the table until the commit, so that no poll opens
                # another session in between.
                agent_session.close()
                saved = checkpoints.list_checkpoints(agent_session)
            if crashed:
                suspects = self._list_suspects(key, agent_session, unsent)
            self._closing[key] = row.epoch
        command = backend_commands.CloseBackend(
            key=key,
            at=self._clock.wall().timestamp(),
            reason=reason,
            checkpoints=saved,
            epoch=row.epoch,
            suspects=suspects,
        )
        closed = self.propose(command)
        with self._replica.machine_lock:
            if self._closing.get(key) == row.epoch:
                del self._closing[key]
        if not closed:
            return
        if agent_session is not None:
            self._sessions.remove(key, agent_session)
        self._health.remove(key)
        log.log_decision(
            _logger, 'close backend server', reason=reason, backend=key
        )
        if crashed:
            self._log_crash(key, suspects, command.at)
        self.wake()

    def _list_suspects(self, key, agent_session, unsent):
        """Return the runs that may have crashed a backend server."""
        wall = self._clock.wall().timestamp()
        self._index.refresh(wall)
        present = agent_session.present if agent_session is not None else {}
        fresh = probation.list_fresh_runs(
            self._index.runs.get(key, {}),
            present,
            self._clock.monotonic(),
            wall,
        )
        unsent = set(unsent)
        return [ref for ref in fresh if ref not in unsent]

    def _log_crash(self, key, suspects, at):
        with self._replica.machine_lock:
            rows = [
                (ref, self._state.workflows.find(ref.workflow))
                for ref in suspects
            ]
            counts = [
                (ref.workflow, ref.task, row.find_task(ref.task).crashes)
                for ref, row in rows
                if row is not None
            ]
            failed = {
                row.id: row.reason
                for _, row in rows
                if row is not None
                and row.state == workflow.WorkflowState.FAILED
                and row.ended_at == at
            }
        log.log_decision(
            _logger,
            'record crash',
            reason='runs that had just been started are suspected',
            backend=key,
            suspects=len(counts),
            crashes=counts,
        )
        for workflow_id, reason in failed.items():
            log.log_decision(
                _logger,
                'give workflow up',
                reason=reason,
                workflow=workflow_id,
                backend=key,
            )

    def _expire(self):
        now = self._clock.monotonic()
        if now - self._expired_at < EXPIRY_INTERVAL:
            return
        self._expired_at = now
        self._log_effects()
        limit = self._clock.wall() - self._options.ended_retention
        with self._replica.machine_lock:
            ended = [
                row.id
                for row in self._state.workflows
                if row.state != workflow.WorkflowState.ACTIVE
                and row.ended_at < limit.timestamp()
            ]
        if ended:
            self.propose(workflow_commands.ExpireWorkflows(ids=ended))

    def _save_checkpoints(self):
        rows = self._checkpoints.collect(self._sessions)
        if rows:
            self.propose(workflow_commands.SaveCheckpoints(checkpoints=rows))

    def _log_effects(self):
        effects = self._interference.list_effects()
        if effects:
            _logger.info(
                'effects of best-effort images on tails',
                extra={
                    'headroom_by_tenth_of_a_server': [
                        (serving, image, round(effect, 2))
                        for serving, image, effect in effects
                    ]
                },
            )


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


def _check_open(agent_session):
    if agent_session.closed:
        raise errors.UnavailableError(
            'session was closed while the poll was pending',
            step='poll',
            peer=agent_session.key,
        )
