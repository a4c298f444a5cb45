"""Restores a quorum of one from a data folder after a majority was lost."""

from bilberryhaven.consensus import effects
from bilberryhaven.consensus import files
from bilberryhaven.consensus import members
from bilberryhaven.consensus import message
from bilberryhaven.consensus import options as replica_options
from bilberryhaven.consensus import storage
from bilberryhaven import errors

__all__ = ['restore_quorum']


def restore_quorum(*, folder, name, address, options=None):
    """Make ``name`` the only voter of the log in ``folder``.

    All entries in the folder count as committed from then on. Entries that
    only the lost replicas held are lost.

    Args:
        folder: Path of the data folder, or a ``files.Folder``.
        name: Name of the replica that the folder belongs to.
        address: HOST:PORT at which it will be reached.
        options: Timing and sizes.

    Returns:
        Index of the newest entry that the folder held.

    Raises:
        RefusedError: The folder is empty.
        StorageError: It is corrupt, in use or cannot be written.
    """
    if not isinstance(folder, files.Folder):
        folder = files.DiskFolder(path=folder)
    if not folder.list_names():
        raise errors.RefusedError(
            'the data folder is empty', step='restore', peer=name
        )
    opened_storage = storage.Storage(
        folder=folder, options=options or replica_options.Options()
    )
    try:
        return _replace_members(opened_storage, name, address)
    finally:
        opened_storage.close()


def _replace_members(opened_storage, name, address):
    recovery = opened_storage.recover({})
    newest_index = recovery.log.last_index
    sole_member = members.Members(voters={name: address})
    term = recovery.hard_state.term + 1
    entry = message.Entry(
        term, message.EntryKind.MEMBERS, sole_member.encode()
    )
    recovery.log.append([entry])
    recovery.history.push(newest_index + 1, sole_member)
    opened_storage.write(
        hard_state=effects.HardState(term=term, vote=name, joined=True),
        first=newest_index + 1,
        entries=[entry],
        log=recovery.log,
        history=recovery.history,
    )
    return newest_index
