"""State machine of the replicated tables."""

from bilberryhaven import commands
from bilberryhaven.consensus import machine
from bilberryhaven import tables

__all__ = ['TableStateMachine']


class TableStateMachine(machine.StateMachine):
    """Applies committed commands to the tables.

    Args:
        on_applied: Called with each command after it was applied.

    Attributes:
        state: The tables.
    """

    def __init__(self, *, on_applied=None):
        self.state = tables.State()
        self._on_applied = on_applied

    def apply(self, index, data):
        """Apply an encoded command; return its result or its error."""
        command = commands.decode(data)
        result = commands.apply(self.state, command)
        if self._on_applied is not None:
            self._on_applied(command)
        return result

    def dump(self):
        """Return a snapshot of the tables as bytes."""
        return self.state.dump()

    def load(self, data):
        """Replace the tables by those in the snapshot ``data``."""
        self.state.load(data)
