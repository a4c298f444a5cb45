"""Tests of fairness, starvation, failing jobs and faulty instances."""

import datetime

from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven.systems import fleet
from bilberryhaven.tables import workload
from tests import test_systems

SECOND = datetime.timedelta(seconds=1)


class TestFairness(test_systems.SystemTestCase):
    def apply_team(self, name, **fields):
        self.changes += 1
        self.apply_command(
            change.ApplyTeam(
                change_id=f't{self.changes}',
                by='op',
                at=self.now,
                kind='team',
                name=name,
                **fields,
            )
        )

    def count_running(self, name):
        rows = self.state.jobs.select('workload', name)
        return sum(bool(row.instance) for row in rows)

    def test_teams_share_by_weight_and_quota(self):
        self.apply_team('big', weight=2.0)
        self.apply_team('capped', quota=2)
        for team in ('big', 'small', 'capped'):
            self.declare(team, team=team)
            self.submit(team, *[f'{team}{i}' for i in range(40)])
        for name in 'abc':
            self.open(name)
        self.tick(3)
        found = [self.count_running(t) for t in ('big', 'small', 'capped')]
        self.assertEqual(24, sum(found))
        self.assertEqual(2, found[2])
        self.assertGreaterEqual(found[0], 1.5 * found[1])

    def test_old_job_is_served_before_a_newer_backlog(self):
        self.declare('old', team='a')
        self.declare('busy', team='a')
        self.open('i', slots=1)
        self.submit('busy', 'b0')
        self.tick()
        self.submit('old', 'o')
        self.now += SECOND
        for i in range(1, 9):
            self.submit('busy', f'b{i}')
            self.tick(step=SECOND)
        self.report('finished', 'b0')
        self.tick()
        self.assertEqual('i', self.job('o').instance)

    def test_job_with_a_near_deadline_goes_first(self):
        self.declare('silt', run_seconds=50)
        self.open('i', slots=1)
        self.submit('silt', 'first')
        self.now += SECOND
        self.submit('silt', 'due', deadline_at=self.now + 80 * SECOND)
        self.tick()
        self.assertEqual('i', self.job('due').instance)

    def test_backlog_of_low_weight_team_is_not_starved(self):
        self.apply_team('heavy', weight=1000.0)
        self.apply_team('light', weight=0.001)
        for team in ('heavy', 'light'):
            self.declare(team, team=team)
        self.declare('long', team='light')
        self.open('i', slots=4)
        self.submit('long', 'l')
        self.tick()
        self.submit('light', *[f'l{i}' for i in range(5)])
        self.now += SECOND
        self.submit('heavy', *[f'h{i}' for i in range(60)])
        for _ in range(8):
            self.tick(step=SECOND)
            for row in self.state.jobs.select('instance', 'i'):
                if row.id != 'l':
                    self.report('finished', row.id)
        done = [row for row in self.state.jobs if row.state == 'finished']
        names = [row.workload for row in done]
        self.assertEqual(5, names.count('light'))

    def test_urgent_job_goes_before_older_ones(self):
        self.declare('batch')
        self.declare('liner', labels={'urgent': 'yes'}, team='z')
        self.open('i', slots=1)
        self.submit('batch', 'b0', 'b1')
        self.now += SECOND
        self.submit('liner', 'u')
        self.tick()
        self.assertEqual('i', self.job('u').instance)

    def test_wide_job_is_not_starved_by_narrow_ones(self):
        self.declare('narrow', team='a')
        self.declare('wide', resources=workload.Resources(slots=4))
        self.open('i', slots=4)
        self.submit('narrow', 'n0', 'n1', 'n2', 'n3')
        self.tick()
        self.submit('wide', 'w')
        for i in range(4, 100):
            self.submit('narrow', f'n{i}')
            held = self.state.jobs.select('instance', 'i')
            if held and held[0].id == 'w':
                return
            if held:
                self.report('finished', held[0].id)
            self.tick(step=SECOND)
        self.fail('the wide job starved')


