"""A replica of the state machine: the facade that other packages use."""

import concurrent.futures
import threading

from bilberryhaven.consensus import options as replica_options
from bilberryhaven.consensus import status
from bilberryhaven import errors

__all__ = ['Replica']


class Replica:
    """Thread-safe facade of one replica.

    This first version keeps a quorum of one, in memory.

    Args:
        name: Unique name of the replica.
        address: HOST:PORT that the others reach it at.
        voters: Addresses of the first quorum, by name.
        folder: Folder for its files.
        machine: The ``Machine`` that it keeps.
        clock: The ``Clock``.
        transport: Sends messages to the others; None for a quorum of one.
        options: Timing and sizes.
        on_leadership: Called with (leading, term) on the replica's thread
            when it has become able to serve as leader, and when it no
            longer is; must not block.

    Attributes:
        machine_lock: Held while the machine changes; take it to read.
    """

    def __init__(
        self,
        *,
        name,
        address,
        voters,
        folder,
        machine,
        clock,
        transport=None,
        options=None,
        on_leadership=None,
    ):
        self.name = name
        self.address = address
        self.machine_lock = threading.RLock()
        self._voters = dict(voters)
        self._folder = folder
        self._machine = machine
        self._clock = clock
        self._transport = transport
        self._options = options or replica_options.Options()
        self._on_leadership = on_leadership
        self._applied = 0
        self._role = status.Role.STOPPED

    def start(self):
        """Recover the state from the folder and join the quorum.

        Raises:
            DamagedFileError: A file fails its check; nothing was started.
            StorageError: A file can't be read or written.
        """
        self._role = status.Role.LEADER
        if self._on_leadership:
            self._on_leadership(True, 1)

    def stop(self):
        """Hand leadership over, sync and close."""
        if self._role == status.Role.LEADER and self._on_leadership:
            self._on_leadership(False, 1)
        self._role = status.Role.STOPPED

    def propose_future(self, data):
        """Propose ``data``; return a ``concurrent.futures.Future``."""
        future = concurrent.futures.Future()
        try:
            self.check_read()
        except errors.NotLeaderError as error:
            future.set_exception(error)
            return future
        with self.machine_lock:
            self._applied += 1
            result = self._machine.apply(self._applied, data)
        if isinstance(result, Exception):
            future.set_exception(result)
        else:
            future.set_result(result)
        return future

    def propose(self, data, *, timeout):
        """Commit ``data`` and return the machine's result.

        Args:
            data: Bytes of the entry.
            timeout: Longest wait as a timedelta.

        Raises:
            NotLeaderError: Not proposed; ``peer`` is the leader's address.
            PeerError: Leadership was lost meanwhile; outcome unknown.
            DeadlineError: Not committed in time; outcome unknown.
            BilberryhavenError: The machine refused the entry.
        """
        try:
            return self.propose_future(data).result(timeout.total_seconds())
        except concurrent.futures.TimeoutError as error:
            raise errors.DeadlineError(
                'the entry was not committed in time', step='commit'
            ) from error

    def check_read(self):
        """Return if the machine may be read as current.

        Raises:
            NotLeaderError: This replica is not the leader, or its lease has
                run out; ``peer`` is the leader's address if known.
        """
        if self._role != status.Role.LEADER:
            raise errors.NotLeaderError(
                f'{self.name} is not the leader', step='read'
            )

    def handle(self, batch, sender):
        """Process messages from ``sender`` and return those in reply.

        Args:
            batch: Encoded messages, the ``messages`` of a ConsensusBatch.
            sender: Name of the replica that sent them.
        """
        return []

    def status(self):
        """Return the ``ReplicaStatus``."""
        return status.ReplicaStatus(
            name=self.name,
            role=self._role,
            term=1,
            leader=self.name,
            leader_address=self.address,
            commit=self._applied,
            applied=self._applied,
            last_index=self._applied,
            lease_valid=self._role == status.Role.LEADER,
        )

    def change_members(self, *, add=None, remove=None):
        """Add a learner, promoted once it has caught up, or remove one.

        Args:
            add: (name, address) pair, or None.
            remove: Name, or None.

        Raises:
            RefusedError: Another change is in progress, or the name is
                wrong.
        """
        raise errors.RefusedError('not built yet', step='change members')

    def transfer_leadership(self, to=None):
        """Hand leadership to ``to``, or to the most advanced voter."""
        raise errors.RefusedError('not built yet', step='transfer')
