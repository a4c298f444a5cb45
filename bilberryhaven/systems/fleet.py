"""Index of what each instance holds, kept up to date from the journals."""

from bilberryhaven.systems import node as nodes
from bilberryhaven.systems import sharing
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

__all__ = ['Fleet']


class Fleet:
    """All instances, with the charges of the jobs that they hold.

    Attributes:
        nodes: ``Node`` by instance name.
        rules: The selectors in force.
        used: Slots held, by team.
        suspects: Names of instances whose jobs must be checked against the
            selectors again.
        changed: Names of instances that came, changed or gained room.
        edited: Names of workloads that were declared or changed.
    """

    def __init__(self):
        self._state = None
        self._reserve = 0
        self._clear()

    def _clear(self):
        self.nodes = {}
        self.rules = sharing.Rules()
        self.used = {}
        self.suspects = {}
        self.changed = {}
        self.edited = {}
        self._places = {}
        self._services = {}

    def refresh(self, state, *, reserve):
        """Take in what changed in ``state`` since the last call."""
        if state is not self._state or reserve != self._reserve:
            self._watch(state)
            self._reserve = reserve
        workloads = self._workload_journal.take()
        instances = self._instance_journal.take()
        jobs = self._job_journal.take()
        if workloads is None or instances is None or jobs is None:
            self._rebuild()
            return
        self._take_workloads(workloads)
        for name in instances:
            self._take_instance(name)
        for job_id in jobs:
            self._take_job(job_id)

    def _watch(self, state):
        self._state = state
        self._workload_journal = state.workloads.watch()
        self._instance_journal = state.instances.watch()
        self._job_journal = state.jobs.watch()

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
        for held in job.ACTIVE_STATES:
            for row in self._state.jobs.select('state', held):
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
        if not names:
            return
        for entry in self.nodes.values():
            if moved:
                self._set_services(entry)
            if any(name in entry.counts for name in names) or moved:
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

    def _take_instance(self, name):
        row = self._state.instances.find(name)
        if row is None:
            self.nodes.pop(name, None)
            return
        entry = self.nodes.get(name)
        if entry is None:
            entry = self.nodes[name] = nodes.Node(row=row)
        entry.row = row
        entry.labels = row.merge_labels()
        self._set_services(entry)
        self.suspects[name] = None
        self.changed[name] = None

    def _take_job(self, job_id):
        row = self._state.jobs.find(job_id)
        place = row.instance if row and row.state in job.ACTIVE_STATES else ''
        old = self._places.get(job_id)
        if old == place:
            return
        if old:
            self._discharge(job_id, old)
        if place and place in self.nodes:
            self._charge(row, place)

    def reserve(self, row, entry):
        """Charge a job that is about to be granted to ``entry``.

        The next ``refresh`` after its grant was refused takes it back.
        """
        self._charge(row, entry.name)
        self._job_journal.add(row.id)

    def _charge(self, row, place):
        target = self._state.workloads.find(row.workload)
        need = target.resources if target else workload.Resources()
        team = target.team if target else ''
        charge = nodes.Charge(
            job_id=row.id, workload=row.workload, team=team, need=need
        )
        self._places[row.id] = place
        self.nodes[place].add(charge)
        self.used[team] = self.used.get(team, 0) + need.slots

    def _discharge(self, job_id, place):
        del self._places[job_id]
        entry = self.nodes.get(place)
        charge = entry.charges.get(job_id) if entry else None
        if charge is None:
            return
        entry.discard(job_id)
        self.used[charge.team] -= charge.need.slots
        self.changed[place] = None
