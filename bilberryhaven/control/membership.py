"""Membership of the quorum: replaces failed members without an operator."""

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.workflow import message

__all__ = ['JoinRequester', 'MembershipController']

# A voter that has not answered for this long is replaced if another instance
# asks to join. Longer than an election, so that a change of leader does not
# cause a replacement.
VOTER_TIMEOUT = clocks.seconds(2)
# A learner that has not answered for this long is removed, since no other
# member can be added while there is a learner.
LEARNER_TIMEOUT = clocks.seconds(3)
# A member that has known no leader for this long asks whether it still is a
# member.
NO_LEADER_TIMEOUT = clocks.seconds(3)
JOIN_TIMEOUT = clocks.seconds(1)

_logger = log.get_logger('control')


class MembershipController:
    """Changes the members one at a time; runs on the leader.

    Args:
        replica: The ``Replica``.
        clock: The ``Clock``.
        voters: Target number of voters.
    """

    def __init__(self, *, replica, clock, voters):
        self._replica = replica
        self._clock = clock
        self._voter_count = voters

    def admit(self, request):
        """Add the instance that sent a ``Join`` if a voter is needed.

        Returns:
            Whether the instance is a member now.
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
        """Remove a failed voter once there are more voters than needed."""
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
            reason='a member failed or the quorum lacks a voter',
            add=change.get('add'),
            remove=change.get('remove'),
        )
        try:
            self._replica.change_members(**change)
        except errors.RefusedError as error:
            _logger.info('membership change was rejected: {}', error)


class JoinRequester:
    """Asks the leader to add this instance while it is not a member.

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
        """Send a ``Join`` unless this is a member that knows a leader."""
        status = self._replica.status()
        now = self._clock.monotonic()
        if status.leader:
            self._leader_seen_at = now
        if status.fault:
            # Without a working disk it would be removed again as a learner
            # that does not answer, and keep others from being added.
            return
        member = self._replica.name in {row.name for row in status.members}
        if member and now - self._leader_seen_at < NO_LEADER_TIMEOUT:
            return
        request = message.Join(
            name=self._replica.name, address=self._replica.address
        )
        try:
            self._gateway.send(request, timeout=JOIN_TIMEOUT, step='join')
        except errors.BilberryhavenError as error:
            _logger.debug('join request failed: {}', error)
