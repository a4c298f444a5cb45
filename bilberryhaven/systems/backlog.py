"""Queues of pending jobs, one per workload, ordered by due time.

Within a workload the job with the earliest due time is served first. An
urgent job is due at its submission and any other job ``DEFAULT_DUE_DELAY``
after it. A job with a deadline is due at the latest start that still meets the
deadline, if that is earlier. A waiting job keeps its due time, so newer jobs
cannot starve it.
"""

import datetime
import heapq

from bilberryhaven.tables import job

__all__ = ['Backlog', 'is_urgent']

DEFAULT_DUE_DELAY = datetime.timedelta(seconds=600)
# Factor on the expected run time in the latest start that meets a deadline.
RUN_TIME_MARGIN = 1.5
URGENT_LABEL = 'urgent'
URGENT_VALUES = frozenset({'true', 'yes', '1'})


def is_urgent(spec):
    """Return whether jobs of workload ``spec`` precede all others."""
    return spec.labels.get(URGENT_LABEL) in URGENT_VALUES


class Backlog:
    """Queues of pending jobs, updated from the journal of the job table.

    Args:
        run_times: ``TaskEstimates`` that give the expected run time of a
            workload; by default the declared run time is used.
    """

    def __init__(self, *, run_times=None):
        self._run_times = run_times
        self._state = None
        self._clear()

    def _clear(self):
        self._queues = {}
        self._due_by_job = {}
        self._delayed_until = {}
        self._delay_heap = []
        self._urgent_counts = {}

    def refresh(self, state, *, now):
        """Apply the changes of ``state`` since the last call."""
        if state is not self._state:
            self._state = state
            self._journal = state.jobs.open_journal()
        keys = self._journal.take()
        if keys is None:
            self._clear()
            rows = state.jobs.select('state', job.JobState.PENDING)
            keys = [row.id for row in rows]
        for key in keys:
            self._update_job(key)
        self._requeue_delayed(now)

    def _update_job(self, job_id):
        row = self._state.jobs.find(job_id)
        if row is None or row.state != job.JobState.PENDING:
            self._due_by_job.pop(job_id, None)
            self._delayed_until.pop(job_id, None)
        elif (
            job_id not in self._due_by_job
            and job_id not in self._delayed_until
        ):
            due = self.compute_due(row)
            self._due_by_job[job_id] = due
            queue = self._queues.setdefault(row.workload, [])
            heapq.heappush(queue, (due, job_id))
            if due == row.submitted_at:
                self._urgent_counts[row.workload] = (
                    self._urgent_counts.get(row.workload, 0) + 1
                )

    def pop_urgent_counts(self):
        """Return the number of new urgent jobs by workload since last time."""
        found = self._urgent_counts
        self._urgent_counts = {}
        return found

    def compute_due(self, row):
        """Return the time at which job ``row`` is due to start."""
        spec = self._state.workloads.find(row.workload)
        if spec is not None and is_urgent(spec):
            return row.submitted_at
        due = row.submitted_at + DEFAULT_DUE_DELAY
        if row.deadline_at is None or spec is None:
            return due
        run_time = datetime.timedelta(seconds=self._get_run_seconds(spec))
        return min(due, row.deadline_at - run_time * RUN_TIME_MARGIN)

    def _get_run_seconds(self, spec):
        if self._run_times is None:
            return spec.run_seconds
        return self._run_times.get_run_seconds(spec)

    def delay(self, job_id, until):
        """Withhold a pending job from its queue until the time ``until``."""
        self._due_by_job.pop(job_id, None)
        self._delayed_until[job_id] = until
        heapq.heappush(self._delay_heap, (until, job_id))

    def _requeue_delayed(self, now):
        while self._delay_heap and self._delay_heap[0][0] <= now:
            until, job_id = heapq.heappop(self._delay_heap)
            if self._delayed_until.get(job_id) == until:
                del self._delayed_until[job_id]
                self._update_job(job_id)

    def list_workloads(self):
        """Return the names of the workloads that have queued jobs."""
        return [name for name in list(self._queues) if self.peek(name)]

    def peek(self, name):
        """Return (due time, job id) of the first job of ``name``, or None."""
        queue = self._queues.get(name)
        while queue:
            due, job_id = queue[0]
            if self._due_by_job.get(job_id) == due:
                return queue[0]
            heapq.heappop(queue)
        self._queues.pop(name, None)
        return None

    def pop(self, name):
        """Remove the first job of workload ``name`` and return its id."""
        job_id = heapq.heappop(self._queues[name])[1]
        self._due_by_job.pop(job_id, None)
        return job_id

    def count(self, name):
        """Return the number of queued jobs of workload ``name``."""
        return len(self.list_jobs(name))

    def list_jobs(self, name):
        """Return the ids of the queued jobs of workload ``name``."""
        queue = self._queues.get(name, ())
        return [key for due, key in queue if self._due_by_job.get(key) == due]

    def requeue(self, name):
        """Recompute the due times of workload ``name`` after it changed."""
        for job_id in self.list_jobs(name):
            self._due_by_job.pop(job_id, None)
            self._update_job(job_id)
