"""Keeps the quorum whole: replaces lost members by waiting instances."""

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.workflow import message

__all__ = ['JoinRequester', 'MembershipController']

# Silence after which a voter is replaced if another instance waits: longer
# than an election, so that a change of leader replaces nobody.
VOTER_TIMEOUT = clocks.seconds(2)
# A learner that is silent for longer is given up, since it holds up others.
LEARNER_TIMEOUT = clocks.seconds(3)
# An instance that hears no leader for longer asks whether it is a member.
NO_LEADER_TIMEOUT = clocks.seconds(3)
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
        self._voter_count = voters

    def admit(self, request):
        """Add the instance of a ``Join`` if it is needed.

        Returns:
            Whether it is a member now.
        """
        members = self._replica.status().members
        if request.name in {row.name for row in members}:
            return True
        if self._remove_unresponsive_learner(members):
            return False
        voters = [row for row in members if row.voter]
        needed = len(voters) < self._voter_count or self._find_failed(voters)
        if not needed or len(voters) != len(members):
            return False
        self._change(add=(request.name, request.address))
        return True

    def tick(self):
        """Remove a lost voter once there are enough others."""
        members = self._replica.status().members
        if self._remove_unresponsive_learner(members):
            return
        voters = [row for row in members if row.voter]
        if len(voters) <= self._voter_count or len(voters) != len(members):
            return
        failed = self._find_failed(voters)
        if failed is not None:
            self._change(remove=failed.name)

    def _remove_unresponsive_learner(self, members):
        for row in members:
            if not row.voter and self._is_unresponsive(row, LEARNER_TIMEOUT):
                self._change(remove=row.name)
                return True
        return False

    def _find_failed(self, voters):
        unresponsive = [
            row for row in voters if self._is_unresponsive(row, VOTER_TIMEOUT)
        ]
        return unresponsive[0] if unresponsive else None

    def _is_unresponsive(self, row, timeout):
        if row.name == self._replica.name:
            return False
        if row.answered_at is None:
            return self._replica.leadership_duration() > timeout
        return self._clock.monotonic() - row.answered_at > timeout

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
        self._leader_seen_at = clock.monotonic()

    def tick(self):
        """Ask, if this instance is no member or hears no leader."""
        status = self._replica.status()
        now = self._clock.monotonic()
        if status.leader:
            self._leader_seen_at = now
        member = self._replica.name in {row.name for row in status.members}
        if member and now - self._leader_seen_at < NO_LEADER_TIMEOUT:
            return
        request = message.Join(
            name=self._replica.name, address=self._replica.address
        )
        try:
            self._gateway.send(request, timeout=JOIN_TIMEOUT, step='join')
        except errors.BilberryhavenError as error:
            _logger.debug('not joined: {}', error)
