"""Change feed from which entries read changes since their last cursor."""

import collections
import threading

from bilberryhaven import util
from bilberryhaven.wire import message

__all__ = [
    'ChangeFeed',
    'build_instance_view',
    'build_workload_view',
    'pack_labels',
]

# Smaller changes of the slots in use are not sent to entries.
MIN_SLOTS_CHANGE = 2
# A reader sends cursor 0 to request a full read, so cursors start above it.
INITIAL_CURSOR = 1


def pack_labels(labels):
    """Return labels as a list of ``Pair`` messages, sorted by key."""
    return [message.Pair(key=key, value=labels[key]) for key in sorted(labels)]


def build_workload_view(row):
    """Return the ``WorkloadView`` of a ``Workload`` row."""
    return message.WorkloadView(
        name=row.name,
        kind=str(row.kind),
        labels=pack_labels(row.merge_labels()),
        runs_on=row.runs_on,
        shares_with=row.shares_with,
        repeatable=row.repeatable,
        held=row.held,
    )


def build_instance_view(row, *, load, age_ms, beside):
    """Return the ``InstanceView`` of an ``Instance`` row.

    Args:
        row: The ``Instance`` row.
        load: The latest ``Load`` message of the instance, or None.
        age_ms: Age of ``load`` in milliseconds.
        beside: Names of the workloads that run on the instance.
    """
    capacity = message.Capacity(
        slots=row.capacity.slots,
        connections=row.capacity.connections,
        cpu=row.capacity.cpu,
        memory_mb=row.capacity.memory_mb,
        accelerators=row.capacity.accelerators,
    )
    return message.InstanceView(
        name=row.name,
        zone=row.zone,
        address=row.address,
        labels=pack_labels(row.merge_labels()),
        capacity=capacity,
        draining=row.draining or row.leaving,
        connected=row.connected,
        quarantined=row.quarantined,
        load=load or message.Load(),
        load_age_ms=age_ms,
        beside=sorted(beside),
    )


class ChangeFeed:
    """Names of changed rows, ordered by their latest change.

    Each name is stored once, at its latest change. The cost of a read is
    therefore proportional to what is new to the reader, and the feed has at
    most as many items as the tables have rows.

    Attributes:
        id: Identifies the feed of one term; cursors of another feed are
            invalid in it.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._loads = {}
        self.reset()

    def reset(self):
        """Start a new feed; the next read of each reader is a full one."""
        with self._lock:
            self.id = util.create_id('feed')
            self._cursor = INITIAL_CURSOR
            self._cursors = collections.OrderedDict()
            self._loads.clear()

    def record_change(self, kind, name):
        """Record a change of a row.

        Args:
            kind: ``workload`` or ``instance``.
            name: Name of the row.
        """
        with self._lock:
            self._cursor += 1
            self._cursors[kind, name] = self._cursor
            self._cursors.move_to_end((kind, name))

    def record_load(self, name, load):
        """Record an instance's load if it changed significantly."""
        old = self._loads.get(name)
        if old is not None and not _is_significant_change(old, load):
            return
        self._loads[name] = load
        self.record_change('instance', name)

    def read(self, feed_id, cursor):
        """Return the changes since ``cursor``.

        Args:
            feed_id: Id of the feed that ``cursor`` belongs to.
            cursor: Cursor returned by the reader's previous read.

        Returns:
            (cursor, full, names by kind). If ``full`` is true the reader must
            read all rows, and the names are empty.
        """
        with self._lock:
            if feed_id != self.id or cursor < INITIAL_CURSOR:
                return self._cursor, True, {}
            names = {'workload': [], 'instance': []}
            for key, change_cursor in reversed(self._cursors.items()):
                if change_cursor <= cursor:
                    break
                kind, name = key
                names[kind].append(name)
            return self._cursor, False, names


def _is_significant_change(old, new):
    if old.draining != new.draining:
        return True
    if bool(old.queued) != bool(new.queued):
        return True
    return abs(old.slots_used - new.slots_used) >= MIN_SLOTS_CHANGE
