"""Commands on backend servers: their lives and who may give them orders."""

from bilberryhaven import commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import backend

__all__ = ['CloseBackend', 'OpenBackend']

EPOCH_COUNTER = 'backend_epoch'


class OpenBackend(commands.Command):
    """Lets an agent give orders to one life of a backend server.

    The row's ``epoch`` is set here; each opening gets a higher one, so that
    orders of an earlier agent are refused by the backend server.
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
    """Ends a life of a backend server that surely runs nothing any more."""

    key: str
    at: float
    reason: str

    def apply(self, state):
        """Free its runs and forget it."""
        if state.backends.remove(self.key) is not None:
            workflow_commands.free_runs(state, self.key, self.at)
