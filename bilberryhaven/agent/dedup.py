"""Deduplication table of requests: answers, failures and tombstones."""

import collections
import dataclasses
import datetime

from bilberryhaven.agent import effects
from bilberryhaven import errors

__all__ = ['DedupTable', 'Record']


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """Result of one request, or its tombstone.

    Attributes:
        fingerprint: Digest of workload and body; empty if unknown.
        ran: Whether the request ran or may have run; otherwise the record
            is a tombstone.
        retryable: Whether a repeat may run again.
        expires_at: Monotonic time from which the record may be removed.
        result: Result that repeats receive.
    """

    fingerprint: str
    ran: bool
    retryable: bool
    expires_at: datetime.timedelta
    result: effects.Result


class DedupTable:
    """Records of requests, bounded in age, number and bytes.

    Args:
        limits: The bounds.
        now: Monotonic time of the start. Requests that ran before it have
            no record.
    """

    def __init__(self, *, limits, now):
        self._limits = limits
        self._records = collections.OrderedDict()
        self._answers = collections.OrderedDict()
        self._answer_bytes = 0
        self._complete_after = now + limits.horizon

    def __len__(self):
        return len(self._records)

    @property
    def answer_bytes(self):
        """Total bytes of the stored answers."""
        return self._answer_bytes

    def is_complete(self, now):
        """Return whether a missing record proves that a request didn't run.

        It doesn't for ``Limits.horizon`` after a start or after a record was
        removed early.
        """
        return now >= self._complete_after

    def find(self, request_id, now):
        """Return the record of a request, or None."""
        self.expire(now)
        return self._records.get(request_id)

    def has_room(self, reserved, now):
        """Return whether another record fits; may evict a retryable one.

        Args:
            reserved: Number of records that requests in progress will need.
            now: Current monotonic time.
        """
        self.expire(now)
        if len(self._records) + reserved < self._limits.max_records:
            return True
        return self._drop_retryable(now)

    def store(self, request_id, record):
        """Store a record; drop the oldest answers above the byte limit."""
        self.remove(request_id)
        self._records[request_id] = record
        if record.result.body:
            self._answers[request_id] = len(record.result.body)
            self._answer_bytes += len(record.result.body)
        while self._answer_bytes > self._limits.max_stored_bytes:
            self._drop_answer(next(iter(self._answers)))

    def extend(self, request_id, expires_at):
        """Keep a record until ``expires_at`` at least."""
        record = self._records[request_id]
        if expires_at > record.expires_at:
            record.expires_at = expires_at
            # So that it delays the removal of no other record.
            self._records.move_to_end(request_id)

    def remove(self, request_id):
        """Remove a record and its answer."""
        if self._records.pop(request_id, None) is not None:
            self._answer_bytes -= self._answers.pop(request_id, 0)

    def expire(self, now):
        """Remove expired records, oldest first."""
        while self._records:
            request_id, record = next(iter(self._records.items()))
            if record.expires_at > now:
                return
            self.remove(request_id)

    def _drop_answer(self, request_id):
        self._answer_bytes -= self._answers.pop(request_id)
        self._records[request_id].result = effects.Result(
            code='refused',
            message='the request already ran; its answer is no longer stored',
            outcome=errors.Outcome.RAN,
        )

    def _drop_retryable(self, now):
        for request_id, record in self._records.items():
            if record.ran and record.retryable:
                self._complete_after = now + self._limits.horizon
                self.remove(request_id)
                return True
        return False
