"""Pace at which a best-effort run starts beside latency-critical ones.

Answers many short best-effort tasks beside long-running latency-critical
ones: an agent raises paces in steps of half a second, so a run of a few
seconds that starts slowly loses much of its time. Where the effects are
known, it starts at the pace that the tails allow.
"""

import collections

from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import pacing

__all__ = ['InitialPaces']


class InitialPaces:
    """Initial paces of the runs that are ordered on one server at a time.

    Args:
        effects: The ``InterferenceEffects``.
        row: The ``Backend``.
        views: ``RunView`` by run, all that count there.
        present: ``Presence`` by run.
    """

    def __init__(self, *, effects, row, views, present):
        self._effects = effects
        self._row = row
        self._views = views
        self._present = present
        # Headroom that the runs ordered before take, by serving image.
        self._taken = collections.defaultdict(float)

    def find_percent(self, view):
        """Return the initial percentage of full speed of a best-effort run.

        Args:
            view: Its ``RunView``.
        """
        step = view.step
        tenths = candidate.TENTHS_PER_SERVER * step.cpu / max(self._row.cpu, 1)
        costs = {}
        for serving in self._list_serving_images():
            if not self._effects.is_known(serving, step.image):
                return pacing.INITIAL_PERCENT
            cost = tenths * self._effects.get_effect(serving, step.image)
            if cost > candidate.NEGLIGIBLE_EFFECT:
                costs[serving] = cost
        share = self._find_share(costs)
        for serving, cost in costs.items():
            self._taken[serving] += share * cost
        percent = int(pacing.FULL_PERCENT * share)
        return max(percent, pacing.INITIAL_PERCENT)

    def _list_serving_images(self):
        steps = [view.step for view in self._views.values()]
        return {step.image for step in steps if step.target_ms}

    def _find_share(self, costs):
        share = 1.0
        for ref, seen in self._present.items():
            view = self._views.get(ref)
            if view is None or view.step.image not in costs:
                continue
            if not view.step.target_ms or not seen.running.gauge:
                continue
            image = view.step.image
            headroom = view.step.target_ms / seen.running.gauge
            spare = headroom - candidate.MIN_HEADROOM - self._taken[image]
            share = min(share, spare / costs[image])
        return max(share, 0.0)
