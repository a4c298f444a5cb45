"""Renewal of the entry's view and lease from the leader."""

import dataclasses
import datetime
import threading

from bilberryhaven import actor
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['Renew', 'SyncActor']

RENEWAL_TIMEOUT = datetime.timedelta(seconds=2)
MIN_RENEWAL_INTERVAL = datetime.timedelta(milliseconds=20)

_logger = log.get_logger('sync')


@dataclasses.dataclass(kw_only=True, frozen=True)
class Renew:
    """Command to renew the view.

    Attributes:
        requested_at: Monotonic time; a renewal that was sent at or after it
            satisfies the command.
    """

    requested_at: datetime.timedelta


class SyncActor(actor.ResilientActor):
    """Renews the lease and applies the leader's changes to the view.

    Args:
        name: Name of the entry.
        view: Its ``View``.
        lock: Lock that guards the view.
        leader: A ``LeaderClient``.
        clock: Source of time.
    """

    def __init__(self, *, name, view, lock, leader, clock):
        super().__init__()
        self._name = name
        self._view = view
        self._lock = lock
        self._leader = leader
        self._clock = clock
        self._sent_at = datetime.timedelta(microseconds=-1)
        self._failing = False
        self._pause = threading.Event()

    def handle(self, renewal):
        """Renew the view unless a renewal was sent since the request.

        Renewals are at least ``MIN_RENEWAL_INTERVAL`` apart, so that many
        requests that find no instance do not overload the leader.
        """
        if renewal.requested_at > self._sent_at:
            delay = (
                self._sent_at + MIN_RENEWAL_INTERVAL - self._clock.monotonic()
            )
            self._pause.wait(max(delay.total_seconds(), 0.0))
            self._renew()

    def _renew(self):
        view = self._view
        request = message.SyncRequest(
            entry=self._name,
            zone=view.zone,
            revision=view.revision,
            feed=view.feed,
            cursor=view.cursor,
        )
        sent_at = self._clock.monotonic()
        try:
            reply = self._leader.send(
                request, timeout=RENEWAL_TIMEOUT, step='sync'
            )
        except errors.BilberryhavenError as error:
            self._log_failure(error)
            return
        with self._lock:
            now = self._clock.monotonic()
            view.apply(reply, sent_at=sent_at, now=now)
        self._sent_at = sent_at
        self._failing = False

    def _log_failure(self, error):
        if not self._failing:
            _logger.warning(
                'could not renew the view from the leader: {}', error
            )
        self._failing = True
