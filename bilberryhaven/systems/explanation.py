"""Tells, instance by instance, why a job runs where it does or nowhere."""

import dataclasses
import enum

from bilberryhaven.systems import fleet as fleets
from bilberryhaven.systems import node as nodes
from bilberryhaven.tables import job

__all__ = ['Row', 'Verdict', 'explain_job', 'explain_workload']


class Verdict(enum.StrEnum):
    """What keeps a job from an instance, or that nothing does."""

    RUNS_HERE = 'runs_here'
    FITS = 'fits'
    DISCONNECTED = 'disconnected'
    DRAINING = 'draining'
    QUARANTINED = 'quarantined'
    RUNS_ON = 'runs_on'
    SHARES_WITH = 'shares_with'
    RESOURCES = 'resources'


@dataclasses.dataclass(kw_only=True, slots=True)
class Row:
    """The verdict on one instance.

    Attributes:
        instance: The instance's name.
        verdict: What decided.
        reason: The same for a person.
    """

    instance: str
    verdict: Verdict
    reason: str = ''


def explain_job(state, job_id, *, service_reserve=2):
    """Return one ``Row`` an instance for the job, best verdicts first.

    Args:
        state: The replicated tables.
        job_id: The job's id.
        service_reserve: Slots that batch work leaves free beside services.

    Raises:
        NotFoundError: No job has the id.
    """
    row = state.jobs.get(job_id)
    return _explain(state, row.workload, row, service_reserve)


def explain_workload(state, name, *, service_reserve=2):
    """Return one ``Row`` an instance for a new job of workload ``name``."""
    return _explain(state, name, None, service_reserve)


def _explain(state, name, row, service_reserve):
    target = state.workloads.get(name)
    fleet = fleets.Fleet()
    fleet.refresh(state, reserve=service_reserve)
    rows = [
        _judge(fleet, target, row, entry) for entry in fleet.nodes.values()
    ]
    order = list(Verdict)
    return sorted(
        rows, key=lambda row: (order.index(row.verdict), row.instance)
    )


def _judge(fleet, target, row, entry):
    verdict, reason = _find_verdict(fleet, target, row, entry)
    return Row(instance=entry.name, verdict=verdict, reason=reason)


def _runs_on(row, entry):
    if row is None or row.instance != entry.name:
        return False
    return row.state in job.ACTIVE_STATES


def _find_verdict(fleet, target, row, entry):
    if _runs_on(row, entry):
        return Verdict.RUNS_HERE, row.reason or str(row.state)
    if not fleet.rules.may_run(target, entry.labels):
        return Verdict.RUNS_ON, f'runs_on {target.runs_on!r} does not match'
    if not entry.row.connected:
        return Verdict.DISCONNECTED, 'its session is closed'
    if entry.emptying:
        return Verdict.DRAINING, 'it is leaving and takes nothing new'
    if entry.row.quarantined:
        return Verdict.QUARANTINED, entry.row.quarantined
    others = fleet.rules.list_unshared(target.name, entry)
    if others:
        return Verdict.SHARES_WITH, f'may not share with {", ".join(others)}'
    lacks = nodes.list_shortages(entry, target.resources)
    if lacks:
        return Verdict.RESOURCES, '; '.join(lacks)
    return Verdict.FITS, f'{entry.free_slots} slots free'
