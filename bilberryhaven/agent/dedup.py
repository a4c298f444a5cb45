"""What an agent remembers of requests: answers, failures and tombstones."""

import collections
import dataclasses
import datetime

from bilberryhaven.agent import effects
from bilberryhaven import errors

__all__ = ['DedupTable', 'Record']


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """Fate of one request.

    Attributes:
        fingerprint: Digest of its workload and body.
        ran: Whether it ran or may have; else this is a tombstone.
        repeatable: Whether a repeat may run again.
        expires_at: When it may be forgotten.
        result: What repeats are told.
    """

    fingerprint: str
    ran: bool
    retryable: bool
    expires_at: datetime.timedelta
    result: effects.Result


class DedupTable:
    """Fates of requests, for a stated time and within stated bounds.

    Args:
        limits: The bounds.
        now: Time of the start; what ran before is unknown.
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
        """Bytes of the answers kept."""
        return self._answer_bytes

    def is_complete(self, now):
        """Return whether an id without a record has surely not run."""
        return now >= self._complete_after

    def find(self, request_id, now):
        """Return the record of a request, or None."""
        self.expire(now)
        return self._records.get(request_id)

    def has_room(self, reserved, now):
        """Return whether another record can be kept.

        Args:
            reserved: Records that requests in progress will need.
            now: The current time.
        """
        self.expire(now)
        if len(self._records) + reserved < self._limits.max_records:
            return True
        return self._drop_retryable(now)

    def store(self, request_id, record):
        """Keep a record, and its answer while the bytes suffice."""
        self.remove(request_id)
        self._records[request_id] = record
        if record.result.body:
            self._answers[request_id] = len(record.result.body)
            self._answer_bytes += len(record.result.body)
        while self._answer_bytes > self._limits.max_stored_bytes:
            self._drop_answer(next(iter(self._answers)))

    def remove(self, request_id):
        """Drop a record."""
        if self._records.pop(request_id, None) is not None:
            self._answer_bytes -= self._answers.pop(request_id, 0)

    def expire(self, now):
        """Drop the records whose time is over, oldest first."""
        while self._records:
            request_id, record = next(iter(self._records.items()))
            if record.expires_at > now:
                return
            self.remove(request_id)

    def _drop_answer(self, request_id):
        self._answer_bytes -= self._answers.pop(request_id)
        self._records[request_id].result = effects.Result(
            code='refused',
            message='it ran before; its answer is no longer kept',
            outcome=errors.Outcome.RAN,
        )

    def _drop_retryable(self, now):
        for request_id, record in self._records.items():
            if record.ran and record.retryable:
                self._complete_after = now + self._limits.horizon
                self.remove(request_id)
                return True
        return False
