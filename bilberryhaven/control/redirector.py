"""Redirection to the voters by control instances without a disk.

An instance without a disk keeps no replica, and the seeds in its settings may
all be instances without a disk. The voters know each other from the log and
announce their addresses to such instances.
"""

import itertools

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message as wire_message
from bilberryhaven.wire import server
from bilberryhaven.workflow import message

__all__ = ['MemberAnnouncer', 'LeaderRedirector']

# Longer than a round trip between availability zones, shorter than the
# interval between announcements.
ANNOUNCE_TIMEOUT = clocks.seconds(0.4)
THREADS = 16

_logger = log.get_logger('control')


class LeaderRedirector:
    """Rejects requests for the leader with the address of a voter.

    Args:
        address: HOST:PORT to listen on.
        on_members: Called with the addresses of the members on each
            announcement.

    Attributes:
        members: Addresses from the latest announcement.
    """

    def __init__(self, *, address, on_members):
        self._on_members = on_members
        self._rotation = itertools.count()
        self.members = []
        self._server = server.Server(
            address=address,
            handlers={wire_message.WorkRequest: self.handle},
            threads=THREADS,
        )

    def start(self):
        """Start listening."""
        self._server.start()

    def stop(self):
        """Stop listening."""
        self._server.stop()

    def handle(self, request):
        """Return the ``WorkReply`` to an announcement.

        Raises:
            NotLeaderError: It is any other request; the error's ``peer`` is
                one of the voters.
        """
        announcement = message.decode_request(request.body)
        if isinstance(announcement, message.Announce):
            self._update_members(announcement)
            reply = message.encode(message.AnnounceReply())
            return wire_message.WorkReply(body=reply)
        members = self.members
        voter = members[next(self._rotation) % len(members)] if members else ''
        raise errors.NotLeaderError(
            'this instance has no disk and keeps no replica',
            step='relay',
            peer=voter,
        )

    def _update_members(self, announcement):
        if announcement.members != self.members:
            log.log_decision(
                _logger,
                'note voters',
                reason='a member announced the members',
                members=announcement.members,
            )
        self.members = announcement.members
        self._on_members(announcement.members)


class MemberAnnouncer:
    """Announces the members to the seeds that are not members.

    Args:
        replica: The ``Replica``.
        client: A ``wire`` client.
        list_seeds: Function that returns the seeds' addresses.
    """

    def __init__(self, *, replica, client, list_seeds):
        self._replica = replica
        self._client = client
        self._list_seeds = list_seeds

    def tick(self):
        """Announce the members if this instance is one."""
        rows = self._replica.status().members
        members = [row.address for row in rows]
        if self._replica.address not in members:
            return
        body = message.encode(message.Announce(members=members))
        request = wire_message.WorkRequest(body=body)
        for seed in self._list_seeds():
            if seed in members:
                continue
            try:
                self._client.send(
                    seed, request, timeout=ANNOUNCE_TIMEOUT, step='announce'
                )
            except errors.BilberryhavenError as error:
                _logger.debug('could not announce the members: {}', error)
