"""Explains for each instance why a job does or does not run there."""

import dataclasses
import enum

from bilberryhaven.systems import node as nodes
from bilberryhaven.systems import sharing
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

__all__ = ['Row', 'Verdict', 'explain_job', 'explain_workload']


class Verdict(enum.StrEnum):
    """What prevents a job from running on an instance, if anything."""

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
        verdict: The condition that decided.
        reason: Human-readable explanation.
    """

    instance: str
    verdict: Verdict
    reason: str = ''


def explain_job(state, job_id, *, service_reserve=2, nodes_by_name=None):
    """Return one ``Row`` per instance for a job, best verdicts first.

    Args:
        state: The replicated tables.
        job_id: The job's id.
        service_reserve: Slots that batch jobs must leave free for services.
        nodes_by_name: The leader's ``Node`` objects, which avoid summing up
            the jobs of each instance; None to sum them from the tables.

    Raises:
        NotFoundError: There is no job with this id.
    """
    row = state.jobs.get(job_id)
    known_nodes = nodes_by_name or {}
    return _explain(state, row.workload, row, service_reserve, known_nodes)


def explain_workload(state, name, *, service_reserve=2, nodes_by_name=None):
    """Return one ``Row`` per instance for a new job of workload ``name``."""
    known_nodes = nodes_by_name or {}
    return _explain(state, name, None, service_reserve, known_nodes)


def _explain(state, name, row, service_reserve, known_nodes):
    spec = state.workloads.get(name)
    explainer = _Explainer(
        state=state,
        spec=spec,
        reserve=service_reserve,
        known_nodes=known_nodes,
    )
    rows = [
        explainer.explain(instance_row, row)
        for instance_row in state.instances
    ]
    order = list(Verdict)
    rows.sort(key=lambda found: (order.index(found.verdict), found.instance))
    return rows


class _Explainer:
    """Checks one workload against instances, using only the tables."""

    def __init__(self, *, state, spec, reserve, known_nodes):
        self._known_nodes = known_nodes
        self._state = state
        self._target = spec
        self._reserve = reserve
        self._rules = sharing.Rules()
        for row in state.workloads:
            self._rules.put(row)
        self._services = state.workloads.select('kind', workload.Kind.SERVICE)

    def explain(self, instance_row, row):
        """Return the ``Row`` on an instance for job ``row``."""
        verdict, reason = self._find_verdict(instance_row, row)
        return Row(instance=instance_row.name, verdict=verdict, reason=reason)

    def _find_verdict(self, instance_row, row):
        spec = self._target
        if _is_running_on(row, instance_row):
            return Verdict.RUNS_HERE, row.reason or str(row.state)
        if not self._rules.may_run(spec, instance_row.merge_labels()):
            return (
                Verdict.RUNS_ON,
                f'runs_on {spec.runs_on!r} does not match',
            )
        if not instance_row.connected:
            return Verdict.DISCONNECTED, 'its session is closed'
        if not instance_row.accepts_work():
            return Verdict.DRAINING, 'it is leaving and takes nothing new'
        if instance_row.quarantined:
            return Verdict.QUARANTINED, instance_row.quarantined
        node = self._known_nodes.get(instance_row.name) or self._build_node(
            instance_row
        )
        return self._check_capacity(node)

    def _check_capacity(self, node):
        spec = self._target
        others = self._rules.list_conflicts(spec.name, node)
        if others:
            names = ', '.join(sorted(set(others)))
            return Verdict.SHARES_WITH, f'may not share with {names}'
        shortages = nodes.list_shortages(node, spec.resources)
        if shortages:
            return Verdict.RESOURCES, '; '.join(shortages)
        return Verdict.FITS, f'{node.free_slots} slots free'

    def _build_node(self, instance_row):
        node = nodes.Node(row=instance_row, name=instance_row.name)
        node.labels = instance_row.merge_labels()
        node.services = tuple(
            row.name
            for row in self._services
            if self._rules.may_run(row, node.labels)
        )
        node.reserve = self._reserve if node.services else 0
        for job_row in self._state.jobs.select('instance', instance_row.name):
            job_workload = self._state.workloads.find(job_row.workload)
            if job_row.state in job.ACTIVE_STATES and job_workload is not None:
                need = dataclasses.replace(
                    job_workload.resources, slots=job_row.slots
                )
                node.add(
                    nodes.Charge(
                        job_id=job_row.id,
                        workload=job_row.workload,
                        team=job_workload.team,
                        need=need,
                    )
                )
        return node


def _is_running_on(row, instance_row):
    if row is None or row.instance != instance_row.name:
        return False
    return row.state in job.ACTIVE_STATES
