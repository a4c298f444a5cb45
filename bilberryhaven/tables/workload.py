"""Workloads: declarations of services, batch tasks and watches."""

import dataclasses
import enum

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Kind', 'Resources', 'Workload', 'WorkloadTable']


class Kind(enum.StrEnum):
    """Kind of a workload."""

    SERVICE = 'service'
    BATCH = 'batch'
    WATCH = 'watch'


@dataclasses.dataclass(kw_only=True, slots=True)
class Resources:
    """Declared resource requirements of one task.

    Attributes:
        slots: Slots of the backend server.
        cpu: CPU cores.
        memory_mb: Memory in MiB.
        accelerators: Whole accelerators.
    """

    slots: int = 1
    cpu: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Workload:
    """Declaration of a workload.

    Attributes:
        name: Unique name.
        kind: Service, batch or watch.
        team: Team whose quota its tasks count against.
        labels: The workload's own labels.
        runs_on: Selector over instance labels.
        shares_with: Selector over the labels of workloads that may run on
            the same instance.
        resources: Declared resource requirements of a task.
        run_seconds: Declared run time in seconds, used only as a prior.
        repeatable: False for work that must run at most once.
        version: Increases with each accepted change.
        held: Reason for which none of its work is started, or empty.
    """

    name: str
    kind: Kind = Kind.SERVICE
    team: str = 'default'
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    runs_on: str = ''
    shares_with: str = ''
    resources: Resources = dataclasses.field(default_factory=Resources)
    run_seconds: float = 60.0
    repeatable: bool = True
    version: int = 1
    held: str = ''

    def merge_labels(self):
        """Return its labels, including its name, kind and team."""
        fixed = {
            'workload': self.name,
            'kind': str(self.kind),
            'team': self.team,
        }
        return {**fixed, **self.labels}


@tables.register('workloads')
class WorkloadTable(table.Table):
    """Workloads by name."""

    name = 'workloads'
    row_class = Workload
    indexes = ('kind',)
