"""Requests in progress at an agent, with the count of their slots."""

import dataclasses
import datetime
import enum

from bilberryhaven.agent import effects
from bilberryhaven.agent import queue

__all__ = ['ActiveRequest', 'ActiveTable', 'Stage']


class Stage(enum.Enum):
    """Where a request in progress stands.

    ``LINGERING``: its answer won't come, but it may still run.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    LINGERING = 'lingering'


@dataclasses.dataclass(kw_only=True, slots=True)
class ActiveRequest:
    """A request in progress.

    Attributes:
        request: Its first dispatch.
        stage: Where it stands.
        tickets: Dispatches that wait for its answer.
        since: When it entered its stage.
    """

    request: effects.Request
    stage: Stage
    tickets: list[int]
    entered_at: datetime.timedelta


class ActiveTable:
    """All requests in progress, by id."""

    def __init__(self):
        self._rows = {}
        self._queue = queue.Queue()
        self._lingering = 0

    def __len__(self):
        return len(self._rows)

    @property
    def queued(self):
        """How many wait for a slot."""
        return len(self._queue)

    @property
    def slots_used(self):
        """Slots that running and lingering requests hold."""
        return len(self._rows) - len(self._queue)

    @property
    def awaited(self):
        """How many have a caller that waits."""
        return len(self._rows) - self._lingering

    def find(self, request_id):
        """Return the ``Active``, or None."""
        return self._rows.get(request_id)

    def get(self, request_id):
        """Return the ``Active`` that is known to be there."""
        return self._rows[request_id]

    def enqueue(self, request, now):
        """Add a request that waits for a slot; return it."""
        row = ActiveRequest(
            request=request,
            stage=Stage.QUEUED,
            tickets=[request.ticket],
            entered_at=now,
        )
        self._rows[request.request_id] = row
        self._queue.put(request)
        return row

    def adopt(self, request, now):
        """Add a request that runs for a former agent."""
        self._rows[request.request_id] = ActiveRequest(
            request=request, stage=Stage.LINGERING, tickets=[], entered_at=now
        )
        self._lingering += 1

    def start(self, row, now):
        """Move a row that has left the queue to ``RUNNING``."""
        row.stage = Stage.RUNNING
        row.entered_at = now

    def mark_lingering(self, row):
        """Move a running row to ``LINGERING``; no caller waits for it."""
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
        """Take the next row from the queue, or return None."""
        request = self._queue.pop()
        return self._rows[request.request_id] if request else None

    def has_urgent(self):
        """Return whether an urgent request waits for a slot."""
        return self._queue.has_urgent()

    def count_ahead(self, request):
        """Return how many would get a slot before a new request."""
        return self._queue.count_ahead(request)

    def find_displaced(self, request):
        """Return the id of the newest that an urgent one displaces, or ''."""
        return self._queue.find_displaced(request)

    def list_expired(self, now):
        """Return the ids of those that waited past their deadline."""
        return self._queue.list_expired(now)

    def list_lingering(self):
        """Return the ids of those that may run without a caller."""
        return [
            request_id
            for request_id, row in self._rows.items()
            if row.stage is Stage.LINGERING
        ]
