"""Table of the requests in progress at an agent, with slot counts."""

import dataclasses
import datetime
import enum

from bilberryhaven.agent import effects
from bilberryhaven.agent import queue

__all__ = ['ActiveRequest', 'ActiveTable', 'Stage']


class Stage(enum.Enum):
    """Stage of a request in progress.

    ``LINGERING``: the answer is lost, but the backend server may still be
    running the request, so it keeps its slot.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    LINGERING = 'lingering'


@dataclasses.dataclass(kw_only=True, slots=True)
class ActiveRequest:
    """A request in progress.

    Attributes:
        request: The first dispatch of the request.
        stage: Current stage.
        tickets: Tickets of the dispatches that wait for the answer.
        entered_at: Monotonic time at which it entered its stage.
        awaited_until: Latest deadline of all dispatches of the request.
    """

    request: effects.Request
    stage: Stage
    tickets: list[int]
    entered_at: datetime.timedelta
    awaited_until: datetime.timedelta


class ActiveTable:
    """All requests in progress, keyed by request id."""

    def __init__(self):
        self._rows = {}
        self._queue = queue.Queue()
        self._lingering = 0

    def __len__(self):
        return len(self._rows)

    @property
    def queued(self):
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def slots_used(self):
        """Number of slots held by running and lingering requests."""
        return len(self._rows) - len(self._queue)

    @property
    def awaited(self):
        """Number of requests with a waiting caller."""
        return len(self._rows) - self._lingering

    def find(self, request_id):
        """Return the ``ActiveRequest``, or None if there is none."""
        return self._rows.get(request_id)

    def get(self, request_id):
        """Return the ``ActiveRequest``; it must exist."""
        return self._rows[request_id]

    def enqueue(self, request, now):
        """Add a request to the queue and return its ``ActiveRequest``."""
        row = ActiveRequest(
            request=request,
            stage=Stage.QUEUED,
            tickets=[request.ticket],
            entered_at=now,
            awaited_until=request.deadline_at,
        )
        self._rows[request.request_id] = row
        self._queue.put(request)
        return row

    def adopt(self, request, now):
        """Add a request that an earlier incarnation of the agent started."""
        self._rows[request.request_id] = ActiveRequest(
            request=request,
            stage=Stage.LINGERING,
            tickets=[],
            entered_at=now,
            awaited_until=request.deadline_at,
        )
        self._lingering += 1

    def start(self, row, now):
        """Set the stage of a row taken from the queue to ``RUNNING``."""
        row.stage = Stage.RUNNING
        row.entered_at = now

    def mark_lingering(self, row):
        """Set a running row to ``LINGERING`` and drop its waiting callers."""
        row.stage = Stage.LINGERING
        row.tickets = []
        self._lingering += 1

    def remove(self, request_id):
        """Remove and return a row."""
        row = self._rows.pop(request_id)
        if row.stage is Stage.LINGERING:
            self._lingering -= 1
        if row.stage is Stage.QUEUED:
            self._queue.remove(row.request)
        return row

    def pop_next(self):
        """Remove the next row from the queue and return it, or None."""
        request = self._queue.pop()
        return self._rows[request.request_id] if request else None

    def has_urgent(self):
        """Return whether an urgent request waits for a slot."""
        return self._queue.has_urgent()

    def count_ahead(self, request):
        """Return the number of requests queued ahead of a new request."""
        return self._queue.count_ahead(request)

    def find_displaced(self, request):
        """Return the id of the request to displace from the queue, or ''.

        Only an urgent request displaces another: the newest that isn't
        urgent.
        """
        return self._queue.find_displaced(request)

    def list_expired(self, now):
        """Return the ids of the queued requests past their deadline."""
        return self._queue.list_expired(now)

    def list_lingering(self):
        """Return the ids of the lingering requests."""
        return [
            request_id
            for request_id, row in self._rows.items()
            if row.stage is Stage.LINGERING
        ]
