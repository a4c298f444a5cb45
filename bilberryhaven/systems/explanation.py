"""Tells, instance by instance, why a job runs where it does or nowhere."""

import dataclasses
import enum

from bilberryhaven.systems import node as nodes
from bilberryhaven.systems import sharing
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

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


def explain_job(state, job_id, *, service_reserve=2, nodes_by_name=None):
    """Return one ``Row`` an instance for the job, best verdicts first.

    Args:
        state: The replicated tables.
        job_id: The job's id.
        service_reserve: Slots that batch work leaves free beside services.
        nodes_by_name: The leader's ``Node`` rows, which spare the count of
            each instance's jobs; None to count them from the tables.

    Raises:
        NotFoundError: No job has the id.
    """
    row = state.jobs.get(job_id)
    known = nodes_by_name or {}
    return _explain(state, row.workload, row, service_reserve, known)


def explain_workload(state, name, *, service_reserve=2, nodes_by_name=None):
    """Return one ``Row`` an instance for a new job of workload ``name``."""
    known = nodes_by_name or {}
    return _explain(state, name, None, service_reserve, known)


def _explain(state, name, row, service_reserve, known):
    target = state.workloads.get(name)
    judge = _Judge(
        state=state, target=target, reserve=service_reserve, known=known
    )
    rows = [judge.judge(place, row) for place in state.instances]
    order = list(Verdict)
    rows.sort(key=lambda found: (order.index(found.verdict), found.instance))
    return rows


class _Judge:
    """Compares one workload with instances, straight from the tables."""

    def __init__(self, *, state, target, reserve, known):
        self._known = known
        self._state = state
        self._target = target
        self._reserve = reserve
        self._rules = sharing.Rules()
        for row in state.workloads:
            self._rules.put(row)
        self._services = state.workloads.select('kind', workload.Kind.SERVICE)

    def judge(self, place, row):
        """Return the ``Row`` on instance ``place`` for job ``row``."""
        verdict, reason = self._find_verdict(place, row)
        return Row(instance=place.name, verdict=verdict, reason=reason)

    def _find_verdict(self, place, row):
        target = self._target
        if _runs_on(row, place):
            return Verdict.RUNS_HERE, row.reason or str(row.state)
        if not self._rules.may_run(target, place.merge_labels()):
            return (
                Verdict.RUNS_ON,
                f'runs_on {target.runs_on!r} does not match',
            )
        if not place.connected:
            return Verdict.DISCONNECTED, 'its session is closed'
        if not place.accepts_work():
            return Verdict.DRAINING, 'it is leaving and takes nothing new'
        if place.quarantined:
            return Verdict.QUARANTINED, place.quarantined
        entry = self._known.get(place.name) or self._build_node(place)
        return self._find_room(entry)

    def _find_room(self, entry):
        target = self._target
        others = self._rules.list_unshared(target.name, entry)
        if others:
            names = ', '.join(sorted(set(others)))
            return Verdict.SHARES_WITH, f'may not share with {names}'
        lacks = nodes.list_shortages(entry, target.resources)
        if lacks:
            return Verdict.RESOURCES, '; '.join(lacks)
        return Verdict.FITS, f'{entry.free_slots} slots free'

    def _build_node(self, place):
        entry = nodes.Node(row=place, name=place.name)
        entry.labels = place.merge_labels()
        entry.services = tuple(
            row.name
            for row in self._services
            if self._rules.may_run(row, entry.labels)
        )
        entry.reserve = self._reserve if entry.services else 0
        for held in self._state.jobs.select('instance', place.name):
            owner = self._state.workloads.find(held.workload)
            if held.state in job.ACTIVE_STATES and owner is not None:
                need = dataclasses.replace(owner.resources, slots=held.slots)
                entry.add(
                    nodes.Charge(
                        job_id=held.id,
                        workload=held.workload,
                        team=owner.team,
                        need=need,
                    )
                )
        return entry


def _runs_on(row, place):
    if row is None or row.instance != place.name:
        return False
    return row.state in job.ACTIVE_STATES
