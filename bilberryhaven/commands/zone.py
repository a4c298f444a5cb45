"""Commands on availability zones: withdrawal and its end.

The orders carry no version, so that of two orders the one that is committed
last counts.
"""

from bilberryhaven import commands
from bilberryhaven.tables import zone

__all__ = ['RestoreZone', 'WithdrawZone']


class WithdrawZone(commands.Command):
    """Withdraws an availability zone: no run is started there.

    Attributes:
        zone: Its name.
        at: Unix time in seconds.
    """

    zone: str
    at: float

    def apply(self, state):
        """Mark the zone as withdrawn; return whether that is a change."""
        return _mark(state, self.zone, self.at, withdrawn=True)


class RestoreZone(commands.Command):
    """Ends the withdrawal of an availability zone.

    The row stays, so that a resent order is accepted when the zone is no
    longer known otherwise.

    Attributes:
        zone: Its name.
        at: Unix time in seconds.
    """

    zone: str
    at: float

    def apply(self, state):
        """Mark the zone as available; return whether that is a change."""
        return _mark(state, self.zone, self.at, withdrawn=False)


def _mark(state, name, at, *, withdrawn):
    changes = state.zones.is_withdrawn(name) != withdrawn
    if changes or name not in state.zones:
        state.zones.put(
            zone.Zone(name=name, withdrawn=withdrawn, changed_at=at)
        )
    return changes
