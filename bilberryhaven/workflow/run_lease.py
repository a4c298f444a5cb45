"""Lease under which the runs of one backend server are kept alive; no I/O."""

import dataclasses

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import options as workflow_options

__all__ = ['RunLease']

MILLISECOND = clocks.seconds(0.001)
DONE = workflow_commands.EndHow.DONE
LAPSED = workflow_commands.EndHow.LAPSED


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lapse:
    """A lapse of the lease that a listing has shown.

    Attributes:
        reason: What shows it.
        deadline_ms: The deadline, on the server's clock in ms.
        clock_ms: The server's clock at the listing, in ms.
        void_upto: Number up to which ends don't count.
    """

    reason: str
    deadline_ms: int
    clock_ms: int
    void_upto: int


class RunLease:
    """Tracks the lease of one fencing token, and lapses of it.

    Attributes:
        deadline_ms: Deadline granted last, in ms on the server's clock; 0 if
            there is none.
    """

    def __init__(self):
        self.deadline_ms = 0
        self._end = None
        self._server_clock_ms = None
        self._server_clock_read_at = None
        self._void_upto = 0
        self._lapse = None
        self._granted_until = None
        # Until then, runs may be there although nothing was granted here.
        self._inherited_until = None
        self._former_deadline_ms = 0
        self._former_lease_end = None
        self._uncertain_until = None

    def renew(self, reply, sent_at):
        """Extend the lease as the leader allows.

        Args:
            reply: The ``PollReply``.
            sent_at: Monotonic time at which the poll was sent.
        """
        end = sent_at + reply.lease_ms * MILLISECOND
        if self._end is None or end > self._end:
            self._end = end

    def record_former(self, reply, now):
        """Record how long a predecessor's lease may keep runs alive.

        Args:
            reply: The ``PollReply`` that issues the fencing token.
            now: Monotonic time.
        """
        inherited_ms = max(reply.doubt_ms, reply.lease_ms)
        self._inherited_until = now + inherited_ms * MILLISECOND
        if reply.doubt_ms:
            self._former_deadline_ms = reply.former_deadline_ms
            self._former_lease_end = now + reply.doubt_ms * MILLISECOND
            self._uncertain_until = self._former_lease_end

    def grant(self, now):
        """Grant all runs a deadline, in ms on the server's clock.

        The caller sends the deadline to the backend server, so it is
        recorded as granted.

        Args:
            now: Monotonic time.

        Returns:
            The deadline, or None if the lease has expired, the server's
            clock is unknown, it is uncertain whether an earlier agent's
            lease has lapsed, or the deadline granted last may have passed.
            In the last case a new deadline would hide the lapse.
        """
        if self._server_clock_ms is None or self._end is None:
            return None
        if self._uncertain_until is not None:
            return None
        if now >= self._end:
            return None
        elapsed_ms = (now - self._server_clock_read_at) / MILLISECOND
        if 0 < self.deadline_ms <= self._server_clock_ms + elapsed_ms:
            return None
        remaining = self._end - self._server_clock_read_at
        deadline = self._server_clock_ms + int(remaining / MILLISECOND)
        if deadline > self.deadline_ms:
            self.deadline_ms = deadline
            drift = 1 + workflow_options.MAX_DRIFT
            self._granted_until = (
                self._server_clock_read_at + remaining * drift
            )
        return self.deadline_ms

    def has_lapsed(self, now, margin):
        """Return whether every run has certainly lapsed.

        Args:
            now: Monotonic time.
            margin: Time that the backend server may take to stop lapsed
                runs, as a timedelta.
        """
        age = self.find_expiry_age(now)
        return age is not None and age >= margin

    def find_expiry_age(self, now):
        """Return how long ago the lease has expired at the latest.

        Args:
            now: Monotonic time.

        Returns:
            A timedelta, negative before that; None if there is no lease.
        """
        ends = [
            end
            for end in (self._granted_until, self._inherited_until)
            if end is not None
        ]
        return now - max(ends) if ends else None

    def handle_listing(self, listing, now):
        """Read the server's clock and detect a lapse.

        Args:
            listing: The ``Listing``.
            now: Monotonic time at which it arrived.

        Returns:
            Whether it is known which of the listed ends count.
        """
        self._doubt_former_lease(listing, now)
        if not self._resolve_uncertain_lease(listing, now):
            return False
        if 0 < self.deadline_ms <= listing.clock_ms:
            # The lease expired: ends listed before that never count.
            self._void_ends(
                listing, "the server's clock has passed the deadline"
            )
            self.deadline_ms = 0
        self._server_clock_ms = listing.clock_ms
        self._server_clock_read_at = now
        return True

    def _void_ends(self, listing, reason):
        self._void_upto = _find_newest_end(listing)
        self._lapse = Lapse(
            reason=reason,
            deadline_ms=self.deadline_ms or self._former_deadline_ms,
            clock_ms=listing.clock_ms,
            void_upto=self._void_upto,
        )

    def take_lapse(self):
        """Return the ``Lapse`` found since the last call, or None."""
        lapse, self._lapse = self._lapse, None
        return lapse

    def void_lapsed_ends(self, ends):
        """Return the ends, with those that a lapse has voided marked so.

        Args:
            ends: The ``RunEnd`` rows.
        """
        return _void_lapsed_ends(ends, self._void_upto)

    def _doubt_former_lease(self, listing, now):
        """Doubt the former lease again once the known deadline has passed.

        An earlier agent may have granted a later one that it did not report;
        the deadline granted here is earlier than that one if it was computed
        from a clock that was read late.
        """
        former_end = self._former_lease_end
        may_last = former_end is not None and now < former_end
        if may_last and 0 < self.deadline_ms <= listing.clock_ms:
            self.deadline_ms = 0
            self._uncertain_until = former_end

    def _resolve_uncertain_lease(self, listing, now):
        """Determine whether the lease expired under an earlier agent.

        Ends from before a lapse never count, all others always do. While it
        is uncertain whether there was a lapse, the lease is not renewed, so
        that the lapse becomes certain in the end.

        Returns:
            Whether the answer is known.
        """
        if self._uncertain_until is None:
            return True
        if listing.clock_ms < self._former_deadline_ms:
            self.deadline_ms = self._former_deadline_ms
        elif now >= self._uncertain_until:
            self._void_ends(
                listing, "an earlier agent's lease has certainly expired"
            )
        elif not self._is_lapse_harmless(listing):
            return False
        self._uncertain_until = None
        return True

    def _is_lapse_harmless(self, listing):
        if all(end.how != DONE for end in listing.ends):
            return True
        # No former deadline is known, and a run that is still present
        # shows that the lease has not expired.
        return bool(listing.running) and not self._former_deadline_ms


def _find_newest_end(listing):
    """Return the number of the newest end in a listing, 0 for none."""
    return max((end.number for end in listing.ends), default=0)


def _void_lapsed_ends(ends, void_upto):
    """Return the ends, with those that a lapse has voided marked as lapsed.

    An end that the leader had not acknowledged when the lease expired does
    not count: the leader may have started the task on another server since.

    Args:
        ends: The ``RunEnd`` rows.
        void_upto: Number up to which all ends are void.
    """
    lapsed = [end.number for end in ends if end.how == LAPSED]
    void_upto = max([void_upto, *lapsed])
    return [
        workflow_commands.RunEnd(end.number, end.run, LAPSED, end.checkpoint)
        if end.how == DONE and end.number <= void_upto
        else end
        for end in ends
    ]
