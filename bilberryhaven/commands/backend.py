"""Commands on backend servers: registration with fencing, and removal."""

from bilberryhaven import commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import backend

__all__ = ['CloseBackend', 'OpenBackend']

EPOCH_COUNTER = 'backend_epoch'


class OpenBackend(commands.Command):
    """Registers an agent as the one that gives orders to a backend server.

    The row's ``epoch``, a fencing token, is set here. Each registration gets
    a higher one, so that the backend server refuses orders of an earlier
    agent.
    """

    backend: backend.Backend
    at: float

    def apply(self, state):
        """Store the row with its epoch and return it."""
        row = self.backend
        known = state.backends.find(row.key)
        row.acked = known.acked if known else 0
        row.epoch = state.counters.advance(EPOCH_COUNTER)
        state.backends.put(row)
        return row


class CloseBackend(commands.Command):
    """Removes an incarnation of a backend server known to run nothing."""

    key: str
    at: float
    reason: str

    def apply(self, state):
        """Remove the backend server and end its runs as lapsed."""
        if state.backends.remove(self.key) is not None:
            workflow_commands.end_all_runs(state, self.key, self.at)
