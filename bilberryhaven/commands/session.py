"""Sessions of instances: opening, closing and fencing by epoch."""

import datetime

from bilberryhaven import commands
from bilberryhaven import errors
from bilberryhaven.tables import instance
from bilberryhaven.tables import job

__all__ = [
    'CloseSession',
    'ForgetInstances',
    'LeaveSession',
    'OpenSession',
    'QuarantineInstance',
]


class OpenSession(commands.Command, kw_only=True, frozen=True):
    """Register an instance's agent and give it a new session epoch.

    Refused while the previous session is open. A repeat with the same
    idempotency key ``opening`` gets the session that the first one opened.
    """

    name: str
    zone: str
    rack: str
    address: str
    labels: dict[str, str]
    capacity: instance.Capacity
    at: datetime.datetime
    opening: str = ''

    def apply(self, state):
        """Store the announcement and return the session's epoch."""
        old = state.instances.find(self.name)
        if old is not None and self.opening and old.opening == self.opening:
            return self._find_opened(old)
        if old is not None and old.connected:
            raise errors.RefusedError(
                f'session {old.epoch} of {self.name} is still open',
                step='open session',
                peer=self.name,
            )
        row = instance.Instance(
            name=self.name,
            zone=self.zone,
            rack=self.rack,
            address=self.address,
            announced=dict(self.labels),
            capacity=self.capacity,
            epoch=state.session_floor + 1,
            opening=self.opening,
            connected=True,
        )
        if old is not None:
            row.labels = old.labels
            row.epoch = old.epoch + 1
            row.draining = old.draining
            row.version = old.version
        state.instances.put(row)
        return row.epoch

    def _find_opened(self, row):
        if not row.connected:
            raise errors.FencedError(
                f'session {row.epoch} of {self.name} is already closed',
                step='open session',
                peer=self.name,
            )
        return row.epoch


class LeaveSession(commands.Command, kw_only=True, frozen=True):
    """Stop granting jobs to a session whose agent is stopping."""

    name: str
    epoch: int

    def apply(self, state):
        """Mark the instance as leaving if the session is the open one."""
        row = state.instances.get(self.name)
        if row.connected and row.epoch == self.epoch:
            state.instances.update(self.name, leaving=True)
        return row.leaving


class CloseSession(commands.Command, kw_only=True, frozen=True):
    """Close a session whose lease has expired, including its margin.

    Its jobs no longer run, because the backend server stops work whose lease
    has expired. Repeatable jobs become pending again; the outcome of others
    stays unknown.
    """

    name: str
    epoch: int
    at: datetime.datetime
    reason: str = ''

    def apply(self, state):
        """Close the session and release its jobs."""
        row = state.instances.get(self.name)
        if row.epoch != self.epoch or not row.connected:
            raise errors.FencedError(
                f'session {self.epoch} of {self.name} is not the open session',
                step='close session',
                peer=self.name,
            )
        state.instances.update(self.name, connected=False, closed_at=self.at)
        for job_row in state.jobs.select('instance', self.name):
            if job_row.state in job.ACTIVE_STATES:
                self._release(state, job_row)
        return row.epoch

    def _release(self, state, job_row):
        reason = f'session of {self.name} ended: {self.reason}'
        repeatable = True
        spec = state.workloads.find(job_row.workload)
        if spec is not None:
            repeatable = spec.repeatable
        if job_row.state == job.JobState.CANCELLING:
            changes = {'state': job.JobState.CANCELLED, 'ended_at': self.at}
        elif repeatable:
            changes = {'state': job.JobState.PENDING}
        else:
            changes = {'state': job.JobState.UNKNOWN, 'ended_at': self.at}
        state.jobs.update(
            job_row.id, instance='', session=0, reason=reason, **changes
        )


class QuarantineInstance(commands.Command, kw_only=True, frozen=True):
    """Set or clear the quarantine of an instance."""

    name: str
    reason: str = ''

    def apply(self, state):
        """Store the reason; an empty one clears the quarantine."""
        state.instances.get(self.name)
        state.instances.update(self.name, quarantined=self.reason)
        return self.reason


class ForgetInstances(commands.Command, kw_only=True, frozen=True):
    """Remove instances that were replaced or did not reconnect."""

    names: list[str]

    def apply(self, state):
        """Remove each without an open session; return their number."""
        rows = [state.instances.find(name) for name in self.names]
        removed = [row for row in rows if row and not row.connected]
        for row in removed:
            state.session_floor = max(state.session_floor, row.epoch)
            state.instances.remove(row.name)
        return len(removed)
