"""Health of backend servers, judged by how the runs there end."""

import collections
import dataclasses
import datetime

from bilberryhaven import clock as clocks

__all__ = ['HealthTable']

# Failed runs of different workflows in a row after which a server is set
# aside: a bad workflow fails everywhere, a bad server fails all workflows.
SUSPECT_WORKFLOWS = 2
# How long a server is set aside before it is tried with new work again.
QUARANTINE = clocks.seconds(4)


@dataclasses.dataclass(kw_only=True, slots=True)
class Health:
    """What the ends of runs say about one backend server.

    Attributes:
        failed: Workflows whose runs have failed there since one ended well.
        ended_well: How many runs have ended well.
        until: Until when it gets no new work.
        slow_until: Until when others are preferred, since runs stalled there.
    """

    failed: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    ended_well: int = 0
    until: datetime.timedelta = datetime.timedelta.min
    slow_until: datetime.timedelta = datetime.timedelta.min


class HealthTable:
    """Health by key of the backend server; leader's memory only."""

    def __init__(self):
        self._rows = {}

    def clear(self):
        """Forget all."""
        self._rows.clear()

    def remove(self, key):
        """Forget one backend server."""
        self._rows.pop(key, None)

    def record(self, key, workflow_id, *, failed, now):
        """Note the end of a run.

        Returns:
            Whether the server has been set aside by it.
        """
        row = self._rows.setdefault(key, Health())
        if not failed:
            row.failed.clear()
            row.ended_well += 1
            row.until = datetime.timedelta.min
            return False
        row.failed[workflow_id] = None
        return len(row.failed) >= SUSPECT_WORKFLOWS and self.quarantine(
            key, now
        )

    def quarantine(self, key, now):
        """Give the server no new work for a while; return if it is news."""
        row = self._rows.setdefault(key, Health())
        news = now >= row.until
        row.until = now + QUARANTINE
        return news

    def accepts_work(self, key, now):
        """Return whether the server may be given new work."""
        row = self._rows.get(key)
        return row is None or now >= row.until

    def mark_slow(self, key, now):
        """Prefer other servers for a while; runs are slow or stalled here."""
        row = self._rows.setdefault(key, Health())
        row.slow_until = now + QUARANTINE

    def is_suspect(self, key, now):
        """Return whether its last run failed, or runs are slow there."""
        row = self._rows.get(key)
        if row is None:
            return False
        return bool(row.failed) or now < row.slow_until

    def has_recent_success(self, key):
        """Return whether a run has ended well there since the last failure."""
        row = self._rows.get(key)
        return row is not None and bool(row.ended_well) and not row.failed
