"""Index of what each instance holds, kept up to date from the journals."""

import dataclasses

from bilberryhaven.systems import node as nodes
from bilberryhaven.systems import outcomes
from bilberryhaven.systems import pool as pools
from bilberryhaven.systems import sharing
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

__all__ = ['Fleet']


class Fleet:
    """All instances, with the charges of the jobs that they hold.

    Args:
        sizes: Gives the ``Resources`` that a workload's task needs; the
            declared ones by default.

    Attributes:
        nodes: ``Node`` by instance name.
        rules: The selectors in force.
        used: Slots held, by team.
        spread: Number of jobs by (workload, zone) and (workload, rack).
        suspects: Names of instances whose jobs must be checked against the
            selectors again.
        changed: Names of instances that came or changed.
        edited: Names of workloads that were declared or changed.
        quarantined: Names of quarantined instances.
        renewed: Names of instances that opened a new session.
        moved: Names of instances whose jobs changed.
        outcomes: ``OutcomeLog`` of jobs that left their instances.
    """

    def __init__(self, *, sizes=None):
        self._sizes = sizes
        self._state = None
        self._reserve = 0
        self._clear()

    def _clear(self):
        self.nodes = {}
        self._node_list = None
        self.rules = sharing.Rules()
        self.used = {}
        self.spread = {}
        self.suspects = {}
        self.changed = {}
        self.edited = {}
        self.quarantined = {}
        self.renewed = {}
        self.moved = {}
        self.outcomes = outcomes.OutcomeLog()
        self._places = {}
        self._services = {}
        self._pools = {}

    def refresh(self, state, *, reserve):
        """Take in what changed in ``state`` since the last call."""
        if state is not self._state or reserve != self._reserve:
            self._watch(state)
            self._reserve = reserve
        names = self._workload_journal.take()
        places = self._instance_journal.take()
        job_ids = self._job_journal.take()
        if names is None or places is None or job_ids is None:
            self._rebuild()
            return
        if names:
            self._take_workloads(names)
        for name in places:
            self._take_instance(name)
        for job_id in job_ids:
            self._take_job(job_id)

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
        self._take_workloads([row.name for row in self._state.workloads])
        for row in self._state.instances:
            self._take_instance(row.name)
        for row in self._state.jobs:
            self.outcomes.forget_failures(row)
        for state in job.JobState:
            if state in job.ACTIVE_STATES:
                for row in self._state.jobs.select('state', state):
                    self._take_job(row.id)

    def _take_workloads(self, names):
        moved = False
        for name in names:
            row = self._state.workloads.find(name)
            self.edited[name] = None
            if row is None:
                self.rules.remove(name)
            else:
                self.rules.put(row)
            moved = self._take_service(name, row) or moved
        for entry in self.nodes.values():
            if moved:
                self._set_services(entry)
                self._file(entry)
            if moved or any(name in entry.counts for name in names):
                self.suspects[entry.name] = None

    def _take_service(self, name, row):
        if row is not None and row.kind == workload.Kind.SERVICE:
            self._services[name] = row
            return True
        return self._services.pop(name, None) is not None

    def _set_services(self, entry):
        entry.services = tuple(
            name
            for name, row in self._services.items()
            if self.rules.may_run(row, entry.labels)
        )
        entry.reserve = self._reserve if entry.services else 0
        entry.strains = None

    def _take_instance(self, name):
        row = self._state.instances.find(name)
        if row is None:
            self._drop_instance(name)
            return
        entry = self.nodes.get(name)
        if entry is None:
            entry = self.nodes[name] = nodes.Node(row=row, name=name)
            self._node_list = None
        elif entry.row.epoch != row.epoch:
            self.renewed[name] = None
        if row.quarantined:
            self.quarantined[name] = None
        else:
            self.quarantined.pop(name, None)
        entry.row = row
        labels = row.merge_labels()
        if labels != entry.labels:
            entry.labels = labels
            self._set_services(entry)
            self._match_pools(entry)
        self._file(entry)
        self.suspects[name] = None
        self.changed[name] = None

    def _drop_instance(self, name):
        entry = self.nodes.pop(name, None)
        self.quarantined.pop(name, None)
        if entry is not None:
            self._node_list = None
            for pool in entry.pools:
                pool.set_place(name, is_open=False, is_roomy=False)

    def _match_pools(self, entry):
        for pool in entry.pools:
            pool.set_place(entry.name, is_open=False, is_roomy=False)
        entry.pools = [
            pool for pool in self._pools.values() if pool.match(entry.labels)
        ]
        entry.indexed = (False, False)

    def _file(self, entry):
        is_open = entry.open
        is_roomy = is_open and entry.free_slots > 0
        if entry.indexed == (is_open, is_roomy):
            return
        entry.indexed = (is_open, is_roomy)
        for pool in entry.pools:
            pool.set_place(entry.name, is_open=is_open, is_roomy=is_roomy)

    def list_nodes(self):
        """Return all nodes as a list that must not be changed."""
        if self._node_list is None:
            self._node_list = list(self.nodes.values())
        return self._node_list

    def get_pool(self, runs_on):
        """Return the ``Pool`` of the selector ``runs_on``."""
        pool = self._pools.get(runs_on)
        if pool is None:
            pool = self._pools[runs_on] = pools.Pool(runs_on=runs_on)
            for entry in self.nodes.values():
                if pool.match(entry.labels):
                    entry.pools.append(pool)
                    is_open, is_roomy = entry.indexed
                    pool.set_place(
                        entry.name, is_open=is_open, is_roomy=is_roomy
                    )
        return pool

    def get_need(self, target):
        """Return the ``Resources`` that a task of ``target`` needs."""
        if self._sizes is None:
            return target.resources
        return self._sizes.get_need(target)

    def build_charge(self, row, target):
        """Return the ``Charge`` of job ``row`` of workload ``target``."""
        need = self.get_need(target) if target else workload.Resources()
        if row.instance and row.slots != need.slots:
            need = dataclasses.replace(need, slots=row.slots)
        return nodes.Charge(
            job_id=row.id,
            workload=row.workload,
            team=target.team if target else '',
            need=need,
        )

    def reserve(self, row, target, entry):
        """Charge a job that is about to be granted to ``entry``.

        If the grant isn't applied, the next ``refresh`` takes it back.
        """
        self._charge(self.build_charge(row, target), entry)
        self._job_journal.add(row.id)

    def claim(self, claim_id, target, entry):
        """Keep room on ``entry`` for a job that doesn't fit yet."""
        entry.claim(
            nodes.Charge(
                job_id=claim_id,
                workload=target.name,
                team=target.team,
                need=self.get_need(target),
            )
        )
        self._file(entry)

    def unclaim(self, claim_id, entry):
        """Give up the room kept under ``claim_id``."""
        entry.unclaim(claim_id)
        self._file(entry)

    def set_reserve(self, entry, slots):
        """Set the slots that batch work leaves free on ``entry``."""
        entry.reserve = slots
        self._file(entry)

    def recharge(self, name):
        """Charge the jobs of workload ``name`` with its present need."""
        target = self._state.workloads.find(name)
        for row in self._state.jobs.select('workload', name):
            entry = self.nodes.get(self._places.get(row.id, ''))
            if entry is not None and entry.discard(row.id):
                entry.add(self.build_charge(row, target))

    def _take_job(self, job_id):
        row = self._state.jobs.find(job_id)
        if row is None or not row.failures:
            self.outcomes.clear_failures(job_id)
        place = row.instance if row and row.state in job.ACTIVE_STATES else ''
        old = self._places.get(job_id, '')
        if old and old != place:
            self._discharge(job_id, old)
            if row is not None:
                self.outcomes.note(row, old)
        if place and old != place and place in self.nodes:
            target = self._state.workloads.find(row.workload)
            charge = self.build_charge(row, target)
            self._charge(charge, self.nodes[place])

    def _charge(self, charge, entry):
        self._places[charge.job_id] = entry.name
        entry.add(charge)
        self.used[charge.team] = (
            self.used.get(charge.team, 0) + charge.need.slots
        )
        self._count_spread(charge.workload, entry, 1)
        self.moved[entry.name] = None
        self._file(entry)

    def _discharge(self, job_id, place):
        del self._places[job_id]
        entry = self.nodes.get(place)
        charge = entry.discard(job_id) if entry else None
        if charge is None:
            return
        self.used[charge.team] -= charge.need.slots
        self._count_spread(charge.workload, entry, -1)
        self.moved[entry.name] = None
        self._file(entry)

    def _count_spread(self, name, entry, sign):
        zone = entry.row.zone
        for key in ((name, zone), (name, zone, entry.row.rack)):
            self.spread[key] = self.spread.get(key, 0) + sign
