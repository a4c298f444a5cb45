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
        if known and not row.address:
            row.address = known.address
        row.epoch = state.counters.advance(EPOCH_COUNTER)
        state.backends.put(row)
        return row


class CloseBackend(commands.Command):
    """Removes an incarnation of a backend server known to run nothing.

    Attributes:
        key: Its key.
        at: Unix time in seconds.
        reason: Why it is known to run nothing.
        checkpoints: Newest checkpoints of its runs.
        epoch: Epoch of the registration to which that applies. If an agent
            has registered since, the server may run tasks again and stays.
            0 in entries of earlier versions, which applies to any.
        suspects: If it has crashed, the runs that may have caused that.
        excused: If it has crashed, further runs that it had just started, but
            for whose tasks another cause is known.
    """

    key: str
    at: float
    reason: str
    checkpoints: list[workflow_commands.RunCheckpoint] = []
    epoch: int = 0
    suspects: list[workflow_commands.RunRef] = []
    excused: list[workflow_commands.RunRef] = []

    def apply(self, state):
        """Remove the backend server and end its runs as lapsed.

        Returns:
            Whether it was removed.
        """
        row = state.backends.find(self.key)
        if row is None or self.epoch not in (0, row.epoch):
            return False
        state.backends.remove(self.key)
        workflow_commands.save_checkpoints(state, self.checkpoints)
        workflow_commands.record_crash(
            state, self.key, self.suspects, self.at, excused=self.excused
        )
        workflow_commands.end_all_runs(state, self.key, self.at)
        return True
