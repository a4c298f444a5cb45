"""Queue of requests that wait for a slot, with two priorities."""

import collections

__all__ = ['Queue']


class Queue:
    """FIFO queues of urgent and normal requests; urgent ones go first."""

    def __init__(self):
        self._urgent = collections.OrderedDict()
        self._normal = collections.OrderedDict()

    def __len__(self):
        return len(self._urgent) + len(self._normal)

    def put(self, request):
        """Append a request to the queue of its priority."""
        self._select(request)[request.request_id] = request

    def pop(self):
        """Remove and return the next request, or None."""
        for requests in (self._urgent, self._normal):
            if requests:
                return requests.popitem(last=False)[1]
        return None

    def remove(self, request):
        """Remove a request from any position."""
        self._select(request).pop(request.request_id, None)

    def has_urgent(self):
        """Return whether an urgent request waits."""
        return bool(self._urgent)

    def count_ahead(self, request):
        """Return the number of requests queued ahead of a new request."""
        return len(self._urgent) if request.urgent else len(self)

    def find_displaced(self, request):
        """Return the id of the request to displace from the queue, or ''.

        Only an urgent request displaces another: the newest that isn't
        urgent.
        """
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
