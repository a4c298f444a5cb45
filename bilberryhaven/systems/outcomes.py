"""Outcomes of jobs that left their instances, derived from row changes."""

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
        job_id: Id of the job.
        workload: Name of its workload.
        instance: Name of the instance that it left.
        kind: How it left the instance.
    """

    job_id: str
    workload: str
    instance: str
    kind: OutcomeKind


class OutcomeLog:
    """Queue of outcomes that have not been taken yet."""

    def __init__(self):
        self._outcomes = []
        self._seen_failures = {}

    def mark_failures_seen(self, row):
        """Treat the present failures of job ``row`` as already processed."""
        if row.failures:
            self._seen_failures[row.id] = len(row.failures)

    def clear_failures(self, job_id):
        """Reset the count of processed failures of a job."""
        self._seen_failures.pop(job_id, None)

    def record(self, row, instance_name):
        """Record that job ``row`` left the instance ``instance_name``."""
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
        """Return the outcomes without removing them."""
        return self._outcomes

    def take(self):
        """Return and remove the outcomes."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes
