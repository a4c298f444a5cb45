"""Log segments: append-only files of frames, each frame synced as a unit."""

import dataclasses

import msgspec

from bilberryhaven import border
from bilberryhaven.consensus import effects
from bilberryhaven.consensus import frame
from bilberryhaven.consensus import log as entry_log
from bilberryhaven.consensus import members as replica_members
from bilberryhaven.consensus import message
from bilberryhaven import errors
from bilberryhaven import log as logs

__all__ = ['RecoveredLog', 'SegmentStore']

PREFIX = 'log-'

_logger = logs.get_logger('consensus')


class _Begin(msgspec.Struct, array_like=True, kw_only=True, tag=1):
    """First frame of a segment: the state before its first entry."""

    sequence: int
    term: int
    vote: str
    index: int
    index_term: int
    members: replica_members.Members
    reset: bool = False
    joined: bool = False


class _Batch(msgspec.Struct, array_like=True, kw_only=True, tag=2):
    """Term and vote, and entries from ``first`` on."""

    term: int
    vote: str
    first: int = 0
    entries: list[message.Entry] = []
    joined: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Begin | _Batch)


@dataclasses.dataclass(kw_only=True, slots=True)
class RecoveredLog:
    """State recovered from the segments.

    Attributes:
        hard_state: Newest term and vote.
        log: The ``EntryLog``.
        members: Members as of the log's base index.
    """

    hard_state: effects.HardState
    log: entry_log.EntryLog
    members: replica_members.Members


@dataclasses.dataclass(kw_only=True, slots=True)
class _Segment:
    """A segment's number and the index before its first entry."""

    sequence: int
    index: int

    @property
    def name(self):
        return f'{PREFIX}{self.sequence:016d}'


