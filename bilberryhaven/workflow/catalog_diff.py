"""Differences between two documents of a catalog, entry by entry."""

import collections
import dataclasses
import enum
import typing

__all__ = ['Difference', 'Kind', 'compare']


class Kind(enum.StrEnum):
    """How an entry or field differs."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(kw_only=True, frozen=True)
class Difference:
    """One difference.

    Attributes:
        kind: The ``Kind``.
        place: Path of the entry or field; entries of a list are given by
            their names.
        before: The value before, None if it is added.
        after: The value after, None if it is removed.
    """

    kind: Kind
    place: str
    before: typing.Any = None
    after: typing.Any = None


def compare(before, after, place=''):
    """Return the differences between two trees of JSON values.

    Lists of mappings with names are compared by name; their order does not
    count.

    Args:
        before: The tree before.
        after: The tree after.
        place: Path of both trees.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        pattern = f'{place}.{{}}' if place else '{}'
        return _compare_mappings(before, after, pattern)
    if _has_names(before) and _has_names(after):
        pattern = f'{place}[{{}}]'
        return _compare_mappings(_index(before), _index(after), pattern)
    if before == after and isinstance(before, bool) == isinstance(after, bool):
        return []
    return [
        Difference(kind=Kind.CHANGED, place=place, before=before, after=after)
    ]


def _compare_mappings(before, after, pattern):
    found = []
    for key in sorted({*before, *after}):
        place = pattern.format(key)
        if key not in before:
            found.append(
                Difference(kind=Kind.ADDED, place=place, after=after[key])
            )
        elif key not in after:
            found.append(
                Difference(kind=Kind.REMOVED, place=place, before=before[key])
            )
        else:
            found += compare(before[key], after[key], place)
    return found


def _has_names(value):
    return isinstance(value, list) and all(
        isinstance(row, dict) and isinstance(row.get('name'), str)
        for row in value
    )


def _index(rows):
    """Return the rows by name; repeated names are numbered from 2."""
    counts = collections.Counter()
    indexed = {}
    for row in rows:
        name = row['name']
        counts[name] += 1
        number = counts[name]
        indexed[name if number == 1 else f'{name}#{number}'] = row
    return indexed
