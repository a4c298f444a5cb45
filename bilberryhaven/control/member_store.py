"""Members of the quorum, stored by control instances with a disk.

A voter knows the members from its log. Any other control instance would know
only its seeds after a restart.
"""

import threading

import msgspec

from bilberryhaven import backoff
from bilberryhaven import border
from bilberryhaven import clock as clocks
from bilberryhaven.consensus import files
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['INTERVAL', 'MemberStore']

FILE_NAME = 'members.json'
INTERVAL = clocks.seconds(1)
FIRST_DELAY = clocks.seconds(1)
LONGEST_DELAY = clocks.seconds(5)

_GUARD = border.Guard(what='file of members', step='read members', logs=False)
_logger = log.get_logger('discovery')


class MemberStore:
    """File with the addresses of the members that were confirmed last.

    It is only a list of contacts to ask after a restart, so a missing or
    damaged file is no error.

    Args:
        folder: Path of the data folder, or a ``files.Folder``.
        clock: The ``Clock``.
    """

    def __init__(self, *, folder, clock):
        if not isinstance(folder, files.Folder):
            folder = files.DiskFolder(path=folder)
        self._folder = folder
        self._clock = clock
        self._unsaved = None
        self._lock = threading.Lock()
        self._has_failed = False
        self._backoff = backoff.Backoff(
            first=FIRST_DELAY, longest=LONGEST_DELAY
        )

    def load(self):
        """Return the stored addresses; empty without a valid file."""
        try:
            if FILE_NAME not in self._folder.list_names():
                return []
            data = self._folder.read(FILE_NAME)
            with _GUARD:
                addresses = msgspec.json.decode(data, type=list[str])
                for address in addresses:
                    border.parse_peer(address)
        except errors.BilberryhavenError as error:
            _logger.warning('stored members are not used: {}', error)
            return []
        return addresses

    def save(self, addresses):
        """Store the addresses at the next ``tick``.

        The caller does not wait for the disk.
        """
        with self._lock:
            self._unsaved = addresses

    def tick(self):
        """Store the newest addresses, again after a failure."""
        addresses = self._unsaved
        if addresses is None:
            return
        now = self._clock.monotonic()
        if self._has_failed and not self._backoff.is_due(now):
            return
        try:
            self._folder.replace(FILE_NAME, msgspec.json.encode(addresses))
        except errors.StorageError as error:
            self._has_failed = True
            self._backoff.postpone(now)
            _logger.warning(
                'members were not stored: {}; next attempt in {} s',
                error,
                self._backoff.delay.total_seconds(),
            )
            return
        self._has_failed = False
        self._backoff.reset()
        with self._lock:
            if self._unsaved is addresses:
                self._unsaved = None
