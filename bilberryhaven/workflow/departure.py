"""Evidence that a backend server which leaves as planned has ended."""

from bilberryhaven import errors

__all__ = ['Departure']


class Departure:
    """Judges failed calls to a server that may be leaving; no I/O.

    A server that leaves may close its listener, and connections, while it
    still runs tasks. A refused connection therefore proves its end only if
    it wasn't leaving, since then only its crash explains that, or some time
    after it has deregistered. Otherwise its runs end with their lease.

    Args:
        margin: Time that the server may take from its deregistration to its
            end, as a timedelta.

    Attributes:
        is_refusing: Whether it is leaving, refused the newest connection and
            may not have ended.
    """

    def __init__(self, *, margin):
        self._margin = margin
        self._incarnation = None
        self._deregistered_at = None
        self.is_refusing = False

    def follow(self, announcement):
        """Begin with an incarnation, unless it is the one followed."""
        state = announcement.state
        incarnation = (state.id, state.born_ms)
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._deregistered_at = None
            self.is_refusing = False

    def record_deregistration(self, server_id, born_ms, now):
        """Record that a server has deregistered.

        Args:
            server_id: Its id.
            born_ms: Start of its incarnation, or 0 if unknown.
            now: Monotonic time.
        """
        if self._incarnation is None or self._deregistered_at is not None:
            return
        known_id, known_born_ms = self._incarnation
        if server_id == known_id and born_ms in (0, known_born_ms):
            self._deregistered_at = now

    def is_leaving(self, announcement):
        """Return whether the server of an ``Announcement`` is leaving."""
        return announcement.state.draining or self._deregistered_at is not None

    def proves_end(self, error, announcement, now):
        """Return whether a failed call proves that the server has ended.

        Args:
            error: The error of the call.
            announcement: The newest ``Announcement`` of the server.
            now: Monotonic time.
        """
        self.is_refusing = False
        if not isinstance(error, errors.GoneError):
            return False
        refused = isinstance(error, errors.NotListeningError)
        if not refused or not self.is_leaving(announcement):
            return True
        at = self._deregistered_at
        has_ended = at is not None and now - at >= self._margin
        self.is_refusing = not has_ended
        return has_ended

    def record_answer(self):
        """Record that the server has answered a call."""
        self.is_refusing = False
