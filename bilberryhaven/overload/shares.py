"""Shares of callers in room that is too small for the work of all of them.

Answers a surge of the callers of one availability zone: those of another, who
ask for no more than their share of the room, are served as without it. While
all waiting work can be in time, and for the callers of a single zone, nothing
changes.

Work asks for a share of the room: the part of its dominant resource that it
occupies from now until its deadline. Each zone is entitled to a sum of shares
by its weight. All work within these sums can be in time together, so none of
it is displaced by work beyond them. The room that is left goes to the work
that costs callers least, whatever its zone, and so does the share of a zone
that doesn't ask for it. Within a zone, what costs callers least comes first.
Work of a higher priority precedes all that.

A zone whose work is too large to ever come first earns credit for the share
that it lacks, and a queue for a part of that. Credit is lost once nothing of
the zone or queue is waiting. There is no debt: use of room that others left
isn't held against a zone.
"""

import collections
import dataclasses
import functools
import heapq

from bilberryhaven.overload import precedence

__all__ = [
    'DOES_NOT_FIT',
    'SHARE_USED_UP',
    'Delay',
    'Request',
    'Room',
    'ShareLedger',
    'ZoneShare',
    'are_divided',
    'choose_ranks',
    'find_share',
]

SHARE_USED_UP = 'share of its zone is used up'
DOES_NOT_FIT = 'it can not be in time beside work that is chosen first'
# Part of the equal share of a queue that it gets in any case; the rest goes
# to the work of its zone that costs callers least.
QUEUE_PART = 1 / 4
# Longer intervals between two choices aren't credited, as nothing is known of
# the work that was waiting meanwhile.
MAX_INTERVAL_S = 1.0
MIN_TIME_S = 1e-6
TOLERANCE = 1e-9
MIN_WEIGHT = 1e-6


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """Who asks for a piece of work, and what it needs besides CPU.

    Attributes:
        zone: Availability zone of its caller, or empty if unknown.
        queue: Its queue.
        memory: Memory of its remaining tasks, in MB times seconds.
        gpu: Accelerators of its remaining tasks, times seconds.
    """

    zone: str
    queue: str
    memory: float = 0.0
    gpu: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Room:
    """What all work that competes gets in total.

    Attributes:
        cpu: CPU, in the unit of ``Need.work`` a second.
        memory: Memory in MB; 0 if it is unknown.
        gpu: Accelerators; 0 if there are none.
    """

    cpu: float
    memory: float = 0.0
    gpu: float = 0.0

    def find_size(self, need, request):
        """Return how long work occupies its dominant resource, in seconds.

        It is the part of the room that work is chosen for.

        Args:
            need: Its ``Need``.
            request: Its ``Request``.
        """
        size_s = max(
            amount / total
            for amount, total in (
                (need.work, max(self.cpu, 1e-9)),
                (request.memory, self.memory),
                (request.gpu, self.gpu),
            )
            if total
        )
        return size_s / precedence.ROOM_SHARE


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class Delay:
    """Why work isn't chosen although it can be in time for itself.

    Attributes:
        reason: ``SHARE_USED_UP`` or ``DOES_NOT_FIT``.
        zone: Availability zone of its caller.
        behind: Zones whose work is chosen first.
    """

    reason: str
    zone: str
    behind: tuple[str, ...]


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class ZoneShare:
    """Share of one availability zone as of the newest choice.

    Attributes:
        entitled: Share of the room by its weight.
        share: Sum of the shares that its chosen work asks for; the sum over
            all zones exceeds 1 if their deadlines differ.
        chosen: Number of pieces of work chosen.
        delayed: Number of pieces of work that aren't.
        credit_s: Its credit, in seconds of the whole room.
    """

    entitled: float
    share: float
    chosen: int
    delayed: int
    credit_s: float


def are_divided(zones):
    """Return whether callers of several known zones are among some zones."""
    return sum(map(bool, zones)) > 1


def find_share(zone, zones, weights):
    """Return the share of the room that a zone is entitled to.

    Args:
        zone: Availability zone, one of ``zones``.
        zones: Zones whose callers ask for room.
        weights: Weights by zone; 1 for zones without one.
    """
    total = sum(weights.get(name, 1.0) for name in zones)
    return max(weights.get(zone, 1.0), MIN_WEIGHT) / max(total, MIN_WEIGHT)