class TestFailures(test_systems.SystemTestCase):
    def end_jobs(self, has_failed):
        for row in list(self.state.jobs):
            if row.instance and has_failed(row):
                self.report('failed', row.id)
            elif row.instance:
                self.report('finished', row.id)

    def test_instance_that_fails_everything_is_quarantined(self):
        self.declare('silt')
        self.declare('farm')
        for name in 'abc':
            self.open(name)
        names = [f'j{i}' for i in range(60)]
        self.submit('silt', *names[:30])
        self.submit('farm', *names[30:])
        for _ in range(40):
            self.tick(step=SECOND)
            self.end_jobs(lambda row: row.instance == 'b')
        rows = {row.name: row.quarantined for row in self.state.instances}
        self.assertIn('failed here', rows['b'])
        self.assertEqual(('', ''), (rows['a'], rows['c']))
        states = {row.state for row in self.state.jobs}
        self.assertEqual({'finished'}, states)

    def test_at_most_a_tenth_of_the_instances_is_quarantined(self):
        self.declare('silt')
        self.declare('farm')
        for name in 'abcdefgh':
            self.open(name)
        names = [f'j{i}' for i in range(120)]
        self.submit('silt', *names[:60])
        self.submit('farm', *names[60:])
        for _ in range(40):
            self.tick(step=SECOND)
            self.end_jobs(lambda row: row.instance in 'abc')
        rows = [row.name for row in self.state.instances if row.quarantined]
        self.assertEqual(1, len(rows))

    def test_probe_that_succeeds_lifts_the_quarantine(self):
        self.declare('silt')
        self.open('a')
        self.apply_command(session.QuarantineInstance(name='a', reason='bad'))
        self.submit('silt', 'j', 'k')
        self.tick(2)
        self.assertEqual(0, self.count_on('a'))
        self.tick(31, step=SECOND)
        self.assertEqual(1, self.count_on('a'))
        self.end_jobs(lambda row: False)
        self.tick(2)
        self.assertEqual('', self.state.instances.get('a').quarantined)

    def test_probe_that_is_stopped_lifts_no_quarantine(self):
        """An evicted probe shows nothing, but counts as a success."""
        self.declare('silt')
        self.open('a')
        self.apply_command(session.QuarantineInstance(name='a', reason='bad'))
        self.submit('silt', 'j', 'k')
        self.tick(2)
        self.tick(31, step=SECOND)
        for row in list(self.state.jobs):
            if row.instance:
                self.report('stopped', row.id)
        self.tick(2)
        self.assertEqual('bad', self.state.instances.get('a').quarantined)
        self.assertEqual(1, self.count_on('a'))
        self.end_jobs(lambda row: False)
        self.tick(2)
        self.assertEqual('', self.state.instances.get('a').quarantined)

    def test_stopped_jobs_do_not_hide_a_faulty_instance(self):
        """Each evicted job counts as one that succeeded there."""
        self.declare('silt')
        self.declare('farm')
        for name in 'abc':
            self.open(name)
        names = [f'j{i}' for i in range(90)]
        self.submit('silt', *names[:45])
        self.submit('farm', *names[45:])
        for number in range(40):
            self.tick(step=SECOND)
            for row in list(self.state.jobs):
                if row.instance == 'b' and number % 3 < 2:
                    self.report('stopped', row.id)
            self.end_jobs(lambda row: row.instance == 'b')
        row = self.state.instances.get('b')
        self.assertIn('failed here', row.quarantined)

    def test_jobs_that_fail_everywhere_are_held_without_quarantine(self):
        self.declare('bad')
        self.declare('good')
        for name in 'abcd':
            self.open(name)
        self.submit('bad', *[f'b{i}' for i in range(6)])
        for i in range(120):
            self.submit('good', f'g{i}')
            self.tick(step=SECOND)
            self.end_jobs(lambda row: row.workload == 'bad')
        held = self.state.jobs.select('state', 'held')
        self.assertEqual({'bad'}, {row.workload for row in held})
        self.assertEqual(6, len(held))
        self.assertIn(' on a', held[0].reason)
        quarantined = [row.quarantined for row in self.state.instances]
        self.assertEqual([''] * 4, quarantined)
        self.declare('bad')
        self.tick(2)
        self.assertEqual(0, self.state.jobs.count('state', 'held'))

    def test_failed_job_backs_off_and_runs_on_another_instance(self):
        self.declare('silt')
        self.open('a')
        self.open('b')
        self.submit('silt', 'j')
        self.tick()
        first = self.job('j').instance
        self.report('failed', 'j')
        self.tick(5)
        self.assertEqual('pending', self.job('j').state)
        self.tick(6)
        self.assertEqual({'a', 'b'}, {first, self.job('j').instance})

    def test_refused_job_waits_before_it_is_granted_again(self):
        self.declare('silt')
        self.open('a')
        self.submit('silt', 'j')
        self.tick()
        self.report('refused', 'j')
        self.tick(4)
        self.assertEqual('pending', self.job('j').state)
        self.tick(3)
        self.assertEqual('granted', self.job('j').state)


