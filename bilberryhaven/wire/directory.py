"""Addresses of the quorum's members, as far as a process knows them."""

import itertools
import random
import threading

from bilberryhaven import border
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['MemberDirectory']

# From this age on, members have to be confirmed again. Long enough that a
# fleet's requests are few beside its other traffic.
REFRESH_AGE = clocks.seconds(5)
# From this age on, the members may all have been replaced, so that the seeds
# are asked for the leader, too.
STALE_AGE = clocks.seconds(15)
MAX_MEMBERS = 64
MAX_AGE_MS = 2**32 - 1  # of the message's field
MILLISECOND = clocks.seconds(0.001)

_logger = log.get_logger('discovery')


class MemberDirectory:
    """Addresses of the quorum's members, with the time of confirmation.

    A member that follows a leader confirms the members in its log. Any other
    process passes on what it was last sent, with the age of the confirmation;
    the most recent one replaces all earlier ones. Seeds and stored members
    are only contacts to ask, since they may be out of date.

    Args:
        clock: The ``Clock``.
        seeds: Addresses of control instances in the settings.
        local: Address at which a control instance on this host listens, or
            would listen; empty if there is none.
        on_changed: Called with the members when they have changed, on any
            thread; must not raise.
    """

    def __init__(self, *, clock, seeds=(), local='', on_changed=None):
        self._clock = clock
        self._local = local
        self._on_changed = on_changed or (lambda members: None)
        self._seeds = list(seeds)
        self._stored = []
        self._members = []
        self._confirmed_at = None
        # Spreads the processes over the members, each of which then has the
        # connections of its share only.
        self._first_asked = random.randrange(MAX_MEMBERS)
        self._rotation = itertools.count()
        self._lock = threading.Lock()

    @property
    def seeds(self):
        """Addresses of control instances in the settings."""
        return list(self._seeds)

    @property
    def members(self):
        """Addresses of the members; empty before the first confirmation."""
        return list(self._members)

    def set_seeds(self, seeds):
        """Replace the seeds, unless there are none."""
        if seeds:
            self._seeds = list(seeds)

    def set_stored(self, addresses):
        """Set the members that were stored before the process started."""
        self._stored = list(addresses)

    def confirm(self, members, confirmed_at):
        """Take over members unless there is a more recent confirmation.

        Args:
            members: Their addresses.
            confirmed_at: Monotonic time at which they were confirmed, a
                timedelta.
        """
        with self._lock:
            known_at = self._confirmed_at
            is_older = known_at is not None and confirmed_at < known_at
            if is_older or not members:
                return
            self._confirmed_at = confirmed_at
            changed = set(members) != set(self._members)
            if changed:
                self._members = list(members)
        if changed:
            log.log_decision(
                _logger,
                'note members',
                reason='the members of the quorum were confirmed',
                members=members,
                age_s=round(
                    (self._clock.monotonic() - confirmed_at).total_seconds(), 3
                ),
                seeds=self._seeds,
            )
            self._on_changed(list(members))

    def handle(self, request):
        """Take over the members in a ``MembersRequest``; return the reply.

        Raises:
            BadInputError: The members are not addresses.
        """
        self.confirm_message(request, self._clock.monotonic())
        members, age_ms = self.describe()
        return message.MembersReply(members=members, age_ms=age_ms)

    def confirm_message(self, msg, reference):
        """Take over the members in a request or reply.

        Args:
            msg: The ``MembersRequest`` or ``MembersReply``.
            reference: Monotonic time from which its age counts, a timedelta.

        Raises:
            BadInputError: The members are not addresses.
        """
        if len(msg.members) > MAX_MEMBERS:
            raise errors.BadInputError(
                f'{len(msg.members)} members, expected at most {MAX_MEMBERS}',
                step='read members',
            )
        for address in msg.members:
            border.parse_peer(address)
        self.confirm(msg.members, reference - msg.age_ms * MILLISECOND)

    def describe(self):
        """Return the (members, age in ms) pair to send to other processes."""
        with self._lock:
            if self._confirmed_at is None:
                return [], 0
            age = self._clock.monotonic() - self._confirmed_at
            return list(self._members), min(age // MILLISECOND, MAX_AGE_MS)

    def is_due(self):
        """Return whether the members have to be confirmed again."""
        return self._is_older_than(REFRESH_AGE)

    def list_addresses(self):
        """Return the addresses at which to look for the leader."""
        if not self._is_older_than(STALE_AGE):
            return self.members
        return _list_unique(self._members, self._stored, self._seeds)

    def list_contacts(self):
        """Return the addresses to ask for the members, best ones first."""
        members = self.members
        if members:
            shift = self._first_asked % len(members)
            members = [*members[shift:], *members[:shift]]
        local = [self._local] if self._local else []
        return _list_unique(members, self._seeds, self._stored, local)

    def list_unaware_seeds(self):
        """Return the seeds that are no members."""
        return [seed for seed in self._seeds if seed not in self._members]

    def choose_member(self):
        """Return a member to redirect a request to.

        Empty if none is known, or if the control instance of this process is
        a member itself: without a leader, members would redirect to each
        other.
        """
        members = self.members
        if not members or self._local in members:
            return ''
        return members[next(self._rotation) % len(members)]

    def _is_older_than(self, age):
        with self._lock:
            return (
                self._confirmed_at is None
                or self._clock.monotonic() - self._confirmed_at >= age
            )


def _list_unique(*groups):
    return list(dict.fromkeys(itertools.chain(*groups)))
