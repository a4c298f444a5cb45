"""Ridge regression with exponential decay, solved by coordinate descent.

Keeps decayed sums of the products of terms that were observed together. Each
observation updates a bounded number of its terms in rotation, each with all
other terms fixed. An update thus has bounded cost, and the sequence of updates
still converges.
"""

import math

__all__ = ['Regression']

# Scale of the sums at which they are renormalised.
MAX_SCALE = 1e9
# Terms updated per observation.
MAX_SOLVED = 8


class Regression:
    """Estimates terms, by key, whose weighted sums are observed.

    Args:
        noise: Variance of the error of an observation.
        decay_time_s: Seconds in which the weight of an observation falls
            to 1/e.
        max_error: Limit to which the error of one observation is clipped.
    """

    def __init__(self, *, noise, decay_time_s, max_error):
        self.means = {}
        self._noise = noise
        self._decay_time_s = decay_time_s
        self._max_error = max_error
        self._priors = {}
        self._products = {}
        self._targets = {}
        self._origin = None
        self._next_position = 0

    def add_term(self, key, *, mean, variance, minimum=-math.inf):
        """Add a term unless it exists.

        Args:
            key: The term's key.
            mean: Prior mean.
            variance: Prior variance.
            minimum: Lower bound on its value.
        """
        if key not in self.means:
            self.means[key] = mean
            self._priors[key] = (mean, variance, minimum)
            self._products[key] = {}
            self._targets[key] = 0.0

    def predict(self, weights):
        """Return the sum of the terms weighted by ``weights``, by key."""
        return sum(self.means[key] * each for key, each in weights.items())

    def observe(self, weights, value, now):
        """Update the terms with the observation of one weighted sum.

        Args:
            weights: Weight of each term, by key; all must exist.
            value: The observed weighted sum.
            now: Time of the observation, in seconds.
        """
        scale = self._get_scale(now)
        expected = self.predict(weights)
        error = max(min(value - expected, self._max_error), -self._max_error)
        self._add(weights, expected + error, scale)
        keys = list(weights)
        count = min(len(keys), MAX_SOLVED)
        for step in range(count):
            self._solve(keys[(self._next_position + step) % len(keys)], scale)
        self._next_position += count

    def _get_scale(self, now):
        if self._origin is None:
            self._origin = now
        scale = math.exp((now - self._origin) / self._decay_time_s)
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
        residual = self._targets[key] + own * means[key]
        for other, product in row.items():
            residual -= product * means[other]
        prior_weight = scale * self._noise / variance
        means[key] = max(
            (residual + prior_weight * prior) / (own + prior_weight), minimum
        )
