"""Executes the core's effects: writes, syncs, sends and applies."""

import contextlib

from bilberryhaven import backoff
from bilberryhaven import border
from bilberryhaven.consensus import core as consensus_core
from bilberryhaven.consensus import effects
from bilberryhaven.consensus import message
from bilberryhaven.consensus import pending
from bilberryhaven.consensus import status
from bilberryhaven.consensus import storage
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['Driver']

_SNAPSHOT_GUARD = border.Guard(
    what='snapshot',
    step='load snapshot',
    kind=errors.DamagedFileError,
    logs=False,
)
_PERMANENT_FAULTS = (errors.DamagedFileError, errors.FolderInUseError)
_logger = log.get_logger('consensus')


class Driver:
    """Single-threaded replica; the caller supplies time and messages.

    Args:
        name: The replica's name.
        storage: Its ``Storage``.
        machine: Its ``StateMachine``.
        options: Timing and sizes.
        random: Source of randomness for election timeouts.
        send: Callback that receives (name, bytes) and sends the message.
        save: Callback that receives a function without arguments, runs it,
            perhaps on another thread, and passes its result to
            ``record_snapshot``.
        publish: Callback that runs after each change, before messages that
            announce the change are sent.
        lock: Context manager held while the state machine is used.

    Attributes:
        core: The ``Core``, once started.
        applied: Index of the newest applied entry.
        fault: Error that ended its participation in the quorum, or None.
            After a ``StorageError`` it takes part again once its folder
            could be recovered.
    """

    def __init__(
        self,
        *,
        name,
        storage,
        machine,
        options,
        random,
        send,
        save=None,
        publish=None,
        lock=None,
    ):
        self.name = name
        self.core = None
        self.applied = 0
        self.fault = None
        self._storage = storage
        self._machine = machine
        self._options = options
        self._voters = {}
        self._storage_faults = 0
        self._recovery_attempts = 0
        self._backoff = backoff.Backoff(
            first=options.recovery_delay,
            longest=options.max_recovery_delay,
        )
        self._random = random
        self._send = send
        self._save = save or self._save_now
        self._publish = publish or _do_nothing
        self._lock = lock or contextlib.nullcontext()
        self._addresses = {}
        # The last term in which it was elected, and whether it had joined,
        # as logged.
        self._elected_term = 0
        self._logged_joined = False
        self._pending = pending.PendingTable()
        self._saving = False
        self._next_snapshot_index = options.snapshot_entries

    def start(self, voters, now):
        """Recover from storage and start the core.

        If the folder cannot be read or written, this is attempted again
        until it succeeds.

        Args:
            voters: Addresses of the initial voters by name, used if the
                folder is empty.
            now: Current monotonic time as a timedelta.

        Raises:
            DamagedFileError: A file is corrupt or missing.
            FolderInUseError: Another process uses the folder.
        """
        self._voters = voters
        try:
            self._recover(now)
        except _PERMANENT_FAULTS:
            raise
        except errors.StorageError as error:
            self.core = self._build_core(storage.Recovery())
            self.fail(error)

    def _recover(self, now):
        recovery = self._storage.recover(self._voters, applied=self.applied)
        meta = recovery.meta
        if meta is not None and meta.index > self.applied:
            self._load_snapshot(meta, recovery.data)
        self.core = self._build_core(recovery)
        self._log_recovery(recovery)
        self.core.start(now)

    def _log_recovery(self, recovery):
        entries = recovery.log
        state = recovery.hard_state
        self._logged_joined = state.joined
        is_empty = not (state.term or entries.last_index)
        log.log_decision(
            _logger,
            'recover log',
            reason='the folder was empty'
            if is_empty
            else 'found in the folder',
            replica=self.name,
            term=state.term,
            vote=state.vote,
            joined=state.joined,
            base_index=entries.base_index,
            last_index=entries.last_index,
            last_term=entries.last_term,
            snapshot_index=recovery.meta.index if recovery.meta else 0,
            members=self.core.members.list_names(),
        )

    def _build_core(self, recovery):
        return consensus_core.Core(
            name=self.name,
            options=self._options,
            random=self._random,
            hard_state=recovery.hard_state,
            log=recovery.log,
            history=recovery.history,
            snapshots=() if recovery.meta is None else (recovery.meta,),
        )

    def step(self, msg, now):
        """Process a message; must be followed by ``flush``."""
        if self.fault is None:
            self._run_or_fail(self.core.step, msg, now)

    def tick(self, now):
        """Run the timers that are due; must be followed by ``flush``."""
        if self.fault is None:
            self._run_or_fail(self.core.tick, now)
        elif self._may_recover() and self._backoff.is_due(now):
            self._attempt_recovery(now)

    def _may_recover(self):
        return isinstance(self.fault, errors.StorageError) and not isinstance(
            self.fault, _PERMANENT_FAULTS
        )

    def _attempt_recovery(self, now):
        self._recovery_attempts += 1
        # Until a write succeeds, the delay grows from fault to fault.
        self._backoff.postpone(now)
        try:
            self._recover(now)
        except _PERMANENT_FAULTS as error:
            self._log_permanent_fault(error)
            self.fault = error
        except errors.StorageError as error:
            _logger.warning(
                'replica {} cannot recover from its folder: {}; next attempt '
                'in {} s',
                self.name,
                error,
                self._backoff.delay.total_seconds(),
            )
        else:
            self.fault = None
            _logger.warning(
                'replica {} takes part again: recovered term {} and entries '
                'up to {} after {} attempts',
                self.name,
                self.core.term,
                self.core.log.last_index,
                self._recovery_attempts,
            )

    def propose(self, items, now):
        """Append a batch of proposals; must be followed by ``flush``.

        Args:
            items: (data, callback) pairs; ``callback`` receives the result
                or an error.
            now: Current monotonic time as a timedelta.
        """
        items = [item for item in items if self._check_size(*item)]
        if not items:
            return
        try:
            self._check_pending(len(items))
            first = self.core.propose([data for data, _ in items], now)
        except errors.BilberryhavenError as error:
            for _, callback in items:
                callback(error)
            return
        for offset, (_, callback) in enumerate(items):
            self._pending.add(first + offset, self.core.term, callback)

    def change_members(self, now, callback, *, add=None, remove=None):
        """Append a membership change; must be followed by ``flush``."""
        try:
            self._check_pending(1)
            index = self.core.change_members(now, add=add, remove=remove)
        except errors.BilberryhavenError as error:
            callback(error)
            return
        self._pending.add(index, self.core.term, callback)

    def _check_size(self, data, callback):
        limit = self._options.max_entry_bytes
        if len(data) <= limit:
            return True
        error = errors.BadInputError(
            f'entry of {len(data)} bytes exceeds the limit of {limit} bytes',
            step='propose',
        )
        callback(error)
        return False

    def _check_pending(self, count):
        if self.fault is not None:
            raise errors.NotLeaderError(
                f'{self.name} has failed: {self.fault}', step='propose'
            )
        if len(self._pending) + count > self._options.max_pending:
            raise errors.OverloadError(
                'too many proposals are waiting to be committed',
                step='propose',
                peer=self.name,
            )

    def flush(self, now):
        """Write, sync, send and apply until no effects remain."""
        while self.fault is None:
            queued = self.core.take_effects()
            if queued.is_empty() and self.applied >= self.core.commit:
                break
            self._run_or_fail(self._execute, queued, now)
        if self.fault is None:
            self._log_changes()
        self._fail_lost()
        self._publish()

    def _log_changes(self):
        """Log an election that it has won, and that it has joined."""
        core = self.core
        if core.is_leader and core.term != self._elected_term:
            self._elected_term = core.term
            log.log_decision(
                _logger,
                'win election',
                reason='voters, with whether each has joined',
                replica=self.name,
                term=core.term,
                votes=dict(core.votes),
                last_index=core.log.last_index,
                commit=core.commit,
            )
        if core.joined and not self._logged_joined:
            self._logged_joined = True
            log.log_decision(
                _logger,
                'join quorum',
                reason='it holds all committed entries; its vote counts',
                replica=self.name,
                term=core.term,
                leader=core.leader,
                last_index=core.log.last_index,
            )

    def _execute(self, queued, now):
        self._publish()
        to_self = []
        after_sync = []
        for to, msg in queued.messages:
            if to == self.name:
                to_self.append(msg)
            elif effects.needs_sync(msg):
                after_sync.append((to, msg))
            else:
                self._send_message(to, msg)
        if queued.needs_write():
            self._write(queued)
        for to, msg in after_sync:
            self._send_message(to, msg)
        for msg in to_self:
            self.core.step(msg, now)
        if self.applied < self.core.commit:
            with self._lock:
                self._apply()
        if self.applied >= self._next_snapshot_index and not self._saving:
            self._take_snapshot()

    def _load_snapshot(self, meta, data):
        with _SNAPSHOT_GUARD, self._lock:
            self._machine.load(data)
        self.applied = meta.index
        self._schedule_snapshot()

    def _write(self, queued):
        core = self.core
        hard_state = queued.hard_state
        if queued.install is not None:
            meta = queued.install.meta
            log.log_decision(
                _logger,
                'install snapshot',
                reason="received from the leader, in place of the log's start",
                replica=self.name,
                applied=self.applied,
                index=meta.index,
                term=meta.term,
                leader=core.leader,
            )
            self._storage.install(queued.install, hard_state)
            hard_state = None
            self._load_snapshot(queued.install.meta, queued.install.data)
        first = queued.append_from
        if hard_state is None and first is None:
            return
        self._storage.write(
            hard_state=hard_state,
            first=first or 0,
            entries=core.log.list_from(first) if first else (),
            log=core.log,
            history=core.history,
        )
        self._backoff.reset()

    def _send_message(self, to, msg):
        if isinstance(msg, message.SnapshotRequest):
            msg = self._read_snapshot_part(msg)
        if msg is not None:
            self.find_address(to)
            self._send(to, message.encode(msg))

    def find_address(self, name):
        """Return the address of a member, or of a recently removed one."""
        address = self.core.members.find_address(name)
        if address:
            self._addresses[name] = address
        return self._addresses.get(name, '')

    def _read_snapshot_part(self, msg):
        try:
            data = self._storage.read_part(msg.meta.index, msg.offset)
        except errors.StorageError as error:
            _logger.warning('cannot read snapshot part to send: {}', error)
            return None
        return message.SnapshotRequest(
            sender=msg.sender,
            term=msg.term,
            round=msg.round,
            meta=msg.meta,
            offset=msg.offset,
            data=data,
        )

    def _apply(self):
        core = self.core
        while self.applied < core.commit:
            index = self.applied + 1
            entry = core.log.get(index)
            result = None
            if entry.kind == message.EntryKind.DATA:
                result = self._apply_data(index, entry.data)
            self.applied = index
            self._pending.complete(index, entry.term, result)

    def _apply_data(self, index, data):
        try:
            return self._machine.apply(index, data)
        except Exception as error:  # noqa: BLE001
            _logger.exception('cannot apply entry {}', index)
            return errors.InternalError(repr(error), step='apply')

    def _fail_lost(self):
        core = self.core
        leading = self.fault is None and core.is_leader
        peer = core.members.find_address(core.leader)
        self._pending.fail_lost(core.term if leading else None, peer)

    def _schedule_snapshot(self):
        self._next_snapshot_index = (
            self.applied + self._options.snapshot_entries
        )

    def _take_snapshot(self):
        self._schedule_snapshot()
        self._saving = True
        index = self.applied
        term = self.core.log.find_term(index)
        members = self.core.history.find_at(index)
        with self._lock:
            data = self._machine.dump()

        def save():
            return self._storage.save_snapshot(
                index=index, term=term, members=members, data=data
            )

        self._save(save)

    def _save_now(self, save):
        try:
            self.record_snapshot(save())
        except errors.StorageError as error:
            self.record_snapshot(error)

    def record_snapshot(self, result):
        """Record the result of a save: a ``SnapshotMeta`` or an error.

        A failure to store a snapshot is logged, and the snapshot is retried
        later as a new file; until then the log is retained.
        """
        self._saving = False
        if isinstance(result, errors.BilberryhavenError):
            _logger.error('cannot store snapshot: {}', result)
            return
        if self.fault is not None:
            return
        self.core.record_snapshot(result)
        self._run_or_fail(self._storage.compact, self.core.log.base_index)

    def _run_or_fail(self, function, *args):
        try:
            function(*args)
        except (errors.StorageError, errors.InternalError) as error:
            self.fail(error)

    def build_status(self):
        """Return the ``ReplicaStatus``."""
        core = self.core
        members = [
            self._build_member_status(name)
            for name in core.members.list_names()
        ]
        return status.ReplicaStatus(
            name=self.name,
            role=core.role,
            term=core.term,
            leader=core.leader,
            leader_address=core.members.find_address(core.leader),
            commit=core.commit,
            applied=self.applied,
            members=tuple(members),
            last_index=core.log.last_index,
            snapshot_index=core.snapshot.index if core.snapshot else 0,
            fault='' if self.fault is None else str(self.fault),
            storage_faults=self._storage_faults,
            recovery_attempts=self._recovery_attempts,
        )

    def _build_member_status(self, name):
        core = self.core
        peer = core.peers.get(name)
        return status.MemberStatus(
            name=name,
            address=core.members.find_address(name),
            voter=name in core.members.voters,
            match=peer.match if peer else 0,
            answered_at=peer.answered_at if peer else None,
        )

    def fail(self, error):
        """Stop participating in the quorum after a fault.

        A leader hands over. After a failed write or sync the replica takes
        part again once ``tick`` could recover it from its folder, after any
        other fault once it is restarted.
        """
        self.fault = error
        if self._may_recover():
            self._storage_faults += 1
            _logger.error(
                'replica {} takes no part until its folder can be written: '
                '{}; next attempt in {} s',
                self.name,
                error,
                self._backoff.delay.total_seconds(),
            )
        else:
            self._log_permanent_fault(error)
        messages = self.core.fail()
        self._fail_lost()
        self._publish()
        for to, msg in messages:
            self._send_message(to, msg)

    def _log_permanent_fault(self, error):
        _logger.critical('replica {} has failed: {}', self.name, error)

    def close(self):
        """Fail pending proposals and close the files."""
        if self.fault is None:
            self.fault = errors.DrainingError('stopped', step='stop')
            self.core.role = status.Role.STOPPED
        self._fail_lost()
        self._storage.close()


def _do_nothing():
    pass
