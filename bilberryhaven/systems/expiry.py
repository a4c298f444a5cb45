"""Forgets jobs that ended long ago, so that the tables stay bounded."""

import datetime
import itertools

from bilberryhaven.commands import job as job_commands
from bilberryhaven import systems
from bilberryhaven.tables import job

__all__ = ['ExpirySystem', 'KEPT_FOR', 'MAX_ENDED']

# A resend of a job's id finds the same job for this long after its end.
KEPT_FOR = datetime.timedelta(hours=24)
MAX_ENDED = 200_000
INTERVAL = datetime.timedelta(seconds=10)
MAX_EXPIRED = 2_000


@systems.register('expiry')
class ExpirySystem(systems.System):
    """Looks at the oldest ended jobs every few seconds."""

    order = 900

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._next_at = None

    def run(self, world):
        """Return the expiries of this tick."""
        if self._next_at is not None and world.now < self._next_at:
            return []
        self._next_at = world.now + INTERVAL
        found = []
        for state in sorted(job.END_STATES):
            found += self._list_expired(world, state)
        return [job_commands.ExpireJobs(job_ids=found)] if found else []

    def _list_expired(self, world, state):
        jobs = world.state.jobs
        over = jobs.count('state', state) - MAX_ENDED
        limit = world.now - KEPT_FOR
        oldest = itertools.islice(jobs.iterate('state', state), MAX_EXPIRED)
        return [
            row.id
            for place, row in enumerate(oldest)
            if place < over or row.ended_at <= limit
        ]
