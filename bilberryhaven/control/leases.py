"""Leases of agents and entries, in the leader's memory only."""

import dataclasses
import threading

from bilberryhaven import clock as clocks
from bilberryhaven.control import context

__all__ = ['LEASE', 'MARGIN', 'UNKNOWN_ENTRIES', 'Holder', 'NodeTable']

LEASE = clocks.seconds(4)
# Covers clock-rate drift over a lease and the time a backend server needs to
# stop work after it.
MARGIN = clocks.seconds(0.5)
UNKNOWN_ENTRIES = '(entries of the former leader)'


@dataclasses.dataclass(kw_only=True, slots=True)
class Holder:
    """A node with the leases that it may hold.

    Each reply that grants a lease carries a revision, and a node takes both
    over or neither. It may have lost any reply, so it acts on no revision
    older than the least of those whose leases still run, and on none older
    than it has acknowledged.

    Attributes:
        name: The process's name.
        role: ``agent`` or ``entry``.
        zone: Its availability zone.
        epoch: Epoch of an agent's session; 0 for an entry.
        acknowledged: Newest revision that it has acknowledged.
        leases: End of the last lease granted with each revision.
    """

    name: str
    role: str
    zone: str = ''
    epoch: int = 0
    acknowledged: int = 0
    leases: dict = dataclasses.field(default_factory=dict)

    @property
    def lease_end(self):
        """When the last of its leases ends."""
        return max(self.leases.values())

    def grant(self, revision, end, now):
        """Add a lease; forget those that ended."""
        running = {r: e for r, e in self.leases.items() if e > now}
        running[revision] = end
        self.leases = running

    def describe(self, now):
        """Return its ``Node`` row."""
        running = [r for r, end in self.leases.items() if end > now]
        oldest = min(running, default=max(self.leases))
        return context.Node(
            name=self.name,
            role=self.role,
            zone=self.zone,
            revision=max(self.acknowledged, oldest),
            epoch=self.epoch,
            lease_end=self.lease_end,
        )


class NodeTable:
    """Who holds a lease, until when, and at which revision.

    A lease is counted from the receipt of its renewal, plus the margin, so
    that it ends here after it has ended at its holder.

    Args:
        clock: The ``Clock``.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._nodes = {}
        self._closing = set()

    def reset(self, agents):
        """Start a leadership.

        The former leader may have renewed any lease up to now, so each agent
        with an open session, and the entries that it knew, count as holders
        for a whole lease.

        Args:
            agents: ``Instance`` rows with open sessions.
        """
        end = self._clock.monotonic() + LEASE + MARGIN
        with self._lock:
            self._closing.clear()
            self._nodes.clear()
            for row in agents:
                self._put(
                    Holder(
                        name=row.name,
                        role='agent',
                        zone=row.zone,
                        epoch=row.epoch,
                        leases={0: end},
                    )
                )
            self._put(
                Holder(name=UNKNOWN_ENTRIES, role='entry', leases={0: end})
            )

    def renew(self, name, *, role, zone, revision, granted, epoch=0):
        """Renew a lease from now; return whether it could be.

        A lease whose session is being closed is not renewed.

        Args:
            name: The holder.
            role: ``agent`` or ``entry``.
            zone: Its availability zone.
            revision: Newest revision that it has acknowledged.
            granted: Revision that goes with the lease, or an older one.
            epoch: Epoch of an agent's session.
        """
        now = self._clock.monotonic()
        with self._lock:
            if (name, epoch) in self._closing:
                return False
            holder = self._nodes.get(name)
            if holder is None or holder.epoch != epoch:
                holder = Holder(name=name, role=role, zone=zone, epoch=epoch)
                self._put(holder)
            holder.acknowledged = max(holder.acknowledged, revision)
            holder.grant(granted, now + LEASE + MARGIN, now)
            return True

    def begin_close(self, name, epoch):
        """Refuse renewals of a session if its lease has run out.

        Returns:
            Whether it has, so that the session may be closed.
        """
        with self._lock:
            node = self._nodes.get(name)
            known = node is not None and node.epoch == epoch
            if known and node.lease_end > self._clock.monotonic():
                return False
            self._closing.add((name, epoch))
            return True

    def force_close(self, name, epoch):
        """Refuse renewals of a session whose agent runs nothing."""
        with self._lock:
            self._closing.add((name, epoch))

    def end_close(self, name, epoch):
        """Forget a session that is closed."""
        with self._lock:
            self._closing.discard((name, epoch))
            node = self._nodes.get(name)
            if node is not None and node.epoch == epoch:
                del self._nodes[name]

    def list_rows(self):
        """Return copies of all rows; drops entries that lapsed."""
        now = self._clock.monotonic()
        with self._lock:
            for name, node in list(self._nodes.items()):
                if node.role == 'entry' and node.lease_end <= now:
                    del self._nodes[name]
            return [node.describe(now) for node in self._nodes.values()]

    def list_lapsed(self):
        """Return (name, epoch) of agents whose lease has surely run out."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                (node.name, node.epoch)
                for node in self._nodes.values()
                if node.role == 'agent' and node.lease_end <= now
            ]

    def _put(self, node):
        self._nodes[node.name] = node
