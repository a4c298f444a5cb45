"""Relays agents' heartbeats to the leader, in batches."""

import concurrent.futures
import dataclasses
import datetime

import pykka

from bilberryhaven import errors
from bilberryhaven.wire import message

__all__ = ['Flush', 'HeartbeatActor', 'QueuedHeartbeat']

WINDOW = datetime.timedelta(milliseconds=50)
# Less than an agent's wait: the leader must not open a session for an agent
# that has given up on the reply and asks another entry.
TIMEOUT = datetime.timedelta(milliseconds=500)
MAX_BATCH = 512
SENDERS = 4


@dataclasses.dataclass(kw_only=True, frozen=True)
class QueuedHeartbeat:
    """A heartbeat that waits for its reply."""

    heartbeat: message.Heartbeat
    future: concurrent.futures.Future


@dataclasses.dataclass(kw_only=True, frozen=True)
class Flush:
    """Send what has been collected."""


class HeartbeatActor(pykka.ThreadingActor):
    """Collects heartbeats for a short time and sends them as one batch.

    Args:
        name: Name of the entry.
        leader: A ``LeaderClient``.
        on_revision: Called with the newest revision in the replies, before
            any agent gets its own.
    """

    use_daemon_thread = True

    def __init__(self, *, name, leader, on_revision):
        super().__init__()
        self._name = name
        self._leader = leader
        self._on_revision = on_revision
        self._offers = []
        self._senders = concurrent.futures.ThreadPoolExecutor(
            max_workers=SENDERS, thread_name_prefix='relay'
        )

    def on_receive(self, order):
        """Collect a heartbeat, or send the batch."""
        if isinstance(order, QueuedHeartbeat):
            self._offers.append(order)
        if isinstance(order, Flush) or len(self._offers) >= MAX_BATCH:
            self._flush()

    def on_stop(self):
        """Send what is left."""
        self._flush()
        self._senders.shutdown(wait=False)

    def _flush(self):
        offers, self._offers = self._offers, []
        if offers:
            self._senders.submit(self._send, offers)

    def _send(self, offers):
        batch = message.HeartbeatBatch(
            entry=self._name, heartbeats=[offer.heartbeat for offer in offers]
        )
        try:
            replies = self._exchange(batch)
        except Exception as error:  # noqa: BLE001
            for offer in offers:
                offer.future.set_exception(error)
            return
        for offer in offers:
            reply = replies.get(offer.heartbeat.instance)
            if reply is None:
                error = errors.PeerError('no reply in the batch', step='relay')
                offer.future.set_exception(error)
            else:
                offer.future.set_result(reply)

    def _exchange(self, batch):
        answer = self._leader.send(batch, timeout=TIMEOUT, step='relay')
        newest = max((reply.revision for reply in answer.replies), default=0)
        self._on_revision(newest)
        return {reply.instance: reply for reply in answer.replies}