def choose_ranks(needs, requests, room, now, ledger):
    """Return the ranks of all work that competes for the same room.

    Args:
        needs: The ``Need`` rows by key.
        requests: The ``Request`` rows by key.
        room: The ``Room``.
        now: Current time in seconds.
        ledger: The ``ShareLedger`` of the room.

    Returns:
        The ranks by key, as ``precedence.choose_ranks`` does.
    """
    choose = functools.partial(
        ledger.choose,
        requests={
            key: (request, room.find_size(needs[key], request))
            for key, request in requests.items()
        },
    )
    return precedence.choose_ranks(needs, room.cpu, now, choose)


class ShareLedger:
    """Credits of the zones and queues that compete for one room.

    Args:
        weights: Weights by availability zone; 1 for zones without one.

    Attributes:
        delays: ``Delay`` by key of the work that the newest choice delays.
    """

    def __init__(self, *, weights=None):
        self._weights = weights or {}
        self._zones = {}
        self._chosen_at = None
        self.delays = {}

    def choose(self, candidates, schedule, requests):
        """Choose the work that is to be in time.

        Args:
            candidates: (priority, rank, key) triples, in order.
            schedule: The empty ``precedence.Schedule``.
            requests: (``Request``, size in seconds) pairs by key.

        Returns:
            The keys of the work chosen.
        """
        self._credit(schedule.now)
        self.delays = {}
        self._prepare(candidates, schedule, requests)
        keys = [key for _, _, key in candidates]
        if not are_divided(self._zones) or schedule.fits_all(keys):
            self._zones = {}
            return [key for key in keys if schedule.add(key)]
        return self._divide(schedule)

    def report(self):
        """Return the ``ZoneShare`` rows by availability zone.

        There are none if all work was chosen.
        """
        return {
            name: ZoneShare(
                entitled=zone.entitled,
                share=zone.share,
                chosen=zone.count,
                delayed=zone.delayed,
                credit_s=zone.credit_s,
            )
            for name, zone in self._zones.items()
        }

    def _divide(self, schedule):
        chosen = []
        heap = [
            (*zone.find_precedence(), name)
            for name, zone in self._zones.items()
            if zone.waits
        ]
        heapq.heapify(heap)
        while heap:
            name = heap[0][-1]
            zone = self._zones[name]
            item = zone.pop()
            if schedule.add(item.key):
                chosen.append(item.key)
                zone.add(item)
            else:
                self._delay(name, item)
            if zone.waits:
                heapq.heapreplace(heap, (*zone.find_precedence(), name))
            else:
                heapq.heappop(heap)
        return chosen

    def _credit(self, now):
        """Credit what zones and queues have lacked since the last choice."""
        before, self._chosen_at = self._chosen_at, now
        if before is None:
            return
        interval_s = min(max(0.0, now - before), MAX_INTERVAL_S)
        # The room is shared as the work asks for it if that is more than all.
        total = max(1.0, sum(zone.share for zone in self._zones.values()))
        for zone in self._zones.values():
            zone.credit(interval_s, total)
            for queue in zone.queues.values():
                queue.credit(interval_s, total)

    def _prepare(self, candidates, schedule, requests):
        """Set up the zones for a choice; keep credit of those that wait."""
        present = collections.defaultdict(set)
        for request, _ in requests.values():
            present[request.zone].add(request.queue)
        items = collections.defaultdict(list)
        for priority, rank, key in candidates:
            request, size_s = requests[key]
            time_s = schedule.find_deadline(key) - schedule.now
            items[request.zone].append(
                _Item(
                    key=key,
                    queue=request.queue,
                    priority=priority,
                    rank=rank,
                    size_s=size_s,
                    time_s=max(time_s, MIN_TIME_S),
                )
            )
        # A zone without work that can be in time doesn't ask for anything.
        entitled = {
            name: find_share(name, items, self._weights) for name in items
        }
        self._zones = {
            name: _Zone(
                entitled=entitled.get(name, 0.0),
                items=items.get(name, []),
                queues=sorted(queues),
                before=self._zones.get(name),
            )
            for name, queues in sorted(present.items())
        }

    def _delay(self, name, item):
        zone = self._zones[name]
        zone.delay(item)
        used_up = zone.share + item.share > zone.entitled
        self.delays[item.key] = Delay(
            reason=SHARE_USED_UP if used_up else DOES_NOT_FIT,
            zone=name,
            behind=tuple(
                other for other, row in self._zones.items() if row.count
            ),
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Item:
    """Work that can be in time for itself.

    Attributes:
        key: Its key.
        queue: Its queue.
        priority: Its priority.
        rank: Its rank by what its delay costs callers.
        size_s: Seconds for which it occupies its dominant resource.
        time_s: Seconds until its deadline.
    """

    key: object
    queue: str
    priority: int
    rank: float
    size_s: float
    time_s: float

    @property
    def share(self):
        """Share of the room that it asks for until its deadline."""
        return self.size_s / self.time_s


class _Account:
    """Share and credit of a zone or queue.

    Args:
        entitled: Share of the room that it gets in any case.
        largest_s: Size of its largest work, which bounds its credit.
        before: Its account in the choice before, or None.
    """

    def __init__(self, *, entitled, largest_s, before):
        self.entitled = entitled
        self.credit_s = 0.0 if before is None else before.credit_s
        # An account without work that can be in time keeps its credit.
        if largest_s:
            self.credit_s = min(self.credit_s, largest_s)
        self.share = 0.0
        self.count = 0
        self.delayed = 0

    def credit(self, interval_s, total):
        """Credit the share that it lacks, and debit what it got instead."""
        change_s = (self.entitled - self.share / total) * interval_s
        if change_s < 0 or self.delayed:
            self.credit_s = max(0.0, self.credit_s + change_s)

    def add(self, item):
        """Count work that is chosen."""
        self.share += item.share
        self.count += 1

    def delay(self, item):
        """Count work that is delayed."""
        self.delayed += 1


class _Zone(_Account):
    """Account of an availability zone, with its work in order.

    Args:
        entitled: Share of the room by its weight.
        items: The ``_Item`` rows, what costs callers least first.
        queues: Names of its queues.
        before: Its account in the choice before, or None.
    """

    def __init__(self, *, entitled, items, queues, before):
        super().__init__(
            entitled=entitled, largest_s=_find_largest(items), before=before
        )
        self._charged = 0.0
        self._unspent_s = self.credit_s
        earlier = {} if before is None else before.queues
        self.queues = {
            name: _Account(
                entitled=QUEUE_PART * entitled / len(queues),
                largest_s=_find_largest(
                    item for item in items if item.queue == name
                ),
                before=earlier.get(name),
            )
            for name in queues
        }
        self._items = collections.deque(self._sort(items))

    @property
    def waits(self):
        """Whether any of its work hasn't been tried yet."""
        return bool(self._items)

    def _sort(self, items):
        """Return work in order; what the credit of its queue pays is first."""
        left = {name: row.credit_s for name, row in self.queues.items()}
        unpaid = []
        for item in items:
            paid = item.size_s <= left[item.queue]
            left[item.queue] -= item.size_s if paid else 0.0
            unpaid.append((item.priority, not paid))
        order = sorted(range(len(items)), key=unpaid.__getitem__)
        return [items[index] for index in order]

    def _find_charge(self, item):
        """Return the share of work that the credit doesn't pay."""
        return max(0.0, item.size_s - self._unspent_s) / item.time_s

    def find_precedence(self):
        """Return the sort key of its next work among all zones."""
        item = self._items[0]
        charged = self._charged + self._find_charge(item)
        if charged <= self.entitled + TOLERANCE:
            return (item.priority, 0, charged / self.entitled)
        return (item.priority, 1, item.rank)

    def pop(self):
        """Remove and return its next work."""
        return self._items.popleft()

    def add(self, item):
        """Count and charge work that is chosen."""
        super().add(item)
        self._charged += self._find_charge(item)
        self._unspent_s = max(0.0, self._unspent_s - item.size_s)
        self.queues[item.queue].add(item)

    def delay(self, item):
        """Count work that is delayed."""
        super().delay(item)
        self.queues[item.queue].delay(item)


def _find_largest(items):
    return max((item.size_s for item in items), default=0.0)
