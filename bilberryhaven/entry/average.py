"""Moving averages that decay towards a baseline without new samples."""

import datetime

__all__ = ['DecayingAverage']

ZERO = datetime.timedelta()


class DecayingAverage:
    """Moving average that decays exponentially towards a baseline.

    Without the decay, an instance that routing avoids would never be chosen
    again, since only requests to it can show that it has recovered.

    Args:
        baseline: Value that the average decays to.
        half_life: Time in which the deviation from the baseline halves.
        weight: Weight of a new sample, from 0 to 1.
    """

    __slots__ = ('_at', '_half_life', '_baseline', '_value', '_weight')

    def __init__(self, *, baseline, half_life, weight=1.0):
        self._baseline = baseline
        self._half_life = half_life
        self._weight = weight
        self._value = baseline
        self._at = ZERO

    def get(self, now):
        """Return the average at the monotonic time ``now``."""
        deviation = self._value - self._baseline
        if not deviation:
            return self._baseline
        age = (now - self._at) / self._half_life
        return self._baseline + deviation * 0.5 ** max(age, 0.0)

    def add(self, sample, now):
        """Add a sample taken at the monotonic time ``now``."""
        value = self.get(now)
        self._value = value + self._weight * (sample - value)
        self._at = now