class SegmentStore:
    """Writes entries to segments and reads them back.

    Args:
        folder: The ``Folder``.
        segment_bytes: Size at which a new segment is started.
    """

    def __init__(self, *, folder, segment_bytes):
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments = []
        self._appender = None
        self._size = 0
        self._hard_state = effects.HardState()

    def recover(self):
        """Return the ``RecoveredLog``, or None if there are no segments.

        Raises:
            DamagedFileError: A frame is corrupt or missing.
        """
        names = self._folder.list_names()
        names = [name for name in names if name.startswith(PREFIX)]
        recovered = None
        for name in names:
            last = name == names[-1]
            recovered = self._read_segment(name, recovered, last)
        if recovered is not None:
            self._hard_state = recovered.hard_state
        return recovered

    def _read_segment(self, name, recovered, last):
        path = self._folder.describe(name)
        data = self._folder.read(name)
        end = 0
        for offset, payload in frame.scan_frames(
            data, path=path, may_be_torn=last
        ):
            recovered = self._replay(payload, recovered, path, offset)
            end = offset + frame.HEADER_BYTES + len(payload)
        if end == 0:
            raise _build_damaged_file_error(path, 0, 'the segment is empty')
        if end < len(data):
            _logger.warning(
                '{}: removed {} bytes of a torn write at offset {}',
                path,
                len(data) - end,
                end,
            )
        if last:
            self._reopen(name, data[:end])
        return recovered

    def _reopen(self, name, data):
        # Rewrites the data that was read, since after a failed sync or a
        # killed process it may exist in the page cache only.
        self._folder.replace(name, data)
        self._appender = self._folder.open_appender(name)
        self._size = len(data)

    def _replay(self, payload, recovered, path, offset):
        with border.Guard(
            what=f'record at offset {offset} of {path}',
            step='read file',
            kind=errors.DamagedFileError,
            logs=False,
        ):
            record = _decoder.decode(payload)
        if isinstance(record, _Begin):
            return self._replay_begin(record, recovered, path, offset)
        log = recovered.log if recovered else None
        if log is None or record.first > log.last_index + 1:
            raise _build_damaged_file_error(
                path, offset, 'entries are missing'
            )
        if record.entries:
            if record.first <= log.base_index:
                raise _build_damaged_file_error(
                    path, offset, 'entries are out of order'
                )
            log.truncate(record.first)
            log.append(record.entries)
        recovered.hard_state = effects.HardState(
            term=record.term, vote=record.vote, joined=record.joined
        )
        return recovered

    def _replay_begin(self, record, recovered, path, offset):
        if recovered is not None:
            in_sequence = self._segments[-1].sequence + 1 == record.sequence
            term = recovered.log.find_term(record.index)
            contiguous = (
                recovered.log.last_index == record.index
                and term == record.index_term
            )
            if not in_sequence or not (contiguous or record.reset):
                raise _build_damaged_file_error(
                    path, offset, 'a segment is missing'
                )
        self._segments.append(
            _Segment(sequence=record.sequence, index=record.index)
        )
        if recovered is not None and not record.reset:
            return recovered
        return RecoveredLog(
            hard_state=effects.HardState(
                term=record.term, vote=record.vote, joined=record.joined
            ),
            log=entry_log.EntryLog(
                base_index=record.index, base_term=record.index_term
            ),
            members=record.members,
        )

    def begin(self, *, index, index_term, members, reset=False):
        """Start a new segment after entry ``index``.

        Args:
            index: Index of the entry before the segment's first.
            index_term: That entry's term.
            members: Members as of that entry.
            reset: Whether the log restarts here after a snapshot.
        """
        sequence = self._segments[-1].sequence + 1 if self._segments else 1
        segment = _Segment(sequence=sequence, index=index)
        record = _Begin(
            sequence=sequence,
            term=self._hard_state.term,
            vote=self._hard_state.vote,
            index=index,
            index_term=index_term,
            members=members,
            reset=reset,
            joined=self._hard_state.joined,
        )
        data = frame.build_frame(_encoder.encode(record))
        self._folder.replace(segment.name, data)
        if self._appender is not None:
            self._appender.close()
        self._appender = self._folder.open_appender(segment.name)
        self._segments.append(segment)
        self._size = len(data)

    def set_hard_state(self, hard_state):
        """Set the ``HardState`` to write with the next frame."""
        self._hard_state = hard_state

    def is_full(self):
        """Return whether a new segment is due."""
        return self._size >= self._segment_bytes

    def write(self, *, hard_state, first=0, entries=()):
        """Append one frame; it is durable only after ``sync``.

        Args:
            hard_state: ``HardState`` to write, or None if unchanged.
            first: Index of the first entry; the entries replace all stored
                ones from there on.
            entries: The entries.
        """
        if hard_state is not None:
            self.set_hard_state(hard_state)
        record = _Batch(
            term=self._hard_state.term,
            vote=self._hard_state.vote,
            first=first,
            entries=list(entries),
            joined=self._hard_state.joined,
        )
        data = frame.build_frame(_encoder.encode(record))
        self._appender.write(data)
        self._size += len(data)

    def sync(self):
        """Return once all written frames are durable."""
        self._appender.sync()

    def compact(self, index):
        """Remove segments that hold only entries up to ``index``."""
        while len(self._segments) > 1 and self._segments[1].index <= index:
            self._remove_oldest()

    def remove_old(self):
        """Remove all segments but the newest."""
        while len(self._segments) > 1:
            self._remove_oldest()

    def _remove_oldest(self):
        # Each removal is durable before the next: if only a later one were,
        # a segment would be missing after a power loss.
        self._folder.remove(self._segments[0].name)
        self._folder.sync_names()
        del self._segments[0]

    def close(self):
        """Close the newest segment."""
        appender, self._appender = self._appender, None
        if appender is not None:
            appender.close()


def _build_damaged_file_error(path, offset, reason):
    return errors.DamagedFileError(
        f'{path}: {reason} at offset {offset}', step='read file'
    )
