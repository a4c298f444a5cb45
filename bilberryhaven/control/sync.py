"""Handles sync requests of entries: lease, revision and changes."""

from bilberryhaven import clock as clocks
from bilberryhaven.control import feed
from bilberryhaven.control import heartbeat
from bilberryhaven.tables import job
from bilberryhaven.wire import message

__all__ = ['SyncHandler']

MILLISECOND = clocks.seconds(0.001)
SLOWDOWN_INTERVAL = clocks.seconds(10)


class SyncHandler:
    """Answers sync requests with the changes that the entry lacks.

    Args:
        leader: The ``Leader``.
    """

    def __init__(self, *, leader):
        self._leader = leader
        self._next_slowdowns_at = {}

    def handle(self, request):
        """Return the ``SyncReply`` to a ``SyncRequest``."""
        leader = self._leader
        leader.ensure_ready()
        leader.leases.renew(
            request.entry,
            role='entry',
            zone=request.zone,
            revision=request.revision,
            granted=leader.state.revision,
        )
        with leader.replica.machine_lock:
            cursor, full, names = leader.feed.read(
                request.feed, request.cursor
            )
            if full:
                workloads = list(leader.state.workloads)
                instances = list(leader.state.instances)
            else:
                workloads = self._find_rows('workloads', names['workload'])
                instances = self._find_rows('instances', names['instance'])
            return message.SyncReply(
                revision=leader.state.revision,
                lease_ms=heartbeat.LEASE_MS,
                feed=leader.feed.id,
                cursor=cursor,
                full=full,
                workloads=[feed.build_workload_view(w) for w in workloads],
                instances=[self._build_instance(i) for i in instances],
                slowdowns=self._list_slowdowns(request.entry, full),
            )

    def _list_slowdowns(self, entry, full):
        now = self._leader.clock.monotonic()
        next_at = self._next_slowdowns_at.get(entry)
        if not full and next_at is not None and now < next_at:
            return []
        self._next_slowdowns_at[entry] = now + SLOWDOWN_INTERVAL
        return self._leader.list_slowdowns()

    def _find_rows(self, table, names):
        rows = getattr(self._leader.state, table)
        found = (rows.find(name) for name in names)
        return [row for row in found if row is not None]

    def _build_instance(self, row):
        jobs = self._leader.state.jobs.select('instance', row.name)
        beside = {j.workload for j in jobs if j.state in job.ACTIVE_STATES}
        age = self._leader.get_load_age(row.name)
        return feed.build_instance_view(
            row,
            load=self._leader.get_load(row.name),
            age_ms=int(age / MILLISECOND),
            beside=beside,
        )
