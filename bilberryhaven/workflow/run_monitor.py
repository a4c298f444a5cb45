"""What a leader learns of the speed of runs, tasks and servers."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import copy_outcomes
from bilberryhaven.workflow import progress
from bilberryhaven.workflow import run_times
from bilberryhaven.workflow import server_speed
from bilberryhaven.workflow import stragglers

__all__ = ['RunMonitor']

# Least time between two measurements of a server's speed. Servers list their
# runs at each end, too.
MIN_INTERVAL = clocks.seconds(0.4)
# Time between two listings of a server from which on it isn't known when the
# runs that the later one lists as ended did end. Agents report each end at
# once, and else at half a second.
MAX_SILENCE = clocks.seconds(1.5)


class RunMonitor:
    """Measures progress, run times and the speed of servers.

    It is in the leader's memory only. A new leader keeps the run times of its
    former terms, and learns the rest from two listings of each server.

    Not thread-safe: callers must hold the state machine's lock.

    Attributes:
        times: The ``RunTimes``.
        progress: The ``ProgressTable``.
        speeds: The ``ServerSpeeds``.
        copies: The ``CopyOutcomes``.
    """

    def __init__(self):
        self.times = run_times.RunTimes()
        self.progress = progress.ProgressTable()
        self.speeds = server_speed.ServerSpeeds(times=self.times)
        self.copies = copy_outcomes.CopyOutcomes()
        self._slow = {}
        self._due_at = {}
        self._listed_at = {}

    def clear(self):
        """Forget what was measured in an earlier term, but run times."""
        self.progress.clear()
        self.speeds.clear()
        self.copies.clear()
        self._slow.clear()
        self._due_at.clear()
        self._listed_at.clear()

    def remove(self, backend):
        """Forget a backend server that was closed."""
        self.progress.remove(backend)
        self.speeds.remove(backend)
        self._slow.pop(backend, None)
        self._due_at.pop(backend, None)
        self._listed_at.pop(backend, None)

    def record_ends(self, views, ends, now, wall, *, rack=''):
        """Include runs that have ended.

        A run time is taken only if the server's listings show when it ended.

        Args:
            views: ``RunView`` by run, all that the log assigns to the server.
            ends: The ``RunEnd`` rows.
            now: Monotonic time.
            wall: Unix time in seconds.
            rack: Rack of the server.
        """
        for end in ends:
            view = views.get(end.run)
            if view is None or end.how != workflow_commands.DONE:
                continue
            self.copies.record_end(end.run, now)
            if self._was_silent(view.backend, now):
                continue
            if view.step.saves_progress and end.run.number > 1:
                # It may have resumed from a checkpoint.
                continue
            seconds = wall - view.ordered_at
            self.times.record(view.row.queue, seconds, image=view.step.image)
            self.speeds.record_end(view, seconds, now, rack=rack)

    def _was_silent(self, backend, now):
        """Return whether a server's newest listing is too long ago."""
        listed_at = self._listed_at.get(backend)
        return listed_at is None or now - listed_at > MAX_SILENCE

    def observe(self, backend, views, present, now, *, rack=''):
        """Take the newest listing of a server into account.

        Args:
            backend: Key of the backend server.
            views: ``RunView`` by run, all that the log assigns to it.
            present: ``Presence`` by run.
            now: Monotonic time.
            rack: Rack of the server.

        Returns:
            The ``RunRef`` rows of runs that stand still while others don't;
            none between two measurements.
        """
        self._listed_at[backend] = now
        runs = self.progress.observe(backend, present, now)
        if now < self._due_at.get(backend, now):
            return []
        self._due_at[backend] = now + MIN_INTERVAL
        pairs = [(views[ref], runs[ref]) for ref in runs if ref in views]
        self.speeds.observe(backend, pairs, now, rack=rack)
        stalled, slow = stragglers.list_stragglers(
            views, runs, self.speeds, self.times, now
        )
        self._slow[backend] = slow
        since = now - stragglers.MIN_STALL
        if stalled and self.progress.is_still_elsewhere(backend, since):
            return []
        return stalled

    @property
    def has_slow(self):
        """Whether there may be slow runs to restart elsewhere."""
        return any(self._slow.values())

    def take_slow(self, runs, list_servers):
        """Return the slow runs for which another server has room, once.

        Args:
            runs: ``RunView`` by run, by key of the backend server.
            list_servers: Function that returns the ``Server`` rows; it is
                called only if there are slow runs.
        """
        views = [
            runs[backend][ref]
            for backend, refs in self._slow.items()
            for ref in refs
            if ref in runs.get(backend, {})
        ]
        self._slow.clear()
        waiting = [view for view in views if not view.stopping]
        if not waiting:
            return []
        servers = list_servers()
        return [
            view
            for view in waiting
            if stragglers.has_room_elsewhere(view, servers)
        ]
