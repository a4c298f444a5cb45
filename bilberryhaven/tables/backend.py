"""Backend servers that run tasks of workflows, a row per incarnation."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = [
    'Backend',
    'BackendTable',
    'build_backend_key',
    'get_born_ms',
]


def build_backend_key(server_id, born_ms):
    """Return the key of one incarnation of a backend server.

    A restarted server may keep its id; its start time distinguishes its
    incarnations.

    Args:
        server_id: Id of the server.
        born_ms: Start time of the incarnation, Unix time in milliseconds.
    """
    return f'{server_id}@{born_ms}'


def get_born_ms(key):
    """Return when an incarnation started, Unix time in milliseconds.

    Args:
        key: Its key, as ``build_backend_key`` returns it.
    """
    return int(key.rpartition('@')[2])


@dataclasses.dataclass(kw_only=True, slots=True)
class Backend:
    """One incarnation of a backend server.

    Attributes:
        key: Its key, as ``build_backend_key`` returns it.
        id: Its id; an earlier incarnation may have the same.
        instance: Name of the instance that it runs on.
        pool: Pool that it serves.
        zone: Its availability zone.
        labels: Its labels, including the rack.
        rack: Its rack.
        cpu: Its capacity in thousandths of a core.
        memory_mb: Its memory in MB.
        gpu: Its accelerators.
        epoch: Fencing token of the agent that may give it orders.
        acked: Number of its newest run end that has been recorded.
        address: HOST:PORT at which it has shown its start to its agent; empty
            if unknown.
    """

    key: str
    id: str
    instance: str
    pool: str
    zone: str = ''
    labels: list[str] = dataclasses.field(default_factory=list)
    rack: str = ''
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    epoch: int = 0
    acked: int = 0
    address: str = ''


@tables.register('backends')
class BackendTable(table.Table):
    """Backend servers by key."""

    name = 'backends'
    row_class = Backend
    key = 'key'
    indexes = ('instance', 'zone')
