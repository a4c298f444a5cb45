"""Leases of agents and entries, in the leader's memory only."""

import dataclasses
import threading

from bilberryhaven import clock as clocks
from bilberryhaven.control import context

__all__ = [
    'LEASE_DURATION',
    'LEASE_MARGIN',
    'UNKNOWN_ENTRIES',
    'LeaseHolder',
    'LeaseTable',
]

LEASE_DURATION = clocks.seconds(4)
# Covers clock-rate drift over a lease and the time a backend server needs to
# stop work after it.
LEASE_MARGIN = clocks.seconds(0.5)
UNKNOWN_ENTRIES = '(entries of the former leader)'


@dataclasses.dataclass(kw_only=True, slots=True)
class LeaseHolder:
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

    def build_status(self, now):
        """Return its ``Node`` row."""
        running = [r for r, end in self.leases.items() if end > now]
        oldest = min(running, default=max(self.leases))
        return context.NodeStatus(
            name=self.name,
            role=self.role,
            zone=self.zone,
            revision=max(self.acknowledged, oldest),
            epoch=self.epoch,
            lease_end=self.lease_end,
        )


class LeaseTable:
    """Who holds a lease, until when, and at which revision.

    A lease is counted from the receipt of its renewal, plus the margin, so
    that it ends here after it has ended at its holder.

    Args:
        clock: The ``Clock``.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._holders = {}
        self._closing = set()

    def reset(self, agents):
        """Start a leadership.

        The former leader may have renewed any lease up to now, so each agent
        with an open session, and the entries that it knew, count as holders
        for a whole lease.

        Args:
            agents: ``Instance`` rows with open sessions.
        """
        end = self._clock.monotonic() + LEASE_DURATION + LEASE_MARGIN
        with self._lock:
            self._closing.clear()
            self._holders.clear()
            for row in agents:
                self._add(
                    LeaseHolder(
                        name=row.name,
                        role='agent',
                        zone=row.zone,
                        epoch=row.epoch,
                        leases={0: end},
                    )
                )
            self._add(
                LeaseHolder(
                    name=UNKNOWN_ENTRIES, role='entry', leases={0: end}
                )
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
            holder = self._holders.get(name)
            if holder is None or holder.epoch != epoch:
                holder = LeaseHolder(
                    name=name, role=role, zone=zone, epoch=epoch
                )
                self._add(holder)
            holder.acknowledged = max(holder.acknowledged, revision)
            holder.grant(granted, now + LEASE_DURATION + LEASE_MARGIN, now)
            return True

    def begin_close(self, name, epoch):
        """Refuse renewals of a session if its lease has run out.

        Returns:
            Whether it has, so that the session may be closed.
        """
        with self._lock:
            holder = self._holders.get(name)
            known = holder is not None and holder.epoch == epoch
            if known and holder.lease_end > self._clock.monotonic():
                return False
            self._closing.add((name, epoch))
            return True

    def refuse_renewals(self, name, epoch):
        """Refuse renewals of a session whose agent runs nothing."""
        with self._lock:
            self._closing.add((name, epoch))

    def end_close(self, name, epoch):
        """Forget a session that is closed."""
        with self._lock:
            self._closing.discard((name, epoch))
            holder = self._holders.get(name)
            if holder is not None and holder.epoch == epoch:
                del self._holders[name]

    def list_rows(self):
        """Return copies of all rows; drops entries that lapsed."""
        now = self._clock.monotonic()
        with self._lock:
            for name, holder in list(self._holders.items()):
                if holder.role == 'entry' and holder.lease_end <= now:
                    del self._holders[name]
            return [
                holder.build_status(now) for holder in self._holders.values()
            ]

    def list_expired(self):
        """Return (name, epoch) of agents whose lease has surely run out."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                (holder.name, holder.epoch)
                for holder in self._holders.values()
                if holder.role == 'agent' and holder.lease_end <= now
            ]

    def _add(self, holder):
        self._holders[holder.name] = holder
