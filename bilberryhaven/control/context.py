"""Interface of the leader to API handlers and periodic tasks."""

import abc
import dataclasses
import datetime

__all__ = ['Context', 'NodeStatus']


@dataclasses.dataclass(kw_only=True, slots=True)
class NodeStatus:
    """Lease status of an agent or entry; kept in the leader's memory only.

    Attributes:
        name: Name of the process.
        role: ``agent`` or ``entry``.
        zone: Its availability zone.
        revision: Oldest revision that the process may still act on.
        epoch: Epoch of an agent's session; 0 for an entry.
        lease_end: Monotonic time of the leader by which the lease has
            expired at its holder; includes ``LEASE_MARGIN``.
    """

    name: str
    role: str
    zone: str = ''
    revision: int = 0
    epoch: int = 0
    lease_end: datetime.timedelta = datetime.timedelta()


class Context(abc.ABC):
    """The leader's interface to API handlers.

    Attributes:
        clock: The ``Clock``.
        state: The replicated tables; valid to read only inside ``read``.
        settings: The process's settings.
        zone_orders: The ``ZoneOrders``.
    """

    clock = None
    state = None
    settings = None
    zone_orders = None

    @abc.abstractmethod
    def read(self):
        """Return a context manager for a linearizable read of the state.

        Raises:
            NotLeaderError: This instance is not the leader.
        """

    @abc.abstractmethod
    def propose(self, command, *, term=0):
        """Commit ``command`` and return its result.

        Args:
            command: The ``Command``.
            term: The only term in which it may be proposed; 0 for any.

        Raises:
            BilberryhavenError: The command was rejected, or its outcome is
                unknown because leadership was lost.
        """

    @abc.abstractmethod
    def list_nodes(self):
        """Return the ``NodeStatus`` of each agent and entry with a lease."""

    @abc.abstractmethod
    def list_members(self):
        """Return the ``MemberStatus`` of each control instance."""

    @abc.abstractmethod
    def change_members(self, *, add=None, remove=None):
        """Add a control instance as a learner, or remove one.

        Args:
            add: (name, address) of the instance to add, or None.
            remove: Name of the instance to remove, or None.
        """

    @abc.abstractmethod
    def get_load(self, instance):
        """Return the latest ``Load`` message of ``instance``, or None."""

    def get_nodes_by_name(self):
        """Return the ``Node`` of each instance as of the last tick.

        ``Node`` is the placement's record of an instance. Returns None in a
        context that keeps none.
        """
        return None
