"""Model of how much batch workloads slow down co-located services.

The logarithm of a service's latency is modelled as the sum of a base, which
rises with the load of the service, and one effect per co-located task. There
is one regression per service and load band. With few reports, an effect stays
close to its prior: that of an adjacent band or else the mean of the workload
over all services. The weight of a report decays with its age.
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
MIN_EFFECT = 0.0
DECAY_TIME_S = 900.0
MAX_ERROR = 1.5
# Limits the weight of old effects in the mean of a workload.
MAX_MEAN_COUNT = 200
# Observations after which the cached priors are discarded.
PRIOR_CACHE_OBSERVATIONS = 2000
BASE = ''
SLOPE = '/load'


def get_band(load):
    """Return the index of the band of ``load``, which is from 0 to 1."""
    return min(max(int(load * BANDS), 0), BANDS - 1)


@dataclasses.dataclass(kw_only=True, slots=True)
class Slowdown:
    """Slowdown of a service by one co-located task of a workload.

    Attributes:
        service: Name of the service.
        beside: Name of the co-located workload.
        band: Load band of the service.
        factor: Factor on the latency of the service.
    """

    service: str
    beside: str
    band: int
    factor: float


class _Effects(dict):
    """Effects on one service in one band; missing ones are set to priors."""

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
    """Learned effects by service, batch workload and load band."""

    def __init__(self):
        self._models = {}
        self._means = {}
        self._effects = {}
        self._count = 0

    def get_effects(self, service, band):
        """Return the logarithmic effect of one task, by workload."""
        key = (service, band)
        found = self._effects.get(key)
        if found is None:
            found = _Effects(service, band, self._get_prior)
            self._effects[key] = found
        return found

    def get_effect(self, service, workload, band):
        """Return the expected logarithmic effect of one task."""
        return self.get_effects(service, band)[workload]

    def _get_prior(self, service, workload, band):
        for neighbour_band in (band - 1, band + 1):
            model = self._models.get((service, neighbour_band))
            if model is not None and workload in model.means:
                return model.means[workload]
        total = self._means.get(workload)
        if total is None:
            return PRIOR_EFFECT
        mean, count = total
        return (mean * count + PRIOR_EFFECT) / (count + 1)

    def predict(self, service, band, counts):
        """Return the factor by which ``service`` is slowed down.

        Args:
            service: Name of the service.
            band: Band of its load.
            counts: Number of co-located tasks, by workload.
        """
        return math.exp(self.sum_effects(service, band, counts))

    def sum_effects(self, service, band, counts):
        """Return the logarithm of ``predict``."""
        effects = self.get_effects(service, band)
        return sum(
            [count * effects[workload] for workload, count in counts.items()]
        )

    def observe(self, service, load, counts, latency_ms, now):
        """Update the model with one report.

        Args:
            service: Name of the service.
            load: Its load at the time of the measurement, 0 to 1.
            counts: Number of co-located tasks at that time, by workload.
            latency_ms: Its latency.
            now: Time in seconds, on any clock with a fixed origin.
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
        self._update_effects(service, band, model, counts)

    def _get_model(self, service, band, value):
        model = self._models.get((service, band))
        if model is None:
            model = self._models[(service, band)] = regression.Regression(
                noise=NOISE_VARIANCE,
                decay_time_s=DECAY_TIME_S,
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
            minimum=MIN_EFFECT,
        )

    def _update_effects(self, service, band, model, counts):
        effects = self.get_effects(service, band)
        for workload in counts:
            effects[workload] = model.means[workload]
            mean, count = self._means.get(workload, (0.0, 0))
            count = min(count + 1, MAX_MEAN_COUNT)
            mean += (model.means[workload] - mean) / count
            self._means[workload] = (mean, count)
        self._count += 1
        if self._count % PRIOR_CACHE_OBSERVATIONS == 0:
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
        """Return the latency of ``service`` running alone; None if unknown."""
        model = self._models.get((service, band))
        return math.exp(model.means[BASE]) if model is not None else None
