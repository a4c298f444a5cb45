"""Interface of the state machine that a replica keeps."""

import abc

__all__ = ['StateMachine']


class StateMachine(abc.ABC):
    """Deterministic state that changes only by applied entries.

    All methods run on the replica's thread with ``machine_lock`` held.
    """

    @abc.abstractmethod
    def apply(self, index, data):
        """Apply a committed entry and return its result.

        Args:
            index: The entry's position in the log.
            data: The proposed bytes.

        Returns:
            What ``propose`` returns; an exception instance is raised there.
        """

    @abc.abstractmethod
    def dump(self):
        """Return the whole state as bytes."""

    @abc.abstractmethod
    def load(self, data):
        """Replace the whole state by that of ``dump``'s bytes."""
