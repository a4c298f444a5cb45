"""Sends heartbeats to the leader: relayed by entries or directly."""

import dataclasses
import datetime
import zlib

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['LeaderClient', 'TimedReply']

ATTEMPT_TIMEOUT = clocks.seconds(0.8)
MAX_TARGETS = 3

_logger = log.get_logger('links')


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class TimedReply:
    """A reply, with the monotonic time at which its heartbeat was sent."""

    reply: message.HeartbeatReply
    sent_at: datetime.timedelta


class LeaderClient:
    """Sends heartbeats to entries in turn, else to control instances.

    Args:
        client: The ``wire.client.Client``.
        entries: Addresses of entries.
        list_control: Function that returns the addresses of the control
            instances to ask.
        name: Name of the agent; its hash picks the first entry, which
            spreads agents over the entries.
        clock: Source of the monotonic time.
    """

    def __init__(self, *, client, entries, list_control, name, clock):
        self._client = client
        self._clock = clock
        first = zlib.crc32(name.encode()) % max(len(entries), 1)
        self._entries = [*entries[first:], *entries[:first]]
        self._list_control = list_control
        self._control = []
        self._leader = ''

    def send(self, heartbeat):
        """Return the ``TimedReply`` of the first target that replies.

        Raises:
            UnavailableError: No target reached a leader.
        """
        failures = []
        for address in self._list_targets():
            sent_at = self._clock.monotonic()
            try:
                reply = self._send_to(address, heartbeat)
                return TimedReply(reply=reply, sent_at=sent_at)
            except errors.BilberryhavenError as error:
                failures.append(f'{address}: {error.code}')
                self._move_to_end(address)
        raise errors.UnavailableError(
            f'no leader reached: {"; ".join(failures) or "no addresses set"}',
            step='heartbeat',
        )

    def _list_targets(self):
        # Addresses that failed stay at the end.
        listed = self._list_control()
        self._control = [
            *[known for known in self._control if known in listed],
            *[new for new in listed if new not in self._control],
        ]
        leader = [self._leader] if self._leader else []
        others = [target for target in self._control if target != self._leader]
        return [*self._entries[:2], *leader, *others][:MAX_TARGETS]

    def _send_to(self, address, heartbeat):
        try:
            reply = self._exchange(address, heartbeat)
        except errors.NotLeaderError as error:
            if not error.peer or error.peer == address:
                raise
            self._leader = error.peer
            reply = self._exchange(error.peer, heartbeat)
        if reply.code in ('not_leader', 'unavailable'):
            raise errors.UnavailableError(reply.message, step='heartbeat')
        return reply

    def _exchange(self, address, heartbeat):
        reply = self._client.send(
            address, heartbeat, timeout=ATTEMPT_TIMEOUT, step='heartbeat'
        )
        if not isinstance(reply, message.HeartbeatReply):
            raise errors.PeerError(
                f'unexpected reply {type(reply).__name__}',
                step='heartbeat',
                peer=address,
            )
        return reply

    def _move_to_end(self, address):
        for targets in (self._entries, self._control):
            if address in targets:
                targets.remove(address)
                targets.append(address)
        if address == self._leader:
            self._leader = ''
