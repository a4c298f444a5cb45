"""Newest checkpoints of the runs, as their backend servers list them."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands

__all__ = ['CheckpointCollector', 'list_checkpoints']

# A run that is lost with its server repeats at most this much work, and what
# it did since its last checkpoint.
SAVE_INTERVAL = clocks.seconds(1)


class CheckpointCollector:
    """Collects the checkpoints that the log doesn't contain yet.

    Args:
        clock: The ``Clock``.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._saved = {}
        self._collected_at = clock.monotonic()

    def clear(self):
        """Forget what was saved."""
        self._saved = {}

    def collect(self, sessions):
        """Return the ``RunCheckpoint`` rows to save now.

        At most once in ``SAVE_INTERVAL`` there are any. The caller commits
        them.

        Args:
            sessions: The ``Session`` rows.
        """
        now = self._clock.monotonic()
        if now - self._collected_at < SAVE_INTERVAL:
            return []
        self._collected_at = now
        former, self._saved = self._saved, {}
        changed = []
        for agent_session in sessions:
            for row in list_checkpoints(agent_session):
                self._saved[row.run] = row.checkpoint
                if former.get(row.run) != row.checkpoint:
                    changed.append(row)
        return changed


def list_checkpoints(agent_session):
    """Return a ``RunCheckpoint`` for each run listed with a checkpoint."""
    return [
        workflow_commands.RunCheckpoint(ref, seen.running.checkpoint)
        for ref, seen in agent_session.present.items()
        if seen.running.checkpoint
    ]
