"""Time and size limits of workflows, shared by leader and agents."""

import dataclasses
import datetime

from bilberryhaven import clock

__all__ = ['Options']

# Largest relative drift between two clocks that leases tolerate.
MAX_DRIFT = 0.02


@dataclasses.dataclass(kw_only=True, frozen=True)
class Options:
    """Time and size limits of workflows.

    Attributes:
        lease: How long runs are kept alive after an agent's newest poll.
        lease_margin: Time that the leader waits in addition to the clock
            drift, for a backend server to stop lapsed runs.
        max_poll_wait: Longest time for which the leader holds a poll.
        report_interval: Longest time between two reports of an agent.
        ended_retention: How long the state of an ended workflow can be
            queried.
        voters: Largest number of control instances that vote.
        start_validity: How long after an agent's newest poll ordered starts
            may be sent; None for as long as the lease lasts.
    """

    lease: datetime.timedelta = clock.seconds(5)
    lease_margin: datetime.timedelta = clock.seconds(0.5)
    max_poll_wait: datetime.timedelta = clock.seconds(0.5)
    report_interval: datetime.timedelta = clock.seconds(0.5)
    ended_retention: datetime.timedelta = clock.seconds(180)
    voters: int = 3
    start_validity: datetime.timedelta | None = None

    @property
    def lease_expiry_delay(self):
        """Time after a poll at which its runs have certainly lapsed."""
        return self.lease * (1 + MAX_DRIFT) + self.lease_margin
