"""Metrics of an entry."""

from bilberryhaven import metrics

__all__ = ['EntryMetrics']


class EntryMetrics(metrics.Metrics):
    """Counters of requests."""

    def count_response(self, response, elapsed):
        """Count an answer that took ``elapsed``, a timedelta."""
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
        """Count an attempt."""
        self.count('entry_dispatches_total', 'Attempts sent to agents.')

    def set_pending(self, pending):
        """Record how many requests are in progress."""
        self.set('entry_pending', 'Requests in progress.', pending)
