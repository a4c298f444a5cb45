"""How jobs left their instances, told from changes of their rows."""

import dataclasses
import enum

from bilberryhaven.tables import job

__all__ = ['Outcome', 'OutcomeKind', 'OutcomeLog']


class OutcomeKind(enum.StrEnum):
    """How a job left its instance."""

    FINISHED = 'finished'
    FAILED = 'failed'
    REFUSED = 'refused'
    STOPPED = 'stopped'


@dataclasses.dataclass(kw_only=True, slots=True)
class Outcome:
    """One job that left its instance.

    Attributes:
        job_id: The job's id.
        workload: Its workload's name.
        instance: Where it was.
        kind: How it left.
    """

    job_id: str
    workload: str
    instance: str
    kind: OutcomeKind


class OutcomeLog:
    """Outcomes since they were last taken."""

    def __init__(self):
        self._outcomes = []
        self._seen_failures = {}

    def mark_failures_seen(self, row):
        """Take the failures of job ``row`` so far for known."""
        if row.failures:
            self._seen_failures[row.id] = len(row.failures)

    def clear_failures(self, job_id):
        """Note that a job has no failures any more."""
        self._seen_failures.pop(job_id, None)

    def record(self, row, instance_name):
        """Note that job ``row`` left the instance ``place``."""
        self._outcomes.append(
            Outcome(
                job_id=row.id,
                workload=row.workload,
                instance=instance_name,
                kind=self._classify(row),
            )
        )
        if row.state in job.END_STATES:
            self.clear_failures(row.id)

    def _classify(self, row):
        count = len(row.failures)
        if count > self._seen_failures.get(row.id, 0):
            self._seen_failures[row.id] = count
            return OutcomeKind.FAILED
        if row.state == job.JobState.FINISHED:
            return OutcomeKind.FINISHED
        if row.reason.startswith('refused'):
            return OutcomeKind.REFUSED
        return OutcomeKind.STOPPED

    def peek(self):
        """Return the outcomes and keep them."""
        return self._outcomes

    def take(self):
        """Return the outcomes and forget them."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes
