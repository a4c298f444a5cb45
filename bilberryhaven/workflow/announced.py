"""Backend servers that were announced to an agent; no I/O."""

from bilberryhaven import clock as clocks

__all__ = ['AnnouncedServers']

MAX_SERVERS = 16
# Many intervals between two heartbeats of a server.
MAX_AGE = clocks.seconds(30)


class AnnouncedServers:
    """Newest announcements of the servers that an agent doesn't follow.

    Any process can send a heartbeat, so it shows only where a server may be.
    Heartbeats that differ in what stays the same during a server's life are
    kept apart, so that none replaces another writer's.
    """

    def __init__(self):
        self._rows = {}

    def record(self, announcement, now):
        """Store an announcement unless a newer one of the server is known.

        Args:
            announcement: The ``Announcement``.
            now: Monotonic time.
        """
        known = self._rows.pop(announcement.identity, None)
        not_before = now
        if known is not None:
            not_before = known[2]
            if known[0].sequence > announcement.sequence:
                announcement = known[0]
        self._rows[announcement.identity] = (announcement, now, not_before)
        if len(self._rows) > MAX_SERVERS:
            del self._rows[next(iter(self._rows))]

    def take_due(self, now, retry_at):
        """Return the servers to be asked now, those heard of last first.

        Args:
            now: Monotonic time.
            retry_at: Monotonic time before which they aren't due again.

        Returns:
            The ``Announcement`` rows.
        """
        self._rows = {
            identity: row
            for identity, row in self._rows.items()
            if now - row[1] < MAX_AGE
        }
        due = [row[0] for row in self._rows.values() if row[2] <= now]
        for announcement in due:
            self.put_off(announcement, retry_at)
        return due[::-1]

    def put_off(self, announcement, until):
        """Let a server not be due before ``until``."""
        row = self._rows.get(announcement.identity)
        if row is not None:
            self._rows[announcement.identity] = (*row[:2], until)

    def remove(self, announcement):
        """Remove a server."""
        self._rows.pop(announcement.identity, None)
