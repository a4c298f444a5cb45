"""Count of slots and connections, with the limits and their violations."""

import dataclasses

from bilberryhaven import errors

__all__ = ['ResourceTracker']


@dataclasses.dataclass(kw_only=True)
class ResourceTracker:
    """Slots and connections of a stand-in backend server.

    Attributes:
        slots: Slots that exist.
        connections: Connections that may be open.
        slots_used: Slots in use.
        connections_open: Connections open.
        peak_slots: Most slots that were in use or asked for at a time.
        peak_connections: Most connections that were open at a time.
        double_starts: Tasks and requests started though they ran or had run.
        overload_refusals: Starts refused because no slot was free.
    """

    slots: int
    connections: int
    slots_used: int = 0
    connections_open: int = 0
    peak_slots: int = 0
    peak_connections: int = 0
    double_starts: list[str] = dataclasses.field(default_factory=list)
    overload_refusals: int = 0

    def acquire(self, count, *, step):
        """Take ``count`` slots.

        Raises:
            OverloadError: So many aren't free.
        """
        wanted = self.slots_used + count
        self.peak_slots = max(self.peak_slots, wanted)
        if wanted > self.slots:
            self.overload_refusals += 1
            raise errors.OverloadError(
                f'{self.slots_used} of {self.slots} slots are in use',
                step=step,
            )
        self.slots_used = wanted

    def release(self, count):
        """Free ``count`` slots."""
        self.slots_used -= count

    def open_connection(self):
        """Count a new connection; return whether it is within the limit."""
        self.connections_open += 1
        self.peak_connections = max(
            self.peak_connections, self.connections_open
        )
        return self.connections_open <= self.connections

    def close_connection(self):
        """Count a connection that was closed."""
        self.connections_open -= 1

    def list_violations(self):
        """Return what went over the limits, as lines for a person."""
        found = [f'started twice: {name}' for name in self.double_starts]
        if self.peak_slots > self.slots:
            found.append(f'{self.peak_slots} of {self.slots} slots')
        if self.peak_connections > self.connections:
            found.append(
                f'{self.peak_connections} of {self.connections} connections'
            )
        return found
