"""Members of the quorum, stored by control instances with a disk.

A voter knows the members from its log. Any other control instance would know
only its seeds after a restart.
"""

import msgspec

from bilberryhaven import border
from bilberryhaven.consensus import files
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['MemberStore']

FILE_NAME = 'members.json'

_GUARD = border.Guard(what='file of members', step='read members', logs=False)
_logger = log.get_logger('discovery')


class MemberStore:
    """File with the addresses of the members that were confirmed last.

    It is only a list of contacts to ask after a restart, so a missing or
    damaged file is no error.

    Args:
        folder: Path of the data folder, or a ``files.Folder``.
    """

    def __init__(self, *, folder):
        if not isinstance(folder, files.Folder):
            folder = files.DiskFolder(path=folder)
        self._folder = folder

    def load(self):
        """Return the stored addresses; empty without a valid file."""
        if FILE_NAME not in self._folder.list_names():
            return []
        try:
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
        """Store the addresses; a failure is logged only."""
        try:
            self._folder.replace(FILE_NAME, msgspec.json.encode(addresses))
        except errors.StorageError as error:
            _logger.warning('members were not stored: {}', error)
