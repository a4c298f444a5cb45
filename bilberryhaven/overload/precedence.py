"""Precedence of waiting work: what costs callers least is delayed first.

Answers backlogs of any cause, such as surges of wide work, the swing of the
spare CPU, the loss of a zone and what has piled up in an outage. First come,
first served makes most work miss its deadline then, since much is begun and
little is finished. So work is chosen by value: the smallest remaining work for
its value first, as long as all work chosen can be in time. What is chosen is
served by its latest start; other work waits for what is left, and work that is
too late to be of value comes last.
"""

import bisect
import dataclasses
import enum

__all__ = [
    'MAX_LATENESS',
    'ROOM_SHARE',
    'TIER',
    'Need',
    'Outlook',
    'Schedule',
    'build_sort_key',
    'choose_ranks',
    'find_outlook',
    'find_rank',
]

# Work is of no value to its caller after this multiple of the time that it
# was allowed to take.
MAX_LATENESS = 3.0
# Difference between the ranks of work that is chosen, of work that can be in
# time or late for itself, and of work that is too late.
TIER = 1e12
# Work that is begun is compared as if this share of its remainder were left,
# so that it isn't delayed for work that is only a little cheaper.
BEGUN_SHARE = 0.8
# Share of the room that the work chosen may need. The rest is for what isn't
# foreseen, such as newcomers, failed runs and the swing of the room.
ROOM_SHARE = 0.75
# Work beyond this number isn't compared any further and counts as delayed,
# which bounds the time that a choice takes.
MAX_CHOSEN = 500


class Outlook(enum.IntEnum):
    """When work can still end."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class Need:
    """What a piece of work still needs, and until when.

    Attributes:
        due_at: When it was due to begin, in seconds.
        allowed_s: Time after ``due_at`` within which it is in time.
        remaining_s: Shortest time until its end, given any amount of room.
        work: Remaining work, in CPU times seconds.
        value: What its caller loses if it isn't done, in the same unit.
        priority: Its priority; 0 is the highest.
        begun: Whether any of it has been started.
    """

    due_at: float
    allowed_s: float
    remaining_s: float
    work: float
    value: float
    priority: int = 0
    begun: bool = False

    @property
    def latest_start(self):
        """Latest time at which its remainder can begin and be in time."""
        return self.due_at + self.allowed_s - self.remaining_s


def find_outlook(need, now, wait_s=0.0):
    """Return the ``Outlook`` of work that begins after a wait.

    Args:
        need: Its ``Need``.
        now: Current time in seconds.
        wait_s: Time until its remainder gets room, in seconds.
    """
    elapsed_s = now + wait_s + need.remaining_s - need.due_at
    if elapsed_s <= need.allowed_s:
        return Outlook.IN_TIME
    if elapsed_s <= MAX_LATENESS * need.allowed_s:
        return Outlook.LATE
    return Outlook.TOO_LATE


def find_rank(need, now):
    """Return the rank of one piece of work, whatever else is waiting.

    Args:
        need: Its ``Need``.
        now: Current time in seconds.

    Returns:
        The remaining work for the value, in tiers by ``Outlook``. Work that is
        too late is ranked by its due time.
    """
    outlook = find_outlook(need, now)
    if outlook == Outlook.TOO_LATE:
        return 2 * TIER + need.due_at
    return outlook * TIER + need.work / max(need.value, 1e-9)


def choose_ranks(needs, rate, now, choose=None):
    """Return the ranks of all work that competes for the same room.

    Args:
        needs: The ``Need`` rows by key.
        rate: CPU that the work gets in total.
        now: Current time in seconds.
        choose: Function that returns the keys of the work chosen, from the
            (priority, rank, key) triples of all work that can be in time for
            itself, in order, and an empty ``Schedule``; None chooses what
            costs callers least.

    Returns:
        The ranks by key, for ``build_sort_key``. The work chosen is ranked
        below 0, by its latest start.
    """
    candidates = []
    ranks = {}
    for key, need in needs.items():
        rank = find_rank(need, now)
        if rank < TIER:
            rank *= BEGUN_SHARE if need.begun else 1.0
            candidates.append((need.priority, rank, key))
        ranks[key] = rank
    schedule = Schedule(needs=needs, rate=rate * ROOM_SHARE, now=now)
    for key in (choose or _choose_least_cost)(sorted(candidates), schedule):
        ranks[key] = needs[key].latest_start - TIER
    return ranks


def _choose_least_cost(candidates, schedule):
    return [key for _, _, key in candidates if schedule.add(key)]


def build_sort_key(priority, rank):
    """Return the sort key of work; lower keys take precedence.

    Work that can be in time precedes late work of any priority, which has
    little to lose by a further delay.

    Args:
        priority: Its priority.
        rank: Its rank.
    """
    return (max(0, rank // TIER), priority, rank)


class Schedule:
    """Work that is all in time if the earliest deadline is served first.

    Args:
        needs: The ``Need`` rows by key.
        rate: CPU that the work gets in total.
        now: Current time in seconds.

    Attributes:
        now: Current time in seconds.
    """

    def __init__(self, *, needs, rate, now):
        self.now = now
        self._needs = needs
        self._rate = max(rate, 1e-9)
        self._deadlines = []
        self._works = []

    def find_deadline(self, key):
        """Return when the room must have been given to work of a key."""
        need = self._needs[key]
        # With all the room, its last parts still take part of their time.
        rest_s = need.remaining_s - need.work / self._rate
        return need.due_at + need.allowed_s - max(0.0, rest_s)

    def add(self, key):
        """Add work unless some would be late then; return whether it was."""
        if len(self._works) >= MAX_CHOSEN:
            return False
        need = self._needs[key]
        deadline = self.find_deadline(key)
        index = bisect.bisect(self._deadlines, deadline)
        done = sum(self._works[:index]) + need.work
        if not self._fits(done, deadline):
            return False
        later = zip(self._works[index:], self._deadlines[index:], strict=True)
        for work, other_deadline in later:
            done += work
            if not self._fits(done, other_deadline):
                return False
        self._deadlines.insert(index, deadline)
        self._works.insert(index, need.work)
        return True

    def fits_all(self, keys):
        """Return whether all work of some keys can be added to nothing."""
        done = 0.0
        for deadline, key in sorted(
            (self.find_deadline(key), key) for key in keys
        ):
            done += self._needs[key].work
            if not self._fits(done, deadline):
                return False
        return len(keys) <= MAX_CHOSEN

    def _fits(self, work, deadline):
        return self.now + work / self._rate <= deadline
