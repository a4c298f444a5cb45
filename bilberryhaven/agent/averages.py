"""Moving averages of service time and failures."""

import datetime

__all__ = ['MovingAverages']

SMOOTHING_FACTOR = 0.1


class MovingAverages:
    """Exponential moving averages over the requests of an agent.

    Attributes:
        service_time: Average time to an answer; zero before the first one.
        failure_share: Average share of failed requests, 0 to 1.
    """

    def __init__(self):
        self.service_time = datetime.timedelta()
        self.failure_share = 0.0

    @property
    def service_ms(self):
        """Average service time in milliseconds."""
        return self.service_time / datetime.timedelta(milliseconds=1)

    def record_success(self, duration):
        """Record an answer that took ``duration``."""
        if not self.service_time:
            self.service_time = duration
        self.service_time += (duration - self.service_time) * SMOOTHING_FACTOR
        self.failure_share *= 1 - SMOOTHING_FACTOR

    def record_failure(self):
        """Record a failed request."""
        self.failure_share += (1 - self.failure_share) * SMOOTHING_FACTOR
