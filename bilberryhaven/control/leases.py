"""Leases of agents and entries, kept in the leader's memory only."""

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

AGENT = 'agent'
ENTRY = 'entry'
LEASE_DURATION = clocks.seconds(4)
# Covers clock-rate drift over the duration of a lease, and the time that a
# backend server needs to stop its work when the lease expires.
LEASE_MARGIN = clocks.seconds(0.5)
# Stands for all entries that hold a lease of the previous leader.
UNKNOWN_ENTRIES = '(entries of the former leader)'


@dataclasses.dataclass(kw_only=True, slots=True)
class LeaseHolder:
    """An agent or entry with the leases that it may hold.

    A reply that grants a lease also carries a revision, and the holder adopts
    both or neither. Any reply may have been lost. The oldest revision that
    the holder may act on is therefore the lowest one of its unexpired leases,
    or the one that it has acknowledged if that is newer.

    Attributes:
        name: Name of the process.
        role: ``agent`` or ``entry``.
        zone: Its availability zone.
        epoch: Epoch of an agent's session; 0 for an entry.
        acknowledged: Newest revision that the holder has acknowledged.
        leases: End of the latest lease granted with each revision.
    """

    name: str
    role: str
    zone: str = ''
    epoch: int = 0
    acknowledged: int = 0
    leases: dict = dataclasses.field(default_factory=dict)

    @property
    def lease_end(self):
        """Monotonic time at which its last lease ends."""
        return max(self.leases.values())

    def grant(self, revision, end, now):
        """Add a lease and drop expired ones."""
        running = {r: e for r, e in self.leases.items() if e > now}
        running[revision] = end
        self.leases = running

    def build_status(self, now):
        """Return its ``NodeStatus``."""
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
    """Holders of leases, with the end and the revision of each lease.

    The leader counts a lease from the receipt of the renewal and adds
    ``LEASE_MARGIN``, so the lease expires here only after it has expired at
    its holder.

    Args:
        clock: The ``Clock``.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._holders = {}
        self._closing = set()

    def reset(self, agents):
        """Initialize the table at the start of a term.

        The previous leader may have renewed any lease up to now. Each agent
        with an open session, and ``UNKNOWN_ENTRIES`` for the entries, is
        therefore taken to hold a full lease from now.

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
                        role=AGENT,
                        zone=row.zone,
                        epoch=row.epoch,
                        leases={0: end},
                    )
                )
            self._add(
                LeaseHolder(name=UNKNOWN_ENTRIES, role=ENTRY, leases={0: end})
            )

    def renew(self, name, *, role, zone, revision, granted, epoch=0):
        """Renew a lease from now; return whether it was renewed.

        The lease of a session that is being closed, or was replaced by a
        later one, is not renewed.

        Args:
            name: Name of the holder.
            role: ``agent`` or ``entry``.
            zone: Its availability zone.
            revision: Newest revision that the holder has acknowledged.
            granted: Revision sent with the lease, or an older one.
            epoch: Epoch of an agent's session.
        """
        now = self._clock.monotonic()
        with self._lock:
            if (name, epoch) in self._closing:
                return False
            holder = self._holders.get((role, name))
            if holder is not None and holder.epoch > epoch:
                return False
            if holder is None or holder.epoch != epoch:
                holder = LeaseHolder(
                    name=name, role=role, zone=zone, epoch=epoch
                )
                self._add(holder)
            holder.acknowledged = max(holder.acknowledged, revision)
            holder.grant(granted, now + LEASE_DURATION + LEASE_MARGIN, now)
            return True

    def begin_close(self, name, epoch):
        """Refuse renewals of a session if its lease has expired.

        Returns:
            Whether the lease has expired, so the session may be closed.
        """
        with self._lock:
            holder = self._holders.get((AGENT, name))
            known = holder is not None and holder.epoch == epoch
            if known and holder.lease_end > self._clock.monotonic():
                return False
            self._closing.add((name, epoch))
            return True

    def refuse_renewals(self, name, epoch):
        """Refuse renewals of a session whose agent runs no jobs."""
        with self._lock:
            self._closing.add((name, epoch))

    def end_close(self, name, epoch):
        """Remove a session that is closed."""
        with self._lock:
            self._closing.discard((name, epoch))
            holder = self._holders.get((AGENT, name))
            if holder is not None and holder.epoch == epoch:
                del self._holders[AGENT, name]

    def list_rows(self):
        """Return the ``NodeStatus`` of each holder; drop expired entries."""
        now = self._clock.monotonic()
        with self._lock:
            for key, holder in list(self._holders.items()):
                if holder.role == ENTRY and holder.lease_end <= now:
                    del self._holders[key]
            return [
                holder.build_status(now) for holder in self._holders.values()
            ]

    def list_expired(self):
        """Return (name, epoch) of each agent whose lease has expired."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                (holder.name, holder.epoch)
                for holder in self._holders.values()
                if holder.role == AGENT and holder.lease_end <= now
            ]

    def _add(self, holder):
        self._holders[holder.role, holder.name] = holder
