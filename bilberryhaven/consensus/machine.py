"""Interface of the replicated state machine."""

import abc

__all__ = ['StateMachine']


class StateMachine(abc.ABC):
    """Deterministic state, changed only by applying entries.

    All methods run on the replica's thread with ``machine_lock`` held.
    """

    @abc.abstractmethod
    def apply(self, index, data):
        """Apply a committed entry and return its result.

        Args:
            index: The entry's position in the log.
            data: The proposed bytes.

        Returns:
            The result of ``propose``, which raises an exception instance.
        """

    @abc.abstractmethod
    def dump(self):
        """Return the whole state as bytes."""

    @abc.abstractmethod
    def load(self, data):
        """Replace the whole state with one returned by ``dump``."""
