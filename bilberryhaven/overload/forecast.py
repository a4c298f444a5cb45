"""Forecast of the room in a pool, and of when waiting work ends.

Answers surges of wide work, the swing of the spare CPU beside long-running
tasks, zones withdrawn in a surge and the backlog after an outage: callers are
told early what the pool can do for them.

What servers announce, what is promised on them and the backlog come from the
replicated tables and the agents' polls. The rate at which work ends and the
swing of the room are measured by the leader itself, so that a new leader has
no forecast until it has measured them for a while.
"""

import bisect
import collections
import dataclasses
import itertools
import math

from bilberryhaven.overload import shares

__all__ = [
    'Backlog',
    'Forecast',
    'Forecaster',
    'Limits',
    'Room',
    'ServerRoom',
    'Waiting',
    'sum_room',
]

# Nothing is forecast until a pool has been observed for this long and this
# many tasks have ended.
MIN_OBSERVED_S = 10.0
MIN_ENDS = 20
# Older forecasts say nothing about the present room.
MAX_AGE_S = 3.0
# Window of the swing and of the rate at which work ends. The load of
# long-running tasks swings by the tens of seconds.
WINDOW_S = 20.0
# Servers of a pool are known when no larger one, and none with a new label,
# has come for this long.
SETTLED_AFTER_S = 15.0


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ServerRoom:
    """Room on one server; CPU is in thousandths of a core.

    Attributes:
        open: Whether it takes new tasks. It doesn't while it drains, warms
            up, is quarantined or belongs to a withdrawn zone.
        cpu: Its CPU.
        memory_mb: Its memory in MB.
        gpu: Its accelerators.
        labels: Its labels.
        standing_cpu: CPU promised to long-running tasks.
        best_effort_cpu: CPU that best-effort tasks use or could use.
    """

    open: bool
    cpu: int
    memory_mb: int = 0
    gpu: int = 0
    labels: frozenset = frozenset()
    standing_cpu: float = 0.0
    best_effort_cpu: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Room:
    """Room in a pool; CPU is in thousandths of a core.

    Attributes:
        claim_cpu: CPU of open servers that tasks of limited run time can
            claim.
        best_effort_cpu: CPU of open servers that best-effort tasks use or
            could use.
        most_claim_cpu: As ``claim_cpu``, if all servers were open.
        most_best_effort_cpu: CPU of all servers, which best-effort tasks
            could use if nothing else worked.
    """

    claim_cpu: float = 0.0
    best_effort_cpu: float = 0.0
    most_claim_cpu: float = 0.0
    most_best_effort_cpu: float = 0.0


def sum_room(servers):
    """Return the ``Room`` of the ``ServerRoom`` rows of a pool."""
    servers = list(servers)
    opened = [server for server in servers if server.open]
    return Room(
        claim_cpu=_sum_claimable(opened),
        best_effort_cpu=sum(max(0, row.best_effort_cpu) for row in opened),
        most_claim_cpu=_sum_claimable(servers),
        most_best_effort_cpu=sum(server.cpu for server in servers),
    )


def _sum_claimable(servers):
    return sum(max(0, row.cpu - row.standing_cpu) for row in servers)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Waiting:
    """Work of the backlog.

    Attributes:
        priority: Its priority; 0 is the highest.
        rank: Its rank within the priority, lower ranks take precedence.
        work: Remaining work, in thousandths of a core times seconds.
        best_effort: Whether it gets spare CPU only.
        zone: Availability zone of its caller, or empty if the room isn't
            divided by shares.
    """

    priority: int
    rank: float
    work: float
    best_effort: bool
    zone: str = ''


