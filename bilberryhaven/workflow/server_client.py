"""Interface of the calls from an agent to its backend server."""

import abc
import dataclasses
import enum

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.workflow import message

__all__ = [
    'Announcement',
    'Listing',
    'ServerClient',
    'StartResult',
    'check_listing',
]

# Largest number of ends in a listing.
MAX_ENDS = 500


class StartResult(enum.Enum):
    """Answer of a backend server to a start request.

    ``STARTED`` is also returned if the run is already present. ``LATE``
    means that the deadline had passed, ``BUSY`` that the server is unhealthy
    and did nothing, ``OTHER_INCARNATION`` that the addressed incarnation has
    ended.
    """

    STARTED = 'started'
    LATE = 'late'
    REJECTED = 'rejected'
    BUSY = 'busy'
    OTHER_INCARNATION = 'other_life'


@dataclasses.dataclass(kw_only=True, slots=True)
class Announcement:
    """Heartbeat of a backend server.

    Attributes:
        state: The ``ServerState``.
        address: HOST:PORT at which the server takes calls.
        sequence: Number that rises with each heartbeat of an incarnation.
    """

    state: message.ServerState
    address: str
    sequence: int

    @property
    def identity(self):
        """What stays the same during the life of a server, a tuple."""
        state = self.state
        return state.id, state.born_ms, self.address, state.pool


@dataclasses.dataclass(kw_only=True, slots=True)
class Listing:
    """Runs and ends that a backend server lists.

    Attributes:
        clock_ms: The server's own clock when it answered, in ms.
        born_ms: Start of the server's incarnation, Unix time in ms.
        running: The ``Running`` rows of the runs that are present.
        ends: The oldest ``RunEnd`` rows that have not been acknowledged, at
            most ``MAX_ENDS``.
        is_whole: Whether it contains all ends: it isn't cut at ``MAX_ENDS``.
        odd_ends: Runs that rows of ends name whose other values are odd.
    """

    clock_ms: int
    born_ms: int
    running: list[message.Running]
    ends: list[workflow_commands.RunEnd]
    is_whole: bool = True
    odd_ends: set[workflow_commands.RunRef] = dataclasses.field(
        default_factory=set
    )


def check_listing(target, listing):
    """Check that a listing is of the target's incarnation.

    Args:
        target: The ``Announcement`` of the addressed incarnation.
        listing: The ``Listing`` that was answered at its address.

    Returns:
        Whether the listing names its incarnation.

    Raises:
        GoneError: It names another one.
    """
    if listing.born_ms and listing.born_ms != target.state.born_ms:
        raise errors.GoneError(
            'another incarnation answered', step='hold', peer=target.address
        )
    return bool(listing.born_ms)


class ServerClient(abc.ABC):
    """Calls to one backend server.

    All of them raise ``PeerError`` if no answer arrived: the call may have
    been executed or may still be; ``CutOffError`` if the server closed the
    connection before it answered. They raise ``FencedError`` if a newer agent
    has taken over, and ``GoneError`` if another incarnation answers.
    """

    def identify(self, target):
        """Check that the announced server answers at its address.

        Args:
            target: The ``Announcement``; it may be of another writer.

        Returns:
            Whether it has shown the start of its incarnation. A server that
            an earlier agent has given a higher token may refuse without it.

        Raises:
            GoneError: Another server answers there, or none listens.
            BilberryhavenError: There was no answer, or not a usable one.
        """
        try:
            listing = self.hold(
                target, deadline_ms=None, epoch=0, acked=0, wait_ms=0
            )
        except errors.FencedError:
            return False
        return check_listing(target, listing)

    @abc.abstractmethod
    def start_run(self, target, order, *, deadline_ms, epoch):
        """Start a run and return a ``StartResult``.

        Args:
            target: The ``Announcement`` of the addressed incarnation.
            order: The ``Order``.
            deadline_ms: Time on the server's clock, in ms, at which all runs
                there lapse.
            epoch: Fencing token.
        """

    @abc.abstractmethod
    def stop_run(self, target, run, *, epoch):
        """Stop a run; a later start of an absent run is rejected."""

    @abc.abstractmethod
    def pace_run(self, target, run, *, percent, epoch):
        """Limit a run to a percentage of its full speed."""

    @abc.abstractmethod
    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        """Renew the lease of all runs there and return a ``Listing``.

        Args:
            target: The ``Announcement`` of the addressed incarnation.
            deadline_ms: As for ``start_run``; None renews nothing.
            epoch: Fencing token.
            acked: Number of the newest end that the server may discard.
            wait_ms: Longest time to wait for an end, in ms.
        """

    @abc.abstractmethod
    def close(self):
        """Close idle connections."""
