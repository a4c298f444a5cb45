"""Tests of commands applied to the tables."""

import datetime

import testtools

from bilberryhaven import commands
from bilberryhaven.commands import change
from bilberryhaven.commands import claim as claim_commands
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven import errors
from bilberryhaven import tables
from bilberryhaven.tables import instance
from bilberryhaven.tables import job
from bilberryhaven.tables import workload

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class CommandTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = tables.State()

    def run_command(self, command):
        decoded = commands.decode(commands.encode(command))
        self.assertEqual(command, decoded)
        return commands.apply(self.state, decoded)

    def apply_workload(self, name='w', expect=-1, change_id=None, **fields):
        fields.setdefault('kind', workload.Kind.BATCH)
        spec = workload.Workload(name=name, **fields)
        return self.run_command(
            change.ApplyWorkload(
                change_id=change_id or f'c-{name}-{self.state.revision}',
                by='op',
                at=NOW,
                kind='workload',
                name=name,
                expect=expect,
                spec=spec,
            )
        )

    def open_session(self, name='i'):
        return self.run_command(
            session.OpenSession(
                name=name,
                zone='z',
                rack='r',
                address='127.0.0.1:1',
                labels={},
                capacity=instance.Capacity(),
                at=NOW,
            )
        )

    def submit(self, job_id='j'):
        return self.run_command(
            job_commands.SubmitJob(
                job_id=job_id, workload='w', payload=b'', at=NOW
            )
        )

    def grant(self, job_id='j', name='i', epoch=1):
        grant = job_commands.Grant(job_id=job_id, instance=name, session=epoch)
        return self.run_command(job_commands.GrantJobs(grants=[grant], at=NOW))

    def report(self, kind, job_id='j', epoch=1, body=b''):
        event = job_commands.JobEvent(
            job_id=job_id, epoch=epoch, kind=kind, body=body
        )
        return self.run_command(
            job_commands.RecordEvents(events=[event], at=NOW)
        )

    def close_session(self, name='i', epoch=1):
        return self.run_command(
            session.CloseSession(name=name, epoch=epoch, at=NOW)
        )


class TestChanges(CommandTestCase):
    def test_one_of_two_changes_with_equal_versions_is_accepted(self):
        self.apply_workload(expect=0)
        first = self.apply_workload(expect=1, change_id='a')
        second = self.apply_workload(expect=1, change_id='b')
        self.assertEqual(2, first.version)
        self.assertIsInstance(second, errors.ConflictError)
        self.assertIn('version 2', second.message)

    def test_repeated_change_gets_the_first_answer(self):
        self.apply_workload(expect=0, change_id='a')
        self.apply_workload(expect=1, change_id='b')
        repeated = self.apply_workload(expect=0, change_id='a')
        self.assertEqual(1, repeated.revision)
        self.assertEqual(2, self.state.revision)

    def test_repeat_of_a_refused_change_gets_the_conflict_after_snapshot(self):
        self.apply_workload(expect=0, change_id='a')
        self.apply_workload(expect=0, change_id='b')
        data = self.state.dump()
        self.state = tables.State()
        self.state.load(data)
        repeated = self.apply_workload(expect=0, change_id='b')
        self.assertIsInstance(repeated, errors.ConflictError)


class TestJobs(CommandTestCase):
    def test_evicted_job_resumes_once_from_its_checkpoint(self):
        self.apply_workload()
        self.open_session()
        self.submit()
        self.grant()
        self.report('started')
        eviction = job_commands.Eviction(job_id='j', epoch=1)
        self.run_command(job_commands.EvictJobs(evictions=[eviction], at=NOW))
        self.report('stopped', body=b'half')
        self.report('stopped', body=b'again')
        row = self.state.jobs.get('j')
        self.assertEqual(job.JobState.PENDING, row.state)
        self.assertEqual((1, b'half'), (row.evictions, row.checkpoint))
        self.assertEqual(['j'], self.grant())
        self.assertEqual([], self.grant())

    def test_reports_of_an_older_grant_are_fenced(self):
        self.apply_workload()
        self.open_session()
        self.submit()
        self.grant()
        self.close_session()
        self.open_session()
        self.grant(epoch=2)
        self.assertEqual(0, self.report('finished', epoch=1))
        self.assertEqual(1, self.report('finished', epoch=2))

    def test_unrepeatable_job_with_unknown_start_is_never_granted_again(self):
        self.apply_workload(repeatable=False)
        self.open_session()
        self.submit()
        self.grant()
        self.close_session()
        self.open_session()
        self.assertEqual([], self.grant(epoch=2))
        self.assertEqual(job.JobState.UNKNOWN, self.state.jobs.get('j').state)

    def test_claim_is_granted_to_one_holder(self):
        def claim(holder):
            return self.run_command(
                claim_commands.ClaimRequest(
                    request_id='r', workload='w', holder=holder, at=NOW
                )
            )

        self.assertEqual('e1', claim('e1').holder)
        self.assertIsInstance(claim('e2'), errors.RefusedError)

    def test_claim_is_kept_for_a_day(self):
        def claim(request_id, hours):
            return self.run_command(
                claim_commands.ClaimRequest(
                    request_id=request_id,
                    workload='w',
                    holder='e',
                    at=NOW + datetime.timedelta(hours=hours),
                )
            )

        claim('r', 0)
        claim('s', 23)
        self.assertIsInstance(claim('r', 23), errors.RefusedError)
        claim('t', 24)
        self.assertEqual(
            ['s', 't'], [row.request_id for row in self.state.claims]
        )

    def test_equal_states_dump_equal_bytes(self):
        self.apply_workload()
        self.open_session()
        self.submit()
        self.grant()
        other = tables.State()
        other.load(self.state.dump())
        self.assertEqual(self.state.dump(), other.dump())
