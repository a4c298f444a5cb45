"""Models and validation of the API's request bodies."""

import re
import typing

import msgspec

from bilberryhaven import border
from bilberryhaven.commands import change
from bilberryhaven.control import api
from bilberryhaven import errors
from bilberryhaven import selector
from bilberryhaven import settings
from bilberryhaven.tables import workload

__all__ = [
    'CancelBody',
    'ChangeBody',
    'DrainBody',
    'JobBody',
    'LabelsBody',
    'MemberBody',
    'SelectorsBody',
    'TeamBody',
    'WorkloadBody',
    'check_labels',
    'check_name',
    'check_selector',
]

MAX_LABELS = 64
# Labels that the system sets on each target; operators cannot set them.
RESERVED_LABELS = {
    'instance': settings.INSTANCE_LABELS,
    'workload': frozenset({'workload', 'kind', 'team'}),
}
MAX_SELECTOR_LENGTH = 2000
MAX_ID_LENGTH = 200
MAX_JOBS_PER_CALL = 10_000
MAX_DEADLINE_MS = 366 * 86_400_000

Name = settings.Name
Id = typing.Annotated[str, msgspec.Meta(pattern=api.ID_PATTERN)]
SelectorText = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_SELECTOR_LENGTH)
]
Labels = typing.Annotated[
    dict[settings.Label, settings.Label], msgspec.Meta(max_length=MAX_LABELS)
]
LabelChanges = typing.Annotated[
    dict[settings.Label, settings.Label | None],
    msgspec.Meta(min_length=1, max_length=MAX_LABELS),
]


class Body(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Base of all request bodies; rejects unknown fields."""


class ChangeBody(Body, kw_only=True, frozen=True):
    """Base of the bodies of operators' changes.

    Attributes:
        by: Author of the change.
        change_id: Idempotency key; a repeated change gets the response to
            the first.
        expect: Version that must be current; 0 if the target must not exist,
            ``ANY_VERSION`` for no check.
    """

    by: typing.Annotated[str, msgspec.Meta(max_length=MAX_ID_LENGTH)] = ''
    change_id: Id | None = None
    expect: typing.Annotated[
        int, msgspec.Meta(ge=-1, le=border.MAX_INTEGER)
    ] = change.ANY_VERSION


class Resources(Body, kw_only=True, frozen=True):
    """Resources that one task of a workload needs."""

    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1
    cpu: typing.Annotated[float, msgspec.Meta(ge=0, le=100_000)] = 1.0
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=0, le=10**9)] = 256
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0


class WorkloadBody(ChangeBody, kw_only=True, frozen=True):
    """Declaration of a workload."""

    kind: workload.Kind
    team: Name = 'default'
    labels: Labels = {}
    runs_on: SelectorText = ''
    shares_with: SelectorText = ''
    resources: Resources = Resources()
    run_seconds: typing.Annotated[float, msgspec.Meta(gt=0, le=1e9)] = 60.0
    repeatable: bool = True


class LabelsBody(ChangeBody, kw_only=True, frozen=True):
    """Labels to set; a null value removes the label."""

    labels: LabelChanges


class SelectorsBody(ChangeBody, kw_only=True, frozen=True):
    """Selectors to set; an omitted one is not changed."""

    runs_on: SelectorText | None = None
    shares_with: SelectorText | None = None


class TeamBody(ChangeBody, kw_only=True, frozen=True):
    """Quota and weight of a team."""

    quota: typing.Annotated[int, msgspec.Meta(ge=0, le=10**9)] = 0
    weight: typing.Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0


class DrainBody(ChangeBody, kw_only=True, frozen=True):
    """Whether an instance is to be drained."""

    draining: bool = True


class JobBody(Body, kw_only=True, frozen=True):
    """A job to submit; its id is the idempotency key."""

    workload: Name
    id: Id | None = None
    payload: msgspec.Raw = msgspec.Raw(b'""')
    deadline_ms: (
        typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)] | None
    ) = None


class CancelBody(Body, kw_only=True, frozen=True):
    """Jobs to cancel."""

    ids: typing.Annotated[
        list[Id], msgspec.Meta(min_length=1, max_length=MAX_JOBS_PER_CALL)
    ]


class MemberBody(Body, kw_only=True, frozen=True):
    """A control instance to add."""

    name: Name
    address: str


def check_labels(kind, labels):
    """Check that no label is reserved on targets of ``kind``.

    Args:
        kind: ``instance`` or ``workload``.
        labels: Mapping of the labels to set.

    Raises:
        BadInputError: A label is reserved; the message has its path.
    """
    for key in sorted(RESERVED_LABELS[kind] & set(labels)):
        raise errors.BadInputError(
            f'$.labels.{key}: this label is reserved on each {kind} and '
            'cannot be set',
            step='check labels',
        )


def check_name(name):
    """Return ``name`` if it is valid.

    Raises:
        BadInputError: The name is invalid.
    """
    if not re.search(settings.NAME_PATTERN, name):
        raise errors.BadInputError(
            f'{name!r} is not a valid name; use at most 100 letters, digits, '
            '".", "_" and "-"',
            step='check name',
        )
    return name


def check_selector(field, text):
    """Check that ``text`` is a valid selector.

    Args:
        field: Field of the body that holds the selector.
        text: The selector.

    Raises:
        SelectorError: The selector is invalid; the message has the field and
            the column.
    """
    try:
        selector.parse_selector(text)
    except errors.SelectorError as error:
        raise errors.SelectorError(
            f'$.{field}: {error.message}', step='check selector'
        ) from error
