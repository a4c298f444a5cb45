"""Snapshot files: metadata and the state's data in checksummed parts."""

import zlib

import msgspec

from bilberryhaven import border
from bilberryhaven.consensus import frame
from bilberryhaven.consensus import message
from bilberryhaven import errors

__all__ = ['SnapshotStore']

PREFIX = 'snapshot-'
KEPT_FILES = 2


class _Header(msgspec.Struct, array_like=True, kw_only=True):
    """First frame of the file."""

    meta: message.SnapshotMeta
    part_bytes: int


class SnapshotStore:
    """Writes snapshots and reads them back.

    Args:
        folder: The ``Folder``.
        part_bytes: Size of the parts in bytes.
    """

    def __init__(self, *, folder, part_bytes):
        self._folder = folder
        self._part_bytes = part_bytes

    def recover(self):
        """Return the (meta, data) pair of the newest file, or None.

        Raises:
            DamagedFileError: The file fails its checksum.
        """
        names = self._list_names()
        if not names:
            return None
        path = self._folder.describe(names[-1])
        content = self._folder.read(names[-1])
        frames = [
            payload for _, payload in frame.scan_frames(content, path=path)
        ]
        meta = self._decode_header(frames, path).meta
        data = b''.join(frames[1:])
        if len(data) != meta.size or zlib.crc32(data) != meta.crc:
            raise _build_damaged_file_error(path, len(content))
        return meta, data

    def save(self, *, index, term, members, data):
        """Write a snapshot, sync it and return its ``SnapshotMeta``."""
        meta = message.SnapshotMeta(
            index=index,
            term=term,
            members=members,
            size=len(data),
            crc=zlib.crc32(data),
        )
        header = _Header(meta=meta, part_bytes=self._part_bytes)
        parts = [frame.build_frame(msgspec.msgpack.encode(header))]
        for start in range(0, len(data), self._part_bytes):
            part = data[start : start + self._part_bytes]
            parts.append(frame.build_frame(part))
        self._folder.replace(_build_name(index), b''.join(parts))
        for name in self._list_names()[:-KEPT_FILES]:
            self._folder.remove(name)
        return meta

    def read_part(self, index, offset):
        """Return the part of a snapshot's data at ``offset``.

        Raises:
            StorageError: The file no longer exists.
            DamagedFileError: The part fails its checksum.
        """
        name = _build_name(index)
        path = self._folder.describe(name)
        head = self._folder.read_part(name, 0, frame.HEADER_BYTES)
        length = int.from_bytes(head[:4], 'little')
        content = self._folder.read_part(name, 0, len(head) + length)
        frames = [part for _, part in frame.scan_frames(content, path=path)]
        header = self._decode_header(frames, path)
        size = header.part_bytes + frame.HEADER_BYTES
        position = len(content) + offset // header.part_bytes * size
        content = self._folder.read_part(name, position, size)
        for _, part in frame.scan_frames(content, path=path):
            return part[offset % header.part_bytes :]
        return b''

    def _decode_header(self, frames, path):
        if not frames:
            raise _build_damaged_file_error(path, 0)
        with border.Guard(
            what=f'header of {path}',
            step='read snapshot',
            kind=errors.DamagedFileError,
            logs=False,
        ):
            return msgspec.msgpack.decode(frames[0], type=_Header)

    def _list_names(self):
        names = self._folder.list_names()
        return [name for name in names if name.startswith(PREFIX)]


def _build_name(index):
    return f'{PREFIX}{index:016d}'


def _build_damaged_file_error(path, offset):
    return errors.DamagedFileError(
        f'{path}: snapshot fails its checksum before offset {offset}',
        step='read snapshot',
    )
