"""Requests that wait for a slot: urgent ones first, then in order."""

import collections

__all__ = ['Queue']


class Queue:
    """A queue of ``Request`` with two classes."""

    def __init__(self):
        self._urgent = collections.OrderedDict()
        self._normal = collections.OrderedDict()

    def __len__(self):
        return len(self._urgent) + len(self._normal)

    def put(self, request):
        """Add a request behind those of its class."""
        self._select(request)[request.request_id] = request

    def pop(self):
        """Remove and return the next request, or None."""
        for requests in (self._urgent, self._normal):
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

    def find_displaced(self, request):
        """Return the id of the newest that an urgent one displaces, or ''."""
        if request.urgent and self._normal:
            return next(reversed(self._normal))
        return ''

    def list_expired(self, now):
        """Return the ids of the requests whose deadline has passed."""
        return [
            request.request_id
            for requests in (self._urgent, self._normal)
            for request in requests.values()
            if request.deadline_at <= now
        ]

    def _select(self, request):
        return self._urgent if request.urgent else self._normal
