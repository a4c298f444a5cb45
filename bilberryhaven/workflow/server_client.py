"""What an agent asks of the backend server beside it."""

import abc
import dataclasses
import enum

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import message

__all__ = ['Announcement', 'Listing', 'ServerClient', 'StartResult']


class StartResult(enum.Enum):
    """A backend server's answer to a start.

    ``STARTED`` also where the run is there already. ``LATE`` means that the
    deadline had passed, ``BUSY`` that the server is unhealthy and did
    nothing, ``OTHER_INCARNATION`` that the life that was addressed is over.
    """

    STARTED = 'started'
    LATE = 'late'
    REJECTED = 'rejected'
    BUSY = 'busy'
    OTHER_INCARNATION = 'other_life'


@dataclasses.dataclass(kw_only=True, slots=True)
class Announcement:
    """A backend server's heartbeat.

    Attributes:
        state: What it says of itself.
        address: HOST:PORT at which it takes orders.
        sequence: Rises with each heartbeat of one life.
    """

    state: message.ServerState
    address: str
    sequence: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Listing:
    """What a backend server lists.

    Attributes:
        clock_ms: Its own clock when it answered.
        born_ms: When its life began, Unix time in milliseconds.
        running: The ``Running`` rows that are present.
        ends: The ``RunEnd`` rows that it hasn't been told to forget.
    """

    clock_ms: int
    born_ms: int
    running: list[message.Running]
    ends: list[workflow_commands.RunEnd]


class ServerClient(abc.ABC):
    """Calls to one backend server.

    All raise ``PeerError`` where no answer came: the call may have been
    carried out, or may be yet. They raise ``FencedError`` where a later
    agent has taken over, and ``GoneError`` where another life answers.
    """

    @abc.abstractmethod
    def start_run(self, target, order, *, deadline_ms, epoch):
        """Start a run and return a ``Verdict``.

        Args:
            target: The ``Announcement`` of the life that is meant.
            order: The ``Order``.
            deadline_ms: Time on the server's clock at which all that runs
                there lapses.
            epoch: Fencing token.
        """

    @abc.abstractmethod
    def stop_run(self, target, run, *, epoch):
        """Stop a run; one that isn't there yet will be rejected."""

    @abc.abstractmethod
    def pace_run(self, target, run, *, percent, epoch):
        """Let a run work at a share of its speed."""

    @abc.abstractmethod
    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        """Prolong the lease of all that runs there; return a ``Listing``.

        Args:
            target: The ``Announcement`` of the life that is meant.
            deadline_ms: As for ``start_run``; None prolongs nothing.
            epoch: Fencing token.
            acked: Number of the newest end that may be forgotten.
            wait_ms: How long to wait for an end.
        """

    @abc.abstractmethod
    def close(self):
        """Close idle connections."""
