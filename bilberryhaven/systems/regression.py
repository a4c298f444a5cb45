"""Ridge regression that forgets, solved a few coordinates at a time.

Holds the decayed sums of products of the terms that were observed together.
After each observation some of its own terms are solved for anew, in turn, with
all others as they are, so that a step costs little and the sequence still
converges.
"""

import math

__all__ = ['Regression']

MAX_SCALE = 1e9
MAX_SOLVED = 8


class Regression:
    """Terms by key whose weighted sum is observed.

    Args:
        noise: Variance of an observation.
        decay_time_s: Seconds after which an observation counts 1/e.
        max_error: Largest error that one observation may count for.
    """

    def __init__(self, *, noise, decay_time_s, max_error):
        self.means = {}
        self._noise = noise
        self._memory_s = decay_time_s
        self._max_error = max_error
        self._priors = {}
        self._products = {}
        self._targets = {}
        self._origin = None
        self._turn = 0

    def add_term(self, key, *, mean, variance, minimum=-math.inf):
        """Add a term unless it is there.

        Args:
            key: The term's key.
            mean: What it is drawn to while observations are few.
            variance: How far it is expected from there.
            least: Least value that it may take.
        """
        if key not in self.means:
            self.means[key] = mean
            self._priors[key] = (mean, variance, minimum)
            self._products[key] = {}
            self._targets[key] = 0.0

    def predict(self, weights):
        """Return the sum of the terms with ``weights``, by key."""
        return sum(self.means[key] * each for key, each in weights.items())

    def observe(self, weights, value, now):
        """Learn that the sum of ``weights`` over the terms is ``value``.

        Args:
            weights: Weight of each term, by key; all must exist.
            value: The observed sum.
            now: Time of the observation, in seconds.
        """
        scale = self._get_scale(now)
        expected = self.predict(weights)
        error = max(min(value - expected, self._max_error), -self._max_error)
        self._add(weights, expected + error, scale)
        keys = list(weights)
        count = min(len(keys), MAX_SOLVED)
        for step in range(count):
            self._solve(keys[(self._turn + step) % len(keys)], scale)
        self._turn += count

    def _get_scale(self, now):
        if self._origin is None:
            self._origin = now
        scale = math.exp((now - self._origin) / self._memory_s)
        if scale > MAX_SCALE:
            self._rescale(scale)
            self._origin = now
            return 1.0
        return scale

    def _rescale(self, scale):
        for key, row in self._products.items():
            self._targets[key] /= scale
            for other in row:
                row[other] /= scale

    def _add(self, weights, value, scale):
        for key, weight in weights.items():
            factor = weight * scale
            row = self._products[key]
            for other, each in weights.items():
                row[other] = row.get(other, 0.0) + factor * each
            self._targets[key] += factor * value

    def _solve(self, key, scale):
        prior, variance, minimum = self._priors[key]
        row = self._products[key]
        own = row[key]
        means = self.means
        rest = self._targets[key] + own * means[key]
        for other, product in row.items():
            rest -= product * means[other]
        pull = scale * self._noise / variance
        means[key] = max((rest + pull * prior) / (own + pull), minimum)
