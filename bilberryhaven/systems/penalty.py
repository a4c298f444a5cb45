"""Latency penalty of a service on one instance from co-located tasks."""

import math

__all__ = ['PenaltyModel', 'compute_penalty']

# Relative slowdown beyond which the penalty grows linearly.
LINEAR_EXCESS = 2.0


def compute_penalty(excess):
    """Return the penalty for a relative slowdown of ``excess``.

    It is quadratic, because the slowest requests determine the tail latency,
    and linear beyond ``LINEAR_EXCESS``.
    """
    if excess <= 0.0:
        return 0.0
    if excess <= LINEAR_EXCESS:
        return excess * excess
    return LINEAR_EXCESS * (2.0 * excess - LINEAR_EXCESS)


class PenaltyModel:
    """Penalty of one service on an instance, weighted by its load.

    Args:
        load: Load of the service on the instance.
        effects: Logarithmic effect of one task, by workload.
        total: Sum of the effects of all co-located tasks.

    Attributes:
        penalty: The current penalty.
    """

    __slots__ = ('_effects', '_load', '_total', 'penalty')

    def __init__(self, *, load, effects, total):
        self._load = load
        self._effects = effects
        self._total = total
        self.penalty = self.predict_penalty('', 0.0)

    def predict_penalty(self, workload, count):
        """Return the penalty with ``count`` more tasks of ``workload``."""
        total = self._total
        if count:
            total += count * self._effects[workload]
        return self._load * compute_penalty(math.exp(total) - 1.0)

    def add(self, workload, count):
        """Add ``count`` tasks of ``workload``; negative to remove them."""
        self._total += count * self._effects[workload]
        self.penalty = self.predict_penalty(workload, 0.0)
