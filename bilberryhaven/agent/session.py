"""An agent's session with control: lease, epoch and reported events."""

import dataclasses
import datetime

from bilberryhaven import log
from bilberryhaven import util
from bilberryhaven.wire import message

__all__ = ['Session']

MILLISECOND = datetime.timedelta(milliseconds=1)

_logger = log.get_logger('session')


class Session:
    """State of one session; does no I/O.

    Args:
        announcement: The instance, as it is announced.
        first_event: Number of the first event; higher than any number that
            an earlier incarnation used.

    Attributes:
        epoch: Epoch of the session; 0 without one.
        revision: Highest revision received.
        lease: Duration of the last lease.
        lease_until: Monotonic time at which the lease expires.
    """

    def __init__(self, *, announcement, first_event):
        self._announcement = announcement
        self._opening_key = util.create_id('opening')
        self._events = []
        self._first_event = first_event
        self.epoch = 0
        self.revision = 0
        self.lease = datetime.timedelta()
        self.lease_until = datetime.timedelta()

    def resume(self, epoch):
        """Resume the session of an earlier incarnation."""
        self.epoch = epoch

    def report(self, event):
        """Queue an event; heartbeats repeat it until it is acknowledged."""
        self._events.append(event)

    @property
    def pending_events(self):
        """Unacknowledged events, oldest first."""
        return list(self._events)

    def build_heartbeat(self, *, load, usage, running, leaving):
        """Return the next ``Heartbeat``."""
        announcement = message.Announcement()
        if not self.epoch:
            # If only the reply was lost, a resend with the same key gets the
            # session that the first heartbeat opened.
            announcement = dataclasses.replace(
                self._announcement, opening=self._opening_key
            )
        return message.Heartbeat(
            instance=self._announcement.name,
            epoch=self.epoch,
            revision=self.revision,
            announcement=announcement,
            load=load,
            first_event=self._first_event,
            events=list(self._events),
            usage=usage,
            running=running,
            leaving=leaving,
        )

    def accept(self, reply, sent_at):
        """Apply the reply to the heartbeat sent at ``sent_at``.

        Returns:
            Whether the lease was renewed.
        """
        if reply.code == 'fenced':
            _logger.warning('session {} was fenced', self.epoch)
            self.close()
            return False
        if reply.code or not reply.epoch:
            _logger.warning(
                'heartbeat reply without a session: {} {}',
                reply.code or 'epoch 0',
                reply.message,
            )
            return False
        if reply.epoch != self.epoch:
            self.close()
            self.epoch = reply.epoch
        self.lease = reply.lease_ms * MILLISECOND
        self.lease_until = max(self.lease_until, sent_at + self.lease)
        self.revision = max(self.revision, reply.revision)
        self._acknowledge(reply.acked_events)
        return True

    def close(self):
        """Close the session and discard its unacknowledged events."""
        self._first_event += len(self._events)
        self._events.clear()
        self._opening_key = util.create_id('opening')
        self.epoch = 0
        self.lease = datetime.timedelta()
        self.lease_until = datetime.timedelta()

    def has_lapsed(self, now):
        """Return whether the lease has expired."""
        return now >= self.lease_until

    def _acknowledge(self, acked):
        count = min(max(acked - self._first_event, 0), len(self._events))
        del self._events[:count]
        self._first_event += count
