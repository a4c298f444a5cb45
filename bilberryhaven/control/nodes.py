"""Leases of agents and entries, in the leader's memory only."""

import dataclasses
import threading

from bilberryhaven import clock as clocks
from bilberryhaven.control import context

__all__ = ['LEASE', 'MARGIN', 'UNKNOWN_ENTRIES', 'NodeTable']

LEASE = clocks.seconds(4)
# Covers clock-rate drift over a lease and the time a backend server needs to
# stop work after it.
MARGIN = clocks.seconds(0.5)
UNKNOWN_ENTRIES = '(entries of the former leader)'


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
                    context.Node(
                        name=row.name,
                        role='agent',
                        zone=row.zone,
                        epoch=row.epoch,
                        lease_end=end,
                    )
                )
            self._put(
                context.Node(name=UNKNOWN_ENTRIES, role='entry', lease_end=end)
            )

    def renew(self, name, *, role, zone, revision, epoch=0):
        """Renew a lease from now; return whether it could be.

        A lease whose session is being closed is not renewed.

        Args:
            name: The holder.
            role: ``agent`` or ``entry``.
            zone: Its availability zone.
            revision: Newest revision that it has acknowledged.
            epoch: Epoch of an agent's session.
        """
        end = self._clock.monotonic() + LEASE + MARGIN
        with self._lock:
            if (name, epoch) in self._closing:
                return False
            self._put(
                context.Node(
                    name=name,
                    role=role,
                    zone=zone,
                    revision=revision,
                    epoch=epoch,
                    lease_end=end,
                )
            )
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
            return [dataclasses.replace(node) for node in self._nodes.values()]

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
