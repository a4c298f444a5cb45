"""Orders of operators on availability zones, one after the other.

Orders carry no version, so the one that is committed last counts. An order
that was held up on its way would undo those given since, so an order that may
be older than the last one on its zone is rejected. Its sender, if it still
waits, sends it again, and that one is newer.
"""

import threading

from bilberryhaven import clock as clocks
from bilberryhaven.commands import zone as zone_commands
from bilberryhaven import errors
from bilberryhaven import log

__all__ = ['ZoneOrders']

# Longest wait for the commit of another order.
MAX_WAIT = clocks.seconds(0.5)
RETRY_AFTER_S = 1
DECISIONS = {
    zone_commands.WithdrawZone: 'withdraw zone',
    zone_commands.RestoreZone: 'restore zone',
}

_logger = log.get_logger('workflow')


class ZoneOrders:
    """Checks, commits and logs orders on availability zones.

    When an order was given is known to this instance's steady clock only. Of
    an order of an earlier term it is known that it was given before this term
    began.

    Args:
        clock: The ``Clock``.
        zones: Names of the availability zones that are known besides those
            of backend servers and of earlier orders.
    """

    def __init__(self, *, clock, zones=()):
        self._clock = clock
        self._zones = frozenset(zones)
        self._lock = threading.Lock()
        self._term, self._began_at = 0, None
        # (term, steady time) of the last order, by zone.
        self._given = {}
        self.outdated = 0

    def begin_term(self, term):
        """Note that a term of this instance as the leader has begun."""
        self._term, self._began_at = term, self._clock.monotonic()

    def commit(self, leader, command, *, relayed=None, by=''):
        """Commit an order.

        Args:
            leader: Has ``read`` and ``propose``, as the ``Dispatcher`` does.
            command: The ``WithdrawZone`` or ``RestoreZone`` command.
            relayed: The ``Relayed`` message that it came with, or None.
            by: Who gives the order, if known.

        Raises:
            NotFoundError: There is no such availability zone.
            NotLeaderError: This instance is not the leader.
            OutdatedError: It may be older than the last order on the zone.
            UnavailableError: Another order isn't committed in time.
        """
        # An order that was checked must not be overtaken by another one.
        if not self._lock.acquire(timeout=MAX_WAIT.total_seconds()):
            raise errors.UnavailableError(
                'another order on a zone is being committed',
                step='commit order',
                retry_after=RETRY_AFTER_S,
            )
        try:
            with leader.read() as state:
                self._check_known(state, command.zone)
                is_known = command.zone in state.zones
                changes = state.zones.is_withdrawn(command.zone) != isinstance(
                    command, zone_commands.WithdrawZone
                )
            term, began_at = self._term, self._began_at
            given_at = self._find_last(command.zone, term, began_at, is_known)
            # One that changes nothing does no harm, whenever it was sent.
            if changes and (is_known or given_at is not None):
                self._check_order(command, relayed, given_at)
            self._given[command.zone] = (term, self._clock.monotonic())
            changed = leader.propose(command, term=term)
        finally:
            self._lock.release()
        log.log_decision(
            _logger,
            DECISIONS[type(command)],
            reason='requested by an operator'
            if changed
            else 'requested again; nothing changes',
            zone=command.zone,
            by=by,
            **self._describe_sending(relayed),
        )

    def _check_known(self, state, name):
        known = (
            name in self._zones
            or name in state.zones
            or state.backends.count('zone', name)
        )
        if not name or not known:
            raise errors.NotFoundError(
                f'there is no availability zone {name!r}', step='find zone'
            )

    def _find_last(self, zone, term, began_at, is_known):
        """Return the latest time at which the last order was given, or None.

        It is None if there was none, or if nothing is known of the time.
        """
        given_term, given_at = self._given.get(zone, (0, None))
        if given_at is not None and given_term == term:
            return given_at
        return began_at if is_known else None

    def _check_order(self, command, relayed, given_at):
        if relayed is None or relayed.sent_after is None:
            return
        if given_at is not None and relayed.sent_after > given_at:
            return
        self.outdated += 1
        log.log_decision(
            _logger,
            'reject order',
            reason='it may be older than the last order on the zone',
            order=DECISIONS[type(command)],
            zone=command.zone,
            last_order_s=given_at
            and log.round_seconds(self._clock.monotonic() - given_at),
            **self._describe_sending(relayed),
        )
        raise errors.OutdatedError(
            f'the order may be older than the last one on {command.zone}',
            step='commit order',
            retry_after=RETRY_AFTER_S,
        )

    def _describe_sending(self, relayed):
        if relayed is None:
            return {}
        return relayed.describe_sending(self._clock.monotonic())
