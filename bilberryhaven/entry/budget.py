"""Retry budgets: retries as a share of requests."""

__all__ = ['RetryBudget', 'RetryBudgets']


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Args:
        share: Tokens that each request adds.
        burst: Most tokens that it holds; it starts full.
    """

    def __init__(self, *, tokens_per_request, burst):
        self._tokens_per_request = tokens_per_request
        self._burst = burst
        self._tokens = float(burst)

    def add_request(self):
        """Add a request's share of a token."""
        self._tokens = min(
            self._tokens + self._tokens_per_request, self._burst
        )

    def take(self):
        """Take a token for one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBudgets:
    """A budget of retries, and one of those that add no load.

    Args:
        limits: The entry's ``Limits``.

    Attributes:
        retries: Retries allowed so far.
        failovers: Retries allowed so far after attempts that no agent
            accepted, because it wasn't reached or held a newer revision.
    """

    def __init__(self, *, limits):
        self.retries = 0
        self.failovers = 0
        self._retry = RetryBudget(
            tokens_per_request=limits.retry_ratio, burst=limits.retry_burst
        )
        self._failover = RetryBudget(
            tokens_per_request=limits.failover_ratio,
            burst=limits.failover_burst,
        )

    def add_request(self):
        """Add a request's shares."""
        self._retry.add_request()
        self._failover.add_request()

    def take(self, *, not_accepted):
        """Take a retry; return whether it is allowed."""
        if not_accepted:
            allowed = self._failover.take()
            self.failovers += allowed
        else:
            allowed = self._retry.take()
            self.retries += allowed
        return allowed
