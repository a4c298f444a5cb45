"""Tests of placement, relocation, explanation and expiry."""

import datetime

import testtools

from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven import settings
from bilberryhaven import systems
from bilberryhaven.systems import explanation
from bilberryhaven import tables
from bilberryhaven.tables import instance
from bilberryhaven.tables import workload

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
TICK = datetime.timedelta(milliseconds=100)


class SystemTestCase(testtools.TestCase):
    """Replicated tables with the systems of one leader."""

    reserve = 0
    objective = settings.Objective()

    def setUp(self):
        super().setUp()
        self.state = tables.State()
        self.now = START
        self.systems = systems.build_systems()
        self.throttles = {}
        self.loads = {}
        self.issued = []
        self.changes = 0

    def apply_command(self, command):
        return commands.apply(self.state, command)

    def declare(self, name, **fields):
        self.changes += 1
        fields.setdefault('kind', workload.Kind.BATCH)
        spec = workload.Workload(name=name, **fields)
        self.apply_command(
            change.ApplyWorkload(
                change_id=f'c{self.changes}',
                by='op',
                at=self.now,
                kind='workload',
                name=name,
                spec=spec,
            )
        )

    def relabel(self, kind, name, **labels):
        self.changes += 1
        self.apply_command(
            change.ChangeLabels(
                change_id=f'c{self.changes}',
                by='op',
                at=self.now,
                kind=kind,
                name=name,
                labels=labels,
            )
        )

    def drain(self, name, draining=True):
        self.changes += 1
        self.apply_command(
            change.DrainInstance(
                change_id=f'c{self.changes}',
                by='op',
                at=self.now,
                kind='instance',
                name=name,
                draining=draining,
            )
        )

    def open(self, name, *, zone='z', rack='r', labels=None, **capacity):
        return self.apply_command(
            session.OpenSession(
                name=name,
                zone=zone,
                rack=rack,
                address='127.0.0.1:1',
                labels=labels or {},
                capacity=instance.Capacity(**capacity),
                at=self.now,
            )
        )

    def submit(self, workload_name, *job_ids, deadline_at=None):
        for job_id in job_ids:
            self.apply_command(
                job_commands.SubmitJob(
                    job_id=job_id,
                    workload=workload_name,
                    payload=b'',
                    at=self.now,
                    deadline_at=deadline_at,
                )
            )

    def report(self, kind, *job_ids, body=b''):
        events = [
            job_commands.JobEvent(
                job_id=job_id,
                epoch=self.job(job_id).epoch,
                kind=kind,
                body=body,
            )
            for job_id in job_ids
        ]
        self.apply_command(
            job_commands.RecordEvents(events=events, at=self.now)
        )

    def tick(self, times=1, usage=(), step=TICK):
        for _ in range(times):
            self.now += step
            world = systems.World(
                state=self.state,
                now=self.now,
                loads=self.loads,
                usage=list(usage),
                objective=self.objective,
                service_reserve=self.reserve,
                throttles=self.throttles,
            )
            for system in self.systems:
                for command in system.run(world):
                    data = commands.encode(command)
                    self.issued.append(command)
                    self.apply_command(commands.decode(data))

    def job(self, job_id):
        return self.state.jobs.get(job_id)

    def count_on(self, name):
        return self.state.jobs.count('instance', name)


class TestPlacement(SystemTestCase):
    def test_spreads_and_never_exceeds_slots(self):
        self.reserve = 2
        self.declare('desk', kind=workload.Kind.SERVICE)
        self.declare('silt')
        self.open('a')
        self.open('b')
        self.submit('silt', *[f'j{i}' for i in range(20)])
        self.tick(3)
        self.assertEqual((6, 6), (self.count_on('a'), self.count_on('b')))
        self.report('finished', 'j0')
        self.tick()
        self.assertEqual(12, self.count_on('a') + self.count_on('b'))

    def test_respects_each_resource(self):
        self.declare(
            'silt', resources=workload.Resources(cpu=4, accelerators=1)
        )
        self.open('a', cpu=8)
        self.open('b', cpu=8, accelerators=8)
        self.open('c', accelerators=1)
        self.submit('silt', *[f'j{i}' for i in range(9)])
        self.tick(2)
        counts = [self.count_on(name) for name in 'abc']
        self.assertEqual([0, 2, 1], counts)

    def test_sharing_is_checked_in_both_directions(self):
        self.declare('a', labels={'app': 'a'})
        self.declare('b', labels={'app': 'b'}, shares_with='app=b')
        self.declare('desk', kind=workload.Kind.SERVICE, runs_on='desk')
        self.declare('c', shares_with='kind!=service')
        self.open('i')
        self.open('j', labels={'desk': 'yes'})
        self.submit('b', 'b1')
        self.tick()
        first_instance = self.job('b1').instance
        self.submit('a', 'a1')
        self.submit('c', 'c1')
        self.tick(2)
        self.assertEqual('i', first_instance)
        self.assertEqual('j', self.job('a1').instance)
        self.assertEqual('pending', self.job('c1').state)

    def test_impossible_job_is_held_and_released_later(self):
        self.declare('silt', runs_on='pond=yes')
        self.declare('other')
        self.open('a')
        self.submit('silt', 'j')
        self.submit('other', 'k')
        self.tick()
        self.assertEqual('granted', self.job('k').state)
        self.assertEqual('held', self.job('j').state)
        self.assertIn("'pond=yes'", self.job('j').reason)
        self.relabel('instance', 'a', pond='yes')
        self.tick(2)
        self.assertEqual('a', self.job('j').instance)

    def test_hold_committed_after_its_cause_changed_is_released(self):
        self.declare('silt')
        self.open('a', slots=1)
        self.submit('silt', 'j', 'k')
        self.tick()
        reasons = {'k': 'no instance matches'}
        self.apply_command(job_commands.HoldJobs(reasons=reasons))
        self.report('finished', 'j')
        self.tick(12, step=10 * TICK)
        self.assertEqual('granted', self.job('k').state)

    def test_places_no_jobs_on_instances_that_are_not_open(self):
        self.declare('silt')
        for name in 'abcd':
            self.open(name)
        self.drain('a')
        self.apply_command(session.QuarantineInstance(name='b', reason='bad'))
        self.apply_command(
            session.CloseSession(name='c', epoch=1, at=self.now)
        )
        self.submit('silt', *[f'j{i}' for i in range(9)])
        self.tick(2)
        counts = [self.count_on(name) for name in 'abcd']
        self.assertEqual([0, 0, 0, 8], counts)


