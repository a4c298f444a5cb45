"""Findings in a catalog of queues and pools before it is put in force.

The errors are those with which the server refuses the catalog; the other
findings are accepted by the server but have an effect that no operator wants.
"""

import collections
import dataclasses
import enum
import re

from bilberryhaven import errors

__all__ = [
    'Finding',
    'Kind',
    'find_all',
    'find_errors',
    'find_overtaken',
]

ID_START = re.compile('[A-Za-z0-9][A-Za-z0-9_-]*')
HOST_EXCLUDED = frozenset(':/?# ')


class Kind(enum.StrEnum):
    """What follows from a finding."""

    ERROR = 'error'  # the server refuses the catalog
    NEVER_MATCHES = 'never matches'  # an entry receives or runs nothing
    CONTRADICTION = 'contradiction'  # values that exclude each other
    NOTE = 'note'  # allowed, but possibly not intended


@dataclasses.dataclass(kw_only=True, frozen=True)
class Finding:
    """One finding in a catalog.

    Attributes:
        kind: The ``Kind``.
        place: Path of the entry or field, such as ``queues[3].pool``.
        message: Description of the finding, for a person.
        code: Code of the error that the server would answer, if it would.
    """

    kind: Kind
    place: str
    message: str
    code: str = ''


def find_all(version, queues, pools):
    """Return all findings in a catalog, errors first.

    Args:
        version: The version of the catalog.
        queues: The ``Queue`` rows.
        pools: The ``Pool`` rows.
    """
    return [
        *find_errors(queues, pools),
        *_find_unmatched_queues(queues, pools),
        *_find_unused_pools(queues, pools),
        *_find_version_contradictions(version),
        *_find_repeated_names('queues', queues),
        *_find_repeated_names('pools', pools),
        *_find_overlaps(queues),
        *_find_limit_contradictions(queues),
        *_find_unused_priorities(queues),
    ]


def find_errors(queues, pools):
    """Return the findings for which the server refuses a catalog.

    Args:
        queues: The ``Queue`` rows.
        pools: The ``Pool`` rows.
    """
    found = []
    names = {pool.name for pool in pools}
    for index, queue in enumerate(queues):
        place = f'queues[{index}]'
        label = f'queue {queue.name}'
        if queue.pool not in names:
            message = f'{label}: unknown pool {queue.pool!r}'
            found.append(_build_error(f'{place}.pool', message))
        if queue.timeout_ms <= 0:
            message = f'{label}: timeout_ms must be positive'
            found.append(_build_error(f'{place}.timeout_ms', message))
    return [*found, *_find_repeated_addresses(queues)]


def find_overtaken(version, other_version, *, differs):
    """Return the finding that a catalog would not replace another one.

    Args:
        version: The version of the catalog.
        other_version: The version of the catalog to be replaced.
        differs: Whether the two differ; a repetition is harmless.
    """
    if version > other_version or not differs:
        return []
    return [
        Finding(
            kind=Kind.CONTRADICTION,
            place='version',
            message=f'version {version} is not higher than {other_version}; '
            'the server accepts the catalog and changes nothing',
        )
    ]


def _build_error(place, message):
    return Finding(
        kind=Kind.ERROR,
        place=place,
        message=message,
        code=errors.BadInputError.code,
    )


def _find_repeated_addresses(queues):
    indexes = collections.defaultdict(list)
    for index, queue in enumerate(queues):
        indexes[queue.host, queue.prefix].append(index)
    return [
        _build_error(
            f'queues[{found[-1]}].prefix',
            f'{len(found)} queues have the same address {host}{prefix}',
        )
        for (host, prefix), found in indexes.items()
        if len(found) > 1
    ]


def _find_unmatched_queues(queues, pools):
    standby = {pool.name for pool in pools if pool.standby}
    found = []
    for index, queue in enumerate(queues):
        reasons = {
            'host': _describe_host(queue.host),
            'prefix': _describe_prefix(queue.prefix),
            'pool': f'pool {queue.pool} is on standby and runs no tasks'
            if queue.pool in standby
            else '',
        }
        found += [
            Finding(
                kind=Kind.NEVER_MATCHES,
                place=f'queues[{index}].{field}',
                message=f'queue {queue.name}: {reason}',
            )
            for field, reason in reasons.items()
            if reason
        ]
    return found


