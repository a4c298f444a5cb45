"""What a process takes in from its peers, over all its listeners."""

import collections
import resource
import threading

from bilberryhaven import settings

__all__ = ['PROCESS', 'Intake']

# Requests of ordinary size may use the last part of the memory, so that a few
# large ones don't keep them from being served.
SMALL_REQUEST_BYTES = 64 * 1024
SHARE_OF_LARGE_REQUESTS = 0.75
SHARE_OF_DESCRIPTORS = 0.6
# Connections that a listener may have if the others have used up the rest, so
# that a crowd at one of them leaves readiness checks and heartbeats alone.
MIN_LISTENER_CONNECTIONS = 16


class Intake:
    """Limits on input, and counts of what exceeded them.

    Args:
        limits: The ``InputLimits``, or None for the defaults.
    """

    def __init__(self, *, limits=None):
        self._kept_bytes = 0
        self._connections = collections.Counter()
        self._max_connections = 0
        self._refusals = collections.Counter()
        self._lock = threading.Lock()
        self.configure(limits or settings.InputLimits())

    @property
    def limits(self):
        """The ``InputLimits``."""
        return self._limits

    @property
    def kept_bytes(self):
        """Estimated memory of the requests that are at hand, in bytes."""
        return self._kept_bytes

    @property
    def max_request_bytes(self):
        """Largest estimated memory of one request, in bytes."""
        return int(self._limits.kept_bytes * SHARE_OF_LARGE_REQUESTS)

    @property
    def refusals(self):
        """Number of refused requests and connections by reason, a mapping."""
        with self._lock:
            return dict(self._refusals)

    def configure(self, limits):
        """Set the limits; must be called before a listener is started."""
        self._limits = limits
        self._max_connections = self._count_allowed()

    def resize(self, held, needed):
        """Change what a request may keep; return whether it is allowed.

        It is always allowed to keep less.

        Args:
            held: Bytes that it may keep so far.
            needed: Bytes that it is to keep.
        """
        if held == needed:
            return True
        limit = self._limits.kept_bytes
        if needed > SMALL_REQUEST_BYTES:
            limit = self.max_request_bytes
        with self._lock:
            kept = self._kept_bytes + needed - held
            if needed > held and kept > limit:
                return False
            self._kept_bytes = kept
        return True

    def _count_allowed(self):
        """Return the largest number of open connections of all listeners."""
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = self._limits.descriptors
        if allowed != resource.RLIM_INFINITY:
            descriptors = min(allowed, descriptors)
        return int(descriptors * SHARE_OF_DESCRIPTORS)

    def open_connection(self, listener):
        """Count a new connection; return whether there is room for it.

        It is counted even without room, until ``close_connection``.

        Args:
            listener: Any hashable value that identifies its listener.
        """
        with self._lock:
            self._connections[listener] += 1
            count = self._connections.total()
            own = self._connections[listener]
        return (
            count <= self._max_connections or own <= MIN_LISTENER_CONNECTIONS
        )

    def close_connection(self, listener):
        """Count a connection of a listener as closed."""
        with self._lock:
            self._connections[listener] -= 1

    def count_refusal(self, reason):
        """Count a refusal.

        Args:
            reason: One of a fixed number of short names.
        """
        with self._lock:
            self._refusals[reason] += 1


# All listeners of a process share its memory and its descriptors.
PROCESS = Intake()
