"""In-memory folder that loses unsynced data in a simulated crash."""

import enum
import errno

from bilberryhaven.consensus import files
from bilberryhaven.consensus import frame
from bilberryhaven import errors

__all__ = ['DiskFault', 'MemoryFolder', 'PowerLossError']


class PowerLossError(Exception):
    """The host lost power during an operation."""


class DiskFault(enum.StrEnum):
    """Way in which a disk fails."""

    FULL = 'full'
    SHORT_WRITE = 'short write'
    REFUSES = 'refuses'
    SYNC = 'sync'
    FOLDER_SYNC = 'folder sync'


class MemoryFolder(files.Folder):
    """Files in memory, for tests.

    As in a page cache, bytes whose sync has failed can still be read, but no
    later sync of the file makes them durable.

    Attributes:
        fail_sync: Whether each sync fails.
        fault: The ``DiskFault`` of each write to a file whose name begins
            with ``fault_prefix``, or None.
        fault_prefix: See ``fault``.
        capacity: Total size in bytes above which writes fail, or None.
        operations_until_power_loss: Operations until ``PowerLossError`` is
            raised, or None.
        fault_count: Number of operations that failed.
    """

    def __init__(self):
        self._files = {}
        self._synced = {}
        self._unwritten = set()
        self._renamed = {}
        self.fail_sync = False
        self.fault = None
        self.fault_prefix = ''
        self.capacity = None
        self.operations_until_power_loss = None
        self.fault_count = 0

    def list_names(self):
        """Return the sorted names of complete files."""
        return sorted(self._files)

    def read(self, name):
        """Return the bytes of a file."""
        return bytes(self._files[name])

    def read_part(self, name, offset, size):
        """Return up to ``size`` bytes of a file from ``offset`` on."""
        if name not in self._files:
            raise _build_error('read file', errno.ENOENT)
        return bytes(self._files[name][offset : offset + size])

    def replace(self, name, data):
        """Write a file atomically and sync it."""
        self._count_operation()
        self.check_space(len(data))
        self._check_fault(
            name, DiskFault.FULL, DiskFault.SHORT_WRITE, DiskFault.REFUSES
        )
        self.check_sync()
        self._check_fault(name, DiskFault.SYNC)
        replaced = (self._files.get(name), self._synced.get(name))
        self._renamed.setdefault(name, replaced)
        self._files[name] = bytearray(data)
        self._synced[name] = len(data)
        self._unwritten.discard(name)
        self._check_fault(name, DiskFault.FOLDER_SYNC)
        self._renamed.clear()

    def open_appender(self, name):
        """Return an ``Appender`` at the end of an existing file."""
        return _MemoryAppender(self, name)

    def remove(self, name):
        """Remove a file if it exists."""
        self._count_operation()
        self._check_fault(name, DiskFault.REFUSES)
        if name in self._files:
            removed = (self._files.pop(name), self._synced.pop(name))
            self._renamed.setdefault(name, removed)
            self._unwritten.discard(name)

    def sync_names(self):
        """Make the names of all files durable."""
        self._count_operation()
        self.check_sync()
        self._check_fault('', DiskFault.REFUSES, DiskFault.FOLDER_SYNC)
        self._renamed.clear()

    def lock(self):
        """Do nothing; the folder belongs to this process."""

    def unlock(self):
        """Do nothing."""

    def append(self, name, data):
        """Append bytes without a sync."""
        self._count_operation()
        self.check_space(len(data))
        if self._has_fault(name, DiskFault.SHORT_WRITE):
            self._files[name] += data[: len(data) // 2]
        self._check_fault(
            name, DiskFault.FULL, DiskFault.SHORT_WRITE, DiskFault.REFUSES
        )
        self._files[name] += data

    def sync(self, name):
        """Make the content of a file durable."""
        self._count_operation()
        try:
            self.check_sync()
            self._check_fault(name, DiskFault.SYNC, DiskFault.REFUSES)
        except errors.StorageError:
            self._unwritten.add(name)
            raise
        if name not in self._unwritten:
            self._synced[name] = len(self._files[name])

    def _count_operation(self):
        if self.operations_until_power_loss is None:
            return
        self.operations_until_power_loss -= 1
        if self.operations_until_power_loss <= 0:
            raise PowerLossError

    def _has_fault(self, name, *kinds):
        return self.fault in kinds and name.startswith(self.fault_prefix)

    def _check_fault(self, name, *kinds):
        if not self._has_fault(name, *kinds):
            return
        self.fault_count += 1
        has_no_space = self.fault in (DiskFault.FULL, DiskFault.SHORT_WRITE)
        raise _build_error(
            str(self.fault), errno.ENOSPC if has_no_space else errno.EIO
        )

    def check_sync(self):
        """Raise if syncs are to fail."""
        if self.fail_sync:
            raise _build_error('sync file', errno.EIO)

    def check_space(self, size):
        """Raise if ``size`` more bytes exceed the capacity."""
        used = sum(len(data) for data in self._files.values())
        if self.capacity is not None and used + size > self.capacity:
            raise _build_error('write file', errno.ENOSPC)

    def crash(self, random):
        """Discard unsynced data, except perhaps for a torn part of it."""
        self.operations_until_power_loss = None
        self.fail_sync = False
        self._undo_renames(random)
        self._unwritten.clear()
        for name, content in self._files.items():
            synced = self._synced[name]
            unsynced = len(content) - synced
            if not unsynced:
                continue
            kept = synced + random.randint(0, unsynced)
            del content[kept:]
            if random.random() < 0.5:
                _zero_sectors(content, synced, kept)

    def _undo_renames(self, random):
        for name, (content, synced) in self._renamed.items():
            if random.random() < 0.5:
                continue
            self._files.pop(name, None)
            self._synced.pop(name, None)
            if content is not None:
                self._files[name] = content
                self._synced[name] = synced
        self._renamed.clear()

    def corrupt(self, name, offset):
        """Flip the bits of one byte."""
        self._files[name][offset] ^= 0xFF


def _zero_sectors(content, start, end):
    boundary = start - start % frame.SECTOR_BYTES + frame.SECTOR_BYTES
    boundary = min(boundary, end)
    content[start:boundary] = bytes(boundary - start)


class _MemoryAppender(files.Appender):
    def __init__(self, folder, name):
        self._folder = folder
        self._name = name

    def write(self, data):
        self._folder.append(self._name, data)

    def sync(self):
        self._folder.sync(self._name)

    def close(self):
        pass


def _build_error(step, number):
    return errors.StorageError(f'errno {number}', step=step)
