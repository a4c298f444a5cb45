"""Backend servers that were announced to an agent; no I/O."""

import dataclasses
import datetime

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import server_client

__all__ = ['AnnouncedServers']

MAX_SERVERS = 16
# Many intervals between two heartbeats of a server.
MAX_AGE = clocks.seconds(30)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Candidate:
    """An announced server.

    Attributes:
        announcement: Its newest ``Announcement``.
        heard_at: Monotonic time of the newest heartbeat.
        due_at: Monotonic time from which on it may be asked.
    """

    announcement: server_client.Announcement
    heard_at: datetime.timedelta
    due_at: datetime.timedelta


class AnnouncedServers:
    """Newest announcements of the servers that an agent doesn't follow.

    Any process can send a heartbeat, so it shows only where a server may be.
    Heartbeats that differ in what stays the same during a server's life are
    kept apart, so that none replaces another writer's.
    """

    def __init__(self):
        # By identity, in the order in which they were heard of last.
        self._candidates = {}

    def record(self, announcement, now):
        """Store an announcement unless a newer one of the server is known.

        Args:
            announcement: The ``Announcement``.
            now: Monotonic time.
        """
        known = self._candidates.pop(announcement.identity, None)
        if known is None:
            known = _Candidate(
                announcement=announcement, heard_at=now, due_at=now
            )
        elif announcement.sequence > known.announcement.sequence:
            known.announcement = announcement
        known.heard_at = now
        self._candidates[announcement.identity] = known
        if len(self._candidates) > MAX_SERVERS:
            del self._candidates[next(iter(self._candidates))]

    def take_due(self, now, retry_at):
        """Return the servers to be asked now, those heard of last first.

        Args:
            now: Monotonic time.
            retry_at: Monotonic time before which they aren't due again.

        Returns:
            The ``Announcement`` rows.
        """
        self._candidates = {
            identity: row
            for identity, row in self._candidates.items()
            if now - row.heard_at < MAX_AGE
        }
        due = [row for row in self._candidates.values() if row.due_at <= now]
        for row in due:
            row.due_at = retry_at
        return [row.announcement for row in reversed(due)]

    def put_off(self, announcement, until):
        """Let a server not be due before ``until``, a monotonic time."""
        row = self._candidates.get(announcement.identity)
        if row is not None:
            row.due_at = until

    def remove(self, announcement):
        """Remove a server."""
        self._candidates.pop(announcement.identity, None)