class Backlog:
    """Work that is accepted and hasn't ended.

    Args:
        rows: The ``Waiting`` rows.
        weights: Weights by availability zone; 1 for zones without one.
    """

    def __init__(self, rows=(), *, weights=None):
        self._weights = weights or {}
        kinds = {False: [], True: []}
        zones = {False: {}, True: {}}
        for row in rows:
            kinds[row.best_effort].append(row)
            zones[row.best_effort].setdefault(row.zone, []).append(row)
        self._kinds = {kind: _Queue(items) for kind, items in kinds.items()}
        self._zones = {
            kind: {zone: _Queue(items) for zone, items in by_zone.items()}
            for kind, by_zone in zones.items()
        }

    def sum_ahead(self, priority, rank, *, best_effort, zone=''):
        """Return the work that takes precedence over work of a rank.

        Work of other zones and the same priority can't take the share of its
        own zone.

        Args:
            priority: Its priority.
            rank: Its rank.
            best_effort: Whether it gets spare CPU only.
            zone: Availability zone of its caller, or empty if the room isn't
                divided by shares.
        """
        queue = self._kinds[best_effort]
        ahead = queue.sum_ahead(priority, rank)
        queues = self._zones[best_effort]
        zones = sorted(queues.keys() | {zone})
        if not zone or not shares.are_divided(zones):
            return ahead
        share = shares.find_share(zone, zones, self._weights)
        own = queues.get(zone, _Queue())
        prior = queue.sum_ahead(priority)
        own_ahead = own.sum_ahead(priority, rank) - own.sum_ahead(priority)
        return min(ahead, prior + own_ahead / share)

    def sum_work(self):
        """Return all work."""
        return sum(queue.sum_work() for queue in self._kinds.values())


class _Queue:
    """Work in order, with its sums.

    Args:
        rows: The ``Waiting`` rows.
    """

    def __init__(self, rows=()):
        ordered = sorted((row.priority, row.rank, row.work) for row in rows)
        self._keys = [item[:2] for item in ordered]
        self._sums = list(
            itertools.accumulate((item[2] for item in ordered), initial=0.0)
        )

    def sum_ahead(self, priority, rank=-math.inf):
        """Return the work ahead of a priority and rank."""
        index = bisect.bisect_left(self._keys, (priority, rank))
        return self._sums[index]

    def sum_work(self):
        """Return all work."""
        return self._sums[-1]


class Limits:
    """Largest requirements that any server of a pool has met so far.

    Args:
        known_since: When the pool was seen first, in seconds.
    """

    def __init__(self, *, known_since):
        self._changed_at = known_since
        self._largest = []

    def add(self, server, now):
        """Record what a ``ServerRoom`` announces."""
        size = (server.cpu, server.memory_mb, server.gpu)
        if any(
            server.labels <= labels and _is_within(size, other)
            for labels, other in self._largest
        ):
            return
        self._largest.append((server.labels, size))
        self._changed_at = now

    def is_settled(self, now):
        """Return whether the servers of the pool are known."""
        elapsed_s = now - self._changed_at
        return bool(self._largest) and elapsed_s >= SETTLED_AFTER_S

    def allow(self, size, label):
        """Return whether some server has met a task's requirements.

        Args:
            size: CPU, memory in MB and accelerators of the task.
            label: Label that it requires, or empty.
        """
        return any(
            (not label or label in labels) and _is_within(size, largest)
            for labels, largest in self._largest
        )


