"""Metrics of an entry."""

from bilberryhaven import metrics

__all__ = ['EntryMetrics']


class EntryMetrics(metrics.Metrics):
    """Request metrics."""

    def count_response(self, response, elapsed):
        """Count a response and record its latency.

        Args:
            response: The ``Response``.
            elapsed: Time since the request arrived, as a timedelta.
        """
        error = response.error
        self.count(
            'entry_answers_total',
            'Answers to callers by code and outcome.',
            code=error.code if error else 'ok',
            outcome=str(error.outcome) if error else 'ran',
        )
        self.observe(
            'entry_request_seconds',
            'Time from arrival to answer.',
            elapsed.total_seconds(),
        )

    def count_dispatch(self):
        """Count an attempt to dispatch a request."""
        self.count('entry_dispatches_total', 'Attempts sent to agents.')

    def set_pending(self, pending):
        """Set the number of requests in progress."""
        self.set('entry_pending', 'Requests in progress.', pending)
