"""Times of retries whose delay doubles."""

__all__ = ['Backoff']


class Backoff:
    """Delay before the next attempt of an operation that has failed.

    Args:
        first: Delay before the first attempt, a timedelta.
        longest: Upper bound of the delay, a timedelta.

    Attributes:
        delay: The delay before the next attempt, a timedelta.
    """

    def __init__(self, *, first, longest):
        self._first = first
        self._longest = longest
        self._due_at = None
        self.delay = first

    def is_due(self, now):
        """Return whether the next attempt is due; starts the first delay."""
        if self._due_at is None:
            self._due_at = now + self.delay
        return now >= self._due_at

    def postpone(self, now):
        """Double the delay after an attempt at ``now``."""
        self.delay = min(self.delay * 2, self._longest)
        self._due_at = now + self.delay

    def reset(self):
        """Return to the first delay, since the operation has succeeded."""
        self.delay = self._first
        self._due_at = None
