"""Agents' sessions at the leader: leases, and orders to be delivered."""

import dataclasses
import datetime
import threading

from bilberryhaven import clock as clocks
from bilberryhaven import util
from bilberryhaven.workflow import message

__all__ = ['Capacity', 'Session', 'SessionTable']

MILLISECOND = clocks.seconds(0.001)


@dataclasses.dataclass(kw_only=True, slots=True)
class Presence:
    """A run in the newest listing of its backend server.

    Attributes:
        running: The ``Running`` row.
        first_at: Monotonic time at which the run was listed first.
        progressed_at: Monotonic time at which its progress last changed.
        first_percent: Its progress when it was listed first; it may have been
            at work before the session began.
    """

    running: message.Running
    first_at: datetime.timedelta
    progressed_at: datetime.timedelta
    first_percent: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Capacity that a backend server has announced.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
    """

    cpu: int
    memory_mb: int
    gpu: int

    def apply_to(self, row):
        """Return a ``Backend`` row with this capacity."""
        return dataclasses.replace(
            row, cpu=self.cpu, memory_mb=self.memory_mb, gpu=self.gpu
        )


class Session:
    """Session of one agent for one backend server.

    It is held in the leader's memory only.

    Args:
        key: Key of the backend server's incarnation.
        epoch: Fencing token of the agent.
        lease_end: See the attribute.
        poll: The ``Poll`` that opens it.

    Attributes:
        instance: Name of the agent's instance.
        feed: Unique id of the session's sequence of orders, within which
            orders are numbered.
        lease_end: Monotonic time at which the runs there have certainly
            lapsed.
        capacity: Newest ``Capacity`` of the backend server. The row has that
            of the registration.
        draining: Whether the backend server is draining.
        refusing: Whether the backend server refuses connections.
        leaves_at: Earliest monotonic time at which the backend server
            leaves, or None.
        warm_at: Monotonic time from which the backend server is no longer
            slow after its start.
        present: ``Presence`` by run.
        listed_at: Monotonic time of the report behind ``present``, or None.
        paused: Best-effort runs that have been throttled for long.
        interfering: Best-effort runs that raise tail latencies near their
            targets.
        deadline_ms: Newest deadline that an agent has reported, on the
            server's clock in ms; 0 for none.
        uncertain_until: Monotonic time until which runs may be alive whose
            lease earlier agents have renewed, or None.
        closed: Whether the session was replaced or removed.
    """

    def __init__(self, *, key, epoch, lease_end, poll):
        self.key = key
        self.epoch = epoch
        self.instance = poll.agent
        self.feed = util.create_id('orders')
        self.lease_end = lease_end
        self.capacity = _read_capacity(poll.server)
        self._sequence = poll.sequence
        self.draining = False
        self.refusing = False
        self.leaves_at = None
        self.warm_at = datetime.timedelta()
        self._warm_sequence = -1
        self.present = {}
        self.listed_at = None
        self.paused = []
        self.interfering = []
        self.deadline_ms = 0
        self.uncertain_until = None
        self.closed = False
        self._last_number = 0
        self._orders = []
        self._ordered_kinds = {}
        self._report_number = 0
        self._notify = None
        self._lock = threading.RLock()

    def reconcile_runs(self, views, find_percent):
        """Order the starts and stops that the backend server lacks.

        Args:
            views: ``RunView`` by run, all that the log assigns to the
                backend server.
            find_percent: Function of a ``RunView`` that returns the initial
                percentage of full speed of a best-effort run.
        """
        with self._lock:
            for ref in [
                ref for ref in self._ordered_kinds if ref not in views
            ]:
                del self._ordered_kinds[ref]
            # The reply that contained them may have been lost.
            self._orders = [
                (number, order)
                for number, order in self._orders
                if order.kind == message.OrderKind.STOP or order.run in views
            ]
            for ref, view in views.items():
                ordered_kind = self._ordered_kinds.get(ref)
                if view.stopping:
                    self._order_stop(ref, _build_stop(view))
                elif ordered_kind is None:
                    self._append(_build_start(view, find_percent))

    def order_stop(self, ref):
        """Order the stop of a run that must not be on the server.

        Returns:
            Whether it had not been ordered yet.
        """
        with self._lock:
            return self._order_stop(
                ref, message.Order(message.OrderKind.STOP, ref)
            )

    def _order_stop(self, ref, order):
        if self._ordered_kinds.get(ref) == message.OrderKind.STOP:
            return False
        self._append(order)
        return True

    def _append(self, order):
        self._last_number += 1
        self._ordered_kinds[order.run] = order.kind
        self._orders.append((self._last_number, order))
        self._notify_subscriber()

    def subscribe(self, feed, seen, notify):
        """Call a function once there are orders with a number above ``seen``.

        A function that is still subscribed is replaced and called at once:
        its poll was abandoned by the agent.

        Args:
            feed: The feed to which ``seen`` belongs.
            seen: Number of the newest order that the agent has received.
            notify: Function without arguments; it must not block. It is also
                called when the session closes.

        Returns:
            Whether it was subscribed; False if there are orders already or
            the session is closed.
        """
        with self._lock:
            if feed != self.feed:
                seen = 0
            self._orders = [item for item in self._orders if item[0] > seen]
            former, self._notify = self._notify, None
            waits = not self._orders and not self.closed
            if waits:
                self._notify = notify
        if former is not None:
            former()
        return waits

    def list_orders(self, feed, seen):
        """Return the pair (number of the newest order, orders).

        Args:
            feed: The feed to which ``seen`` belongs.
            seen: Number of the newest order that the agent has received.
        """
        with self._lock:
            if feed != self.feed:
                seen = 0
            orders = [order for number, order in self._orders if number > seen]
            return self._last_number, orders

    def is_delayed(self, poll):
        """Return whether a poll's state of the server is out of date.

        Args:
            poll: The ``Poll``; one that was delayed may arrive late.
        """
        return poll.sequence < self._sequence

    def update_capacity(self, poll):
        """Store the capacity in a poll unless a newer one is known.

        Args:
            poll: The ``Poll``; one that was delayed may arrive late.

        Returns:
            Whether the capacity has changed.
        """
        if self.is_delayed(poll):
            return False
        self._sequence = poll.sequence
        former, self.capacity = self.capacity, _read_capacity(poll.server)
        return self.capacity != former

    def update_warming(self, poll, now):
        """Store how long the server remains slow after its start.

        An agent repeats the remaining time of the newest heartbeat, so of
        one heartbeat the earliest known time counts.

        Args:
            poll: The ``Poll``; one that was delayed may arrive late.
            now: Monotonic time.
        """
        warm_at = now + poll.server.warming_ms * MILLISECOND
        if poll.sequence > self._warm_sequence:
            self._warm_sequence = poll.sequence
            self.warm_at = warm_at
        elif poll.sequence == self._warm_sequence:
            self.warm_at = min(self.warm_at, warm_at)

    def set_departure(self, at):
        """Record when the server leaves; the earliest known time counts.

        An agent repeats the remaining time of the last heartbeat, which is
        out of date by then.

        Args:
            at: Monotonic time.
        """
        if self.leaves_at is None or at < self.leaves_at:
            self.leaves_at = at

    def answer_poll(self):
        """Answer the held poll now: its reply has more than orders."""
        self._notify_subscriber()

    def close(self):
        """Close the session and notify the subscribed poll."""
        with self._lock:
            self.closed = True
        self._notify_subscriber()

    def _notify_subscriber(self):
        with self._lock:
            notify, self._notify = self._notify, None
        if notify is not None:
            notify()

    def take_report(self, number):
        """Return whether a report is not older than those taken before.

        Args:
            number: Number of the report's listing.
        """
        with self._lock:
            if number < self._report_number:
                return False
            self._report_number = number
            return True

    def record_presence(self, running, now):
        """Store the listed runs.

        Args:
            running: The ``Running`` rows.
            now: Monotonic time.
        """
        present = {}
        for row in running:
            old = self.present.get(row.run)
            first_at = old.first_at if old else now
            first_percent = old.first_percent if old else row.percent
            progressed_at = now
            if old and old.running.percent == row.percent:
                progressed_at = old.progressed_at
            present[row.run] = Presence(
                running=row,
                first_at=first_at,
                progressed_at=progressed_at,
                first_percent=first_percent,
            )
        self.present = present
        self.listed_at = now


class SessionTable:
    """Sessions by key of the backend server.

    An agent follows one server at a time: that of its instance's newest poll.
    A poll for another one doesn't show that the former has ended.
    """

    def __init__(self):
        self._rows = {}
        # Key of the server that the agent follows, by instance.
        self._followed = {}

    def __iter__(self):
        return iter(list(self._rows.values()))

    def find(self, key):
        """Return the session of a backend server, or None."""
        return self._rows.get(key)

    def put(self, session):
        """Store the session of a backend server and close the old one."""
        old = self._rows.get(session.key)
        self._rows[session.key] = session
        self.follow(session)
        if old is not None:
            old.close()

    def follow(self, session):
        """Record that an instance's newest poll was for this session."""
        self._followed[session.instance] = session.key

    def is_followed(self, session):
        """Return whether the newest poll of the instance was for it."""
        return self._followed.get(session.instance) == session.key

    def remove(self, key, session):
        """Close a session and remove it unless it was replaced."""
        if self._rows.get(key) is session:
            del self._rows[key]
            if self.is_followed(session):
                del self._followed[session.instance]
        session.close()

    def close(self):
        """Close all sessions."""
        for session in self:
            session.close()

    def clear(self):
        """Close and remove all sessions."""
        for key, session in list(self._rows.items()):
            self.remove(key, session)


def _read_capacity(server):
    return Capacity(cpu=server.cpu, memory_mb=server.memory_mb, gpu=server.gpu)


def _build_start(view, find_percent):
    step = view.step
    return message.Order(
        message.OrderKind.START,
        view.ref,
        spec=view.row.spec,
        checkpoint=view.checkpoint,
        target_ms=step.target_ms,
        best_effort=step.best_effort,
        percent=find_percent(view) if step.best_effort else 100,
        image=step.image,
        cpu=step.cpu,
        rank=view.rank,
        memory_mb=step.memory_mb,
        gpu=step.gpu,
    )


def _build_stop(view):
    step = view.step
    return message.Order(
        message.OrderKind.STOP,
        view.ref,
        best_effort=step.best_effort,
        cpu=step.cpu,
        memory_mb=step.memory_mb,
        gpu=step.gpu,
    )
