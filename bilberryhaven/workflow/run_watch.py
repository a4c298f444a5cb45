"""Takes listings and ends of runs in, and stops or copies slow runs."""

import datetime

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import log
from bilberryhaven.workflow import speculation
from bilberryhaven.workflow import stops

__all__ = ['RunWatch']

# Interval at which copies are considered; rounds may be far more frequent.
COPY_INTERVAL = clocks.seconds(0.25)

_logger = log.get_logger('workflow')


class RunWatch:
    """Feeds the leader's ``RunMonitor`` and carries out what it finds.

    Args:
        leader: The ``Dispatcher``.
        memory: The ``LeaderMemory``.
        clock: The ``Clock``.
    """

    def __init__(self, *, leader, memory, clock):
        self._leader = leader
        self._memory = memory
        self._clock = clock
        self._copies_due_at = datetime.timedelta.min

    def record_ends(self, backend, ends):
        """Include the ends of runs that a server has reported.

        Args:
            backend: Key of the backend server.
            ends: The ``RunEnd`` rows; they aren't committed yet.
        """
        memory = self._memory
        wall = self._clock.wall().timestamp()
        with memory.lock:
            views = memory.index.runs.get(backend, {})
            _log_losers(ends, views)
            memory.monitor.record_ends(
                views,
                ends,
                self._clock.monotonic(),
                wall,
                rack=self._find_rack(backend),
            )
            memory.rooms.record_ends(views, ends, wall)
            memory.shares.record_ends(views, ends, wall)

    def observe(self, agent_session):
        """Take a listing in; stop the runs that stand still.

        Args:
            agent_session: The ``Session`` of the server.
        """
        memory = self._memory
        key = agent_session.key
        with memory.lock:
            views = memory.index.runs.get(key, {})
            refs = memory.monitor.observe(
                key,
                views,
                agent_session.present,
                self._clock.monotonic(),
                rack=self._find_rack(key),
            )
            stalled = [views[ref] for ref in refs]
        if stalled:
            self._stop(stalled, 'no progress, though like tasks end')
            self._leader.wake()

    def restart_slow(self):
        """Stop the runs on slow servers that end sooner on others."""
        memory = self._memory
        if not memory.monitor.has_slow:
            return
        now = self._clock.wall().timestamp()
        with memory.lock:
            slow = memory.monitor.take_slow(
                memory.index.runs, lambda: memory.refresh_fleet(now)
            )
        if slow:
            self._stop(slow, 'backend server is much slower than others')

    def plan_copies(self, waiting, servers):
        """Return the copies to start once no other task can start.

        Args:
            waiting: The ``Group`` rows that have found no server.
            servers: The ``Server`` rows.

        Returns:
            The ``RunStart`` rows.
        """
        memory = self._memory
        now = self._clock.monotonic()
        if now < self._copies_due_at:
            return []
        self._copies_due_at = now + COPY_INTERVAL
        rows = memory.index.speculative.values()
        copies = speculation.plan_copies(
            [view for views in rows for view in views],
            waiting,
            servers,
            memory.monitor,
            now,
        )
        for copy in copies:
            memory.monitor.copies.add(copy)
            log.log_decision(
                _logger,
                'start copy',
                reason=copy.reason,
                workflow=copy.start.workflow,
                task=copy.start.task,
                run=copy.start.number,
                backend=copy.start.backend,
                gain_s=round(copy.gain_s, 2),
            )
        return [copy.start for copy in copies]

    def _find_rack(self, backend):
        row = self._memory.state.backends.find(backend)
        return row.rack if row is not None else ''

    def _stop(self, views, reason):
        now = self._clock.monotonic()
        for view in views:
            self._memory.health.mark_slow(view.backend, now)
        stops.stop_runs(
            self._leader,
            [(view.ref, self._describe(view, now)) for view in views],
            'stop straggler',
            reason=reason,
        )

    def _describe(self, view, now):
        """Return log fields of a straggler."""
        monitor = self._memory.monitor
        seen = monitor.progress.find(view.backend, view.ref)
        return {
            'backend': view.backend,
            'percent': seen.percent if seen else None,
            'speed': round(monitor.speeds.find(view.backend, now), 2),
        }


def _log_losers(ends, views):
    """Log the runs that are stopped since another run of their task ends."""
    for end in ends:
        view = views.get(end.run)
        if view is None or end.how != workflow_commands.DONE:
            continue
        losers = [
            (
                workflow_commands.RunRef(
                    end.run.workflow, end.run.task, run.number
                ),
                {'backend': run.backend},
            )
            for run in view.row.find_task(end.run.task).runs
            if run.number != end.run.number
        ]
        stops.log_stops(
            losers, 'stop copy', reason='another run of the task is done'
        )
