"""The replicated tables as a state machine for the log."""

from bilberryhaven import commands
from bilberryhaven.consensus import machine
from bilberryhaven import tables

__all__ = ['TableStateMachine']


class TableStateMachine(machine.StateMachine):
    """Applies committed commands to the tables.

    Args:
        on_applied: Called with each command after it changed the tables.

    Attributes:
        state: The tables.
    """

    def __init__(self, *, on_applied=None):
        self.state = tables.State()
        self._on_applied = on_applied

    def apply(self, index, data):
        """Apply one encoded command; return its result or its error."""
        command = commands.decode(data)
        result = commands.apply(self.state, command)
        if self._on_applied is not None:
            self._on_applied(command)
        return result

    def dump(self):
        """Return the tables as bytes."""
        return self.state.dump()

    def load(self, data):
        """Replace the tables by those in ``data``."""
        self.state.load(data)
