"""Response cache for requests that callers send again by the same id."""

import collections
import dataclasses
import datetime

__all__ = ['Response', 'ResponseCache']

RETENTION = datetime.timedelta(minutes=10)
MAX_BYTES = 16 * 1024 * 1024
MAX_RESPONSES = 50_000
RECORD_OVERHEAD_BYTES = 200


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """The final result of a request.

    Attributes:
        request_id: The request's id.
        instance: Instance that ran the request, or empty.
        body: The complete response body.
        error: The error if the request failed, else None.
    """

    request_id: str
    instance: str = ''
    body: bytes = b''
    error: Exception | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class _Record:
    fingerprint: str
    response: Response
    expires_at: datetime.timedelta
    size: int


class ResponseCache:
    """Responses by request id, with a retention period and a size limit.

    Args:
        retention: How long a response is kept, as a timedelta.
        max_bytes: Maximum size in bytes; the oldest responses are evicted
            first.
    """

    def __init__(self, *, retention=RETENTION, max_bytes=MAX_BYTES):
        self._retention = retention
        self._max_bytes = max_bytes
        self._records = collections.OrderedDict()
        self._size = 0

    def __len__(self):
        return len(self._records)

    @property
    def size(self):
        """Size of the cached responses in bytes, with overhead."""
        return self._size

    def find(self, request_id, now):
        """Return the cached (fingerprint, response) pair, or None."""
        self._expire(now)
        record = self._records.get(request_id)
        return (
            None if record is None else (record.fingerprint, record.response)
        )

    def put(self, response, *, fingerprint, now):
        """Cache ``response`` with the fingerprint of its request."""
        self._drop(response.request_id)
        size = (
            len(response.body)
            + len(response.request_id)
            + RECORD_OVERHEAD_BYTES
        )
        self._records[response.request_id] = _Record(
            fingerprint=fingerprint,
            response=response,
            expires_at=now + self._retention,
            size=size,
        )
        self._size += size
        self._expire(now)

    def _expire(self, now):
        while self._records:
            request_id, record = next(iter(self._records.items()))
            full = self._size > self._max_bytes
            full = full or len(self._records) > MAX_RESPONSES
            if record.expires_at > now and not full:
                return
            self._drop(request_id)

    def _drop(self, request_id):
        record = self._records.pop(request_id, None)
        if record is not None:
            self._size -= record.size
