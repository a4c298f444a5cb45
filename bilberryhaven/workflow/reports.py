"""Handles the reports of the agents."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.workflow import message
from bilberryhaven.workflow import probation
from bilberryhaven.workflow import stops

__all__ = ['ReportHandler']

MILLISECOND = clocks.seconds(0.001)

_logger = log.get_logger('workflow')


class ReportHandler:
    """Records ends and measurements of runs that agents report.

    Args:
        leader: The ``Dispatcher``.
        memory: The ``LeaderMemory``.
        closer: The ``BackendCloser``.
        watch: The ``RunWatch``.
        clock: The ``Clock``.
    """

    def __init__(self, *, leader, memory, closer, watch, clock):
        self._leader = leader
        self._memory = memory
        self._closer = closer
        self._watch = watch
        self._clock = clock

    def handle(self, request):
        """Record what an agent reports about its server.

        Args:
            request: The ``Report``.

        Returns:
            The ``ReportReply``.

        Raises:
            FencedError: The session that it belongs to doesn't exist.
            NotLeaderError: This instance is not the leader.
        """
        self._leader.ensure_ready()
        agent_session = self._memory.sessions.find(request.key)
        if agent_session is None and self._is_lapse_of_row(request):
            self._closer.close_backend(
                request.key,
                None,
                'its agent says it has lapsed',
                evidence=request.evidence,
                evidence_age=request.evidence_age_ms * MILLISECOND,
                crashed=request.crashed,
                started=request.started,
                crash_age=request.crash_age_ms * MILLISECOND,
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
        effects = []
        # Of a report that was held up, the rest is out of date.
        if agent_session.take_report(request.number):
            effects = self._take_measurements(agent_session, request, now)
        if request.lapsed:
            self._closer.close_backend(
                request.key,
                agent_session,
                'its agent says it has lapsed',
                evidence=request.evidence,
                evidence_age=request.evidence_age_ms * MILLISECOND,
                crashed=request.crashed and not agent_session.draining,
                started=request.started,
                crash_age=request.crash_age_ms * MILLISECOND,
            )
        return message.ReportReply(acked=acked, effects=effects)

    def _take_measurements(self, agent_session, request, now):
        """Take in what a report shows of the present; return the effects."""
        agent_session.paused = request.paused
        if request.trouble and self._memory.health.quarantine(
            request.key, now
        ):
            log.log_decision(
                _logger,
                'set backend server aside',
                reason=request.trouble,
                backend=request.key,
            )
        if not request.listed:
            return []
        agent_session.record_presence(request.running, now)
        self._stop_unknown_runs(agent_session, request)
        self._clear_settled_suspects(agent_session, now)
        effects = self._observe_interference(agent_session, now)
        self._watch.observe(agent_session)
        return effects

    def _is_lapse_of_row(self, request):
        # An agent that reports a lapse doesn't poll, so that a new leader has
        # no session of it.
        with self._memory.lock:
            row = self._memory.state.backends.find(request.key)
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
        new_ends = self._list_new_ends(request)
        self._watch.record_ends(request.key, new_ends)
        recorded = self._leader.propose(command)
        ignored = set(recorded.ignored)
        for end in new_ends:
            self._handle_end(request, end, ignored=end.run in ignored)
        self._leader.wake()
        return recorded.acked

    def _list_new_ends(self, request):
        """Return the ends that no earlier report has brought."""
        with self._memory.lock:
            row = self._memory.state.backends.find(request.key)
            acked = row.acked if row is not None else 0
        return [
            end
            for end in request.ends
            if end.number == 0 or end.number > acked
        ]

    def _handle_end(self, request, end, *, ignored):
        key = request.key
        log.log_decision(
            _logger,
            'ignore end' if ignored else 'record end',
            reason=end.how,
            workflow=end.run.workflow,
            task=end.run.task,
            run=end.run.number,
            backend=key,
            number=end.number,
            epoch=request.epoch,
            term=self._leader.term,
            **(self._describe_task(end.run) if ignored else {}),
        )
        if end.how not in (workflow_commands.DONE, workflow_commands.FAILED):
            return
        newly_quarantined = self._memory.health.record(
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

    def _describe_task(self, run):
        """Return what superseded a run, for logs."""
        with self._memory.lock:
            row = self._memory.state.workflows.find(run.workflow)
            task = row and row.find_task(run.task)
            if task is None:
                return {'superseded_by': 'the workflow was removed'}
            return {
                'superseded_by': [
                    (other.number, other.backend) for other in task.runs
                ],
                'task_done': task.done,
                'last_run': task.last_run,
                'state': row.state,
            }

    def _describe_unknown(self, run, agent_session):
        """Return log fields of a run that isn't assigned to its server."""
        seen = agent_session.present.get(run)
        listed = self._clock.monotonic() - seen.first_at if seen else None
        return {
            'backend': agent_session.key,
            'epoch': agent_session.epoch,
            'term': self._leader.term,
            'listed_s': log.round_seconds(listed),
            **self._describe_task(run),
        }

    def _observe_interference(self, agent_session, now):
        with self._memory.lock:
            row = self._memory.state.backends.find(agent_session.key)
            if row is None:
                return []
            row = agent_session.capacity.apply_to(row)
            views = self._memory.index.runs.get(agent_session.key, {})
            self._memory.interference.observe(
                row, views, agent_session.present, now
            )
            pairs = self._memory.interference.list_interfering_runs(
                row, views, agent_session.present
            )
            agent_session.interfering = [ref for _, ref in pairs]
            return self._memory.interference.list_present_effects(views)

    def _clear_settled_suspects(self, agent_session, now):
        with self._memory.lock:
            views = self._memory.index.runs.get(agent_session.key, {})
            settled = probation.list_settled_suspects(
                views, agent_session.present, now
            )
        if not settled:
            return
        self._leader.propose(workflow_commands.ClearSuspects(settled=settled))
        log.log_decision(
            _logger,
            'clear suspects',
            reason='they have been at work for long',
            backend=agent_session.key,
            tasks=len(settled),
        )

    def _stop_unknown_runs(self, agent_session, request):
        """Stop reported runs that the replicated tables don't contain."""
        with self._memory.lock:
            self._memory.index.refresh(self._clock.wall().timestamp())
            known = self._memory.index.runs.get(request.key, {})
            unknown = [
                row.run for row in request.running if row.run not in known
            ]
            self._memory.order_runs(agent_session)
        ordered = [
            (ref, self._describe_unknown(ref, agent_session))
            for ref in unknown
            if agent_session.order_stop(ref)
        ]
        stops.log_stops(
            ordered,
            'stop unknown run',
            reason='listed, but not assigned to the server',
        )
