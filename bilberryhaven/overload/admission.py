"""Admission of work: accepted, or rejected at once with a time to return.

Answers a backlog that has piled up in an outage or a surge beyond what can be
stored, or beyond what can be done before it is of no value. Work that merely
is late is accepted: precedence delays it, and it is delivered when there is
room. While nothing is known about the room, work is rejected only by the bound
of the backlog.
"""

import collections
import collections.abc
import dataclasses
import enum
import threading

from bilberryhaven.overload import precedence
from bilberryhaven.overload import returns

__all__ = [
    'Admission',
    'Bounds',
    'Decision',
    'Newcomer',
    'Reason',
    'Usage',
]

# Work is rejected only if even its earliest end comes later than the latest
# useful one by this factor, as servers may be added and run times are means.
MARGIN = 1.5
# Wait of a rejected caller while there is no forecast.
DEFAULT_WAIT_S = 2.0
DEFAULT_SPACING_S = 0.05
# Wait before work that fits on no server is tried again.
UNPLACEABLE_WAIT_S = 30.0
# Time for which accepted ids are remembered. It exceeds the longest time in
# which a commit of unknown outcome can still succeed.
SENT_RETENTION_S = 60.0


class Reason(enum.StrEnum):
    """Why work is rejected."""

    BACKLOG_FULL = 'backlog_full'
    TOO_LATE = 'too_late'
    UNPLACEABLE = 'unplaceable'


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Bounds:
    """Bounds on the backlog.

    Attributes:
        entries: Most pieces of work.
        size_bytes: Largest estimated size in the leader's memory.
    """

    entries: int
    size_bytes: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Usage:
    """Size of the backlog.

    Attributes:
        entries: Number of pieces of work.
        size_bytes: Estimated size in the leader's memory.
    """

    entries: int
    size_bytes: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Newcomer:
    """Work that a caller asks for.

    Attributes:
        key: Its id.
        need: Its ``Need``.
        best_effort: Whether it gets spare CPU only.
        line: What newcomers have in common that wait for the same room.
        has_deadline: Whether it is of no value once it is too late. Scheduled
            and long-running work is of value whenever it runs.
        sizes: (CPU, memory in MB, accelerators) that a server must have, and
            the label that it requires or an empty string, by step.
        size_bytes: Estimated size in the leader's memory.
        zone: Availability zone of its caller, or empty if the room isn't
            divided by shares.
    """

    key: str
    need: precedence.Need
    best_effort: bool
    line: collections.abc.Hashable
    has_deadline: bool
    sizes: tuple
    size_bytes: int = 0
    zone: str = ''


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Decision:
    """Outcome for one newcomer.

    Attributes:
        reason: The ``Reason`` of a rejection, or None.
        retry_after_s: Whole seconds until the caller should come back.
        finish_s: Expected time until its end in seconds, or None.
        work_ahead: Work that takes precedence, or None.
    """

    reason: Reason | None = None
    retry_after_s: int = 0
    finish_s: float | None = None
    work_ahead: float | None = None

    @property
    def accepted(self):
        """Whether the work is accepted."""
        return self.reason is None


class Admission:
    """Decides which work is accepted.

    The outcome for an id holds: work that was accepted is not rejected
    afterwards, whether or not its commit is known, and work that was rejected
    is not accepted before its return time. So a rejection stays true even if
    an earlier request for the same work arrives after a later one.
    Thread-safe.

    Args:
        bounds: The ``Bounds``.
    """

    def __init__(self, *, bounds):
        self._bounds = bounds
        self._returns = returns.ReturnSchedule()
        self._sent = collections.OrderedDict()
        self._lock = threading.Lock()

    def clear(self):
        """Forget all outcomes, as a new term has begun."""
        with self._lock:
            self._returns.clear()
            self._sent.clear()

    def decide(self, newcomer, usage, limits, forecast, now):
        """Return the ``Decision`` for work that isn't stored.

        Args:
            newcomer: The ``Newcomer``.
            usage: The ``Usage``.
            limits: The ``Limits`` of its pool.
            forecast: The ``Forecast`` of its pool.
            now: Current time in seconds.
        """
        key = newcomer.key
        with self._lock:
            self._forget_sent(now)
            if key in self._sent:
                return Decision()
            told = self._returns.find(key, now)
            if told is not None:
                return Decision(reason=told[0], retry_after_s=told[1])
            outlook = _Outlook(newcomer, forecast, now)
            reason = self._find_reason(newcomer, usage, limits, outlook, now)
            if reason is not None:
                return self._reject(newcomer, reason, outlook, now)
            self._returns.remove(key)
            self._sent[key] = now
            return Decision(
                finish_s=outlook.finish_s, work_ahead=outlook.work_ahead
            )

    def _forget_sent(self, now):
        while self._sent:
            key, sent_at = next(iter(self._sent.items()))
            if now - sent_at <= SENT_RETENTION_S:
                return
            del self._sent[key]

    def _find_reason(self, newcomer, usage, limits, outlook, now):
        expected = self._returns.count_expected(newcomer.key, now)
        if (
            usage.entries + expected >= self._bounds.entries
            or usage.size_bytes + newcomer.size_bytes > self._bounds.size_bytes
        ):
            return Reason.BACKLOG_FULL
        if limits.is_settled(now) and not all(
            limits.allow(size, label) for size, label in newcomer.sizes
        ):
            return Reason.UNPLACEABLE
        return Reason.TOO_LATE if outlook.is_hopeless() else None

    def _reject(self, newcomer, reason, outlook, now):
        wait_s, spacing_s = outlook.wait_s, outlook.spacing_s
        if reason == Reason.UNPLACEABLE:
            wait_s, spacing_s = UNPLACEABLE_WAIT_S, None
        return Decision(
            reason=reason,
            retry_after_s=self._returns.add(
                newcomer.key,
                reason,
                line=newcomer.line,
                wait_s=wait_s,
                spacing_s=spacing_s,
                now=now,
            ),
            finish_s=outlook.finish_s,
            work_ahead=outlook.work_ahead,
        )


class _Outlook:
    """What the forecast says of one newcomer.

    Args:
        newcomer: The ``Newcomer``.
        forecast: The ``Forecast`` of its pool.
        now: Current time in seconds.
    """

    def __init__(self, newcomer, forecast, now):
        need = newcomer.need
        self._need = need
        self._elapsed_s = now - need.due_at
        self._earliest_s = None
        self.finish_s = None
        self.work_ahead = None
        self.wait_s = DEFAULT_WAIT_S
        self.spacing_s = DEFAULT_SPACING_S
        if not newcomer.has_deadline or not forecast.is_known(now):
            return
        share = {'best_effort': newcomer.best_effort}
        ahead = forecast.backlog.sum_ahead(
            need.priority,
            precedence.find_rank(need, now),
            zone=newcomer.zone,
            **share,
        )
        total = ahead + need.work
        self.work_ahead = ahead
        self.finish_s = forecast.expect_finish(
            total, need.remaining_s, **share
        )
        self._earliest_s = forecast.find_earliest_finish(
            total, need.remaining_s, **share
        )
        self.wait_s = max(
            DEFAULT_WAIT_S,
            forecast.find_room_at(
                ahead, need.allowed_s - need.remaining_s, **share
            ),
        )
        self.spacing_s = forecast.expect_finish(need.work, 0.0, **share)

    def is_hopeless(self):
        """Return whether the work certainly ends too late to be of value."""
        if self._earliest_s is None or self._need.allowed_s <= 0:
            return False
        latest_s = precedence.MAX_LATENESS * self._need.allowed_s
        return self._elapsed_s + self._earliest_s > MARGIN * latest_s
