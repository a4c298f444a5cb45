"""Throttling of best-effort tasks that share a server with serving tasks.

Near saturation, a tail latency grows like that of a queue, as 1 / (1 - load).
Its headroom (target / latency) therefore falls linearly with the resources
that best-effort runs use on the same server, at a rate that depends on their
images (``interference``). The spare headroom is allocated to these runs by
rank: the first workflow gets as much as it can use, later ones get the
remainder. So workflows that have begun finish, and none is blocked by a single
task that makes no progress.
"""

import dataclasses
import datetime

__all__ = ['FULL_PERCENT', 'Pacer', 'TailLatency']

FULL_PERCENT = 100
# Initial percentage of a task that may interfere with others on its server.
INITIAL_PERCENT = 20
# Loss of headroom per tenth of a server while no effect has been learned: a
# few unknown runs use up the spare headroom of a tail at half of its target.
DEFAULT_EFFECT = 0.4
# Headroom that each tail must keep. The part above 1 covers changes until the
# next listing.
MIN_HEADROOM = 1.35
# Runs that cost a tail less headroom than this are not throttled for it.
NEGLIGIBLE_COST = 0.05
# Below this percentage a task is paused.
MIN_PERCENT = 8
# Largest increase between two listings, since effects are only estimates.
MAX_RAISE_PERCENT = 50
# Smaller changes are not sent to the backend server, to save requests.
MIN_CHANGE_PERCENT = 6
# Tail latencies are measured over 0.5 s, so the full effect of a change shows
# only after that.
SETTLE_TIME = datetime.timedelta(seconds=0.55)
# Weight of the newest listing in the budget of a tail. A single listing is
# imprecise.
NEWEST_WEIGHT = 0.5
# A tail that exceeds its target for longer pauses all runs, including those
# known as harmless: it may exceed the target for a few seconds only.
MAX_TIME_OVER_TARGET = datetime.timedelta(seconds=1.2)
# A run that stays below SLOW_PERCENT for MIN_SLOW_TIME would make more
# progress on another server.
SLOW_PERCENT = 35
MIN_SLOW_TIME = datetime.timedelta(seconds=1)


@dataclasses.dataclass(kw_only=True, slots=True)
class TailLatency:
    """Tail latency of one serving run.

    Attributes:
        run: The run.
        image: Image that the run executes.
        latency_ms: Tail latency in ms.
        target_ms: Upper bound on the tail latency in ms.
    """

    run: object
    image: str
    latency_ms: float
    target_ms: float

    @property
    def headroom(self):
        """The target divided by the tail latency."""
        return self.target_ms / self.latency_ms


@dataclasses.dataclass(kw_only=True, slots=True)
class Pace:
    """Share of its full speed that one best-effort run is allowed.

    Attributes:
        image: Image that the run executes.
        tenths: Tenths of the server that the run uses at full speed.
        rank: Runs with a lower rank are served first.
        percent: Percentage of full speed.
        slow_since: Monotonic time since which the percentage has been below
            ``SLOW_PERCENT``, or None.
    """

    image: str
    tenths: float
    rank: float
    percent: int
    slow_since: datetime.timedelta | None = None


