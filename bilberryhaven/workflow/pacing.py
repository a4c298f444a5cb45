"""Pacing of best-effort tasks beside tasks that serve users."""

__all__ = ['Pacer']

FULL = 100
# Share of the target at which best-effort tasks are slowed down, so that the
# tail stays below the target itself.
SLOW_AT = 0.85
# Share of the target below which they may work more again.
RELAX_AT = 0.65
# Additive increase and multiplicative decrease; a listing comes about twice
# a second, and the whole way down must fit into the bound on interference.
INCREASE = 10
DECREASE = 0.5
# Below this percentage a task is stopped altogether.
LEAST = 12


class Pacer:
    """Percentage at which a backend server's best-effort tasks may work.

    Attributes:
        share: The percentage.
    """

    def __init__(self):
        self.share = FULL

    def update(self, tails):
        """Take the newest tail latencies and return the new percentage.

        Args:
            tails: (tail latency, target) pairs in ms of the tasks that serve
                users.
        """
        worst = max((tail / target for tail, target in tails), default=0.0)
        if worst >= SLOW_AT:
            self.share = int(self.share * DECREASE)
            if self.share < LEAST:
                self.share = 0
        elif worst < RELAX_AT:
            self.share = min(FULL, self.share + INCREASE)
        return self.share
