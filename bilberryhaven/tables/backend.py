"""Backend servers that run workflows' tasks, one row a life of one."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Backend', 'BackendTable', 'build_backend_key']


def build_backend_key(server_id, born_ms):
    """Return the key of one life of a backend server.

    A server that starts again may keep its id; when it was born tells its
    lives apart.
    """
    return f'{server_id}@{born_ms}'


@dataclasses.dataclass(kw_only=True, slots=True)
class Backend:
    """One life of a backend server.

    Attributes:
        key: Its id and birth.
        id: Its id; may be that of an earlier life.
        instance: Name of the instance that it runs on.
        pool: Pool that it serves.
        zone: Its availability zone.
        labels: Its labels; the rack is among them.
        rack: Its rack.
        cpu: Its capacity in thousandths of a core.
        memory_mb: Its memory in MB.
        gpu: Its accelerators.
        epoch: Fencing token of the agent that may give it orders.
        acked: Number of its newest end that was taken over.
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


@tables.register('backends')
class BackendTable(table.Table):
    """Backend servers by key."""

    name = 'backends'
    row_class = Backend
    key = 'key'
    indexes = ('instance',)