class Pacer:
    """Sets the paces of a backend server's best-effort runs.

    Attributes:
        worst_ratio: Largest ratio of a tail latency to its target in the
            newest update.
    """

    def __init__(self):
        self._paces = {}
        self._budgets = {}
        self._changed_at = None
        self._over_target_since = None
        self.worst_ratio = 0.0

    def add(self, run, *, image, tenths, rank, percent):
        """Add a run.

        Args:
            run: The run.
            image: Image that the run executes.
            tenths: Tenths of the server that the run uses at full speed.
            rank: Runs with a lower rank are served first.
            percent: Initial percentage of full speed.
        """
        self._paces[run] = Pace(
            image=image, tenths=tenths, rank=rank, percent=percent
        )

    def set_tenths(self, run, tenths):
        """Set the tenths of the server that a run uses, if it is present."""
        pace = self._paces.get(run)
        if pace is not None:
            pace.tenths = tenths

    def remove(self, run):
        """Remove a run if it is present."""
        self._paces.pop(run, None)

    def get_percent(self, run):
        """Return the percentage of full speed allowed to a run."""
        pace = self._paces.get(run)
        return pace.percent if pace else FULL_PERCENT

    @property
    def mean_percent(self):
        """Mean percentage of full speed over all runs."""
        if not self._paces:
            return FULL_PERCENT
        total = sum(pace.percent for pace in self._paces.values())
        return total // len(self._paces)

    def update(self, tails, effects, now):
        """Recompute the paces from the newest tail latencies.

        Args:
            tails: The ``TailLatency`` rows of the runs that serve users.
            effects: Learned loss of headroom per tenth of a server, by
                (serving image, best-effort image).
            now: Monotonic time.

        Returns:
            Whether any percentage has changed.
        """
        # A task that has just started has no measured latency yet.
        tails = [tail for tail in tails if tail.latency_ms > 0]
        self.worst_ratio = max(
            (tail.latency_ms / tail.target_ms for tail in tails), default=0
        )
        self._update_time_over_target(now)
        if not self._paces:
            return False
        recent = self._changed_at and now - self._changed_at < SETTLE_TIME
        if recent and self.worst_ratio < 1.0:
            return False
        budgets = self._estimate_budgets(tails, effects, settled=not recent)
        before = [pace.percent for pace in self._paces.values()]
        self._allocate(tails, budgets, effects)
        self._update_slow_since(now)
        if before == [pace.percent for pace in self._paces.values()]:
            return False
        self._changed_at = now
        return True

    def _update_time_over_target(self, now):
        if self.worst_ratio < 1.0:
            self._over_target_since = None
        elif self._over_target_since is None:
            self._over_target_since = now
        self._over_target_too_long = (
            self._over_target_since is not None
            and now - self._over_target_since >= MAX_TIME_OVER_TARGET
        )

    def _estimate_budgets(self, tails, effects, *, settled):
        """Return how much of each headroom all runs together may use."""
        budgets = {}
        for tail in tails:
            load = sum(
                _find_cost(effects, tail, pace) * pace.percent / FULL_PERCENT
                for pace in self._paces.values()
            )
            spare = tail.headroom - MIN_HEADROOM
            budget = load + spare
            former = self._budgets.get(tail.run, budget)
            if not settled:
                # The measured latency does not fully reflect the last
                # change of the paces yet.
                budget = min(budget, former)
            elif spare > 0:
                budget = former + NEWEST_WEIGHT * (budget - former)
            budgets[tail.run] = budget
        self._budgets = budgets
        return budgets

    def _allocate(self, tails, budgets, effects):
        remaining = dict(budgets)
        for pace in sorted(self._paces.values(), key=lambda row: row.rank):
            costs = {
                tail.run: _find_cost(effects, tail, pace) for tail in tails
            }
            share = min(
                (
                    remaining[run] / cost
                    for run, cost in costs.items()
                    if cost > NEGLIGIBLE_COST
                ),
                default=1.0,
            )
            if self._over_target_too_long:
                share = 0.0
            _set_percent(pace, int(FULL_PERCENT * max(0.0, min(1.0, share))))
            for run, cost in costs.items():
                if cost > NEGLIGIBLE_COST:
                    remaining[run] -= cost * pace.percent / FULL_PERCENT

    def _update_slow_since(self, now):
        for pace in self._paces.values():
            if pace.percent >= SLOW_PERCENT:
                pace.slow_since = None
            elif pace.slow_since is None:
                pace.slow_since = now

    def list_slow(self, now):
        """Return the runs that have been slow for ``MIN_SLOW_TIME``."""
        return [
            run
            for run, pace in self._paces.items()
            if pace.slow_since is not None
            and now - pace.slow_since >= MIN_SLOW_TIME
        ]


def _find_cost(effects, tail, pace):
    """Return how much headroom a run costs a tail at full speed."""
    effect = effects.get((tail.image, pace.image), DEFAULT_EFFECT)
    return effect * pace.tenths


def _set_percent(pace, percent):
    if percent < MIN_PERCENT:
        percent = 0
    percent = min(percent, pace.percent + MAX_RAISE_PERCENT)
    if (
        0 < percent < FULL_PERCENT
        and abs(percent - pace.percent) < MIN_CHANGE_PERCENT
    ):
        return
    pace.percent = percent
