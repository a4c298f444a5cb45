"""The actor that runs a replica's driver on a thread of its own."""

import collections
import dataclasses
import datetime
import threading

import pykka

from bilberryhaven.consensus import driver as replica_driver
from bilberryhaven.consensus import message
from bilberryhaven.consensus import status
from bilberryhaven import errors
from bilberryhaven import log

__all__ = [
    'ChangeMembers',
    'Close',
    'Deliver',
    'TransferLeadership',
    'Propose',
    'ReplicaActor',
    'Tick',
    'View',
]

_logger = log.get_logger('consensus')


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class View:
    """Immutable view of a replica's state for other threads.

    Attributes:
        status: The ``ReplicaStatus``.
        serving: Whether it is the leader and has applied all entries of
            older terms.
        lease_end: Monotonic time at which its lease ends.
    """

    status: status.ReplicaStatus
    serving: bool = False
    lease_end: datetime.timedelta = datetime.timedelta.min


@dataclasses.dataclass(kw_only=True, slots=True)
class Propose:
    """Propose ``data``; ``callback`` receives the result or an error.

    Attributes:
        term: The only term in which it may be proposed; 0 for any.
    """

    data: bytes
    callback: object
    term: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Deliver:
    """Messages from ``sender``; ``callback``, if set, gets the replies."""

    sender: str
    messages: list
    callback: object = None


@dataclasses.dataclass(kw_only=True, slots=True)
class ChangeMembers:
    """Add a learner or remove a member."""

    add: tuple | None
    remove: str | None
    callback: object


@dataclasses.dataclass(kw_only=True, slots=True)
class TransferLeadership:
    """Start a leadership transfer."""

    to: str | None
    callback: object


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotSaved:
    """Result of saving a snapshot on another thread."""

    result: object


@dataclasses.dataclass(kw_only=True, slots=True)
class Tick:
    """Run the timers that are due."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Flush:
    """Execute the effects of the messages since the last flush."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Close:
    """Flush, fail pending proposals and close the files."""


class ReplicaActor(pykka.ThreadingActor):
    """Runs one driver; proposals that arrive between flushes are batched.

    Args:
        name: The replica's name.
        clock: The ``Clock``.
        transport: The ``Transport``.
        hold: Maximum time as a timedelta for which proposals wait during a
            leadership transfer.
        publish: Callback that receives a ``View`` after each change.
        options: Further keyword arguments of the ``Driver``, as a dict.
    """

    use_daemon_thread = True

    def __init__(self, *, name, clock, transport, hold, publish, options):
        super().__init__()
        self._name = name
        self._clock = clock
        self._transport = transport
        self._publish = publish
        self._hold = hold
        self._hold_until = None
        self._proposals = []
        self._flush_queued = False
        self._reply_callbacks = {}
        self._outbox = collections.defaultdict(list)
        self._log = log.BoundedLog(logger=_logger, clock=clock)
        self._driver = replica_driver.Driver(
            name=name,
            send=self._queue_message,
            save=self._save,
            publish=self._publish_view,
            **options,
        )
        self._handlers = {
            Propose: self._propose,
            Deliver: self._deliver,
            ChangeMembers: self._change_members,
            TransferLeadership: self._transfer_leadership,
            SnapshotSaved: self._record_snapshot,
            Tick: self._tick,
            Flush: self._flush,
            Close: self._close,
        }

    def begin(self, voters):
        """Recover from storage and join the quorum."""
        self._driver.start(voters, self._clock.monotonic())
        self._tick(None)

    def on_receive(self, message):
        """Pass a message of this module to its handler."""
        self._handlers[type(message)](message)

    def on_failure(self, exception_type, exception_value, traceback):
        """Stop participating after an unexpected exception, which is a bug."""
        fault = errors.InternalError(repr(exception_value), step='consensus')
        self._driver.fail(fault)
        self._publish_view()

    def _queue_flush(self):
        if not self._flush_queued:
            self._flush_queued = True
            self.actor_ref.tell(Flush())

    def _propose(self, msg):
        self._proposals.append(msg)
        self._queue_flush()

    def _deliver(self, msg):
        if msg.callback is not None:
            self._send_replies(msg.sender)
            self._reply_callbacks[msg.sender] = msg.callback
        now = self._clock.monotonic()
        for data in msg.messages:
            try:
                self._driver.step(message.decode(data), now)
            except errors.BadInputError as error:
                self._log.warning(
                    'message',
                    f'dropped invalid message: {error}',
                    sender=msg.sender,
                )
        self._queue_flush()

    def _change_members(self, msg):
        self._driver.change_members(
            self._clock.monotonic(),
            msg.callback,
            add=msg.add,
            remove=msg.remove,
        )
        self._queue_flush()

    def _transfer_leadership(self, msg):
        self._flush(None)
        try:
            now = self._clock.monotonic()
            result = self._driver.core.transfer_leadership(now, msg.to)
            self._hold_until = now + self._hold
        except errors.BilberryhavenError as error:
            result = error
        msg.callback(result)
        self._queue_flush()

    def _tick(self, msg):
        self._driver.tick(self._clock.monotonic())
        self._queue_flush()

    def _flush(self, msg):
        self._flush_queued = False
        now = self._clock.monotonic()
        if self._proposals and not self._must_hold_proposals(now):
            proposals, self._proposals = self._proposals, []
            self._driver.propose(self._select_current(proposals), now)
        self._driver.flush(now)
        for sender in list(self._reply_callbacks):
            self._send_replies(sender)
        for name, messages in self._outbox.items():
            address = self._driver.find_address(name)
            if address:
                self._transport.send(address, messages)
        self._outbox.clear()

    def _select_current(self, proposals):
        """Return (data, callback) pairs; refuse those of other terms."""
        current = []
        for msg in proposals:
            if msg.term in (0, self._driver.core.term):
                current.append((msg.data, msg.callback))
            else:
                msg.callback(
                    errors.NotLeaderError(
                        f'term {msg.term} of the proposal has ended',
                        step='propose',
                    )
                )
        return current

    def _must_hold_proposals(self, now):
        # A rejected proposal is told the leader's address, so proposals wait
        # until the next leader is known.
        if self._hold_until is None:
            return False
        core = self._driver.core
        transferred = core.leadership_transfer is None and core.leader
        if transferred or now >= self._hold_until:
            self._hold_until = None
        return self._hold_until is not None

    def _send_replies(self, sender):
        callback = self._reply_callbacks.pop(sender, None)
        if callback is not None:
            callback(self._outbox.pop(sender, []))

    def _queue_message(self, to, data):
        self._outbox[to].append(data)

    def _save(self, save):
        def run():
            try:
                result = save()
            except errors.StorageError as error:
                result = error
            try:
                self.actor_ref.tell(SnapshotSaved(result=result))
            except pykka.ActorDeadError:
                _logger.debug('replica stopped while storing a snapshot')

        threading.Thread(target=run, name='snapshot', daemon=True).start()

    def _record_snapshot(self, msg):
        self._driver.record_snapshot(msg.result)
        self._queue_flush()

    def _close(self, msg):
        self._hold_until = None
        self._flush(None)
        self._driver.close()
        self._publish_view()

    def _publish_view(self):
        driver = self._driver
        core = driver.core
        serving = core.is_leader and driver.applied >= core.noop_index
        lease_end = datetime.timedelta.min
        if serving:
            lease_end = core.find_lease_end(self._clock.monotonic())
        self._publish(
            View(
                status=driver.build_status(),
                serving=serving,
                lease_end=lease_end,
            )
        )
