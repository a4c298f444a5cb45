"""Retry budgets, which limit retries in proportion to requests."""

__all__ = ['RetryBudget', 'RetryBudgets']


class RetryBudget:
    """Token bucket that each request refills and each retry takes from.

    Args:
        share: Tokens added by each request.
        burst: Maximum number of tokens; the bucket starts full.
    """

    def __init__(self, *, tokens_per_request, burst):
        self._tokens_per_request = tokens_per_request
        self._burst = burst
        self._tokens = float(burst)

    def add_request(self):
        """Add the tokens of one request."""
        self._tokens = min(
            self._tokens + self._tokens_per_request, self._burst
        )

    def take(self):
        """Take a token for one retry, if one is left.

        Returns:
            Whether a token was taken.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBudgets:
    """Separate budgets for retries and for failovers.

    A failover is a retry after an attempt that no agent accepted; it adds
    no load to any agent.

    Args:
        limits: The entry's ``Limits``.

    Attributes:
        retries: Number of retries allowed so far, without failovers.
        failovers: Number of retries allowed so far after attempts that no
            agent accepted: the agent was unreachable or had a newer
            revision.
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
        """Add the tokens of one request to both budgets."""
        self._retry.add_request()
        self._failover.add_request()

    def take(self, *, not_accepted):
        """Take a token for one retry; return whether the retry is allowed.

        Args:
            not_accepted: Whether no agent accepted the previous attempt.
        """
        if not_accepted:
            allowed = self._failover.take()
            self.failovers += allowed
        else:
            allowed = self._retry.take()
            self.retries += allowed
        return allowed
