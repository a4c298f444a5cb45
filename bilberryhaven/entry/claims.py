"""Holder names for claims on requests that must run at most once."""

import collections

from bilberryhaven import errors

__all__ = ['HolderNames']

MAX_RETAINED_NAMES = 50_000


class HolderNames:
    """Assigns a holder name to each submission of a request.

    The leader grants the claim on a request to one holder name only. A name
    is reused for a request only if the request is known not to have run;
    reuse after it may have run would let it run twice.

    Args:
        name: Name of the entry process, unique for each start.
    """

    def __init__(self, *, name):
        self._name = name
        self._count = 0
        self._retained = collections.OrderedDict()

    def pick(self, request_id):
        """Return the holder name for a new submission of a request."""
        retained = self._retained.get(request_id)
        if retained is not None:
            return retained
        self._count += 1
        return f'{self._name}/{self._count}'

    def record_end(self, request_id, holder, outcome):
        """Record the outcome of a claimed submission.

        The holder name is retained only where the request did not run.
        """
        if outcome != errors.Outcome.NOT_RUN:
            self._retained.pop(request_id, None)
            return
        self._retained[request_id] = holder
        while len(self._retained) > MAX_RETAINED_NAMES:
            self._retained.popitem(last=False)
