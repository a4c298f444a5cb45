"""Tests of commands on the tables."""

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

    def do(self, command):
        decoded = commands.decode(commands.encode(command))
        self.assertEqual(command, decoded)
        return commands.apply(self.state, decoded)

    def declare(self, name='w', expect=-1, change_id=None, **fields):
        fields.setdefault('kind', workload.Kind.BATCH)
        spec = workload.Workload(name=name, **fields)
        return self.do(
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

    def open(self, name='i'):
        return self.do(
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
        return self.do(
            job_commands.SubmitJob(
                job_id=job_id, workload='w', payload=b'', at=NOW
            )
        )

    def grant(self, job_id='j', name='i', epoch=1):
        grant = job_commands.Grant(job_id=job_id, instance=name, session=epoch)
        return self.do(job_commands.GrantJobs(grants=[grant], at=NOW))

    def report(self, kind, job_id='j', epoch=1, body=b''):
        event = job_commands.JobEvent(
            job_id=job_id, epoch=epoch, kind=kind, body=body
        )
        return self.do(job_commands.RecordEvents(events=[event], at=NOW))

    def close(self, name='i', epoch=1):
        return self.do(session.CloseSession(name=name, epoch=epoch, at=NOW))


class TestChanges(CommandTestCase):
    def test_equal_versions_race_and_one_wins(self):
        self.declare(expect=0)
        first = self.declare(expect=1, change_id='a')
        second = self.declare(expect=1, change_id='b')
        self.assertEqual(2, first.version)
        self.assertIsInstance(second, errors.ConflictError)
        self.assertIn('version 2', second.message)

    def test_resend_gets_the_first_answer(self):
        self.declare(expect=0, change_id='a')
        self.declare(expect=1, change_id='b')
        again = self.declare(expect=0, change_id='a')
        self.assertEqual(1, again.revision)
        self.assertEqual(2, self.state.revision)

    def test_resend_of_a_loser_gets_the_conflict_after_snapshot(self):
        self.declare(expect=0, change_id='a')
        self.declare(expect=0, change_id='b')
        data = self.state.dump()
        self.state = tables.State()
        self.state.load(data)
        again = self.declare(expect=0, change_id='b')
        self.assertIsInstance(again, errors.ConflictError)


class TestJobs(CommandTestCase):
    def test_evicted_job_resumes_once_from_its_checkpoint(self):
        self.declare()
        self.open()
        self.submit()
        self.grant()
        self.report('started')
        eviction = job_commands.Eviction(job_id='j', epoch=1)
        self.do(job_commands.EvictJobs(evictions=[eviction], at=NOW))
        self.report('stopped', body=b'half')
        self.report('stopped', body=b'again')
        row = self.state.jobs.get('j')
        self.assertEqual(job.JobState.PENDING, row.state)
        self.assertEqual((1, b'half'), (row.evictions, row.checkpoint))
        self.assertEqual(['j'], self.grant())
        self.assertEqual([], self.grant())

    def test_reports_of_an_older_grant_are_fenced(self):
        self.declare()
        self.open()
        self.submit()
        self.grant()
        self.close()
        self.open()
        self.grant(epoch=2)
        self.assertEqual(0, self.report('finished', epoch=1))
        self.assertEqual(1, self.report('finished', epoch=2))

    def test_unknown_start_of_unrepeatable_work_is_never_reissued(self):
        self.declare(repeatable=False)
        self.open()
        self.submit()
        self.grant()
        self.close()
        self.open()
        self.assertEqual([], self.grant(epoch=2))
        self.assertEqual(job.JobState.UNKNOWN, self.state.jobs.get('j').state)

    def test_claim_goes_to_one_holder(self):
        def claim(holder):
            return self.do(
                claim_commands.ClaimRequest(
                    request_id='r', workload='w', holder=holder, at=NOW
                )
            )

        self.assertEqual('e1', claim('e1').holder)
        self.assertIsInstance(claim('e2'), errors.RefusedError)

    def test_claim_is_kept_for_a_day(self):
        def claim(request_id, hours):
            return self.do(
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
        self.declare()
        self.open()
        self.submit()
        self.grant()
        other = tables.State()
        other.load(self.state.dump())
        self.assertEqual(self.state.dump(), other.dump())
