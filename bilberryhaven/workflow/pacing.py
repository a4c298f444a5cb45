"""Pacing of best-effort tasks beside tasks that serve users."""

__all__ = ['Pacer']

FULL = 100
# Share of the target at which best-effort tasks are slowed down, so that the
# tail stays below the target itself.
SLOW_AT = 0.85
# Share of the target below which they may work more again.
RELAX_AT = 0.7
# Additive increase, multiplicative decrease.
INCREASE = 8
DECREASE = 0.6
# Below this percentage a task is stopped altogether.
LEAST = 8
# A tail is measured over half a second, so a change shows in whole only a
# listing later; over the target itself it isn't waited for.
SETTLE_LISTINGS = 2


class Pacer:
    """Percentage at which a backend server's best-effort tasks may work.

    Attributes:
        share: The percentage.
    """

    def __init__(self):
        self.share = FULL
        self._settling = 0

    def update(self, tails):
        """Take the newest tail latencies and return the new percentage.

        Args:
            tails: (tail latency, target) pairs in ms of the tasks that serve
                users.
        """
        worst = max((tail / target for tail, target in tails), default=0.0)
        self._settling = max(0, self._settling - 1)
        if worst >= 1.0 or (worst >= SLOW_AT and not self._settling):
            self._settling = SETTLE_LISTINGS
            self.share = int(self.share * DECREASE)
            if self.share < LEAST:
                self.share = 0
        elif worst < RELAX_AT:
            self.share = min(FULL, self.share + INCREASE)
        return self.share
