"""What API handlers and leader tasks may use of a control instance."""

import abc
import dataclasses
import datetime

__all__ = ['Context', 'NodeStatus']


@dataclasses.dataclass(kw_only=True, slots=True)
class NodeStatus:
    """An agent or entry that holds a revision lease; leader's memory only.

    Attributes:
        name: The process's name.
        role: ``agent`` or ``entry``.
        zone: Its availability zone.
        revision: Oldest revision that it can still act on.
        epoch: Epoch of an agent's session; 0 for an entry.
        lease_end: Monotonic time at which its lease, with the margin, has
            surely run out.
    """

    name: str
    role: str
    zone: str = ''
    revision: int = 0
    epoch: int = 0
    lease_end: datetime.timedelta = datetime.timedelta()


class Context(abc.ABC):
    """The leader, as seen by API handlers.

    Attributes:
        clock: The ``Clock``.
        state: The replicated tables; read them only inside ``read``.
        settings: The process's settings.
    """

    clock = None
    state = None
    settings = None

    @abc.abstractmethod
    def read(self):
        """Return a context manager for a linearizable read of the state.

        Raises:
            NotLeaderError: This instance is not, or no longer, the leader.
        """

    @abc.abstractmethod
    def propose(self, command):
        """Commit ``command`` and return its result.

        Raises:
            BilberryhavenError: The command was refused, or its outcome is
                unknown because leadership was lost.
        """

    @abc.abstractmethod
    def list_nodes(self):
        """Return the ``Node`` rows of agents and entries."""

    @abc.abstractmethod
    def list_members(self):
        """Return the control instances, as ``consensus`` reports them."""

    @abc.abstractmethod
    def change_members(self, *, add=None, remove=None):
        """Add one control instance as learner or remove one.

        Args:
            add: (name, address) pair, or None.
            remove: Name, or None.
        """

    @abc.abstractmethod
    def get_load(self, instance):
        """Return the newest ``Load`` message of ``instance``, or None."""

    def get_nodes_by_name(self):
        """Return the placement's ``Node`` rows, or None where none are kept.

        They are as old as the last tick.
        """
        return None
