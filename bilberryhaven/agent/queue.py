"""Requests that wait for a slot: urgent ones first, then in order."""

import collections

__all__ = ['Queue']


class Queue:
    """A queue of ``Request`` with two classes."""

    def __init__(self):
        self._urgent = collections.OrderedDict()
        self._other = collections.OrderedDict()

    def __len__(self):
        return len(self._urgent) + len(self._other)

    def put(self, request):
        """Add a request behind those of its class."""
        self._select(request)[request.request_id] = request

    def pop(self):
        """Remove and return the next request, or None."""
        for requests in (self._urgent, self._other):
            if requests:
                return requests.popitem(last=False)[1]
        return None

    def remove(self, request):
        """Remove a request wherever it stands."""
        self._select(request).pop(request.request_id, None)

    def has_urgent(self):
        """Return whether an urgent request waits."""
        return bool(self._urgent)

    def count_ahead(self, request):
        """Return how many would go before a new request."""
        return len(self._urgent) if request.urgent else len(self)

    def pop_displaced(self, request):
        """Remove the newest that an urgent request may displace, or None."""
        if request.urgent and self._other:
            return self._other.popitem()[1]
        return None

    def pop_expired(self, now):
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for requests in (self._urgent, self._other)
            for request in requests.values()
            if request.deadline_at <= now
        ]
        for request in expired:
            self.remove(request)
        return expired

    def _select(self, request):
        return self._urgent if request.urgent else self._other
