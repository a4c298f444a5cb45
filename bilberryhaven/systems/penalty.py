"""What a service on one instance suffers from the work beside it."""

import math

__all__ = ['PenaltyModel', 'compute_penalty']

LINEAR_EXCESS = 2.0


def compute_penalty(excess):
    """Return the harm of a service that is slower by ``excess``.

    It grows with the square, since the slowest decide the tail, and in a
    straight line beyond ``LINEAR_EXCESS``.
    """
    if excess <= 0.0:
        return 0.0
    if excess <= LINEAR_EXCESS:
        return excess * excess
    return LINEAR_EXCESS * (2.0 * excess - LINEAR_EXCESS)


class PenaltyModel:
    """One service's load, and the effects of the tasks beside it.

    Args:
        load: The service's load there.
        effects: Effect of one task in logarithms, by workload.
        total: Sum of the effects of all tasks beside it.

    Attributes:
        harm: The harm that these do.
    """

    __slots__ = ('_effects', '_load', '_total', 'penalty')

    def __init__(self, *, load, effects, total):
        self._load = load
        self._effects = effects
        self._total = total
        self.penalty = self.predict_penalty('', 0.0)

    def predict_penalty(self, workload, count):
        """Return the harm with ``count`` more tasks of ``workload``."""
        total = self._total
        if count:
            total += count * self._effects[workload]
        return self._load * compute_penalty(math.exp(total) - 1.0)

    def add(self, workload, count):
        """Take in ``count`` more tasks of ``workload``."""
        self._total += count * self._effects[workload]
        self.penalty = self.predict_penalty(workload, 0.0)
