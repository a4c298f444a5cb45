"""Names under which an entry claims requests that must run at most once."""

import collections

from bilberryhaven import errors

__all__ = ['ClaimNames']

MAX_KEPT = 50_000


class ClaimNames:
    """One name a submission, kept where the request truly did not run.

    The leader grants a claim to one name only. A name that is used again
    after its request may have run would let it run twice.

    Args:
        name: Unique name of this run of the entry.
    """

    def __init__(self, *, name):
        self._name = name
        self._count = 0
        self._kept = collections.OrderedDict()

    def pick(self, request_id):
        """Return the name for a new submission of a request."""
        kept = self._kept.get(request_id)
        if kept is not None:
            return kept
        self._count += 1
        return f'{self._name}/{self._count}'

    def record_end(self, request_id, holder, outcome):
        """Note with which outcome a claimed submission ended."""
        if outcome != errors.Outcome.NOT_RUN:
            self._kept.pop(request_id, None)
            return
        self._kept[request_id] = holder
        while len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)
