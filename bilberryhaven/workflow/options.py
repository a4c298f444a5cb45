"""Times and limits of workflows; the same for leader and agents."""

import dataclasses
import datetime

from bilberryhaven import clock

__all__ = ['Options']

# Fastest drift between two clocks that leases allow for.
MAX_DRIFT = 0.02


@dataclasses.dataclass(kw_only=True, frozen=True)
class Options:
    """Times and limits of workflows.

    Attributes:
        lease: How long runs are kept alive after an agent's newest poll.
        lease_margin: What the leader waits beyond the drift of clocks, for
            a backend server to stop what has lapsed.
        max_poll_wait: Longest time for which the leader holds a poll.
        report_interval: Longest time between two reports of an agent.
        ended_retention: How long an ended workflow can be asked for.
        voters: How many control instances vote, at most.
    """

    lease: datetime.timedelta = clock.seconds(5)
    lease_margin: datetime.timedelta = clock.seconds(0.5)
    max_poll_wait: datetime.timedelta = clock.seconds(0.5)
    report_interval: datetime.timedelta = clock.seconds(0.5)
    ended_retention: datetime.timedelta = clock.seconds(180)
    voters: int = 3

    @property
    def lease_expiry_delay(self):
        """How long after a poll its agent's runs have surely lapsed."""
        return self.lease * (1 + MAX_DRIFT) + self.lease_margin
