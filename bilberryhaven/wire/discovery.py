"""Keeps a directory of the quorum's members up to date."""

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['INTERVAL', 'Discovery']

# A process that was restarted knows the members after about a second.
INTERVAL = clocks.seconds(1)
# Longer than a round trip between availability zones, shorter than the
# interval, so that a peer that does not answer delays the others little.
TIMEOUT = clocks.seconds(0.4)

_logger = log.get_logger('discovery')


class Discovery:
    """Asks other processes for the members and sends them to the seeds.

    Args:
        directory: The ``MemberDirectory``.
        client: A ``wire`` client.
        clock: The ``Clock``.
        replica: The ``Replica`` of this process, or None without one.
    """

    def __init__(self, *, directory, client, clock, replica=None):
        self._directory = directory
        self._client = client
        self._clock = clock
        self._replica = replica
        self._found = None

    def handle(self, request):
        """Return the ``MembersReply`` to another process's request.

        Raises:
            BadInputError: The members in the request are not addresses.
        """
        self._confirm_from_log()
        return self._directory.handle(request)

    def tick(self):
        """Confirm the members from the log, or ask for them if it is due."""
        if self._confirm_from_log():
            self._announce()
        elif self._directory.is_due():
            self._ask()
        self._log_found(not self._directory.is_due())

    def _confirm_from_log(self):
        """Confirm the members if this process is one and has a leader."""
        if self._replica is None:
            return False
        status = self._replica.status()
        members = [row.address for row in status.members]
        if not status.leader or self._replica.address not in members:
            return False
        self._directory.confirm(members, self._clock.monotonic())
        return True

    def _announce(self):
        for seed in self._directory.list_unaware_seeds():
            self._exchange(seed)

    def _ask(self):
        for address in self._directory.list_contacts():
            self._exchange(address)
            if not self._directory.is_due():
                return

    def _exchange(self, address):
        members, age_ms = self._directory.describe()
        request = message.MembersRequest(members=members, age_ms=age_ms)
        sent_at = self._clock.monotonic()
        try:
            reply = self._client.send(
                address, request, timeout=TIMEOUT, step='exchange members'
            )
            if not isinstance(reply, message.MembersReply):
                raise errors.PeerError(
                    f'expected a MembersReply, got {type(reply).__name__}',
                    step='exchange members',
                    peer=address,
                )
            # The age was measured after the request was sent.
            self._directory.confirm_message(reply, sent_at)
        except errors.BilberryhavenError as error:
            _logger.debug('no members from {}: {}', address, error)

    def _log_found(self, found):
        if found == self._found:
            return
        self._found = found
        if found:
            _logger.info(
                'members of the quorum are known',
                extra={'members': self._directory.members},
            )
        else:
            _logger.warning(
                'members of the quorum are not confirmed by any contact',
                extra={'contacts': self._directory.list_contacts()},
            )
