"""Names under which an entry claims requests that must run at most once."""

import collections

from bilberryhaven import errors

__all__ = ['HolderNames']

MAX_RETAINED_NAMES = 50_000


class HolderNames:
    """One name a submission, kept where the request truly did not run.

    The leader grants a claim to one name only. A name that is used again
    after its request may have run would let it run twice.

    Args:
        name: Unique name of this run of the entry.
    """

    def __init__(self, *, name):
        self._name = name
        self._count = 0
        self._retained = collections.OrderedDict()

    def pick(self, request_id):
        """Return the name for a new submission of a request."""
        retained = self._retained.get(request_id)
        if retained is not None:
            return retained
        self._count += 1
        return f'{self._name}/{self._count}'

    def record_end(self, request_id, holder, outcome):
        """Note with which outcome a claimed submission ended."""
        if outcome != errors.Outcome.NOT_RUN:
            self._retained.pop(request_id, None)
            return
        self._retained[request_id] = holder
        while len(self._retained) > MAX_RETAINED_NAMES:
            self._retained.popitem(last=False)