class TestRelocation(SystemTestCase):
    def test_drain_evicts_job_and_another_instance_resumes_it(self):
        self.declare('silt')
        self.open('a')
        self.submit('silt', 'j')
        self.tick()
        self.report('started', 'j')
        self.open('b')
        self.drain('a')
        self.tick()
        self.assertEqual('evicting', self.job('j').state)
        self.report('stopped', 'j', body=b'half')
        self.tick(2)
        row = self.job('j')
        self.assertEqual(('b', 1), (row.instance, row.evictions))

    def test_label_change_evicts_jobs_that_no_longer_match(self):
        self.declare('silt', runs_on='pond=yes')
        self.declare('farm', shares_with='workload!=rude')
        self.declare('rude')
        self.open('a', labels={'pond': 'yes'})
        self.submit('silt', 'j')
        self.submit('farm', 'k')
        self.tick()
        self.relabel('instance', 'a', pond='no')
        self.tick()
        states = self.job('j').state, self.job('k').state
        self.assertEqual(('evicting', 'granted'), states)

    def test_sharing_change_evicts_one_of_two_colocated_jobs(self):
        self.declare('farm')
        self.declare('rude')
        self.declare('desk', kind=workload.Kind.SERVICE, runs_on='desk=yes')
        self.open('a')
        self.open('b', labels={'desk': 'yes'})
        self.submit('farm', 'k')
        self.tick()
        first_instance = self.job('k').instance
        other = 'b' if first_instance == 'a' else 'a'
        self.drain(other)
        self.submit('rude', 'r')
        self.tick()
        self.assertEqual(first_instance, self.job('r').instance)
        self.declare('farm', shares_with='workload!=rude')
        self.tick()
        states = [str(self.job(key).state) for key in 'kr']
        self.assertEqual(['granted', 'evicting'], states)

    def test_service_added_to_instance_evicts_jobs_that_reject_it(self):
        self.declare('desk', kind=workload.Kind.SERVICE, runs_on='desk=yes')
        self.declare('shy', shares_with='kind!=service')
        self.open('a')
        self.submit('shy', 's')
        self.tick()
        self.relabel('instance', 'a', desk='yes')
        self.tick()
        self.assertEqual('evicting', self.job('s').state)


class TestExplanation(SystemTestCase):
    def test_each_instance_has_its_verdict(self):
        self.declare('desk', kind=workload.Kind.SERVICE, runs_on='desk')
        self.declare(
            'silt',
            runs_on='!dry',
            shares_with='kind!=service',
            resources=workload.Resources(accelerators=1),
        )
        self.open('a', accelerators=2)
        self.open('b')
        self.open('c', labels={'desk': 'yes'})
        self.open('d', labels={'dry': 'yes'})
        self.submit('silt', 'j')
        self.tick()
        rows = explanation.explain_job(self.state, 'j')
        found = [(row.instance, str(row.verdict)) for row in rows]
        self.assertEqual(
            [
                ('a', 'runs_here'),
                ('d', 'runs_on'),
                ('c', 'shares_with'),
                ('b', 'resources'),
            ],
            found,
        )
        self.assertIn('needs 1 accelerators, 0 of 0', rows[-1].reason)


class TestExpiry(SystemTestCase):
    def test_ended_jobs_expire_after_a_day_and_others_remain(self):
        self.declare('silt')
        self.open('a')
        self.submit('silt', 'old', 'runs')
        self.tick()
        self.report('finished', 'old')
        self.tick(step=datetime.timedelta(hours=23))
        self.assertIn('old', self.state.jobs)
        self.tick(step=datetime.timedelta(hours=2))
        self.assertNotIn('old', self.state.jobs)
        self.assertIn('runs', self.state.jobs)

    def test_instance_without_session_expires_after_a_week(self):
        for name in ('gone', 'back'):
            self.open(name)
            self.apply_command(
                session.CloseSession(name=name, epoch=1, at=self.now)
            )
        self.open('back')
        self.tick(step=datetime.timedelta(days=8))
        self.assertEqual(['back'], [i.name for i in self.state.instances])
        self.declare('silt')
        self.submit('silt', 'j')
        self.tick(2)
        self.assertEqual('back', self.job('j').instance)
        # The epoch must grow, so that an agent that was suspended for all
        # that time does not hold the new session.
        self.assertEqual(2, self.open('gone'))
