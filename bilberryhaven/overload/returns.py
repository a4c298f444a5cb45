"""Return times of rejected callers.

Answers a backlog at its bound: callers that are rejected at the same moment
come back one after the other, as the room for them becomes free, and find a
place that newcomers haven't taken.
"""

import collections
import math
import zlib

__all__ = ['MAX_RETRY_AFTER_S', 'ReturnSchedule']

# Callers aren't sent away for longer, as a forecast doesn't reach further.
MAX_RETRY_AFTER_S = 60
# Room of a caller that hasn't come back is given to others after this time.
KEPT_FOR_S = 5.0
# Callers that are remembered; the earliest rejected are forgotten first.
MAX_CALLERS = 5_000


class ReturnSchedule:
    """Return times that were assigned to rejected callers."""

    def __init__(self):
        self._callers = collections.OrderedDict()
        # Time at which the room after the last caller of a line is free.
        self._next_at = {}

    def clear(self):
        """Forget all callers."""
        self._callers.clear()
        self._next_at.clear()

    def add(self, key, reason, *, line, wait_s, spacing_s, now):
        """Assign a return time to a caller that is rejected.

        Args:
            key: Id of its work.
            reason: Why it is rejected.
            line: What callers have in common that wait for the same room.
            wait_s: Time until there is room for it, in seconds.
            spacing_s: How long it occupies that room, in seconds; None if it
                waits for something else than room, so that others don't come
                back after it.
            now: Current time in seconds.

        Returns:
            The whole seconds after which it should come back.
        """
        at = now + wait_s
        if spacing_s is not None:
            at = max(at, self._next_at.get(line, at))
        if at > now + MAX_RETRY_AFTER_S:
            # There is no forecast that far ahead, so they are only spread.
            share = zlib.crc32(key.encode()) / 2**32
            at = now + MAX_RETRY_AFTER_S * (1 + share) / 2
        elif spacing_s is not None:
            self._next_at[line] = at + spacing_s
        retry_after_s = max(1, math.ceil(at - now))
        self._callers[key] = (now + retry_after_s, reason)
        self._callers.move_to_end(key)
        if len(self._callers) > MAX_CALLERS:
            self._callers.popitem(last=False)
        return retry_after_s

    def find(self, key, now):
        """Return the (reason, whole seconds to wait) pair of a caller.

        Returns:
            The pair, or None if the caller may come back.
        """
        at, reason = self._callers.get(key, (now, None))
        return (reason, math.ceil(at - now)) if at > now else None

    def remove(self, key):
        """Forget a caller whose work is accepted."""
        self._callers.pop(key, None)

    def count_expected(self, key, now):
        """Return how many other callers come back about now.

        Args:
            key: Id of the work that isn't counted.
            now: Current time in seconds.
        """
        return sum(
            now - KEPT_FOR_S <= at <= now and other != key
            for other, (at, _) in self._callers.items()
        )
