"""Learns how best-effort tasks raise the tails of latency-critical tasks.

The headroom of a latency-critical task, its target as a multiple of its tail
latency, falls by one effect for each tenth of the server's CPU that a
best-effort image uses (``pacing`` explains why). Effects are learned from the
differences between two listings of the same server, half a second apart: the
load of the latency-critical task itself isn't reported, but changes little in
between.
"""

import collections
import dataclasses
import datetime

from bilberryhaven.systems import regression
from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import message
from bilberryhaven.workflow import pacing

__all__ = ['InterferenceModel']

TENTHS_PER_SERVER = 10
PRIOR_EFFECT = pacing.DEFAULT_EFFECT
PRIOR_VARIANCE = 0.15
MIN_EFFECT = 0.0
# Headrooms of two listings differ by some tenths without an observable cause.
NOISE_VARIANCE = 0.1
MAX_ERROR = 1.5
MEMORY_S = 900.0
# Weight of ``PRIOR_EFFECT``, in learned effects of the same image on other
# latency-critical images.
PRIOR_COUNT = 2
# Change of an image's CPU use, in tenths of a server, below which a difference
# between listings is ignored.
MIN_CHANGE = 0.05
# Headrooms are capped here: a higher one shows nothing about interference.
MAX_HEADROOM = 10.0
# Longest time between two listings that are compared with each other.
MAX_SAMPLE_GAP = datetime.timedelta(seconds=1.2)
# Observations of a pair of images after which its effect is trusted.
TRUSTED_COUNT = 3
# A best-effort run counts as interfering if a tail latency has reached this
# share of its target and the run costs more headroom than the effect below.
HIGH_TAIL_RATIO = 0.5
SIGNIFICANT_EFFECT = 0.08
# A run's gauge is a mean over half a second, so that of a younger run isn't
# reliable.
MIN_AGE_S = 0.7


@dataclasses.dataclass(kw_only=True, slots=True)
class Sample:
    """Measurements from one listing of a server.

    Attributes:
        at: When it was taken, monotonic.
        cpu: Capacity of the server at that time, in thousandths of a core.
        used: CPU use by best-effort image, in tenths of the server.
        tails: (image, headroom) by latency-critical run.
    """

    at: datetime.timedelta
    cpu: int
    used: dict
    tails: dict


class InterferenceModel(candidate.InterferenceEffects):
    """Learns from reports how much one image raises the tails of another.

    Kept only in the leader's memory.
    """

    def __init__(self):
        self._models = {}
        self._means = {}
        self._samples = {}
        self._counts = collections.Counter()

    def observe(self, row, views, present, now):
        """Learn from the change since a server's previous report.

        Args:
            row: The ``Backend`` that reported.
            views: ``RunView`` by run, all that count there.
            present: ``Presence`` by run.
            now: Monotonic time as a timedelta.
        """
        sample = _take_sample(row, views, present, now)
        former = self._samples.get(row.key)
        self._samples[row.key] = sample
        if former is None or sample.at - former.at > MAX_SAMPLE_GAP:
            return
        if sample.cpu != former.cpu:
            # The uses are shares of different capacities.
            return
        changes = {
            image: sample.used.get(image, 0.0) - former.used.get(image, 0.0)
            for image in {*sample.used, *former.used}
        }
        changes = {
            image: change
            for image, change in changes.items()
            if abs(change) >= MIN_CHANGE
        }
        if not changes:
            return
        for run, (image, tail) in sample.tails.items():
            if run in former.tails:
                loss = former.tails[run][1] - tail
                self._update_model(image, changes, loss, now)

    def _update_model(self, serving, changes, loss, now):
        model = self._models.get(serving)
        if model is None:
            model = self._models[serving] = regression.Regression(
                noise=NOISE_VARIANCE,
                decay_time_s=MEMORY_S,
                max_error=MAX_ERROR,
            )
        for image in changes:
            if image not in model.means:
                model.add_term(
                    image,
                    mean=self._find_prior(image),
                    variance=PRIOR_VARIANCE,
                    minimum=MIN_EFFECT,
                )
        model.observe(changes, loss, now.total_seconds())
        for image in changes:
            self._counts[serving, image] += 1
            self._update_mean(image)

    def _update_mean(self, image):
        known = [
            model.means[image]
            for model in self._models.values()
            if image in model.means
        ]
        self._means[image] = (sum(known), len(known))

    def _find_prior(self, image):
        total, count = self._means.get(image, (0.0, 0))
        weighted = total + PRIOR_COUNT * PRIOR_EFFECT
        return weighted / (count + PRIOR_COUNT)

    def get_effect(self, serving, image):
        """Return the loss of headroom per tenth of a server.

        Args:
            serving: Image of the latency-critical task.
            image: Image of the best-effort task.

        Returns:
            The learned loss; an estimate from other latency-critical images
            if the pair hasn't been observed.
        """
        model = self._models.get(serving)
        if model is None or image not in model.means:
            return self._find_prior(image)
        return model.means[image]

    def is_known(self, serving, image):
        """Return whether the effect is backed by enough observations."""
        return self._counts[serving, image] >= TRUSTED_COUNT

    def list_interfering_runs(self, row, views, present):
        """Return the best-effort runs that raise tails near their targets.

        Args:
            row: The ``Backend``.
            views: ``RunView`` by run, all that count there.
            present: ``Presence`` by run.

        Returns:
            (effect, run) pairs, the largest effect first.
        """
        high_tails = set()
        best_effort_runs = []
        for ref, seen in present.items():
            view = views.get(ref)
            if view is None:
                continue
            if view.step.best_effort:
                best_effort_runs.append((ref, view.step))
            elif view.step.target_ms:
                limit = HIGH_TAIL_RATIO * view.step.target_ms
                if seen.running.gauge >= limit:
                    high_tails.add(view.step.image)
        interfering = []
        for ref, step in best_effort_runs:
            weight = step.cpu / max(row.cpu, 1) * TENTHS_PER_SERVER
            effect = weight * max(
                (self.get_effect(image, step.image) for image in high_tails),
                default=0.0,
            )
            if effect > SIGNIFICANT_EFFECT:
                interfering.append((effect, ref))
        return sorted(interfering, key=lambda pair: -pair[0])

    def list_present_effects(self, views):
        """Return the effects between the images on one server.

        Args:
            views: ``RunView`` by run, all that count there.

        Returns:
            The ``Effect`` rows.
        """
        steps = [view.step for view in views.values()]
        serving = {step.image for step in steps if step.target_ms}
        best_effort = {step.image for step in steps if step.best_effort}
        return [
            message.Effect(
                image, other, round(self.get_effect(image, other), 3)
            )
            for image in sorted(serving)
            for other in sorted(best_effort)
        ]

    def list_effects(self):
        """Return the learned (serving image, image, effect) triples."""
        return [
            (serving, image, effect)
            for serving, model in self._models.items()
            for image, effect in model.means.items()
        ]


def _take_sample(row, views, present, now):
    used = collections.defaultdict(float)
    tails = {}
    for ref, seen in present.items():
        view = views.get(ref)
        if view is None:
            continue
        if view.step.best_effort:
            share = seen.running.gauge / max(row.cpu, 1)
            used[view.step.image] += share * TENTHS_PER_SERVER
        age = (now - seen.first_at).total_seconds()
        if view.step.target_ms and seen.running.gauge and age > MIN_AGE_S:
            headroom = view.step.target_ms / seen.running.gauge
            tails[ref] = (view.step.image, min(headroom, MAX_HEADROOM))
    return Sample(at=now, cpu=row.cpu, used=used, tails=tails)
