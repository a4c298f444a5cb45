"""Learns how much a batch workload slows a service that runs beside it.

The logarithm of a service's latency is taken as the sum of a base, which
rises with the service's load, and of one effect for each task beside it. One
regression a service and load band learns them. While reports are few, an
effect stays near that of the neighbour band, or near the workload's mean over
all services; as reports age they count less.
"""

import dataclasses
import math

from bilberryhaven.systems import regression

__all__ = ['BANDS', 'Interference', 'Slowdown', 'get_band']

BANDS = 4
NOISE_VARIANCE = 0.04
PRIOR_EFFECT = 0.02
PRIOR_VARIANCE = 0.01
BASE_VARIANCE = 1.0
PRIOR_SLOPE = 0.5
SLOPE_VARIANCE = 1.0
LEAST_EFFECT = 0.0
MEMORY_S = 900.0
MAX_ERROR = 1.5
MEAN_COUNT = 200
PRIORS_KEPT = 2000
BASE = ''
SLOPE = '/load'


def get_band(load):
    """Return the band of a load between 0 and 1."""
    return min(max(int(load * BANDS), 0), BANDS - 1)


@dataclasses.dataclass(kw_only=True, slots=True)
class Slowdown:
    """How much slower a service answers beside one task of a workload."""

    service: str
    beside: str
    band: int
    factor: float


class _Effects(dict):
    """Effects of one service and band; unknown ones become their prior."""

    __slots__ = ('_band', '_find_prior', '_service')

    def __init__(self, service, band, find_prior):
        super().__init__()
        self._service = service
        self._band = band
        self._find_prior = find_prior

    def __missing__(self, workload):
        found = self._find_prior(self._service, workload, self._band)
        self[workload] = found
        return found


class Interference:
    """Effects by service, batch workload and load band."""

    def __init__(self):
        self._models = {}
        self._means = {}
        self._effects = {}
        self._count = 0

    def get_effects(self, service, band):
        """Return the effects of one task in logarithms, by workload."""
        key = (service, band)
        found = self._effects.get(key)
        if found is None:
            found = _Effects(service, band, self._get_prior)
            self._effects[key] = found
        return found

    def get_effect(self, service, workload, band):
        """Return the expected effect of one task, in logarithms."""
        return self.get_effects(service, band)[workload]

    def _get_prior(self, service, workload, band):
        for near in (band - 1, band + 1):
            model = self._models.get((service, near))
            if model is not None and workload in model.means:
                return model.means[workload]
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
        effects = self.get_effects(service, band)
        return sum(
            [count * effects[workload] for workload, count in counts.items()]
        )

    def observe(self, service, load, counts, latency_ms, now):
        """Learn from one report.

        Args:
            service: The service's name.
            load: Its load when it was measured.
            counts: Number of tasks beside it then, by workload.
            latency_ms: Its latency.
            now: Seconds on any fixed clock.
        """
        band = get_band(load)
        value = math.log(max(latency_ms, 1e-3))
        model = self._get_model(service, band, value)
        weights = {BASE: 1.0, SLOPE: load - (band + 0.5) / BANDS}
        for workload, count in counts.items():
            if workload not in model.means:
                self._add_effect(model, service, workload, band)
            weights[workload] = count
        model.observe(weights, value, now)
        self._settle(service, band, model, counts)

    def _get_model(self, service, band, value):
        model = self._models.get((service, band))
        if model is None:
            model = self._models[(service, band)] = regression.Regression(
                noise=NOISE_VARIANCE,
                decay_time_s=MEMORY_S,
                max_error=MAX_ERROR,
            )
            model.add_term(BASE, mean=value, variance=BASE_VARIANCE)
            model.add_term(SLOPE, mean=PRIOR_SLOPE, variance=SLOPE_VARIANCE)
        return model

    def _add_effect(self, model, service, workload, band):
        model.add_term(
            workload,
            mean=self._get_prior(service, workload, band),
            variance=PRIOR_VARIANCE,
            minimum=LEAST_EFFECT,
        )

    def _settle(self, service, band, model, counts):
        effects = self.get_effects(service, band)
        for workload in counts:
            effects[workload] = model.means[workload]
            mean, count = self._means.get(workload, (0.0, 0))
            count = min(count + 1, MEAN_COUNT)
            mean += (model.means[workload] - mean) / count
            self._means[workload] = (mean, count)
        self._count += 1
        if self._count % PRIORS_KEPT == 0:
            self._forget_priors()

    def _forget_priors(self):
        for key, effects in self._effects.items():
            model = self._models.get(key)
            known = model.means if model is not None else {}
            for workload in [name for name in effects if name not in known]:
                del effects[workload]

    def list_slowdowns(self):
        """Return a ``Slowdown`` for each learned effect."""
        return [
            Slowdown(
                service=service,
                beside=workload,
                band=band,
                factor=math.exp(effect),
            )
            for (service, band), model in self._models.items()
            for workload, effect in model.means.items()
            if workload not in (BASE, SLOPE)
        ]

    def get_base_ms(self, service, band):
        """Return the latency of ``service`` alone, or None if not known."""
        model = self._models.get((service, band))
        return math.exp(model.means[BASE]) if model is not None else None
