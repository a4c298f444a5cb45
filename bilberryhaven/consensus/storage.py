"""Storage of a replica: log segments and snapshots in one folder."""

import contextlib
import dataclasses

from bilberryhaven.consensus import effects
from bilberryhaven.consensus import log as entry_log
from bilberryhaven.consensus import members as replica_members
from bilberryhaven.consensus import message
from bilberryhaven.consensus import segment
from bilberryhaven.consensus import snapshot
from bilberryhaven import errors
from bilberryhaven import log as logs

__all__ = ['Recovery', 'Storage']

_logger = logs.get_logger('consensus')


@dataclasses.dataclass(kw_only=True, slots=True)
class Recovery:
    """State from which a replica starts.

    Attributes:
        hard_state: The ``HardState``.
        log: The ``EntryLog``.
        history: The ``MemberHistory``.
        meta: Metadata of the newest snapshot, or None.
        data: The snapshot's data.
    """

    hard_state: effects.HardState = effects.HardState()
    log: entry_log.EntryLog = dataclasses.field(
        default_factory=entry_log.EntryLog
    )
    history: replica_members.MemberHistory = dataclasses.field(
        default_factory=lambda: replica_members.MemberHistory(
            index=0, members=replica_members.Members()
        )
    )
    meta: message.SnapshotMeta | None = None
    data: bytes = b''


class Storage:
    """All files of one replica.

    After a failed write or sync nothing more is written until ``recover``
    has read the files again, since a later sync that succeeds does not prove
    that the bytes of the failed one are durable.

    Args:
        folder: The ``Folder``.
        options: Timing and sizes.
    """

    def __init__(self, *, folder, options):
        self._folder = folder
        self._options = options
        self._segments = self._build_segments()
        self._snapshots = snapshot.SnapshotStore(
            folder=folder, part_bytes=options.chunk_bytes
        )
        self._confirmed = effects.HardState()
        self._fault = None

    def _build_segments(self):
        return segment.SegmentStore(
            folder=self._folder, segment_bytes=self._options.segment_bytes
        )

    def recover(self, voters, *, applied=0):
        """Return the ``Recovery``; an empty folder starts with ``voters``.

        May be called again after an error, also of a write. The newest
        segment, whose bytes may be in the page cache only, is written again
        and synced.

        Args:
            voters: Addresses of the initial voters by name.
            applied: Index of an entry known to be in the folder.

        Raises:
            DamagedFileError: A file is corrupt or missing, or lacks what a
                sync has confirmed. The folder is no longer in use.
            FolderInUseError: Another process uses the folder.
            StorageError: A file cannot be read or written.
        """
        self._folder.lock()
        self._close_segments()
        self._segments = self._build_segments()
        try:
            recovery = self._recover(voters)
            self._check_confirmed(recovery, applied)
        except errors.DamagedFileError:
            self.close()
            raise
        self._confirmed = recovery.hard_state
        self._fault = None
        return recovery

    def _check_confirmed(self, recovery, applied):
        known, found = self._confirmed, recovery.hard_state
        has_vote = found.term > known.term or known.vote in ('', found.vote)
        if (
            recovery.log.last_index >= applied
            and found.term >= known.term
            and has_vote
        ):
            return
        raise errors.DamagedFileError(
            f'{self._folder.describe("")}: entries up to {applied} and '
            f'term {known.term} were stored, but only entries up to '
            f'{recovery.log.last_index} and term {found.term} were found',
            step='recover',
        )

    def _recover(self, voters):
        saved = self._snapshots.recover()
        found = self._segments.recover()
        if found is None:
            if saved is not None:
                self._raise_missing_files(saved[0].index)
            return self._create(replica_members.Members(voters=voters))
        recovery = Recovery(
            hard_state=found.hard_state,
            log=found.log,
            history=_build_history(found.log, found.members),
        )
        if saved is not None:
            recovery.meta, recovery.data = saved
            self._restart_after_snapshot(recovery)
        elif found.log.base_index:
            self._raise_missing_files(found.log.base_index)
        return recovery

    def _create(self, members):
        self._segments.begin(index=0, index_term=0, members=members)
        return Recovery(
            history=replica_members.MemberHistory(index=0, members=members)
        )

    def _raise_missing_files(self, index):
        raise errors.DamagedFileError(
            f'{self._folder.describe("")}: the files before or after entry '
            f'{index} are missing',
            step='recover',
        )

    def _restart_after_snapshot(self, recovery):
        meta, log = recovery.meta, recovery.log
        if log.base_index > meta.index:
            self._raise_missing_files(log.base_index)
        if log.find_term(meta.index) != meta.term:
            # A crash occurred after a received snapshot was stored and
            # before the log was restarted.
            self._restart_log(meta)
            log.reset(meta.index, meta.term)
            recovery.history.reset(meta.index, meta.members)

    def _restart_log(self, meta):
        self._segments.begin(
            index=meta.index,
            index_term=meta.term,
            members=meta.members,
            reset=True,
        )
        self._segments.remove_old()

    def write(self, *, hard_state, first, entries, log, history):
        """Write and sync the hard state and entries as one batch.

        Args:
            hard_state: The ``HardState``, or None if unchanged.
            first: Index of the first entry.
            entries: Entries that replace all from ``first`` on.
            log: The ``EntryLog``, which already contains the entries.
            history: The ``MemberHistory`` of that log.

        Raises:
            StorageError: This or an earlier write or sync failed.
        """
        with self._refuse_after_error():
            self._segments.write(
                hard_state=hard_state, first=first, entries=entries
            )
            self._segments.sync()
            if self._segments.is_full():
                self._segments.begin(
                    index=log.last_index,
                    index_term=log.last_term,
                    members=history.find_at(log.last_index),
                )
            if hard_state is not None:
                self._confirmed = hard_state

    def install(self, received, hard_state):
        """Store a received snapshot and restart the log after it."""
        with self._refuse_after_error():
            meta = received.meta
            if hard_state is not None:
                self._segments.set_hard_state(hard_state)
            self._snapshots.save(
                index=meta.index,
                term=meta.term,
                members=meta.members,
                data=received.data,
            )
            self._restart_log(meta)
            if hard_state is not None:
                self._confirmed = hard_state

    def save_snapshot(self, *, index, term, members, data):
        """Store a snapshot and return its ``SnapshotMeta``.

        It may run on a different thread than the other methods.
        """
        return self._snapshots.save(
            index=index, term=term, members=members, data=data
        )

    def read_part(self, index, offset):
        """Return the part of a snapshot's data at ``offset``."""
        return self._snapshots.read_part(index, offset)

    def compact(self, index):
        """Remove segments that hold only entries up to ``index``."""
        with self._refuse_after_error():
            self._segments.compact(index)

    def close(self):
        """Close all files."""
        self._close_segments()
        self._folder.unlock()

    def _close_segments(self):
        try:
            self._segments.close()
        except errors.StorageError as error:
            _logger.warning('cannot close the log: {}', error)

    @contextlib.contextmanager
    def _refuse_after_error(self):
        if self._fault is not None:
            raise self._fault
        try:
            yield
        except errors.StorageError as error:
            self._fault = error
            raise


def _build_history(log, members):
    history = replica_members.MemberHistory(
        index=log.base_index, members=members
    )
    for offset, entry in enumerate(log.list_from(log.base_index + 1)):
        if entry.kind == message.EntryKind.MEMBERS:
            changed = replica_members.Members.decode(entry.data)
            history.push(log.base_index + 1 + offset, changed)
    return history
