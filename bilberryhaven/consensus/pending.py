"""Proposals that are waiting to be committed."""

import dataclasses

from bilberryhaven import errors

__all__ = ['PendingTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pending:
    """One pending proposal.

    Attributes:
        term: Term in which it was appended.
        done: Function of its result or error.
    """

    term: int
    callback: object


class PendingTable:
    """Pending proposals by the index of their entry."""

    def __init__(self):
        self._rows = {}
        self._term = None

    def __len__(self):
        return len(self._rows)

    def add(self, index, term, callback):
        """Add the proposal that was appended as entry ``index``."""
        self._rows[index] = _Pending(term=term, callback=callback)

    def complete(self, index, term, result):
        """Complete the proposal at ``index``, where an entry was applied.

        Args:
            index: Index of the applied entry.
            term: Term of that entry; if it differs from the proposal's, an
                entry of another leader replaced the proposal.
            result: Result of applying the entry.
        """
        row = self._rows.pop(index, None)
        if row is not None:
            row.callback(
                result if row.term == term else _build_unknown_outcome('')
            )

    def fail_lost(self, term, peer):
        """Fail all proposals that were not appended in ``term``.

        Args:
            term: Term in which this replica is the leader, or None.
            peer: Address of the leader, if known.
        """
        if term is not None and term == self._term:
            return
        self._term = term
        lost = [i for i, row in self._rows.items() if row.term != term]
        for index in lost:
            self._rows.pop(index).callback(_build_unknown_outcome(peer))


def _build_unknown_outcome(peer):
    return errors.PeerError(
        'leadership was lost before the entry was committed',
        step='commit',
        peer=peer,
        outcome=errors.Outcome.UNKNOWN,
    )
