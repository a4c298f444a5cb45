"""Tracking of slots and connections, their limits and violations."""

import dataclasses

from bilberryhaven import errors

__all__ = ['ResourceTracker']


@dataclasses.dataclass(kw_only=True)
class ResourceTracker:
    """Slots and connections of a stand-in backend server.

    Attributes:
        slots: Number of slots.
        connections: Maximum number of open connections.
        slots_used: Number of slots in use.
        connections_open: Number of open connections.
        peak_slots: Maximum number of slots in use, including those of
            refused starts.
        peak_connections: Maximum number of connections open at one time.
        double_starts: Ids of requests that were started more than once.
        overload_refusals: Number of starts refused for lack of free slots.
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
        """Acquire ``count`` slots.

        Args:
            count: Number of slots.
            step: Step that an error names.

        Raises:
            OverloadError: Fewer slots are free.
        """
        requested = self.slots_used + count
        self.peak_slots = max(self.peak_slots, requested)
        if requested > self.slots:
            self.overload_refusals += 1
            raise errors.OverloadError(
                f'{self.slots_used} of {self.slots} slots are in use',
                step=step,
            )
        self.slots_used = requested

    def release(self, count):
        """Release ``count`` slots."""
        self.slots_used -= count

    def open_connection(self):
        """Count a new connection; return whether it is within the limit."""
        self.connections_open += 1
        self.peak_connections = max(
            self.peak_connections, self.connections_open
        )
        return self.connections_open <= self.connections

    def close_connection(self):
        """Count a closed connection."""
        self.connections_open -= 1

    def list_violations(self):
        """Return exceeded limits and double starts, one line for each."""
        violations = [f'started twice: {name}' for name in self.double_starts]
        if self.peak_slots > self.slots:
            violations.append(f'{self.peak_slots} of {self.slots} slots')
        if self.peak_connections > self.connections:
            violations.append(
                f'{self.peak_connections} of {self.connections} connections'
            )
        return violations
