"""Learns how much a batch workload slows a service that runs beside it.

The logarithm of a service's latency is taken as the sum of a base and of one
effect for each task beside it, per band of the service's load. Each report
corrects all of them by a Kalman step with a diagonal covariance: what is
uncertain moves most. A new effect starts from its neighbour band or from the
workload's mean over all services, and returns there as it ages.
"""

import dataclasses
import math

__all__ = ['BANDS', 'Effect', 'Interference', 'get_band']

BANDS = 4
NOISE_VARIANCE = 0.04
PRIOR_EFFECT = 0.02
PRIOR_VARIANCE = 0.05
BASE_VARIANCE = 0.25
MAX_EFFECT = 1.5
MIN_EFFECT = -0.02
HALF_LIFE_S = 900.0
MIN_VARIANCE = 0.002
MAX_STEP = 1.0


@dataclasses.dataclass(slots=True)
class Effect:
    """One learned term.

    Attributes:
        mean: Its expected value, in logarithms of latency.
        variance: How uncertain it is.
        at: When it was updated, in seconds.
        count: How many reports moved it.
    """

    mean: float
    variance: float
    at: float
    count: int = 0


def get_band(load):
    """Return the band of a load between 0 and 1."""
    return min(max(int(load * BANDS), 0), BANDS - 1)


class Interference:
    """Effects by service, batch workload and load band."""

    def __init__(self):
        self._bases = {}
        self._effects = {}
        self._means = {}

    def get_effect(self, service, workload, band):
        """Return the expected effect of one task, in logarithms."""
        known = self._effects.get((service, workload, band))
        if known is not None:
            return known.mean
        return self._get_prior(service, workload, band)

    def _get_prior(self, service, workload, band):
        for near in (band - 1, band + 1):
            known = self._effects.get((service, workload, near))
            if known is not None and known.count:
                return known.mean
        total = self._means.get(workload)
        if total is None:
            return PRIOR_EFFECT
        mean, count = total
        return (mean * count + PRIOR_EFFECT) / (count + 1)

    def predict(self, service, band, counts):
        """Return the factor by which ``service`` is slower.

        Args:
            service: The service's name.
            band: Band of its load.
            counts: Number of tasks beside it, by workload.
        """
        return math.exp(self.sum_effects(service, band, counts))

    def sum_effects(self, service, band, counts):
        """Return the logarithm of ``predict``."""
        total = 0.0
        for workload, count in counts.items():
            total += count * self.get_effect(service, workload, band)
        return total

    def observe(self, service, band, counts, latency_ms, now):
        """Learn from one report.

        Args:
            service: The service's name.
            band: Band of its load when it was measured.
            counts: Number of tasks beside it then, by workload.
            latency_ms: Its latency.
            now: Seconds on any fixed clock.
        """
        value = math.log(max(latency_ms, 1e-3))
        terms = [(self._get_base(service, band, value, now), 1.0)]
        for workload, count in counts.items():
            effect = self._age_effect(service, workload, band, now)
            terms.append((effect, count))
        expected = sum(term.mean * weight for term, weight in terms)
        spread = sum(term.variance * weight**2 for term, weight in terms)
        error = max(min(value - expected, MAX_STEP), -MAX_STEP)
        spread += NOISE_VARIANCE
        for term, weight in terms:
            gain = term.variance * weight / spread
            term.mean += gain * error
            variance = term.variance * (1.0 - gain * weight)
            term.variance = max(variance, MIN_VARIANCE)
            term.at = now
            term.count += 1
        self._settle(service, band, counts)

    def _get_base(self, service, band, value, now):
        key = (service, band)
        base = self._bases.get(key)
        if base is None:
            base = Effect(value, BASE_VARIANCE, now)
            self._bases[key] = base
        return base

    def _age_effect(self, service, workload, band, now):
        key = (service, workload, band)
        effect = self._effects.get(key)
        if effect is None:
            prior = self._get_prior(service, workload, band)
            effect = Effect(prior, PRIOR_VARIANCE, now)
            self._effects[key] = effect
            return effect
        kept = 0.5 ** ((now - effect.at) / HALF_LIFE_S)
        effect.variance = (
            effect.variance * kept + (1.0 - kept) * PRIOR_VARIANCE
        )
        if kept < 0.9:
            prior = PRIOR_EFFECT
            effect.mean = effect.mean * kept + (1.0 - kept) * prior
        return effect

    def _settle(self, service, band, counts):
        for workload in counts:
            effect = self._effects[(service, workload, band)]
            effect.mean = min(max(effect.mean, MIN_EFFECT), MAX_EFFECT)
            mean, count = self._means.get(workload, (0.0, 0))
            count = min(count + 1, 200)
            self._means[workload] = (
                mean + (effect.mean - mean) / count,
                count,
            )

    def list_slowdowns(self):
        """Return (service, workload, band, factor) of each learned effect."""
        return [
            (service, workload, band, math.exp(effect.mean))
            for (service, workload, band), effect in self._effects.items()
            if effect.count
        ]

    def get_base_ms(self, service, band):
        """Return the latency of ``service`` alone, or None if not known."""
        base = self._bases.get((service, band))
        return math.exp(base.mean) if base is not None else None
