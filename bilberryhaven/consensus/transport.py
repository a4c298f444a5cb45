"""Transport of messages between replicas."""

import abc
import queue
import threading

from bilberryhaven import clock
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message

__all__ = ['Transport', 'WireTransport']

QUEUE_MESSAGES = 256
BATCH_BYTES = 2 * 1024 * 1024
SEND_TIMEOUT = clock.seconds(1.0)
POLL_SECONDS = 0.5

_logger = log.get_logger('consensus')


class Transport(abc.ABC):
    """Sends messages, which may be lost, duplicated or reordered."""

    @abc.abstractmethod
    def bind(self, name, deliver):
        """Prepare to send.

        Args:
            name: Name of the sending replica.
            deliver: Callback that receives the messages returned by a peer
                as a list of bytes, on any thread.
        """

    @abc.abstractmethod
    def send(self, address, messages):
        """Send a list of encoded messages without blocking."""

    @abc.abstractmethod
    def close(self):
        """Stop sending."""


class WireTransport(Transport):
    """Sends messages as ``ConsensusBatch``, one batch at a time per peer.

    Args:
        client: The ``wire.client.Client``.
    """

    def __init__(self, *, client):
        self._client = client
        self._name = ''
        self._deliver = None
        self._queues = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def bind(self, name, deliver):
        """Prepare to send as ``name``."""
        self._name = name
        self._deliver = deliver

    def send(self, address, messages):
        """Queue messages for ``address``; drop them if the queue is full."""
        outbound = self._get_queue(address)
        for msg in messages:
            try:
                outbound.put_nowait(msg)
            except queue.Full:
                return

    def close(self):
        """Stop the sender threads."""
        self._closed.set()

    def _get_queue(self, address):
        with self._lock:
            if address not in self._queues:
                outbound = queue.Queue(QUEUE_MESSAGES)
                self._queues[address] = outbound
                threading.Thread(
                    target=self._run,
                    args=(address, outbound),
                    name=f'consensus to {address}',
                    daemon=True,
                ).start()
            return self._queues[address]

    def _run(self, address, outbound):
        while not self._closed.is_set():
            batch = _take_batch(outbound)
            if batch:
                self._send_batch(address, batch, outbound)

    def _send_batch(self, address, batch, outbound):
        msg = message.ConsensusBatch(sender=self._name, messages=batch)
        try:
            reply = self._client.send(
                address, msg, timeout=SEND_TIMEOUT, step='consensus'
            )
        except errors.BilberryhavenError as error:
            _logger.debug('cannot send batch to {}: {}', address, error)
            _discard_queued(outbound)
            return
        if reply.messages and not self._closed.is_set():
            self._deliver(reply.messages)


def _take_batch(outbound):
    try:
        batch = [outbound.get(timeout=POLL_SECONDS)]
    except queue.Empty:
        return []
    size = len(batch[0])
    while size < BATCH_BYTES:
        try:
            batch.append(outbound.get_nowait())
        except queue.Empty:
            break
        size += len(batch[-1])
    return batch


def _discard_queued(outbound):
    # Messages queued for an unreachable peer are out of date.
    while True:
        try:
            outbound.get_nowait()
        except queue.Empty:
            return
