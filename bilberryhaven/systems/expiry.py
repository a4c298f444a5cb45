"""Deletes rows of ended jobs and lost instances to bound the tables."""

import datetime
import itertools

from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven import systems
from bilberryhaven.tables import job

__all__ = ['ExpirySystem', 'JOB_RETENTION', 'MAX_ENDED_JOBS']

# A job id that is submitted again within this time after the job's end is
# recognised as the same job.
JOB_RETENTION = datetime.timedelta(hours=24)
MAX_ENDED_JOBS = 200_000
# Retention of an instance without a session, and of the labels set on it.
INSTANCE_RETENTION = datetime.timedelta(days=7)
INTERVAL = datetime.timedelta(seconds=10)
MAX_EXPIRED = 2_000


@systems.register('expiry')
class ExpirySystem(systems.System):
    """Checks the oldest ended jobs and closed sessions every 10 s."""

    order = 900

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._next_at = None

    def run(self, world):
        """Return the commands that delete expired jobs and instances."""
        if self._next_at is not None and world.now < self._next_at:
            return []
        self._next_at = world.now + INTERVAL
        job_ids = []
        for state in sorted(job.END_STATES):
            job_ids += self._list_expired_jobs(world, state)
        batch = [job_commands.ExpireJobs(job_ids=job_ids)] if job_ids else []
        expired_instances = self._list_expired_instances(world)
        if expired_instances:
            batch.append(session.ForgetInstances(names=expired_instances))
        return batch

    def _list_expired_instances(self, world):
        limit = world.now - INSTANCE_RETENTION
        rows = world.state.instances.iterate('connected', False)
        oldest = itertools.islice(rows, MAX_EXPIRED)
        return [row.name for row in oldest if row.closed_at <= limit]

    def _list_expired_jobs(self, world, state):
        jobs = world.state.jobs
        excess = jobs.count('state', state) - MAX_ENDED_JOBS
        limit = world.now - JOB_RETENTION
        oldest = itertools.islice(jobs.iterate('state', state), MAX_EXPIRED)
        return [
            row.id
            for position, row in enumerate(oldest)
            if position < excess or row.ended_at <= limit
        ]
