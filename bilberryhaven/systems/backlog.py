"""Pending jobs, by workload, in the order in which they are served.

Each job has a due time and within a workload the earliest goes first: an
urgent job is due when it is submitted, one with a deadline when it must
start to meet it, any other after ``PATIENCE``. What waits grows due, so
nothing waits for ever behind newer jobs.
"""

import datetime
import heapq

from bilberryhaven.tables import job

__all__ = ['Backlog', 'is_urgent']

PATIENCE = datetime.timedelta(seconds=600)
RUN_TIME_MARGIN = 1.5
URGENT_LABEL = 'urgent'
URGENT_VALUES = frozenset({'true', 'yes', '1'})


def is_urgent(target):
    """Return whether jobs of workload ``target`` go before all others."""
    return target.labels.get(URGENT_LABEL) in URGENT_VALUES


class Backlog:
    """Queues of pending jobs, kept up to date from the journal.

    Args:
        run_times: Gives the run time expected of a workload's task; the
            declared one by default.
    """

    def __init__(self, *, run_times=None):
        self._run_times = run_times
        self._state = None
        self._clear()

    def _clear(self):
        self._queues = {}
        self._queued = {}
        self._delays = {}
        self._delayed = []
        self._urgent = {}

    def refresh(self, state, *, now):
        """Take in what changed in ``state`` since the last call."""
        if state is not self._state:
            self._state = state
            self._journal = state.jobs.open_journal()
        keys = self._journal.take()
        if keys is None:
            self._clear()
            rows = state.jobs.select('state', job.JobState.PENDING)
            keys = [row.id for row in rows]
        for key in keys:
            self._take_job(key)
        self._end_delays(now)

    def _take_job(self, job_id):
        row = self._state.jobs.find(job_id)
        if row is None or row.state != job.JobState.PENDING:
            self._queued.pop(job_id, None)
            self._delays.pop(job_id, None)
        elif job_id not in self._queued and job_id not in self._delays:
            due = self.compute_due(row)
            self._queued[job_id] = due
            queue = self._queues.setdefault(row.workload, [])
            heapq.heappush(queue, (due, job_id))
            if due == row.submitted_at:
                self._urgent[row.workload] = (
                    self._urgent.get(row.workload, 0) + 1
                )

    def take_urgent(self):
        """Return how many urgent jobs of each workload came since last."""
        found = self._urgent
        self._urgent = {}
        return found

    def compute_due(self, row):
        """Return when job ``row`` is due to start."""
        target = self._state.workloads.find(row.workload)
        if target is not None and is_urgent(target):
            return row.submitted_at
        due = row.submitted_at + PATIENCE
        if row.deadline_at is None or target is None:
            return due
        run_time = datetime.timedelta(seconds=self._get_run_seconds(target))
        return min(due, row.deadline_at - run_time * RUN_TIME_MARGIN)

    def _get_run_seconds(self, target):
        if self._run_times is None:
            return target.run_seconds
        return self._run_times.get_run_seconds(target)

    def delay(self, job_id, until):
        """Keep a pending job back until the time ``until``."""
        self._queued.pop(job_id, None)
        self._delays[job_id] = until
        heapq.heappush(self._delayed, (until, job_id))

    def _end_delays(self, now):
        while self._delayed and self._delayed[0][0] <= now:
            until, job_id = heapq.heappop(self._delayed)
            if self._delays.get(job_id) == until:
                del self._delays[job_id]
                self._take_job(job_id)

    def list_workloads(self):
        """Return the names of workloads with pending jobs."""
        return [name for name in list(self._queues) if self.peek(name)]

    def peek(self, name):
        """Return the (due time, job id) that is first of ``name``, or None."""
        queue = self._queues.get(name)
        while queue:
            due, job_id = queue[0]
            if self._queued.get(job_id) == due:
                return queue[0]
            heapq.heappop(queue)
        self._queues.pop(name, None)
        return None

    def pop(self, name):
        """Take the first pending job of workload ``name`` off its queue."""
        job_id = heapq.heappop(self._queues[name])[1]
        self._queued.pop(job_id, None)
        return job_id

    def count(self, name):
        """Return how many jobs of workload ``name`` are queued."""
        return len(self.list_jobs(name))

    def list_jobs(self, name):
        """Return the ids of the queued jobs of workload ``name``."""
        queue = self._queues.get(name, ())
        return [key for due, key in queue if self._queued.get(key) == due]

    def requeue(self, name):
        """Order the jobs of workload ``name`` anew after it was changed."""
        for job_id in self.list_jobs(name):
            self._queued.pop(job_id, None)
            self._take_job(job_id)
