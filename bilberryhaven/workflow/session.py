"""Sessions of agents with the leader: leases, and orders not yet seen."""

import dataclasses
import datetime
import threading

from bilberryhaven import util
from bilberryhaven.workflow import message

__all__ = ['Session', 'SessionTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Presence:
    """A run as its backend server listed it last.

    Attributes:
        running: The ``Running`` row.
        first_at: When it was listed first, monotonic.
        progressed_at: When its progress changed last, monotonic.
    """

    running: message.Running
    first_at: datetime.timedelta
    progressed_at: datetime.timedelta


class Session:
    """One agent's way to its backend server, in the leader's memory.

    Args:
        key: Key of the backend server's life.
        epoch: Fencing token of the agent.

    Attributes:
        feed: Differs for each session; orders are numbered within one.
        lease_end: When the runs there have surely lapsed, monotonic.
        draining: Whether the backend server is about to leave.
        leaves_at: When it leaves at the earliest, monotonic, or None.
        present: ``Presence`` by run.
        listed_at: When that was reported, monotonic, or None.
        paused: Best-effort runs that have been slowed down for long.
        pressing: Best-effort runs that raise tails near their targets.
        deadline_ms: Newest deadline on the server's clock that an agent has
            reported; 0 for none.
        uncertain_until: Until when runs may live that earlier agents have kept
            alive, monotonic, or None.
    """

    def __init__(self, *, key, epoch, lease_end):
        self.key = key
        self.epoch = epoch
        self.feed = util.create_id('orders')
        self.lease_end = lease_end
        self.draining = False
        self.leaves_at = None
        self.present = {}
        self.listed_at = None
        self.paused = []
        self.interfering = []
        self.deadline_ms = 0
        self.uncertain_until = None
        self.closed = False
        self._last = 0
        self._orders = []
        self._told = {}
        self._changed = threading.Condition()

    def reconcile_runs(self, views, find_percent):
        """Order what the runs of the backend server need.

        Args:
            views: ``RunView`` by run, all that count there.
            find_percent: Function of a ``RunView`` that returns the
                percentage at which a best-effort run works at first.
        """
        with self._changed:
            for ref in [ref for ref in self._told if ref not in views]:
                del self._told[ref]
            for ref, view in views.items():
                told = self._told.get(ref)
                if view.stopping:
                    self._order_stop(ref)
                elif told is None:
                    self._append(_build_start(view, find_percent))

    def order_stop(self, ref):
        """Order the stop of a run that must not be there."""
        with self._changed:
            self._order_stop(ref)

    def _order_stop(self, ref):
        if self._told.get(ref) != message.OrderKind.STOP:
            self._append(message.Order(message.OrderKind.STOP, ref))

    def _append(self, order):
        self._last += 1
        self._told[order.run] = order.kind
        self._orders.append((self._last, order))
        self._changed.notify_all()

    def wait(self, feed, seen, timeout):
        """Wait for orders beyond ``seen``.

        Args:
            feed: The feed that ``seen`` belongs to.
            seen: Number of the newest order that the agent has.
            timeout: Longest wait in seconds.

        Returns:
            The (number of the newest, orders) pair.
        """
        if feed != self.feed:
            seen = 0
        with self._changed:
            self._orders = [item for item in self._orders if item[0] > seen]
            self._changed.wait_for(
                lambda: self._orders or self.closed, timeout
            )
            return self._last, [order for _, order in self._orders]

    def close(self):
        """End waits; the backend server is gone."""
        with self._changed:
            self.closed = True
            self._changed.notify_all()

    def record_presence(self, running, now):
        """Take over the list of runs that are present."""
        present = {}
        for row in running:
            old = self.present.get(row.run)
            first_at = old.first_at if old else now
            progressed_at = now
            if old and old.running.percent == row.percent:
                progressed_at = old.progressed_at
            present[row.run] = Presence(
                running=row, first_at=first_at, progressed_at=progressed_at
            )
        self.present = present
        self.listed_at = now


class SessionTable:
    """Sessions by key of the backend server."""

    def __init__(self):
        self._rows = {}

    def __iter__(self):
        return iter(list(self._rows.values()))

    def find(self, key):
        """Return the session of a backend server, or None."""
        return self._rows.get(key)

    def put(self, session):
        """Replace the session of a backend server."""
        old = self._rows.get(session.key)
        self._rows[session.key] = session
        if old is not None:
            old.close()

    def remove(self, key):
        """End the session of a backend server."""
        old = self._rows.pop(key, None)
        if old is not None:
            old.close()

    def clear(self):
        """End all sessions."""
        for key in list(self._rows):
            self.remove(key)


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
    )
