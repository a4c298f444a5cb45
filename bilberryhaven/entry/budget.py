"""Retry budget: retries as a share of requests."""

__all__ = ['RetryBudget']


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Args:
        share: Tokens that each request adds.
        burst: Most tokens that it holds; it starts full.
    """

    def __init__(self, *, share, burst):
        self._share = share
        self._burst = burst
        self._tokens = float(burst)

    def add_request(self):
        """Add a request's share of a token."""
        self._tokens = min(self._tokens + self._share, self._burst)

    def take(self):
        """Take a token for one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
