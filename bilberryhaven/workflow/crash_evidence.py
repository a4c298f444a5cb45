"""Evidence of an agent on which runs may have crashed its backend server.

Only a run that the server has received may be the cause. An order that was
still on its way, or a start that met a closed port, is none.
"""

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import message

__all__ = ['CrashEvidence']

# Runs that were at work for longer are not reported.
MAX_AGE = clocks.seconds(1)
MILLISECOND = clocks.seconds(0.001)


class CrashEvidence:
    """Tracks which runs the server has received, and when it failed.

    Not thread-safe. All times are monotonic.
    """

    def __init__(self):
        # Start requests that have no outcome yet, and runs that the server
        # has received: when the request was sent, or its answer arrived.
        self._pending = {}
        self._started = {}
        # When the first call failed since the last answer.
        self._failed_at = None

    def record_request(self, run, now):
        """Record that a start request is about to be sent."""
        self._pending[run] = now

    def record_start(self, run, now):
        """Record that the server has answered that it started a run."""
        self._pending.pop(run, None)
        self._started.setdefault(run, now)
        self._failed_at = None

    def record_cut(self, run, now):
        """Record that the server closed the connection without an answer.

        It has received the request unless it was down before.
        """
        sent_at = self._pending.pop(run, now)
        if self._is_received(sent_at):
            self._started.setdefault(run, sent_at)
        self.record_failure(now)

    def discard_request(self, run):
        """Record that a request was refused, or that its fate is unknown."""
        self._pending.pop(run, None)

    def record_listing(self, now):
        """Record that the server answers, and forget runs at work for long."""
        self._failed_at = None
        self._started = {
            run: started_at
            for run, started_at in self._started.items()
            if now - started_at < MAX_AGE
        }

    def record_failure(self, now):
        """Record that a call has failed."""
        if self._failed_at is None:
            self._failed_at = now

    def _is_received(self, sent_at):
        return self._failed_at is None or sent_at <= self._failed_at

    def list_started(self, now):
        """Return the runs that were received shortly before the crash.

        Args:
            now: Time at which the crash became certain.

        Returns:
            ``StartedRun`` rows.
        """
        crashed_at = now if self._failed_at is None else self._failed_at
        started = {
            run: sent_at
            for run, sent_at in self._pending.items()
            if self._is_received(sent_at)
        }
        started.update(self._started)
        return [
            message.StartedRun(
                run, max(0, (crashed_at - started_at) // MILLISECOND)
            )
            for run, started_at in started.items()
            if crashed_at - started_at < MAX_AGE
        ]

    def get_failure_age_ms(self, now):
        """Return how long ago the first call failed, in ms."""
        if self._failed_at is None:
            return 0
        return (now - self._failed_at) // MILLISECOND
