"""Feed of what changed, from which entries take only what is new to them."""

import collections
import threading

from bilberryhaven import util
from bilberryhaven.wire import message

__all__ = ['Feed', 'build_instance_view', 'build_workload_view', 'pack_labels']

SLOTS_STEP = 2
# Readers ask with 0 for everything, so positions begin beyond it.
START = 1


def pack_labels(labels):
    """Return a mapping of labels as a list of ``Pair`` messages."""
    return [message.Pair(key=key, value=labels[key]) for key in sorted(labels)]


def build_workload_view(row):
    """Return the ``WorkloadView`` of a workload's row."""
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
    """Return the ``InstanceView`` of an instance's row.

    Args:
        row: The ``Instance``.
        load: Its newest ``Load`` message, or None.
        age_ms: How old that is.
        beside: Names of the workloads that run on it.
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


class Feed:
    """Names of changed rows in order of their newest change.

    A name stands once, at its newest change, so reading costs what is new to
    the reader and the feed is no longer than the tables.

    Attributes:
        id: Differs for each leadership; a cursor counts within one.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._loads = {}
        self.reset()

    def reset(self):
        """Start a new feed; every reader takes everything once."""
        with self._lock:
            self.id = util.create_id('feed')
            self._cursor = START
            self._changed = collections.OrderedDict()
            self._loads.clear()

    def record_change(self, kind, name):
        """Record that the row changed.

        Args:
            kind: ``workload`` or ``instance``.
            name: The row's name.
        """
        with self._lock:
            self._cursor += 1
            self._changed[kind, name] = self._cursor
            self._changed.move_to_end((kind, name))

    def touch_load(self, name, load):
        """Record an instance's load if it differs enough to matter."""
        old = self._loads.get(name)
        if old is not None and not _differs(old, load):
            return
        self._loads[name] = load
        self.record_change('instance', name)

    def read(self, feed_id, cursor):
        """Return (cursor, full, names by kind) of what is new.

        Args:
            feed_id: The feed that ``cursor`` belongs to.
            cursor: Position that the reader has reached.
        """
        with self._lock:
            if feed_id != self.id or cursor < START:
                return self._cursor, True, {}
            names = {'workload': [], 'instance': []}
            for key, position in reversed(self._changed.items()):
                if position <= cursor:
                    break
                kind, name = key
                names[kind].append(name)
            return self._cursor, False, names


def _differs(old, new):
    if old.draining != new.draining:
        return True
    if bool(old.queued) != bool(new.queued):
        return True
    return abs(old.slots_used - new.slots_used) >= SLOTS_STEP
