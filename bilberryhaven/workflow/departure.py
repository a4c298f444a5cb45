"""What failed calls to a backend server show of its end."""

from bilberryhaven import errors

__all__ = ['Departure']


class Departure:
    """Judges failed calls to a server that may be leaving; no I/O.

    A server that leaves may close its listener, and connections, while it
    still runs tasks, and its agent may not have received that it leaves. So
    only the answer of another incarnation proves its end; the runs of a
    server that refuses connections end with their lease.

    Attributes:
        is_refusing: Whether it refused the newest connection.
    """

    def __init__(self):
        self._identity = None
        self._deregistered = False
        self.is_refusing = False

    def follow(self, announcement):
        """Begin with the server of an ``Announcement``."""
        self._identity = announcement.identity
        self._deregistered = False
        self.is_refusing = False

    def record_deregistration(self, server_id, born_ms):
        """Record that a server has deregistered.

        Args:
            server_id: Its id.
            born_ms: Start of its incarnation, or 0 if unknown.
        """
        if self._identity is None:
            return
        known_id, known_born_ms, *_ = self._identity
        if server_id == known_id and born_ms in (0, known_born_ms):
            self._deregistered = True

    def is_leaving(self, announcement):
        """Return whether the server of an ``Announcement`` is leaving."""
        return announcement.state.draining or self._deregistered

    def proves_end(self, error):
        """Return whether a failed call proves that the server has ended.

        Args:
            error: The error of the call.
        """
        self.is_refusing = isinstance(error, errors.NotListeningError)
        return isinstance(error, errors.GoneError) and not self.is_refusing

    def record_answer(self):
        """Record that the server has answered a call."""
        self.is_refusing = False