def _describe_host(host):
    """Return why no call can be addressed to ``host``, or ''."""
    if not host:
        return 'the host is empty; no call that names its host matches'
    if HOST_EXCLUDED.intersection(host):
        return f'{host!r} is no host name; it is compared without a port'
    return ''


def _describe_prefix(prefix):
    """Return why no path can start with ``prefix``, or ''."""
    if prefix.startswith('/'):
        return ''
    return f'{prefix!r} does not start with /, as every path does'


def _find_unused_pools(queues, pools):
    used = {queue.pool for queue in queues}
    return [
        Finding(
            kind=Kind.NEVER_MATCHES,
            place=f'pools[{index}]',
            message=f'pool {pool.name}: no queue names it',
        )
        for index, pool in enumerate(pools)
        if pool.name not in used and not pool.standby
    ]


def _find_version_contradictions(version):
    if version > 0:
        return []
    message = f'version {version} is read as that of no catalog; 1 is lowest'
    return [Finding(kind=Kind.CONTRADICTION, place='version', message=message)]


def _find_repeated_names(section, rows):
    first = {}
    found = []
    for index, row in enumerate(rows):
        earlier = first.setdefault(row.name, index)
        if earlier != index:
            found.append(
                Finding(
                    kind=Kind.CONTRADICTION,
                    place=f'{section}[{index}].name',
                    message=f'{section}[{earlier}] is also named {row.name!r}',
                )
            )
    return found


def _find_overlaps(queues):
    """Return the findings on queues that get workflows of others.

    The longest prefix decides, so a queue loses the ids that start with the
    rest of a longer prefix; an id contains no slash.
    """
    found = []
    for index, queue in enumerate(queues):
        for other in queues:
            rest = other.prefix.removeprefix(queue.prefix)
            if (
                other.host == queue.host
                and other.prefix == queue.prefix + rest
                and ID_START.fullmatch(rest)
            ):
                message = (
                    f'queue {queue.name}: its workflows whose ids start with '
                    f'{rest!r} belong to queue {other.name}'
                )
                found.append(
                    Finding(
                        kind=Kind.CONTRADICTION,
                        place=f'queues[{index}].prefix',
                        message=message,
                    )
                )
    return found


def _find_limit_contradictions(queues):
    found = []
    for index, queue in enumerate(queues):
        found += [
            Finding(
                kind=Kind.CONTRADICTION,
                place=f'queues[{index}].{field}',
                message=f'queue {queue.name}: {reason}',
            )
            for field, reason in _list_limit_reasons(queue)
        ]
    return found


def _list_limit_reasons(queue):
    """Yield the (field, reason) of each limit that can't be met."""
    if 0 < queue.timeout_ms < queue.latency_ms:
        yield (
            'timeout_ms',
            f'a call may take {queue.timeout_ms} ms, less than the latency '
            f'target of {queue.latency_ms} ms',
        )
    if queue.latency_ms < 0:
        yield 'latency_ms', 'the latency target is negative'
    if queue.max_attempts < 1:
        yield (
            'max_attempts',
            f'{queue.max_attempts} allows no attempt; the first is made and '
            'its failure is final',
        )
    if queue.slack_factor < 1:
        yield (
            'slack_factor',
            f'{queue.slack_factor:g} allows less time for running than the '
            'run takes',
        )
    if queue.priority < 0:
        yield 'priority', f'{queue.priority} is above the highest, 0'


def _find_unused_priorities(queues):
    found = []
    previous = -1
    rows = sorted(enumerate(queues), key=lambda row: row[1].priority)
    for index, queue in rows:
        if queue.priority > previous + 1:
            message = (
                f'queue {queue.name}: no queue has a priority from '
                f'{previous + 1} to {queue.priority - 1}'
            )
            place = f'queues[{index}].priority'
            found.append(Finding(kind=Kind.NOTE, place=place, message=message))
        previous = max(previous, queue.priority)
    return found
