"""Index of the jobs on each instance, updated from the table journals."""

import dataclasses

from bilberryhaven.systems import node as nodes
from bilberryhaven.systems import outcomes
from bilberryhaven.systems import pool as pools
from bilberryhaven.systems import sharing
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

__all__ = ['Fleet']


class Fleet:
    """All instances, with the resources charged for their jobs.

    Args:
        task_estimates: ``TaskEstimates`` of the ``Resources`` that tasks
            need; by default the declared resources are used.

    Attributes:
        nodes: ``Node`` by instance name.
        rules: ``Rules`` of the selectors in force.
        used: Number of slots held, by team.
        domain_counts: Number of jobs by (workload, zone) and by (workload,
            zone, rack).
        instances_to_check: Names of instances whose jobs must be checked
            against the selectors again.
        changed_instances: Names of instances that were added or changed.
        changed_workloads: Names of workloads that were added or changed.
        quarantined: Names of quarantined instances.
        restarted: Names of instances that opened a new session.
        instances_with_job_changes: Names of instances whose jobs changed.
        outcomes: ``OutcomeLog`` of the jobs that left their instances.
    """

    def __init__(self, *, task_estimates=None):
        self._task_estimates = task_estimates
        self._state = None
        self._reserve = 0
        self._clear()

    def _clear(self):
        self.nodes = {}
        self._node_list = None
        self.rules = sharing.Rules()
        self.used = {}
        self.domain_counts = {}
        self.instances_to_check = {}
        self.changed_instances = {}
        self.changed_workloads = {}
        self.quarantined = {}
        self.restarted = {}
        self.instances_with_job_changes = {}
        self.outcomes = outcomes.OutcomeLog()
        self._instance_by_job = {}
        self._services = {}
        self._pools = {}

    def refresh(self, state, *, reserve):
        """Apply the changes of ``state`` since the last call."""
        if state is not self._state or reserve != self._reserve:
            self._watch(state)
            self._reserve = reserve
        names = self._workload_journal.take()
        instance_names = self._instance_journal.take()
        job_ids = self._job_journal.take()
        if names is None or instance_names is None or job_ids is None:
            self._rebuild()
            return
        if names:
            self._update_workloads(names)
        for name in instance_names:
            self._update_instance(name)
        for job_id in job_ids:
            self._update_job(job_id)

    def _watch(self, state):
        self._state = state
        self._workload_journal = state.workloads.open_journal()
        self._instance_journal = state.instances.open_journal()
        self._job_journal = state.jobs.open_journal()

    def _rebuild(self):
        self._clear()
        for journal in (
            self._workload_journal,
            self._instance_journal,
            self._job_journal,
        ):
            journal.take()
        self._update_workloads([row.name for row in self._state.workloads])
        for row in self._state.instances:
            self._update_instance(row.name)
        for row in self._state.jobs:
            self.outcomes.mark_failures_seen(row)
        for state in job.JobState:
            if state in job.ACTIVE_STATES:
                for row in self._state.jobs.select('state', state):
                    self._update_job(row.id)

    def _update_workloads(self, names):
        services_changed = False
        for name in names:
            row = self._state.workloads.find(name)
            self.changed_workloads[name] = None
            if row is None:
                self.rules.remove(name)
            else:
                self.rules.put(row)
            services_changed = (
                self._update_service(name, row) or services_changed
            )
        for node in self.nodes.values():
            if services_changed:
                self._set_services(node)
                self._update_pools(node)
            if services_changed or any(name in node.counts for name in names):
                self.instances_to_check[node.name] = None

    def _update_service(self, name, row):
        if row is not None and row.kind == workload.Kind.SERVICE:
            self._services[name] = row
            return True
        return self._services.pop(name, None) is not None

    def _set_services(self, node):
        node.services = tuple(
            name
            for name, row in self._services.items()
            if self.rules.may_run(row, node.labels)
        )
        node.reserve = self._reserve if node.services else 0
        node.penalty_models = None

    def _update_instance(self, name):
        row = self._state.instances.find(name)
        if row is None:
            self._drop_instance(name)
            return
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = nodes.Node(row=row, name=name)
            self._node_list = None
        elif node.row.epoch != row.epoch:
            self.restarted[name] = None
        if row.quarantined:
            self.quarantined[name] = None
        else:
            self.quarantined.pop(name, None)
        node.row = row
        labels = row.merge_labels()
        if labels != node.labels:
            node.labels = labels
            self._set_services(node)
            self._match_pools(node)
        self._update_pools(node)
        self.instances_to_check[name] = None
        self.changed_instances[name] = None

    def _drop_instance(self, name):
        node = self.nodes.pop(name, None)
        self.quarantined.pop(name, None)
        if node is not None:
            self._node_list = None
            for pool in node.pools:
                pool.update_instance(name, is_open=False, is_available=False)

    def _match_pools(self, node):
        for pool in node.pools:
            pool.update_instance(node.name, is_open=False, is_available=False)
        node.pools = [
            pool for pool in self._pools.values() if pool.match(node.labels)
        ]
        node.indexed = (False, False)

    def _update_pools(self, node):
        is_open = node.open
        is_available = is_open and node.free_slots > 0
        if node.indexed == (is_open, is_available):
            return
        node.indexed = (is_open, is_available)
        for pool in node.pools:
            pool.update_instance(
                node.name, is_open=is_open, is_available=is_available
            )

    def list_nodes(self):
        """Return all nodes; callers must not change the list."""
        if self._node_list is None:
            self._node_list = list(self.nodes.values())
        return self._node_list

    def get_pool(self, runs_on):
        """Return the ``Pool`` of the selector ``runs_on``."""
        pool = self._pools.get(runs_on)
        if pool is None:
            pool = self._pools[runs_on] = pools.Pool(runs_on=runs_on)
            for node in self.nodes.values():
                if pool.match(node.labels):
                    node.pools.append(pool)
                    is_open, is_available = node.indexed
                    pool.update_instance(
                        node.name, is_open=is_open, is_available=is_available
                    )
        return pool

    def get_need(self, spec):
        """Return the ``Resources`` that a task of ``spec`` needs."""
        if self._task_estimates is None:
            return spec.resources
        return self._task_estimates.get_need(spec)

    def build_charge(self, row, spec):
        """Return the ``Charge`` of job ``row`` of workload ``spec``."""
        need = self.get_need(spec) if spec else workload.Resources()
        if row.instance and row.slots != need.slots:
            need = dataclasses.replace(need, slots=row.slots)
        return nodes.Charge(
            job_id=row.id,
            workload=row.workload,
            team=spec.team if spec else '',
            need=need,
        )

    def reserve(self, row, spec, node):
        """Charge ``node`` for a job that is about to be granted to it.

        If the grant is not applied, the next ``refresh`` undoes the charge.
        """
        self._charge(self.build_charge(row, spec), node)
        self._job_journal.add(row.id)

    def add_claim(self, claim_id, spec, node):
        """Reserve capacity on ``node`` for a job that does not fit yet."""
        node.add_claim(
            nodes.Charge(
                job_id=claim_id,
                workload=spec.name,
                team=spec.team,
                need=self.get_need(spec),
            )
        )
        self._update_pools(node)

    def remove_claim(self, claim_id, node):
        """Release the capacity that was reserved as ``claim_id``."""
        node.remove_claim(claim_id)
        self._update_pools(node)

    def set_reserve(self, node, slots):
        """Set the slots that batch jobs must leave free on ``node``."""
        node.reserve = slots
        self._update_pools(node)

    def recompute_charges(self, name):
        """Recompute the charges of workload ``name`` from its current need."""
        spec = self._state.workloads.find(name)
        for row in self._state.jobs.select('workload', name):
            node = self.nodes.get(self._instance_by_job.get(row.id, ''))
            if node is not None and node.discard(row.id):
                node.add(self.build_charge(row, spec))

    def _update_job(self, job_id):
        row = self._state.jobs.find(job_id)
        if row is None or not row.failures:
            self.outcomes.clear_failures(job_id)
        instance_name = (
            row.instance if row and row.state in job.ACTIVE_STATES else ''
        )
        old = self._instance_by_job.get(job_id, '')
        if old and old != instance_name:
            self._discharge(job_id, old)
            if row is not None:
                self.outcomes.record(row, old)
        if (
            instance_name
            and old != instance_name
            and instance_name in self.nodes
        ):
            spec = self._state.workloads.find(row.workload)
            charge = self.build_charge(row, spec)
            self._charge(charge, self.nodes[instance_name])

    def _charge(self, charge, node):
        self._instance_by_job[charge.job_id] = node.name
        node.add(charge)
        self.used[charge.team] = (
            self.used.get(charge.team, 0) + charge.need.slots
        )
        self._update_domain_counts(charge.workload, node, 1)
        self.instances_with_job_changes[node.name] = None
        self._update_pools(node)

    def _discharge(self, job_id, instance_name):
        del self._instance_by_job[job_id]
        node = self.nodes.get(instance_name)
        charge = node.discard(job_id) if node else None
        if charge is None:
            return
        self.used[charge.team] -= charge.need.slots
        self._update_domain_counts(charge.workload, node, -1)
        self.instances_with_job_changes[node.name] = None
        self._update_pools(node)

    def _update_domain_counts(self, name, node, sign):
        zone = node.row.zone
        for key in ((name, zone), (name, zone, node.row.rack)):
            self.domain_counts[key] = self.domain_counts.get(key, 0) + sign