class TestGrantChecks(test_systems.SystemTestCase):
    def grant(self, job_id, revision):
        grant = job_commands.Grant(
            job_id=job_id, instance='a', session=1, revision=revision
        )
        command = job_commands.GrantJobs(grants=[grant], at=self.now)
        return commands.apply(self.state, command)

    def test_grant_decided_before_a_selector_change_is_refused(self):
        self.declare('silt', runs_on='pond=yes')
        self.open('a', labels={'pond': 'yes'})
        self.submit('silt', 'j')
        revision = self.state.revision
        self.relabel('instance', 'a', pond='no')
        self.assertEqual([], self.grant('j', revision))
        self.relabel('instance', 'a', pond='yes')
        self.assertEqual(['j'], self.grant('j', revision))

    def test_grant_beyond_the_slots_is_refused(self):
        self.declare('silt', resources=workload.Resources(slots=5))
        self.open('a')
        self.submit('silt', 'j', 'k')
        granted = [self.grant(j, self.state.revision) for j in 'jk']
        self.assertEqual([['j'], []], granted)


class TestIndexes(test_systems.SystemTestCase):
    def test_finds_the_one_instance_in_many_that_fits(self):
        need = workload.Resources(accelerators=1)
        self.declare('silt', resources=need)
        for number in range(64):
            self.open(f'i{number}', accelerators=number == 40)
        self.submit('silt', 'j')
        self.tick()
        self.assertEqual('i40', self.job('j').instance)

    def test_indexes_equal_those_rebuilt_by_a_new_leader(self):
        self.declare('desk', kind=workload.Kind.SERVICE, runs_on='desk=yes')
        self.declare('silt')
        self.open('a', labels={'desk': 'yes'})
        self.open('b')
        self.submit('silt', *[f'j{i}' for i in range(20)])
        self.tick(2)
        self.report('finished', 'j1', 'j2')
        self.relabel('instance', 'b', desk='yes')
        self.state.load(self.state.dump())
        self.tick(3)
        rebuilt = fleet.Fleet()
        rebuilt.refresh(self.state, reserve=self.reserve)
        kept = self.systems[0].memory.fleet
        kept.refresh(self.state, reserve=self.reserve)
        for name, entry in rebuilt.nodes.items():
            other = kept.nodes[name]
            self.assertEqual(entry.charges, other.charges)
            self.assertEqual(entry.services, other.services)
            self.assertEqual(entry.slots, other.slots)
        self.assertEqual(rebuilt.used, kept.used)

    def test_journal_reports_changes_and_a_loaded_snapshot(self):
        self.open('a')
        journal = self.state.instances.open_journal()
        self.assertEqual(None, journal.take())
        self.open('b')
        self.drain('a')
        self.assertEqual(['b', 'a'], journal.take())
        self.assertEqual([], journal.take())
        self.state.load(self.state.dump())
        self.assertEqual(None, journal.take())
