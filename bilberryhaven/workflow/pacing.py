"""Pacing of best-effort tasks beside tasks that serve users.

Near saturation a tail latency grows like that of a queue, as 1 / (1 - load),
so its headroom (target / latency) falls evenly with what best-effort runs
beside it use, by an effect that differs by their images (``neighbours``). What
the headroom has left is shared out among those runs by rank: the workflow that
comes first works fully as far as it may, the others give way. So what has
begun ends, and nothing is held up by its one task that stands still.
"""

import dataclasses
import datetime

__all__ = ['FULL_PERCENT', 'Pacer', 'Tail']

FULL_PERCENT = 100
# Percentage at which a task starts that may disturb those beside it.
INITIAL_PERCENT = 20
# Loss of headroom by a tenth of a server before anything was learned: a few
# unknown runs use up what a tail at half of its target has left.
DEFAULT_EFFECT = 0.4
# Headroom that tails must keep; what is above 1 is for what changes until the
# next listing.
LEAST_HEADROOM = 1.35
# Runs that cost less headroom than this aren't paced for it.
NEGLIGIBLE = 0.05
# Below this percentage a task is stopped altogether.
LEAST = 8
# Largest raise between two listings: effects are estimates.
MAX_RAISE = 50
# Changes of percentage below this aren't worth an order.
LEAST_CHANGE = 6
# A tail is measured over half a second, so a change shows in whole only then.
SETTLE = datetime.timedelta(seconds=0.55)
# Weight of the newest listing in what a tail has left: its figure is rough.
NEWEST_WEIGHT = 0.5
# A tail over its target for longer stops all runs, also those that are known
# as harmless: it may stay over it for a few seconds only.
LONG_OVER = datetime.timedelta(seconds=1.2)
# A run below this percentage for this long would do better elsewhere.
SLOW_PERCENT = 35
SLOW_FOR = datetime.timedelta(seconds=1)


@dataclasses.dataclass(kw_only=True, slots=True)
class Tail:
    """Tail latency of one serving run.

    Attributes:
        run: The run.
        image: What it runs.
        latency_ms: Its tail latency in ms.
        target_ms: Bound on it in ms.
    """

    run: object
    image: str
    latency_ms: float
    target_ms: float

    @property
    def headroom(self):
        """The target as a multiple of the tail latency."""
        return self.target_ms / self.latency_ms


@dataclasses.dataclass(kw_only=True, slots=True)
class Pace:
    """Percentage at which one run may work.

    Attributes:
        image: What it runs.
        tenths: Tenths of the server that it uses when it works fully.
        rank: Lower ones come first.
        percent: The percentage.
        slow_since: Since when it has been below ``SLOW_PERCENT``, monotonic,
            or None.
    """

    image: str
    tenths: float
    rank: float
    percent: int
    slow_since: datetime.timedelta | None = None


class Pacer:
    """Percentages at which a backend server's best-effort runs may work."""

    def __init__(self):
        self._paces = {}
        self._rooms = {}
        self._changed_at = None
        self._over_since = None
        self.worst = 0.0

    def add(self, run, *, image, tenths, rank, percent):
        """Begin to pace a run."""
        self._paces[run] = Pace(
            image=image, tenths=tenths, rank=rank, percent=percent
        )

    def remove(self, run):
        """Forget a run."""
        self._paces.pop(run, None)

    def get_percent(self, run):
        """Return at which percentage a run may work."""
        pace = self._paces.get(run)
        return pace.percent if pace else FULL_PERCENT

    @property
    def share(self):
        """Mean percentage over all runs."""
        if not self._paces:
            return FULL_PERCENT
        total = sum(pace.percent for pace in self._paces.values())
        return total // len(self._paces)

    def update(self, tails, effects, now):
        """Take the newest tail latencies.

        Args:
            tails: The ``Tail`` rows of the runs that serve users.
            effects: Learned effects by (serving image, image).
            now: Monotonic time.

        Returns:
            Whether any percentage has changed.
        """
        # A task that has just started has no figure yet.
        tails = [tail for tail in tails if tail.latency_ms > 0]
        self.worst = max(
            (tail.latency_ms / tail.target_ms for tail in tails), default=0
        )
        self._note_over(now)
        if not self._paces:
            return False
        recent = self._changed_at and now - self._changed_at < SETTLE
        if recent and self.worst < 1.0:
            return False
        rooms = self._estimate_rooms(tails, effects, settled=not recent)
        before = [pace.percent for pace in self._paces.values()]
        self._share_out(tails, rooms, effects)
        self._note_slow(now)
        if before == [pace.percent for pace in self._paces.values()]:
            return False
        self._changed_at = now
        return True

    def _note_over(self, now):
        if self.worst < 1.0:
            self._over_since = None
        elif self._over_since is None:
            self._over_since = now
        self._over_long = (
            self._over_since is not None
            and now - self._over_since >= LONG_OVER
        )

    def _estimate_rooms(self, tails, effects, *, settled):
        """Return what all runs together may take of each headroom."""
        rooms = {}
        for tail in tails:
            load = sum(
                _find_cost(effects, tail, pace) * pace.percent / FULL_PERCENT
                for pace in self._paces.values()
            )
            left = tail.headroom - LEAST_HEADROOM
            room = load + left
            former = self._rooms.get(tail.run, room)
            if not settled:
                # The figure still holds what was raised or lowered last.
                room = min(room, former)
            elif left > 0:
                room = former + NEWEST_WEIGHT * (room - former)
            rooms[tail.run] = room
        self._rooms = rooms
        return rooms

    def _share_out(self, tails, rooms, effects):
        rest = dict(rooms)
        for pace in sorted(self._paces.values(), key=lambda row: row.rank):
            costs = {
                tail.run: _find_cost(effects, tail, pace) for tail in tails
            }
            share = min(
                (
                    rest[run] / cost
                    for run, cost in costs.items()
                    if cost > NEGLIGIBLE
                ),
                default=1.0,
            )
            if self._over_long:
                share = 0.0
            _set_percent(pace, int(FULL_PERCENT * max(0.0, min(1.0, share))))
            for run, cost in costs.items():
                if cost > NEGLIGIBLE:
                    rest[run] -= cost * pace.percent / FULL_PERCENT

    def _note_slow(self, now):
        for pace in self._paces.values():
            if pace.percent >= SLOW_PERCENT:
                pace.slow_since = None
            elif pace.slow_since is None:
                pace.slow_since = now

    def list_slow(self, now):
        """Return the runs that have been slowed down for long."""
        return [
            run
            for run, pace in self._paces.items()
            if pace.slow_since is not None
            and now - pace.slow_since >= SLOW_FOR
        ]


def _find_cost(effects, tail, pace):
    """Return how much headroom a run takes if it works fully."""
    effect = effects.get((tail.image, pace.image), DEFAULT_EFFECT)
    return effect * pace.tenths


def _set_percent(pace, percent):
    if percent < LEAST:
        percent = 0
    percent = min(percent, pace.percent + MAX_RAISE)
    if (
        0 < percent < FULL_PERCENT
        and abs(percent - pace.percent) < LEAST_CHANGE
    ):
        return
    pace.percent = percent
