"""Calls that an agent made to execute one order, for logs."""

import dataclasses
import datetime

from bilberryhaven import log

__all__ = ['OrderCalls']

# A stop is repeated until it is answered; the calls in between differ in
# their times only.
FIRST_CALLS = 2
LAST_CALLS = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A call that was answered, or has failed.

    Attributes:
        sent_at: Monotonic time at which it was about to be sent.
        duration: Time until its answer or failure, a timedelta.
        answer: The answer, or why there was none.
        deadline_ms: Deadline that it granted, on the server's clock in ms.
    """

    sent_at: datetime.timedelta
    duration: datetime.timedelta
    answer: str
    deadline_ms: int | None = None


class OrderCalls:
    """The calls for one order, each with its time and answer.

    Args:
        began_at: Monotonic time at which the execution of the order began.
    """

    def __init__(self, *, began_at):
        self._began_at = began_at
        self._first = []
        self._last = []
        self._count = 0

    def add(self, sent_at, now, answer, *, deadline_ms=None):
        """Record a call.

        Args:
            sent_at: Monotonic time at which it was about to be sent.
            now: Monotonic time at which it was answered, or failed.
            answer: The answer, or the error.
            deadline_ms: Deadline that it granted, or None.
        """
        call = Call(
            sent_at=sent_at,
            duration=now - sent_at,
            answer=str(answer),
            deadline_ms=deadline_ms,
        )
        self._count += 1
        if len(self._first) < FIRST_CALLS:
            self._first.append(call)
        else:
            self._last = [*self._last, call][-LAST_CALLS:]

    def describe(self, now):
        """Return log fields.

        Args:
            now: Monotonic time.

        Returns:
            ``age_s`` since the execution began, the number of ``calls``, and
            (s since it was sent, s until its answer, answer, deadline in ms)
            ``answers`` of the first and last of them.
        """
        return {
            'age_s': log.round_seconds(now - self._began_at),
            'calls': self._count,
            'answers': [
                (
                    log.round_seconds(now - call.sent_at),
                    log.round_seconds(call.duration),
                    call.answer,
                    call.deadline_ms,
                )
                for call in self._first + self._last
            ],
        }
