"""Recognition of crashes that hit several backend servers at once.

Answers the loss of power of a rack, an availability zone or all servers, and
other faults that servers share. A task can't crash a server that doesn't run
it, so what crashes together has another cause than any task of one server.
"""

import dataclasses
import datetime

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands

__all__ = ['OutageDetector']

# Crashes within this time may have the same cause. Agents notice a closed
# connection within some ms, but not while they send a report. A task that is
# started again at once takes longer to crash its next server.
WINDOW = clocks.seconds(0.15)
# Crashes are kept for longer, since their reports may be held up.
RETENTION = clocks.seconds(10)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Crash of a backend server.

    Attributes:
        key: Key of the backend server.
        at: Monotonic time.
        tasks: (workflow, task) pairs that are suspected of it.
    """

    key: str
    at: datetime.timedelta
    tasks: frozenset


class OutageDetector:
    """Distinguishes outages from crashes that a task may have caused.

    Not thread-safe.
    """

    def __init__(self):
        self._crashes = []

    def record(self, key, suspects, at):
        """Record a crash.

        Another crash at the same time clears each suspect, unless the
        suspect's task was on that server, too: a task that crashes its server
        may have crashed the next one within that time.

        Args:
            key: Key of the backend server.
            suspects: The ``RunRef`` rows of the runs suspected of it.
            at: Monotonic time of the crash.

        Returns:
            The ``Suspicion`` rows that are cleared now, of this crash and of
            earlier ones.
        """
        self._crashes = [
            crash for crash in self._crashes if at - crash.at <= RETENTION
        ]
        tasks = frozenset((ref.workflow, ref.task) for ref in suspects)
        crash = Crash(key=key, at=at, tasks=tasks)
        cleared = []
        for other in self._crashes:
            if abs(at - other.at) <= WINDOW:
                cleared += _list_unshared(crash, other)
                cleared += _list_unshared(other, crash)
        self._crashes.append(crash)
        return list(dict.fromkeys(cleared))

    def clear(self):
        """Forget all crashes."""
        self._crashes.clear()


def _list_unshared(crash, other):
    return [
        workflow_commands.Suspicion(*task, crash.key)
        for task in sorted(crash.tasks - other.tasks)
    ]
