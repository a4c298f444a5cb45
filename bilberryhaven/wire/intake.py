"""What a process takes in from its peers, over all its listeners."""

import collections
import threading

from bilberryhaven import settings

__all__ = ['PROCESS', 'Intake']


class Intake:
    """Limits on input, and counts of what exceeded them.

    Args:
        limits: The ``InputLimits``, or None for the defaults.
    """

    def __init__(self, *, limits=None):
        self._limits = limits or settings.InputLimits()
        self._refusals = collections.Counter()
        self._lock = threading.Lock()

    @property
    def limits(self):
        """The ``InputLimits``."""
        return self._limits

    @property
    def refusals(self):
        """Number of refused requests and connections by reason, a mapping."""
        with self._lock:
            return dict(self._refusals)

    def configure(self, limits):
        """Set the limits; must be called before a listener is started."""
        self._limits = limits

    def count_refusal(self, reason):
        """Count a refusal.

        Args:
            reason: One of a fixed number of short names.
        """
        with self._lock:
            self._refusals[reason] += 1


# All listeners of a process share its memory and its descriptors.
PROCESS = Intake()
