"""Facade of a replica of the state machine, for use by other packages."""

import concurrent.futures
import dataclasses
import datetime
import functools
import random
import threading

import pykka

from bilberryhaven.consensus import actor
from bilberryhaven.consensus import files
from bilberryhaven.consensus import options as replica_options
from bilberryhaven.consensus import status
from bilberryhaven.consensus import storage
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['Replica']

STOP_TIMEOUT_SECONDS = 10
HANDLE_TIMEOUT_SECONDS = 5

_logger = log.get_logger('consensus')


class Replica:
    """Thread-safe facade of one replica.

    Args:
        name: Unique name of the replica.
        address: HOST:PORT at which the other replicas reach it.
        voters: Addresses of the initial voters by name; used only if the
            folder is empty. Empty for a replica that is to be added as a
            member.
        folder: Path of its data folder, or a ``files.Folder``.
        machine: Its ``StateMachine``.
        clock: The ``Clock``.
        transport: The ``Transport``; None for a quorum of one.
        options: Timing and sizes.
        on_leadership: Callback that receives (leading, term) on the
            replica's thread when it becomes able to serve as leader and
            when it no longer is; must not block.

    Attributes:
        machine_lock: Held while the state machine changes; acquire it to
            read.
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
        self._leading_term = 0
        self._logged_leader = ''
        self._leading_since = clock.monotonic()
        self._view = actor.View(status=status.ReplicaStatus(name=name))
        self._actor = None
        self._follows_leader = threading.Event()
        self._stopping = threading.Event()
        self._changed = threading.Condition()

    def start(self):
        """Recover the state from the folder and join the quorum.

        Raises:
            DamagedFileError: A file is corrupt; nothing was started.
            StorageError: A file cannot be read or written.
        """
        if self._transport is not None:
            self._transport.bind(self.name, self._receive)
        self._actor = actor.ReplicaActor.start(
            name=self.name,
            clock=self._clock,
            transport=self._transport,
            publish=self._publish,
            hold=self._options.transfer_timeout * 2,
            options=self._build_driver_options(),
        )
        try:
            self._actor.proxy().begin(self._voters).get()
        except Exception:
            self._actor.stop()
            self._actor = None
            raise
        threading.Thread(target=self._run_timer, daemon=True).start()

    def _build_driver_options(self):
        folder = self._folder
        if not isinstance(folder, files.Folder):
            folder = files.DiskFolder(path=folder)
        return {
            'storage': storage.Storage(folder=folder, options=self._options),
            'machine': self._machine,
            'options': self._options,
            'random': random.Random(),
            'lock': self.machine_lock,
        }

    def stop(self):
        """Transfer leadership, sync and close."""
        if self._actor is None:
            return
        if len(self._view.status.members) > 1 and self._leading_term:
            try:
                self.transfer_leadership()
            except errors.BilberryhavenError:
                pass
        self._tell(actor.Close())
        self._stopping.set()
        try:
            self._actor.stop(timeout=STOP_TIMEOUT_SECONDS)
        except pykka.Timeout:
            _logger.error('replica {} did not stop in time', self.name)
        if self._transport is not None:
            self._transport.close()

    def propose_future(self, data, *, term=0):
        """Propose ``data``; return a ``concurrent.futures.Future``.

        Args:
            data: Bytes of the entry.
            term: The only term in which it may be proposed; 0 for any.
        """
        future = concurrent.futures.Future()
        callback = functools.partial(_complete_future, future)
        msg = actor.Propose(data=data, callback=callback, term=term)
        if not self._tell(msg):
            future.set_exception(self._build_not_leader_error())
        return future

    def propose(self, data, *, timeout, term=0):
        """Commit ``data`` and return the state machine's result.

        Args:
            data: Bytes of the entry.
            timeout: Maximum wait as a timedelta.
            term: The only term in which it may be proposed; 0 for any.

        Raises:
            NotLeaderError: Not proposed; ``peer`` is the leader's address.
            PeerError: Leadership was lost before the commit; the outcome is
                unknown.
            DeadlineError: Not committed in time; the outcome is unknown.
            BilberryhavenError: The state machine rejected the entry.
        """
        future = self.propose_future(data, term=term)
        return _wait_result(future, timeout, step='commit')

    def check_read(self):
        """Check that a read of the state machine is linearizable.

        Waits for the first commit of a newly elected leader. Call it, then
        acquire ``machine_lock`` and read.

        Raises:
            NotLeaderError: This replica is not the leader, or its lease has
                expired; ``peer`` is the leader's address if known.
        """
        if self._awaits_first_commit():
            limit = self._options.lease.total_seconds()
            with self._changed:
                self._changed.wait_for(
                    lambda: not self._awaits_first_commit(), limit
                )
        view = self._view
        if not view.serving or self._clock.monotonic() >= view.lease_end:
            raise self._build_not_leader_error()

    def _awaits_first_commit(self):
        view = self._view
        return view.status.role == status.Role.LEADER and not view.serving

    def handle(self, batch, sender):
        """Process messages from ``sender`` and return the replies.

        Args:
            batch: Encoded messages, the ``messages`` of a ConsensusBatch.
            sender: Name of the replica that sent them.
        """
        future = concurrent.futures.Future()
        callback = functools.partial(_complete_future, future)
        msg = actor.Deliver(sender=sender, messages=batch, callback=callback)
        if not self._tell(msg):
            return []
        try:
            return future.result(HANDLE_TIMEOUT_SECONDS)
        except concurrent.futures.TimeoutError:
            return []

    def status(self):
        """Return the ``ReplicaStatus``."""
        view = self._view
        valid = view.serving and self._clock.monotonic() < view.lease_end
        return dataclasses.replace(view.status, lease_valid=valid)

    def leadership_duration(self):
        """Return for how long it has been able to serve as leader."""
        if not self._leading_term:
            return datetime.timedelta()
        return self._clock.monotonic() - self._leading_since

    def change_members(self, *, add=None, remove=None, timeout=None):
        """Add a learner or remove a member.

        A learner is promoted to voter once it has caught up.

        Args:
            add: (name, address) pair, or None.
            remove: Name, or None.
            timeout: Maximum wait for the commit as a timedelta.

        Raises:
            RefusedError: Another change is in progress, the name is invalid,
                or the remaining voters would have no quorum.
            BilberryhavenError: As for ``propose``.
        """
        future = concurrent.futures.Future()
        callback = functools.partial(_complete_future, future)
        msg = actor.ChangeMembers(add=add, remove=remove, callback=callback)
        if not self._tell(msg):
            raise self._build_not_leader_error()
        limit = timeout or self._options.transfer_timeout * 5
        return _wait_result(future, limit, step='change members')

    def transfer_leadership(self, to=None):
        """Transfer leadership to ``to``, or to the most up-to-date voter.

        Returns once this replica follows the next leader. Proposals made
        meanwhile wait, and are then rejected with that leader as ``peer``.

        Raises:
            RefusedError: There is no such voter.
            DeadlineError: No other leader took over in time.
        """
        future = concurrent.futures.Future()
        callback = functools.partial(_complete_future, future)
        if not self._tell(actor.TransferLeadership(to=to, callback=callback)):
            raise self._build_not_leader_error()
        limit = self._options.transfer_timeout * 2
        _wait_result(future, limit, step='transfer')
        if not self._follows_leader.wait(limit.total_seconds()):
            raise errors.DeadlineError(
                'leadership was not transferred in time', step='transfer'
            )

    def _tell(self, msg):
        if self._actor is None or self._stopping.is_set():
            return False
        try:
            self._actor.tell(msg)
        except pykka.ActorDeadError:
            return False
        return True

    def _receive(self, messages):
        self._tell(actor.Deliver(sender='', messages=messages))

    def _run_timer(self):
        interval = self._options.tick_interval.total_seconds()
        while not self._stopping.wait(interval):
            if not self._tell(actor.Tick()):
                return

    def _publish(self, view):
        with self._changed:
            self._view = view
            self._changed.notify_all()
        self._log_leader(view.status)
        if view.status.leader not in ('', self.name):
            self._follows_leader.set()
        else:
            self._follows_leader.clear()
        term = view.status.term if view.serving else 0
        if term == self._leading_term:
            return
        previous, self._leading_term = self._leading_term, term
        self._leading_since = self._clock.monotonic()
        if previous:
            self._notify(False, previous)
        if term:
            self._notify(True, term)

    def _log_leader(self, current):
        if current.leader == self._logged_leader:
            return
        self._logged_leader = current.leader
        if current.leader:
            _logger.info(
                'leads' if current.leader == self.name else 'follows a leader',
                extra={
                    'leader': current.leader,
                    'term': current.term,
                    'members': [row.address for row in current.members],
                },
            )
        else:
            _logger.info('knows no leader', extra={'term': current.term})

    def _notify(self, leading, term):
        if self._on_leadership is not None:
            self._on_leadership(leading, term)

    def _build_not_leader_error(self):
        known = self._view.status
        peer = known.leader_address if known.leader != self.name else ''
        return errors.NotLeaderError(
            f'{self.name} is not the leader', step='consensus', peer=peer
        )


def _complete_future(future, result):
    try:
        if isinstance(result, Exception):
            future.set_exception(result)
        else:
            future.set_result(result)
    except concurrent.futures.InvalidStateError:
        pass


def _wait_result(future, timeout, *, step):
    try:
        return future.result(timeout.total_seconds())
    except concurrent.futures.TimeoutError as error:
        raise errors.DeadlineError(
            'no result before the timeout', step=step
        ) from error
