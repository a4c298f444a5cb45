"""In-memory folder that loses unsynced data in a simulated crash."""

import errno

from bilberryhaven.consensus import files
from bilberryhaven.consensus import frame
from bilberryhaven import errors

__all__ = ['MemoryFolder', 'PowerLossError']


class PowerLossError(Exception):
    """The host lost power during an operation."""


class MemoryFolder(files.Folder):
    """Files in memory, for tests.

    Attributes:
        fail_sync: Whether each sync fails.
        capacity: Total size in bytes above which writes fail, or None.
        fuse: Operations until ``PowerLossError`` is raised, or None.
    """

    def __init__(self):
        self._files = {}
        self._synced = {}
        self.fail_sync = False
        self.capacity = None
        self.operations_until_power_loss = None

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
        self.check_sync()
        self._files[name] = bytearray(data)
        self._synced[name] = len(data)

    def open_appender(self, name):
        """Return an ``Appender`` at the end of an existing file."""
        return _MemoryAppender(self, name)

    def remove(self, name):
        """Remove a file if it exists."""
        self._count_operation()
        self._files.pop(name, None)
        self._synced.pop(name, None)

    def lock(self):
        """Do nothing; the folder belongs to this process."""

    def unlock(self):
        """Do nothing."""

    def append(self, name, data):
        """Append bytes without a sync."""
        self._count_operation()
        self.check_space(len(data))
        self._files[name] += data

    def sync(self, name):
        """Make the content of a file durable."""
        self._count_operation()
        self.check_sync()
        self._synced[name] = len(self._files[name])

    def _count_operation(self):
        if self.operations_until_power_loss is None:
            return
        self.operations_until_power_loss -= 1
        if self.operations_until_power_loss <= 0:
            raise PowerLossError

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
        for name, content in self._files.items():
            synced = self._synced[name]
            unsynced = len(content) - synced
            if not unsynced:
                continue
            kept = synced + random.randint(0, unsynced)
            del content[kept:]
            if random.random() < 0.5:
                _zero_sectors(content, synced, kept)

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