def _is_within(size, limit):
    return all(part <= most for part, most in zip(size, limit, strict=True))


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Forecast:
    """What a pool can do in the next seconds; CPU in thousandths of a core.

    Attributes:
        built_at: When it was built, in seconds.
        measured: Whether enough has been observed.
        backlog: The ``Backlog``.
        claim_rate: CPU expected for tasks that claim CPU.
        best_effort_rate: CPU expected for best-effort tasks.
        most_claim_rate: CPU that tasks which claim CPU can't exceed.
        most_best_effort_rate: The same for best-effort tasks.
        low_best_effort_rate: Lowest ``best_effort_rate`` seen lately.
    """

    built_at: float
    measured: bool
    backlog: Backlog
    claim_rate: float
    best_effort_rate: float
    most_claim_rate: float
    most_best_effort_rate: float
    low_best_effort_rate: float

    def is_known(self, now):
        """Return whether decisions may depend on it."""
        return self.measured and now - self.built_at <= MAX_AGE_S

    def expect_finish(self, work_ahead, critical_path_s, *, best_effort):
        """Return the expected time until work ends, in seconds.

        Args:
            work_ahead: Work that takes precedence, and its own.
            critical_path_s: Shortest time until its end.
            best_effort: Whether it gets spare CPU only.
        """
        rate = self.best_effort_rate if best_effort else self.claim_rate
        return max(_divide(work_ahead, rate), critical_path_s)

    def find_earliest_finish(
        self, work_ahead, critical_path_s, *, best_effort
    ):
        """Return a time in seconds before which work can't end.

        As ``expect_finish``, if all servers were open and nothing else used
        them.
        """
        rate = self.most_claim_rate
        if best_effort:
            rate = self.most_best_effort_rate
        return max(_divide(work_ahead, rate), critical_path_s)

    def find_room_at(self, work_ahead, spare_s, *, best_effort):
        """Return the time in seconds until a newcomer could be in time.

        Args:
            work_ahead: Work that takes precedence over it now.
            spare_s: How long it may wait and be in time.
            best_effort: Whether it gets spare CPU only.
        """
        rate = self.best_effort_rate if best_effort else self.claim_rate
        return max(0.0, _divide(work_ahead, rate) - spare_s)


def _divide(work, rate):
    if rate > 0:
        return work / rate
    return math.inf if work > 0 else 0.0


class Forecaster:
    """Measures the room of one pool and the rate at which its work ends.

    Args:
        started_at: When the measurement begins, in seconds.

    Attributes:
        limits: The ``Limits`` of its servers.
    """

    def __init__(self, *, started_at):
        self.limits = Limits(known_since=started_at)
        self._started_at = started_at
        self._rooms = collections.deque()
        self._ends = {False: collections.deque(), True: collections.deque()}
        self._end_count = 0

    def record_end(self, work, now, *, best_effort):
        """Add the work of a task that has been done.

        Args:
            work: Its work, in thousandths of a core times seconds.
            now: Time of its end in seconds.
            best_effort: Whether it got spare CPU only.
        """
        self._end_count += 1
        ends = self._ends[best_effort]
        ends.append((now, work))
        _drop_old(ends, now)

    def observe(self, servers, now):
        """Add the room of the pool at a time.

        Args:
            servers: Its ``ServerRoom`` rows.
            now: That time in seconds.
        """
        servers = list(servers)
        for server in servers:
            self.limits.add(server, now)
        self._rooms.append((now, sum_room(servers)))
        _drop_old(self._rooms, now)

    def build(self, backlog, now):
        """Return the ``Forecast`` for a ``Backlog`` at a time."""
        rooms = [room for _, room in self._rooms] or [Room()]
        spare = [room.best_effort_cpu for room in rooms]
        claimed_rate = self._measure_rate(now, best_effort=False)
        best_effort_rate = self._measure_rate(now, best_effort=True)
        return Forecast(
            built_at=now,
            measured=self._has_measured(now, rooms[-1]),
            backlog=backlog,
            claim_rate=rooms[-1].claim_cpu,
            best_effort_rate=sum(spare) / len(spare),
            most_claim_rate=max(
                claimed_rate, *(room.most_claim_cpu for room in rooms), 0.0
            ),
            most_best_effort_rate=max(
                best_effort_rate,
                *(room.most_best_effort_cpu for room in rooms),
                0.0,
            ),
            low_best_effort_rate=min(spare),
        )

    def _has_measured(self, now, room):
        return (
            now - self._started_at >= MIN_OBSERVED_S
            and self._end_count >= MIN_ENDS
            and room.most_best_effort_cpu > 0
        )

    def _measure_rate(self, now, *, best_effort):
        """Return the work a second that has ended in the window."""
        ends = self._ends[best_effort]
        _drop_old(ends, now)
        window_s = min(WINDOW_S, max(now - self._started_at, 1.0))
        return sum(work for _, work in ends) / window_s


def _drop_old(items, now):
    while items and items[0][0] < now - WINDOW_S:
        items.popleft()
