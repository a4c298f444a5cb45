"""Closing of backend servers whose runs have certainly ended."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import checkpoints
from bilberryhaven.workflow import outage
from bilberryhaven.workflow import probation

__all__ = ['BackendCloser']

NO_TIME = clocks.seconds(0)

_logger = log.get_logger('workflow')


class BackendCloser:
    """Closes backend servers and records suspects of crashes.

    Args:
        leader: The ``Dispatcher``.
        memory: The ``LeaderMemory``.
        clock: The ``Clock``.
        options: The workflow ``Options``.

    Attributes:
        ready_at: Monotonic time at which the term began here.
    """

    def __init__(self, *, leader, memory, clock, options):
        self._leader = leader
        self._memory = memory
        self._clock = clock
        self._options = options
        self.ready_at = clock.monotonic()
        # Epochs of the servers whose closing was proposed, by key. If its
        # outcome is unknown, it may still be committed.
        self._closing = {}
        self._outages = outage.OutageDetector()

    @property
    def earliest_end(self):
        """Monotonic time at which leases of former terms have expired."""
        return self.ready_at + self._options.lease_expiry_delay

    def begin_term(self):
        """Discard the sessions and measurements of the former term."""
        with self._memory.lock:
            # Before the sessions, whose leases are judged by it when they
            # are missing.
            self.ready_at = self._clock.monotonic()
            self._memory.sessions.clear()
            self._memory.monitor.clear()
            self._closing.clear()
            self._outages.clear()

    def is_closing(self, row):
        """Return whether the closing of a server's epoch was proposed.

        Args:
            row: The ``Backend``.
        """
        return self._closing.get(row.key) == row.epoch

    def close_lapsed(self):
        """Close the servers whose leases have expired."""
        # Read before the sessions: another leader may renew their leases from
        # the end of that term on.
        term = self._leader.term
        now = self._clock.monotonic()
        with self._memory.lock:
            lapsed = []
            for row in self._memory.state.backends:
                agent_session = self._memory.sessions.find(row.key)
                end = (
                    agent_session.lease_end
                    if agent_session
                    else self.earliest_end
                )
                if now >= end:
                    lapsed.append((row.key, agent_session))
                    if agent_session is not None:
                        # No poll may renew the lease from here on, however
                        # long the closing of other servers takes.
                        agent_session.close()
        for key, agent_session in lapsed:
            polled_at = self.ready_at
            if agent_session is not None:
                polled_at = (
                    agent_session.lease_end - self._options.lease_expiry_delay
                )
            self.close_backend(
                key,
                agent_session,
                'its agent let the lease run out',
                evidence='no poll of its agent'
                if agent_session is not None
                else 'no poll of its agent since the term began',
                evidence_age=now - polled_at,
                term=term,
            )

    def close_backend(
        self,
        key,
        agent_session,
        reason,
        *,
        evidence,
        evidence_age=None,
        crashed=False,
        started=(),
        crash_age=NO_TIME,
        term=0,
    ):
        """Close a backend server whose runs have certainly ended.

        Args:
            key: Its key.
            agent_session: Its ``Session`` as of that decision, or None.
            reason: Why its runs have ended.
            evidence: What shows that, for logs.
            evidence_age: Time since the server, or its agent, was last heard
                of, a timedelta; None if unknown.
            crashed: Whether the server has certainly crashed.
            started: If so, ``StartedRun`` rows of the runs that it had
                received shortly before.
            crash_age: If so, time since then, a timedelta.
            term: The only term in which the evidence holds; 0 for any.

        Raises:
            NotLeaderError: That term has ended; the server isn't closed.
        """
        saved = []
        suspects, excused, cleared = [], [], []
        now = self._clock.wall().timestamp()
        with self._memory.lock:
            row = self._memory.state.backends.find(key)
            replaced = self._memory.sessions.find(key) is not agent_session
            if row is None or replaced:
                return
            self._memory.index.refresh(now)
            given_up = list(self._memory.index.runs.get(key, {}))
            if agent_session is not None:
                # Stays in the table until the commit, so that no poll opens
                # another session in between.
                agent_session.close()
                saved = checkpoints.list_checkpoints(agent_session)
            if crashed:
                suspects, excused, cleared = self._assess_crash(
                    key, started, crash_age
                )
            self._closing[key] = row.epoch
        command = backend_commands.CloseBackend(
            key=key,
            at=now,
            reason=reason,
            checkpoints=saved,
            epoch=row.epoch,
            suspects=suspects,
            excused=excused,
        )
        try:
            closed = self._leader.propose(command, term=term)
        except errors.NotLeaderError:
            # It wasn't proposed, so its agent may poll again.
            self._end_closing(row)
            raise
        self._end_closing(row)
        if not closed:
            return
        with self._memory.lock:
            self._memory.monitor.remove(key)
        if agent_session is not None:
            self._memory.sessions.remove(key, agent_session)
        self._memory.health.remove(key)
        log.log_decision(
            _logger, 'close backend server', reason=reason, backend=key
        )
        for ref in given_up:
            log.log_decision(
                _logger,
                'give run up',
                reason=reason,
                workflow=ref.workflow,
                task=ref.task,
                run=ref.number,
                backend=key,
                agent=row.instance,
                evidence=evidence,
                evidence_age_s=log.round_seconds(evidence_age),
                epoch=row.epoch,
                session=agent_session and agent_session.feed,
                term=self._leader.term,
            )
        if crashed:
            self._log_crash(key, suspects, excused, command.at)
            self._clear_suspects(cleared)
        self._leader.wake()

    def _end_closing(self, row):
        with self._memory.lock:
            if self.is_closing(row):
                del self._closing[row.key]

    def _assess_crash(self, key, started, crash_age):
        """Determine which runs may have caused a crash.

        Returns:
            The ``RunRef`` rows of the suspects, those of the runs that an
            outage excuses, and the ``Suspicion`` rows of earlier crashes that
            it clears as well.
        """
        fresh = probation.list_suspects(started)
        crashed_at = self._clock.monotonic() - crash_age
        cleared = self._outages.record(key, fresh, crashed_at)
        suspects, excused = [], []
        for ref in fresh:
            suspicion = workflow_commands.Suspicion(
                ref.workflow, ref.task, key
            )
            runs = excused if suspicion in cleared else suspects
            runs.append(ref)
        earlier = [item for item in cleared if item.backend != key]
        return suspects, excused, earlier

    def _clear_suspects(self, suspicions):
        """Clear tasks of crashes that an outage explains."""
        if not suspicions:
            return
        count = self._leader.propose(
            workflow_commands.ClearSuspects(suspicions=suspicions)
        )
        log.log_decision(
            _logger,
            'clear suspects',
            reason='other servers crashed at the same time',
            crashes=sorted({item.backend for item in suspicions}),
            tasks=count,
        )

    def _log_crash(self, key, suspects, excused, at):
        with self._memory.lock:
            rows = [
                (ref, self._memory.state.workflows.find(ref.workflow))
                for ref in [*suspects, *excused]
            ]
            counts = [
                (
                    ref.workflow,
                    ref.task,
                    ref.number,
                    row.find_task(ref.task).crashes,
                )
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
            suspects=len(suspects),
            excused=len(excused),
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
