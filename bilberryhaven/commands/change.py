"""Operators' changes: workloads, labels, selectors, teams and drains.

Each change carries a change id and the version of the target that its author
saw. Of several changes that expect the same version, one is accepted. A
change that is sent again gets the first answer.
"""

import datetime

from bilberryhaven import commands
from bilberryhaven import errors
from bilberryhaven.tables import change
from bilberryhaven.tables import team
from bilberryhaven.tables import workload

__all__ = [
    'ANY_VERSION',
    'ApplyTeam',
    'ApplyWorkload',
    'ChangeLabels',
    'ChangeSelectors',
    'DrainInstance',
    'OperatorChange',
]

ANY_VERSION = -1
MAX_CHANGES = 50_000
_TABLES = {'workload': 'workloads', 'instance': 'instances', 'team': 'teams'}


class OperatorChange(commands.Command, kw_only=True, frozen=True):
    """Base class of operators' changes.

    Attributes:
        change_id: Idempotency key.
        by: Sender, a name or an address.
        at: Time at which the leader proposed it, UTC.
        kind: ``workload``, ``instance`` or ``team``.
        name: Name of the target.
        expect: Version that must be current, 0 for a target that must not
            exist yet, or ``ANY_VERSION``.
    """

    change_id: str
    by: str
    at: datetime.datetime
    kind: str
    name: str
    expect: int = ANY_VERSION

    def apply(self, state):
        """Apply the change once and return its stored ``Change`` row."""
        row = state.changes.find(self.change_id)
        if row is None:
            row = self._decide(state)
            state.changes.put(row)
            _expire_changes(state)
        if row.error:
            raise errors.build_error(
                {
                    'code': row.error,
                    'message': row.message,
                    'step': 'apply change',
                }
            )
        return row

    def _decide(self, state):
        row = change.Change(
            id=self.change_id,
            target=f'{self.kind}/{self.name}',
            by=self.by,
            at=self.at,
            fields=self.describe(),
        )
        try:
            self._check_version(state)
            row.version = self.edit(state)
        except errors.BilberryhavenError as error:
            row.error = error.code
            row.message = error.message
            return row
        state.revision += 1
        row.revision = state.revision
        return row

    def _check_version(self, state):
        if self.kind not in _TABLES:
            raise errors.BadInputError(
                f'no kind {self.kind!r}; there are: {", ".join(_TABLES)}',
                step='apply change',
            )
        target = getattr(state, _TABLES[self.kind]).find(self.name)
        current = target.version if target else 0
        if self.expect not in (ANY_VERSION, current):
            raise errors.ConflictError(
                f'{self.kind} {self.name!r} is at version {current}, not '
                f'{self.expect}: {target}',
                step='apply change',
            )

    def describe(self):
        """Return the values that the change sets by field, for ``history``."""
        return {}

    def edit(self, state):
        """Apply the change to the target and return its new version."""
        raise NotImplementedError


def _expire_changes(state):
    while len(state.changes) > MAX_CHANGES:
        state.changes.remove(state.changes.find_first().id)


class ApplyWorkload(OperatorChange, kw_only=True, frozen=True):
    """Create a workload or replace its declaration."""

    spec: workload.Workload

    def describe(self):
        """Return the declaration."""
        spec = self.spec
        resources = spec.resources
        return {
            'kind': str(spec.kind),
            'team': spec.team,
            'runs_on': spec.runs_on,
            'shares_with': spec.shares_with,
            'labels': _format_labels(spec.labels),
            'resources': (
                f'slots={resources.slots},cpu={resources.cpu},'
                f'memory_mb={resources.memory_mb},'
                f'accelerators={resources.accelerators}'
            ),
            'run_seconds': str(spec.run_seconds),
            'repeatable': str(spec.repeatable).lower(),
        }

    def edit(self, state):
        """Store the declaration."""
        old = state.workloads.find(self.name)
        version = old.version + 1 if old else 1
        spec = self.spec
        row = workload.Workload(
            name=self.name,
            kind=spec.kind,
            team=spec.team,
            labels=dict(spec.labels),
            runs_on=spec.runs_on,
            shares_with=spec.shares_with,
            resources=spec.resources,
            run_seconds=spec.run_seconds,
            repeatable=spec.repeatable,
            version=version,
        )
        state.workloads.put(row)
        return version


class ChangeLabels(OperatorChange, kw_only=True, frozen=True):
    """Set labels of a workload or instance; None removes a label."""

    labels: dict[str, str | None]

    def describe(self):
        """Return the labels that are set and removed."""
        return {
            key: '(removed)' if value is None else value
            for key, value in self.labels.items()
        }

    def edit(self, state):
        """Merge the labels into those of the target."""
        if self.kind == 'team':
            raise errors.BadInputError(
                'a team has no labels', step='apply change'
            )
        table = getattr(state, _TABLES[self.kind])
        row = table.get(self.name)
        merged = {**row.labels, **self.labels}
        labels = {k: v for k, v in merged.items() if v is not None}
        table.update(self.name, labels=labels, version=row.version + 1)
        return row.version


class ChangeSelectors(OperatorChange, kw_only=True, frozen=True):
    """Set a workload's selectors; None leaves a selector unchanged."""

    runs_on: str | None = None
    shares_with: str | None = None

    def describe(self):
        """Return the selectors that are set."""
        pairs = {'runs_on': self.runs_on, 'shares_with': self.shares_with}
        return {k: v for k, v in pairs.items() if v is not None}

    def edit(self, state):
        """Store the selectors."""
        row = state.workloads.get(self.name)
        fields = self.describe()
        state.workloads.update(self.name, version=row.version + 1, **fields)
        return row.version


class ApplyTeam(OperatorChange, kw_only=True, frozen=True):
    """Create a team or change its quota and weight."""

    quota: int = 0
    weight: float = 1.0

    def describe(self):
        """Return the quota and weight."""
        return {'quota': str(self.quota), 'weight': str(self.weight)}

    def edit(self, state):
        """Store the team."""
        old = state.teams.find(self.name)
        version = old.version + 1 if old else 1
        row = team.Team(
            name=self.name,
            quota=self.quota,
            weight=self.weight,
            version=version,
        )
        state.teams.put(row)
        return version


class DrainInstance(OperatorChange, kw_only=True, frozen=True):
    """Start or end draining an instance."""

    draining: bool = True

    def describe(self):
        """Return whether draining starts or ends."""
        return {'draining': str(self.draining).lower()}

    def edit(self, state):
        """Store whether the instance is draining."""
        row = state.instances.get(self.name)
        state.instances.update(
            self.name, draining=self.draining, version=row.version + 1
        )
        return row.version


def _format_labels(labels):
    return ','.join(f'{key}={labels[key]}' for key in sorted(labels))
