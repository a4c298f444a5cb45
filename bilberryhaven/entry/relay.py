"""Forwards agents' heartbeats to the leader in batches."""

import concurrent.futures
import dataclasses
import datetime

from bilberryhaven import actor
from bilberryhaven import errors
from bilberryhaven.wire import message

__all__ = ['Flush', 'HeartbeatActor', 'QueuedHeartbeat']

FLUSH_INTERVAL = datetime.timedelta(milliseconds=50)
# Must be shorter than the agent's time-out for a heartbeat. Otherwise the
# leader could open a session for an agent that has already timed out and
# retried through another entry.
TIMEOUT = datetime.timedelta(milliseconds=500)
MAX_BATCH = 512
SENDERS = 4


@dataclasses.dataclass(kw_only=True, frozen=True)
class QueuedHeartbeat:
    """A heartbeat and the future that receives its reply."""

    heartbeat: message.Heartbeat
    future: concurrent.futures.Future


@dataclasses.dataclass(kw_only=True, frozen=True)
class Flush:
    """Send the queued heartbeats."""


class HeartbeatActor(actor.ResilientActor):
    """Queues heartbeats briefly and sends them as one batch.

    Replies are matched by their position: an instance that was replaced may
    have two agents, each with a session or a refusal of its own.

    Args:
        name: Name of the entry.
        leader: A ``LeaderClient``.
        on_revision: Called with the newest revision in the replies, before
            any agent gets its reply.
    """

    def __init__(self, *, name, leader, on_revision):
        super().__init__()
        self._name = name
        self._leader = leader
        self._on_revision = on_revision
        self._queued = []
        self._senders = concurrent.futures.ThreadPoolExecutor(
            max_workers=SENDERS, thread_name_prefix='relay'
        )

    def handle(self, command):
        """Queue a heartbeat; send the batch when full or on ``Flush``."""
        if isinstance(command, QueuedHeartbeat):
            self._queued.append(command)
        if isinstance(command, Flush) or len(self._queued) >= MAX_BATCH:
            self._flush()

    def on_stop(self):
        """Send the heartbeats that are still queued."""
        self._flush()
        self._senders.shutdown(wait=False)

    def _flush(self):
        batch_items, self._queued = self._queued, []
        if batch_items:
            self._senders.submit(self._send, batch_items)

    def _send(self, batch_items):
        batch = message.HeartbeatBatch(
            entry=self._name,
            heartbeats=[item.heartbeat for item in batch_items],
        )
        try:
            replies = self._exchange(batch)
        except Exception as error:  # noqa: BLE001
            for item in batch_items:
                item.future.set_exception(error)
            return
        for item, reply in zip(batch_items, replies, strict=True):
            if reply.instance == item.heartbeat.instance:
                item.future.set_result(reply)
            else:
                item.future.set_exception(
                    _build_mismatch('the reply is to another heartbeat')
                )

    def _exchange(self, batch):
        batch_reply = self._leader.send(batch, timeout=TIMEOUT, step='relay')
        newest = max(
            (reply.revision for reply in batch_reply.replies), default=0
        )
        self._on_revision(newest)
        if len(batch_reply.replies) != len(batch.heartbeats):
            raise _build_mismatch(
                'the batch has not a reply to each heartbeat'
            )
        return batch_reply.replies


def _build_mismatch(text):
    return errors.PeerError(text, step='relay')
