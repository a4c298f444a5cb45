"""Time and size limits of workflows, shared by leader and agents."""

import dataclasses
import datetime

from bilberryhaven import clock

__all__ = ['Options', 'build_options']

BYTES_PER_MB = 1024 * 1024
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
            queried at least; a new leader counts it from its first look.
        voters: Largest number of control instances that vote.
        start_validity: How long after an agent's newest poll ordered starts
            may be sent; None for as long as the lease lasts.
        admission: Whether workflows are rejected under overload.
        max_active_workflows: Number of workflows that haven't ended from
            which on others are rejected.
        max_active_bytes: Estimated memory that these may occupy in the
            leader.
        chooses_claims: Whether the work that claims CPU and can be in time
            together is chosen, instead of serving it by due time.
        chooses_best_effort: Whether the best-effort work that can be in time
            together is chosen, instead of serving it by its remaining work
            for its value.
        shares: Whether the room is divided by shares of callers' availability
            zones when callers of several zones ask for more than there is.
        zone_weights: Weights of the zones' shares; 1 for all others.
    """

    lease: datetime.timedelta = clock.seconds(5)
    lease_margin: datetime.timedelta = clock.seconds(0.5)
    max_poll_wait: datetime.timedelta = clock.seconds(0.5)
    report_interval: datetime.timedelta = clock.seconds(0.5)
    ended_retention: datetime.timedelta = clock.seconds(180)
    voters: int = 3
    start_validity: datetime.timedelta | None = None
    admission: bool = True
    max_active_workflows: int = 10_000
    max_active_bytes: int = 64 * BYTES_PER_MB
    chooses_claims: bool = True
    chooses_best_effort: bool = False
    shares: bool = False
    zone_weights: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def max_submission_age(self):
        """Age from which on a submission may be that of a removed workflow.

        It is less than the retention by any leader's clock.
        """
        return self.ended_retention * (1 - MAX_DRIFT)

    @property
    def lease_expiry_delay(self):
        """Time after a poll at which its runs have certainly lapsed."""
        return self.lease * (1 + MAX_DRIFT) + self.lease_margin


def build_options(limits):
    """Return the ``Options`` with the limits of a process's settings.

    Args:
        limits: The ``WorkflowLimits``.
    """
    return Options(
        admission=limits.admission,
        max_active_workflows=limits.max_active,
        max_active_bytes=limits.max_active_mb * BYTES_PER_MB,
        chooses_claims=limits.chooses_claims,
        chooses_best_effort=limits.chooses_best_effort,
        shares=limits.shares,
        zone_weights=limits.zone_weights,
    )
