"""How best-effort tasks and tasks that serve users affect each other.

The headroom of a serving task, its target as a multiple of its tail latency,
falls by one effect for each tenth of the server that a best-effort image works
on (``pacing`` says why). Effects are learned from the differences between two
listings of the same server, half a second apart: the load of the serving task
itself, which isn't told, changes little in between.
"""

import collections
import dataclasses
import datetime

from bilberryhaven.systems import regression
from bilberryhaven.workflow import message
from bilberryhaven.workflow import pacing
from bilberryhaven.workflow import planner

__all__ = ['Neighbours']

TENTHS = 10
PRIOR_EFFECT = pacing.DEFAULT_EFFECT
PRIOR_VARIANCE = 0.15
LEAST_EFFECT = 0.0
# Headrooms of two listings differ by some tenths without any cause to be seen.
NOISE_VARIANCE = 0.1
MAX_ERROR = 1.5
MEMORY_S = 900.0
# How many observations of other pairs weigh as much as the prior.
PRIOR_COUNT = 2
# Change of an image's use, in tenths of a server, that tells something.
LEAST_CHANGE = 0.05
# Above this headroom a tail tells nothing of its neighbours.
MAX_HEADROOM = 10.0
# Longest time between two listings that are compared.
MAX_GAP = datetime.timedelta(seconds=1.2)
# Observations of a pair of images after which its effect is trusted.
TRUSTED_COUNT = 3
# Best-effort runs count as pressing on a tail that has reached this share of
# its target, if they cost more headroom than this.
PRESSED_TAIL_SHARE = 0.5
PRESSING_EFFECT = 0.08
# A run's figure is a mean over half a second, so a younger one says little.
MIN_AGE_S = 0.7


@dataclasses.dataclass(kw_only=True, slots=True)
class Sample:
    """What one listing of a server told.

    Attributes:
        at: When it was taken, monotonic.
        used: Use by best-effort image, in tenths of the server.
        tails: (image, headroom) by serving run.
    """

    at: datetime.timedelta
    used: dict
    tails: dict


class Neighbours(planner.Effects):
    """Learns from reports how much one image raises the tails of another.

    Leader's memory only.
    """

    def __init__(self):
        self._models = {}
        self._means = {}
        self._samples = {}
        self._counts = collections.Counter()

    def observe(self, row, views, present, now):
        """Learn from one report.

        Args:
            row: The ``Backend`` that it is about.
            views: ``RunView`` by run, all that count there.
            present: ``Presence`` by run.
            now: Monotonic time as a timedelta.
        """
        sample = _take_sample(row, views, present, now)
        former = self._samples.get(row.key)
        self._samples[row.key] = sample
        if former is None or sample.at - former.at > MAX_GAP:
            return
        changes = {
            image: sample.used.get(image, 0.0) - former.used.get(image, 0.0)
            for image in {*sample.used, *former.used}
        }
        changes = {
            image: change
            for image, change in changes.items()
            if abs(change) >= LEAST_CHANGE
        }
        if not changes:
            return
        for run, (image, tail) in sample.tails.items():
            if run in former.tails:
                loss = former.tails[run][1] - tail
                self._learn(image, changes, loss, now)

    def _learn(self, serving, changes, loss, now):
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
                    minimum=LEAST_EFFECT,
                )
        model.observe(changes, loss, now.total_seconds())
        for image in changes:
            self._counts[serving, image] += 1
            self._note_mean(image)

    def _note_mean(self, image):
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
        """Return how much headroom a tenth of a server of ``image`` takes.

        Args:
            serving: Image of the task that serves users.
            image: Image of the best-effort task.

        Returns:
            The loss of headroom.
        """
        model = self._models.get(serving)
        if model is None or image not in model.means:
            return self._find_prior(image)
        return model.means[image]

    def is_known(self, serving, image):
        """Return whether the effect was observed often enough."""
        return self._counts[serving, image] >= TRUSTED_COUNT

    def is_harmless(self, row, views, step):
        """Return whether one more run of ``step`` surely raises no tail.

        Args:
            row: The ``Backend``.
            views: ``RunView`` by run, all that count there.
            step: The ``Step`` of a best-effort task.
        """
        weight = step.cpu / max(row.cpu, 1) * TENTHS
        for view in views.values():
            serving = view.step.image
            if not view.step.target_ms:
                continue
            if not self.is_known(serving, step.image):
                return False
            effect = weight * self.get_effect(serving, step.image)
            if effect > PRESSING_EFFECT:
                return False
        return True

    def list_pressing(self, row, views, present):
        """Return the runs that press on tails near their targets.

        Args:
            row: The ``Backend``.
            views: ``RunView`` by run, all that count there.
            present: ``Presence`` by run.

        Returns:
            (effect, run) pairs, the greatest effect first.
        """
        pressed = set()
        fillers = []
        for ref, seen in present.items():
            view = views.get(ref)
            if view is None:
                continue
            if view.step.best_effort:
                fillers.append((ref, view.step))
            elif view.step.target_ms:
                limit = PRESSED_TAIL_SHARE * view.step.target_ms
                if seen.running.gauge >= limit:
                    pressed.add(view.step.image)
        pressing = []
        for ref, step in fillers:
            weight = step.cpu / max(row.cpu, 1) * TENTHS
            effect = weight * max(
                (self.get_effect(image, step.image) for image in pressed),
                default=0.0,
            )
            if effect > PRESSING_EFFECT:
                pressing.append((effect, ref))
        return sorted(pressing, key=lambda pair: -pair[0])

    def list_present_effects(self, views):
        """Return the ``Effect`` rows of images that are on one server.

        Args:
            views: ``RunView`` by run, all that count there.
        """
        steps = [view.step for view in views.values()]
        serving = {step.image for step in steps if step.target_ms}
        others = {step.image for step in steps if step.best_effort}
        return [
            message.Effect(one, other, round(self.get_effect(one, other), 3))
            for one in sorted(serving)
            for other in sorted(others)
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
            used[view.step.image] += share * TENTHS
        age = (now - seen.first_at).total_seconds()
        if view.step.target_ms and seen.running.gauge and age > MIN_AGE_S:
            headroom = view.step.target_ms / seen.running.gauge
            tails[ref] = (view.step.image, min(headroom, MAX_HEADROOM))
    return Sample(at=now, used=used, tails=tails)
