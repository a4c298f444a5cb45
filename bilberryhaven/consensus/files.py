"""Folders of files whose writes are durable only after a sync."""

import abc
import contextlib
import errno
import fcntl
import os
import pathlib

from bilberryhaven import errors

__all__ = ['Appender', 'DiskFolder', 'Folder']

TEMP_SUFFIX = '.tmp'
LOCK_NAME = 'lock'


class Appender(abc.ABC):
    """A file open for appending."""

    @abc.abstractmethod
    def write(self, data):
        """Append ``data``; it is durable only after ``sync``."""

    @abc.abstractmethod
    def sync(self):
        """Return once all written data is durable."""

    @abc.abstractmethod
    def close(self):
        """Close the file without a sync."""


class Folder(abc.ABC):
    """A folder without subfolders; its methods raise ``StorageError``."""

    @abc.abstractmethod
    def list_names(self):
        """Return the sorted names of complete files."""

    @abc.abstractmethod
    def read(self, name):
        """Return the bytes of a file."""

    @abc.abstractmethod
    def read_part(self, name, offset, size):
        """Return up to ``size`` bytes of a file from ``offset`` on."""

    @abc.abstractmethod
    def replace(self, name, data):
        """Write a file atomically and sync it."""

    @abc.abstractmethod
    def open_appender(self, name):
        """Return an ``Appender`` at the end of an existing file."""

    @abc.abstractmethod
    def remove(self, name):
        """Remove a file if it exists; durable only after ``sync_names``."""

    @abc.abstractmethod
    def sync_names(self):
        """Return once all created, renamed and removed names are durable."""

    def describe(self, name):
        """Return the location of a file, for messages."""
        return name

    @abc.abstractmethod
    def lock(self):
        """Lock the folder against use by other processes.

        Does nothing if it is locked already.
        """

    @abc.abstractmethod
    def unlock(self):
        """Release the lock."""


class DiskFolder(Folder):
    """A folder on disk, created by ``lock`` if missing.

    Args:
        path: Its path.
    """

    def __init__(self, *, path):
        self._path = pathlib.Path(path)
        self._lock_file = None

    def list_names(self):
        """Return the sorted names of complete files."""
        return [
            name
            for name in self._list_all()
            if name != LOCK_NAME and not name.endswith(TEMP_SUFFIX)
        ]

    def _list_all(self):
        with _translate('list folder', self._path):
            try:
                return sorted(os.listdir(self._path))
            except FileNotFoundError:
                return []

    def read(self, name):
        """Return the bytes of a file."""
        with _translate('read file', self._path / name):
            return (self._path / name).read_bytes()

    def read_part(self, name, offset, size):
        """Return up to ``size`` bytes of a file from ``offset`` on."""
        path = self._path / name
        with _translate('read file', path), open(path, 'rb') as file:
            file.seek(offset)
            return file.read(size)

    def replace(self, name, data):
        """Write a temporary file, sync and rename it, and sync the folder."""
        path = self._path / name
        temp = self._path / (name + TEMP_SUFFIX)
        with _translate('write file', path):
            try:
                with open(temp, 'wb') as file:
                    file.write(data)
                    file.flush()
                    os.fsync(file.fileno())
                os.replace(temp, path)
                self.sync_names()
            except (OSError, errors.StorageError):
                temp.unlink(missing_ok=True)
                raise

    def open_appender(self, name):
        """Return an ``Appender`` at the end of an existing file."""
        return _DiskAppender(self._path / name)

    def remove(self, name):
        """Remove a file if it exists."""
        with _translate('remove file', self._path / name):
            (self._path / name).unlink(missing_ok=True)

    def describe(self, name):
        """Return the file's path."""
        return str(self._path / name)

    def lock(self):
        """Lock the folder against use by other processes.

        Creates a missing folder. Removes the temporary files of interrupted
        writes: no other process writes any more, and this one doesn't yet.

        Raises:
            FolderInUseError: Another process holds the lock.
            StorageError: The folder cannot be created or written.
        """
        if self._lock_file is not None:
            return
        path = self._path / LOCK_NAME
        with _translate('lock folder', path):
            self._path.mkdir(parents=True, exist_ok=True)
            lock_file = open(path, 'ab')  # noqa: SIM115
            try:
                fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError as error:
                lock_file.close()
                raise errors.FolderInUseError(
                    f'{path}: another process holds the lock',
                    step='lock folder',
                ) from error
            except OSError:
                lock_file.close()
                raise
            self._lock_file = lock_file
        try:
            for name in self._list_all():
                if name.endswith(TEMP_SUFFIX):
                    self.remove(name)
        except errors.StorageError:
            self.unlock()
            raise

    def unlock(self):
        """Release the lock."""
        if self._lock_file is not None:
            self._lock_file.close()
            self._lock_file = None

    def sync_names(self):
        """Return once all created, renamed and removed names are durable."""
        with _translate('sync folder', self._path):
            handle = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)


class _DiskAppender(Appender):
    def __init__(self, path):
        self._path = path
        with _translate('open file', path):
            self._file = open(path, 'ab', buffering=0)  # noqa: SIM115

    def write(self, data):
        with _translate('write file', self._path):
            view = memoryview(data)
            while view:
                count = self._file.write(view)
                if not count:
                    raise OSError(errno.EIO, 'the file takes no bytes')
                view = view[count:]

    def sync(self):
        with _translate('sync file', self._path):
            os.fdatasync(self._file.fileno())

    def close(self):
        with _translate('close file', self._path):
            self._file.close()


@contextlib.contextmanager
def _translate(step, path):
    try:
        yield
    except OSError as error:
        raise errors.StorageError(
            f'{path}: {error.strerror or error}', step=step
        ) from error
