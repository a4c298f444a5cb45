"""Averages that fade while nothing new is learned."""

import datetime

__all__ = ['DecayingAverage']

ORIGIN = datetime.timedelta()


class DecayingAverage:
    """A moving average that returns to its rest value with time.

    Without this, an instance that was once avoided would never be tried
    again, since only requests to it could show that it has recovered.

    Args:
        rest: Value that it returns to.
        half_life: Time in which the distance to it halves.
        weight: Weight of a new sample.
    """

    __slots__ = ('_at', '_half_life', '_baseline', '_value', '_weight')

    def __init__(self, *, baseline, half_life, weight=1.0):
        self._baseline = baseline
        self._half_life = half_life
        self._weight = weight
        self._value = baseline
        self._at = ORIGIN

    def get(self, now):
        """Return the average at monotonic time ``now``."""
        deviation = self._value - self._baseline
        if not deviation:
            return self._baseline
        age = (now - self._at) / self._half_life
        return self._baseline + deviation * 0.5 ** max(age, 0.0)

    def add(self, sample, now):
        """Take in a sample."""
        value = self.get(now)
        self._value = value + self._weight * (sample - value)
        self._at = now
