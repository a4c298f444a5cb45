"""Health of backend servers, derived from how their runs end."""

import collections
import dataclasses
import datetime

from bilberryhaven import clock as clocks

__all__ = ['HealthTable']

# Number of different workflows with consecutive failed runs after which a
# server is quarantined: a faulty workflow fails on every server, a faulty
# server fails every workflow.
MIN_FAILED_WORKFLOWS = 2
# How long a server gets no new work before it is tried again.
QUARANTINE_TIME = clocks.seconds(4)


@dataclasses.dataclass(kw_only=True, slots=True)
class Health:
    """Health of one backend server.

    Attributes:
        failed_workflows: Ids of the workflows whose runs have failed there
            since the last success, as an ordered set.
        successes: Number of runs that have succeeded there.
        quarantined_until: Monotonic time until which the server gets no new
            work.
        slow_until: Monotonic time until which other servers are preferred,
            since runs were slow or stalled there.
    """

    failed_workflows: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    successes: int = 0
    quarantined_until: datetime.timedelta = datetime.timedelta.min
    slow_until: datetime.timedelta = datetime.timedelta.min


class HealthTable:
    """Health by key of the backend server, in the leader's memory only."""

    def __init__(self):
        self._rows = {}

    def clear(self):
        """Remove all records."""
        self._rows.clear()

    def remove(self, key):
        """Remove the record of one backend server."""
        self._rows.pop(key, None)

    def record(self, key, workflow_id, *, failed, now):
        """Record the end of a run.

        Args:
            key: Key of the backend server.
            workflow_id: Id of the run's workflow.
            failed: Whether the run failed.
            now: Monotonic time.

        Returns:
            Whether the failure has newly quarantined the server.
        """
        row = self._rows.setdefault(key, Health())
        if not failed:
            row.failed_workflows.clear()
            row.successes += 1
            row.quarantined_until = datetime.timedelta.min
            return False
        row.failed_workflows[workflow_id] = None
        return len(
            row.failed_workflows
        ) >= MIN_FAILED_WORKFLOWS and self.quarantine(key, now)

    def quarantine(self, key, now):
        """Give a server no new work for ``QUARANTINE_TIME``.

        Args:
            key: Key of the backend server.
            now: Monotonic time.

        Returns:
            Whether the server was not quarantined before.
        """
        row = self._rows.setdefault(key, Health())
        is_new = now >= row.quarantined_until
        row.quarantined_until = now + QUARANTINE_TIME
        return is_new

    def accepts_work(self, key, now):
        """Return whether a server may be given new work."""
        row = self._rows.get(key)
        return row is None or now >= row.quarantined_until

    def mark_slow(self, key, now):
        """Prefer other servers for ``QUARANTINE_TIME``.

        Runs on this server were slow or stalled.

        Args:
            key: Key of the backend server.
            now: Monotonic time.
        """
        row = self._rows.setdefault(key, Health())
        row.slow_until = now + QUARANTINE_TIME

    def is_suspect(self, key, now):
        """Return whether a server's last run failed or runs are slow."""
        row = self._rows.get(key)
        if row is None:
            return False
        return bool(row.failed_workflows) or now < row.slow_until

    def has_recent_success(self, key):
        """Return whether a run has succeeded since the last failure."""
        row = self._rows.get(key)
        return (
            row is not None
            and bool(row.successes)
            and not row.failed_workflows
        )
