"""What a process takes in from its peers, over all its listeners."""

import collections
import threading

from bilberryhaven import settings

__all__ = ['PROCESS', 'Intake']

# Requests of ordinary size may use the last part of the memory, so that a few
# large ones don't keep them from being served.
SMALL_REQUEST_BYTES = 64 * 1024
SHARE_OF_LARGE_REQUESTS = 0.75


class Intake:
    """Limits on input, and counts of what exceeded them.

    Args:
        limits: The ``InputLimits``, or None for the defaults.
    """

    def __init__(self, *, limits=None):
        self._limits = limits or settings.InputLimits()
        self._kept_bytes = 0
        self._refusals = collections.Counter()
        self._lock = threading.Lock()

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

    def count_refusal(self, reason):
        """Count a refusal.

        Args:
            reason: One of a fixed number of short names.
        """
        with self._lock:
            self._refusals[reason] += 1


# All listeners of a process share its memory and its descriptors.
PROCESS = Intake()
