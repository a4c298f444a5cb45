"""Moving averages of service time and failures."""

import datetime

__all__ = ['MovingAverages']

SMOOTHING_FACTOR = 0.1


class MovingAverages:
    """Averages over the last requests, newer ones weighted more."""

    def __init__(self):
        self.service_time = datetime.timedelta()
        self.failure_share = 0.0

    @property
    def service_ms(self):
        """Average service time in milliseconds."""
        return self.service_time / datetime.timedelta(milliseconds=1)

    def record_success(self, duration):
        """Count an answer that took ``duration``."""
        if not self.service_time:
            self.service_time = duration
        self.service_time += (duration - self.service_time) * SMOOTHING_FACTOR
        self.failure_share *= 1 - SMOOTHING_FACTOR

    def record_failure(self):
        """Count a failure."""
        self.failure_share += (1 - self.failure_share) * SMOOTHING_FACTOR
