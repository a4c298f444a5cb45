"""The leader's work on workflows: requests, sessions and scheduling."""

import contextlib
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
from bilberryhaven.workflow import board
from bilberryhaven.workflow import callers
from bilberryhaven.workflow import health
from bilberryhaven.workflow import message
from bilberryhaven.workflow import neighbours
from bilberryhaven.workflow import pacing
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import session
from bilberryhaven.workflow import stragglers
from bilberryhaven.workflow import urgency

__all__ = ['Dispatcher']

COMMIT_TIMEOUT = clocks.seconds(2)
# Due times, lapsed leases and quarantines are looked at this often when
# nothing else happens.
IDLE_SECONDS = 0.1
# A run's processor use is a mean over half a second; a younger one's isn't
# whole yet.
SETTLED_S = 0.7
EXPIRY_INTERVAL = clocks.seconds(10)

_logger = log.get_logger('workflow')


class Dispatcher:
    """One control instance's part in running workflows.

    Every request raises ``NotLeaderError`` on an instance that isn't the
    leader.

    Args:
        replica: The ``Replica`` of the log.
        machine: The ``TableStateMachine`` that it applies to.
        clock: The ``Clock``.
        options: The ``Options`` of workflows.
        membership: Handles ``Join`` requests, or None.
    """

    def __init__(self, *, replica, machine, clock, options, membership=None):
        self._replica = replica
        self._state = machine.state
        self._clock = clock
        self._options = options
        self._sessions = session.SessionTable()
        self._health = health.HealthTable()
        self._neighbours = neighbours.Neighbours()
        self._times = stragglers.RunTimes()
        order = urgency.Urgency(times=self._times)
        self._board = board.WorkflowIndex(
            machine.state, find_rank=order.find_rank
        )
        self._desk = callers.CallerDesk(leader=self, clock=clock)
        self._membership = membership
        self._ready_term = 0
        self._ready_at = clock.monotonic()
        self._ready_lock = threading.Lock()
        self._expired_at = clock.monotonic()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._handlers = {
            message.Poll: self._poll,
            message.Report: self._report,
            message.Submit: self._desk.submit,
            message.Inquire: self._desk.inquire,
            message.Cancel: self._desk.cancel,
            message.Replace: self._desk.replace_catalog,
            message.ReadCatalog: self._desk.read_catalog,
            message.Join: self._join,
            # A replica knows the members from its log, or asks to join.
            message.Announce: lambda msg: message.AnnounceReply(),
        }

    def start(self):
        """Start to schedule while this instance leads."""
        threading.Thread(
            target=self._run, name='workflows', daemon=True
        ).start()

    def stop(self):
        """Schedule no longer and end held polls."""
        self._stopping.set()
        self._wake.set()
        self._sessions.clear()

    def handle(self, request):
        """Return the ``WorkReply`` to a ``WorkRequest``."""
        msg = message.decode_request(request.body)
        reply = self._handlers[type(msg)](msg)
        return wire_message.WorkReply(body=message.encode(reply))

    def wake(self):
        """Let the scheduler look at once."""
        self._wake.set()

    def ensure_ready(self):
        """Check leadership; begin anew in a new term.

        Raises:
            NotLeaderError: This instance is not, or no longer, the leader.
        """
        self._replica.check_read()
        term = self._replica.status().term
        if term == self._ready_term:
            return
        with self._ready_lock:
            if term != self._ready_term:
                self._sessions.clear()
                self._health.clear()
                self._ready_at = self._clock.monotonic()
                self._ready_term = term
                _logger.info('schedules workflows', extra={'term': term})

    @contextlib.contextmanager
    def read(self):
        """Hold the tables still for a linearizable read."""
        self.ensure_ready()
        with self._replica.machine_lock:
            yield self._state

    def propose(self, command):
        """Commit ``command`` and return its result."""
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
        held = self._find_session(key, request)
        self._renew(held, server)
        hold = self._options.max_poll_wait.total_seconds()
        last, orders = held.wait(request.feed, request.seen, hold)
        self.ensure_ready()
        _check_open(held)
        row = self._state.backends.find(key)
        return message.PollReply(
            key=key,
            epoch=held.epoch,
            lease_ms=int(self._options.lease / clocks.seconds(0.001)),
            feed=held.feed,
            last=last,
            orders=orders,
            acked=row.acked if row else 0,
            control=self._list_control(),
            former_deadline_ms=held.deadline_ms,
            doubt_ms=self._find_doubt(held),
        )

    def _find_doubt(self, held):
        if held.uncertain_until is None:
            return 0
        rest = held.uncertain_until - self._clock.monotonic()
        # An agent that is new to the server has to know that there was one.
        return max(1, int(rest / clocks.seconds(0.001)))

    def _renew(self, held, server):
        with self._replica.machine_lock:
            _check_open(held)
            now = self._clock.monotonic()
            held.lease_end = now + self._options.lease_expiry_delay
            held.draining = server.draining

    def _list_control(self):
        return [row.address for row in self._replica.status().members]

    def _find_session(self, key, request):
        with self._replica.machine_lock:
            row = self._state.backends.find(key)
            held = self._sessions.find(key)
        if row is not None and request.epoch > 0:
            if row.epoch != request.epoch:
                raise errors.FencedError(
                    f'epoch {request.epoch} of {key} was replaced by '
                    f'{row.epoch}',
                    step='poll',
                    peer=request.agent,
                )
            if held is not None and held.epoch == row.epoch:
                return held
            return self._open_session(row)
        known = row is not None
        row = self._open_backend(key, request)
        return self._open_session(row, inherit=known)

    def _open_backend(self, key, request):
        self._close_former_lives(key, request)
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
            reason='its agent announced it',
            backend=key,
            instance=request.agent,
            epoch=row.epoch,
        )
        return row

    def _close_former_lives(self, key, request):
        with self._replica.machine_lock:
            former = [
                row.key
                for row in self._state.backends.select(
                    'instance', request.agent
                )
                if row.key != key
            ]
        for other in former:
            self._close_backend(other, 'a later life has begun there')

    def _open_session(self, row, *, inherit=False):
        """Open a session; ``inherit`` where an agent is new to the server."""
        delay = self._options.lease_expiry_delay
        held = session.Session(
            key=row.key,
            epoch=row.epoch,
            lease_end=self._clock.monotonic() + delay,
        )
        with self._replica.machine_lock:
            former = self._sessions.find(row.key)
            if inherit:
                held.uncertain_until = self._ready_at + delay
            if inherit and former is not None:
                held.uncertain_until = former.lease_end
                held.deadline_ms = former.deadline_ms
            self._sessions.put(held)
            self._board.refresh(self._clock.wall().timestamp())
            self._order_runs(held)
        self.wake()
        return held

    def _report(self, request):
        self.ensure_ready()
        held = self._sessions.find(request.key)
        if held is None or held.epoch != request.epoch:
            raise errors.FencedError(
                f'no session {request.epoch} of {request.key}',
                step='report',
                peer=request.agent,
            )
        acked = self._record_ends(request)
        now = self._clock.monotonic()
        held.deadline_ms = max(held.deadline_ms, request.deadline_ms)
        held.paused = request.paused
        if request.trouble and self._health.quarantine(request.key, now):
            log.log_decision(
                _logger,
                'set backend server aside',
                reason=request.trouble,
                backend=request.key,
            )
        effects = []
        if request.listed:
            held.record_presence(request.running, now)
            self._stop_unknown(held, request)
            effects = self._learn(held, now)
            self._stop_stragglers(held, now)
        if request.lapsed:
            self._close_backend(request.key, 'its agent says it has lapsed')
        return message.ReportReply(acked=acked, effects=effects)

    def _record_ends(self, request):
        if not request.ends and not request.upto:
            return 0
        command = workflow_commands.RecordEnds(
            backend=request.key,
            ends=request.ends,
            upto=request.upto,
            at=self._clock.wall().timestamp(),
        )
        self._learn_run_times(request)
        acked = self.propose(command)
        for end in request.ends:
            self._judge_end(request.key, end)
        self.wake()
        return acked

    def _learn_run_times(self, request):
        now = self._clock.wall().timestamp()
        with self._replica.machine_lock:
            views = self._board.runs.get(request.key, {})
            for end in request.ends:
                view = views.get(end.run)
                if view is not None and end.how == workflow_commands.DONE:
                    seconds = now - view.ordered_at
                    self._times.record(view.row.queue, seconds)

    def _stop_stragglers(self, held, now):
        with self._replica.machine_lock:
            views = self._board.runs.get(held.key, {})
            slow = stragglers.list_stragglers(
                views, held.present, self._times, now
            )
        if not slow:
            return
        self._health.mark_slow(held.key, now)
        self.propose(workflow_commands.StopRuns(runs=slow))
        self.wake()
        for ref in slow:
            log.log_decision(
                _logger,
                'stop straggler',
                reason='far slower than its queue; starts anew elsewhere',
                workflow=ref.workflow,
                task=ref.task,
                run=ref.number,
                percent=held.present[ref].running.percent,
                backend=held.key,
            )

    def _judge_end(self, key, end):
        log.log_decision(
            _logger,
            'record end',
            reason=end.how,
            workflow=end.run.workflow,
            task=end.run.task,
            run=end.run.number,
            backend=key,
        )
        if end.how not in (workflow_commands.DONE, workflow_commands.FAILED):
            return
        news = self._health.record(
            key,
            end.run.workflow,
            failed=end.how == workflow_commands.FAILED,
            now=self._clock.monotonic(),
        )
        if news:
            log.log_decision(
                _logger,
                'set backend server aside',
                reason='runs of different workflows failed in a row',
                backend=key,
            )

    def _learn(self, held, now):
        with self._replica.machine_lock:
            row = self._state.backends.find(held.key)
            if row is None:
                return []
            views = self._board.runs.get(held.key, {})
            self._neighbours.observe(row, views, held.present, now)
            pairs = self._neighbours.list_pressing(row, views, held.present)
            held.interfering = [ref for _, ref in pairs]
            return self._neighbours.list_present_effects(views)

    def _stop_unknown(self, held, request):
        """Stop what runs there though the log knows nothing of it."""
        with self._replica.machine_lock:
            self._board.refresh(self._clock.wall().timestamp())
            known = self._board.runs.get(request.key, {})
            strange = [
                row.run for row in request.running if row.run not in known
            ]
            self._order_runs(held)
        for ref in strange:
            held.order_stop(ref)

    def _run(self):
        while not self._stopping.is_set():
            self._wake.wait(IDLE_SECONDS)
            self._wake.clear()
            try:
                self.ensure_ready()
                self._schedule()
            except errors.BilberryhavenError as error:
                if not isinstance(error, errors.NotLeaderError):
                    _logger.warning('scheduling was put off: {}', error)
            except Exception:  # noqa: BLE001
                _logger.exception('scheduling failed')

    def _schedule(self):
        if self._membership is not None:
            self._membership.tick()
        self._close_lapsed()
        self._expire()
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
        held = self._sessions.find(start.backend)
        now = self._clock.monotonic()
        age = now - held.listed_at if held and held.listed_at else None
        log.log_decision(
            _logger,
            'start run',
            reason='room there',
            workflow=start.workflow,
            task=start.task,
            run=start.number,
            backend=start.backend,
            unclaimed_cpu=server.unclaimed,
            satisfaction=round(server.satisfaction, 2),
            worst_tail=round(max((t for _, t in server.tails), default=0), 2),
            report_age_s=age and round(age.total_seconds(), 3),
        )

    def _relocate(self):
        """Stop best-effort runs that would do better elsewhere."""
        moves = []
        with self._replica.machine_lock:
            self._board.refresh(self._clock.wall().timestamp())
            paused = [held for held in self._sessions if held.paused]
            if not paused:
                return
            servers = {
                row.key: self._build_server(row)
                for row in self._state.backends
            }
            for held in paused:
                if held.key in servers:
                    moves += planner.list_relocations(
                        self._board.runs.get(held.key, {}),
                        held.paused,
                        held.present,
                        servers[held.key],
                        list(servers.values()),
                        self._neighbours,
                    )
                held.paused = []
        if not moves:
            return
        self.propose(workflow_commands.StopRuns(runs=moves))
        for ref in moves:
            log.log_decision(
                _logger,
                'relocate run',
                reason='slowed down for long where it is, room elsewhere',
                workflow=ref.workflow,
                task=ref.task,
                run=ref.number,
            )

    def _order_runs(self, held):
        views = self._board.runs.get(held.key, {})
        row = self._state.backends.find(held.key)

        def find_percent(view):
            if self._neighbours.is_harmless(row, views, view.step):
                return pacing.FULL_PERCENT
            return pacing.INITIAL_PERCENT

        if row is not None:
            held.reconcile_runs(views, find_percent)

    def _plan(self):
        now = self._clock.wall().timestamp()
        with self._replica.machine_lock:
            self._board.refresh(now)
            for key in self._board.take_changed():
                held = self._sessions.find(key)
                if held is not None:
                    self._order_runs(held)
            servers = [self._build_server(row) for row in self._state.backends]
            starts = planner.plan_starts(
                self._board.list_groups(now),
                servers,
                now,
                self._neighbours,
            )
            return starts, {server.key: server for server in servers}

    def _build_server(self, row):
        now = self._clock.monotonic()
        held = self._sessions.find(row.key)
        server = planner.Server(
            key=row.key,
            pool=row.pool,
            rack=row.rack,
            labels=frozenset(row.labels),
            cpu=row.cpu,
            memory_mb=row.memory_mb,
            gpu=row.gpu,
            open=(
                held is not None
                and not self._is_unsettled(held)
                and not held.draining
                and self._is_fresh(held, now)
                and self._health.accepts_work(row.key, now)
            ),
            doubtful=self._health.is_suspect(row.key, now),
            proven=self._health.has_recent_success(row.key),
        )
        views = self._board.runs.get(row.key, {})
        for ref, view in views.items():
            server.claim(view.step, view.group)
            if held is not None and ref not in held.present:
                server.trying |= view.step.best_effort
        if held is not None:
            self._describe_present(server, held, views, now)
        return server

    def _describe_present(self, server, held, views, now):
        """Add what the runs on the server were measured at."""
        wanted = used = 0.0
        for ref, seen in held.present.items():
            view = views.get(ref)
            if view is None:
                continue
            if view.step.target_ms:
                share = seen.running.gauge / view.step.target_ms
                server.tails.append((view.step.image, share))
                continue
            age = (now - seen.first_at).total_seconds()
            if not view.step.best_effort:
                continue
            server.fillers.append(
                planner.Filler(
                    image=view.step.image,
                    tenths=planner.TENTHS * seen.running.gauge / server.cpu,
                    rank=view.rank,
                )
            )
            if age < SETTLED_S:
                server.trying = True
                continue
            if ref not in held.interfering:
                wanted += view.step.cpu
                used += seen.running.gauge
        if wanted:
            server.satisfaction = used / wanted

    @staticmethod
    def _is_unsettled(held):
        # A new agent may have to wait for what an earlier one kept alive.
        return held.uncertain_until is not None and held.listed_at is None

    def _is_fresh(self, held, now):
        # An agent that missed two polls is not given new work.
        silence = now - (held.lease_end - self._options.lease_expiry_delay)
        return silence < 3 * self._options.max_poll_wait

    def _close_lapsed(self):
        now = self._clock.monotonic()
        first = self._ready_at + self._options.lease_expiry_delay
        with self._replica.machine_lock:
            lapsed = []
            for row in self._state.backends:
                held = self._sessions.find(row.key)
                end = held.lease_end if held else first
                if now >= end:
                    lapsed.append(row.key)
                    self._sessions.remove(row.key)
        for key in lapsed:
            self._close_backend(key, 'its agent let the lease run out')

    def _close_backend(self, key, reason):
        self._sessions.remove(key)
        self._health.remove(key)
        command = backend_commands.CloseBackend(
            key=key, at=self._clock.wall().timestamp(), reason=reason
        )
        self.propose(command)
        log.log_decision(
            _logger, 'close backend server', reason=reason, backend=key
        )
        self.wake()

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

    def _log_effects(self):
        effects = self._neighbours.list_effects()
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


def _check_open(held):
    if held.closed:
        raise errors.UnavailableError(
            'the session was closed meanwhile', step='poll', peer=held.key
        )
