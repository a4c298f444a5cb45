"""Pending jobs, by workload, in the order in which they are served."""

import heapq

from bilberryhaven.tables import job

__all__ = ['Backlog']


class Backlog:
    """Queues of pending jobs, kept up to date from the journal."""

    def __init__(self):
        self._state = None
        self._queues = {}
        self._queued = {}

    def refresh(self, state):
        """Take in what changed in ``state`` since the last call."""
        if state is not self._state:
            self._state = state
            self._journal = state.jobs.watch()
        keys = self._journal.take()
        if keys is None:
            self._queues = {}
            self._queued = {}
            rows = state.jobs.select('state', job.JobState.PENDING)
            keys = [row.id for row in rows]
        for key in keys:
            self._take_job(key)

    def _take_job(self, job_id):
        row = self._state.jobs.find(job_id)
        if row is None or row.state != job.JobState.PENDING:
            self._queued.pop(job_id, None)
            return
        if job_id in self._queued:
            return
        self._queued[job_id] = row.workload
        queue = self._queues.setdefault(row.workload, [])
        heapq.heappush(queue, (row.submitted_at, job_id))

    def list_workloads(self):
        """Return the names of workloads with pending jobs."""
        return [name for name in list(self._queues) if self.peek(name)]

    def peek(self, name):
        """Return the first pending job of workload ``name``, or None."""
        queue = self._queues.get(name)
        while queue:
            job_id = queue[0][1]
            if self._queued.get(job_id) == name:
                return self._state.jobs.get(job_id)
            heapq.heappop(queue)
        self._queues.pop(name, None)
        return None

    def pop(self, name):
        """Take the first pending job of workload ``name`` off its queue."""
        job_id = heapq.heappop(self._queues[name])[1]
        self._queued.pop(job_id, None)
        return job_id

    def push(self, job_id):
        """Queue a job again that was taken off."""
        self._take_job(job_id)

    def list_jobs(self, name):
        """Return the ids of the pending jobs of workload ``name``."""
        queue = self._queues.get(name, ())
        return [key for _, key in queue if self._queued.get(key) == name]
