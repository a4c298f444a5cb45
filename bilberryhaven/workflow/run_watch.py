"""Takes listings and ends of runs in, and stops slow runs."""

from bilberryhaven.workflow import stops

__all__ = ['RunWatch']


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
            memory.rooms.record_ends(views, ends, wall)
            memory.monitor.record_ends(
                views,
                ends,
                self._clock.monotonic(),
                wall,
                rack=self._find_rack(backend),
            )

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
