"""Keeps the quorum whole: replaces lost members by waiting instances."""

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.workflow import message

__all__ = ['JoinRequester', 'MembershipController']

# Silence after which a voter is replaced if another instance waits: longer
# than an election, so that a change of leader replaces nobody.
REPLACE_AFTER = clocks.seconds(2)
# A learner that is silent for longer is given up, since it holds up others.
GIVE_UP_AFTER = clocks.seconds(3)
# An instance that hears no leader for longer asks whether it is a member.
LOST_AFTER = clocks.seconds(3)
JOIN_TIMEOUT = clocks.seconds(1)

_logger = log.get_logger('control')


class MembershipController:
    """Changes members one at a time; the leader's part.

    Args:
        replica: The ``Replica``.
        clock: The ``Clock``.
        voters: How many voters there should be.
    """

    def __init__(self, *, replica, clock, voters):
        self._replica = replica
        self._clock = clock
        self._voters = voters

    def admit(self, request):
        """Add the instance of a ``Join`` if it is needed.

        Returns:
            Whether it is a member now.
        """
        members = self._replica.status().members
        if request.name in {row.name for row in members}:
            return True
        if self._give_up_learner(members):
            return False
        voters = [row for row in members if row.voter]
        needed = len(voters) < self._voters or self._find_lost(voters)
        if not needed or len(voters) != len(members):
            return False
        self._change(add=(request.name, request.address))
        return True

    def tick(self):
        """Remove a lost voter once there are enough others."""
        members = self._replica.status().members
        if self._give_up_learner(members):
            return
        voters = [row for row in members if row.voter]
        if len(voters) <= self._voters or len(voters) != len(members):
            return
        lost = self._find_lost(voters)
        if lost is not None:
            self._change(remove=lost.name)

    def _give_up_learner(self, members):
        for row in members:
            if not row.voter and self._is_silent(row, GIVE_UP_AFTER):
                self._change(remove=row.name)
                return True
        return False

    def _find_lost(self, voters):
        silent = [row for row in voters if self._is_silent(row, REPLACE_AFTER)]
        return silent[0] if silent else None

    def _is_silent(self, row, limit):
        if row.name == self._replica.name:
            return False
        if row.answered_at is None:
            return self._replica.leadership_duration() > limit
        return self._clock.monotonic() - row.answered_at > limit

    def _change(self, **change):
        log.log_decision(
            _logger,
            'change members',
            reason='keeps the quorum whole',
            add=change.get('add'),
            remove=change.get('remove'),
        )
        try:
            self._replica.change_members(**change)
        except errors.RefusedError as error:
            _logger.info('members not changed yet: {}', error)


class JoinRequester:
    """Asks the leader to make this instance a member while it is none.

    Args:
        replica: The ``Replica``.
        gateway: The ``Gateway`` to the leader.
        clock: The ``Clock``.
    """

    def __init__(self, *, replica, gateway, clock):
        self._replica = replica
        self._gateway = gateway
        self._clock = clock
        self._heard_at = clock.monotonic()

    def tick(self):
        """Ask, if this instance is no member or hears no leader."""
        status = self._replica.status()
        now = self._clock.monotonic()
        if status.leader:
            self._heard_at = now
        member = self._replica.name in {row.name for row in status.members}
        if member and now - self._heard_at < LOST_AFTER:
            return
        request = message.Join(
            name=self._replica.name, address=self._replica.address
        )
        try:
            self._gateway.send(request, timeout=JOIN_TIMEOUT, step='join')
        except errors.BilberryhavenError as error:
            _logger.debug('not joined: {}', error)
