"""Sessions of instances end by their agents' own word or by their lease.

Guards against jobs that run twice: the jobs of a session that isn't over are
given to another instance, or a session that is over gets a lease again.
"""

import contextlib

from bilberryhaven import clock as clocks
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven.control import leases
from bilberryhaven import errors
from bilberryhaven.tables import job
from bilberryhaven.tables import workload
from bilberryhaven.wire import message
from tests import test_control

FULL_S = (leases.LEASE_DURATION + leases.LEASE_MARGIN).total_seconds()
RUNNING = [message.RunningJob(job_id='j', epoch=1)]


class SessionTestCase(test_control.ControlTestCase):
    """A leader, and an agent whose job runs."""

    def setUp(self):
        super().setUp()
        self.send_heartbeat(opening='former')
        self.submit(kind=workload.Kind.BATCH)
        self.grant()
        started = message.JobEvent(job_id='j', epoch=1, kind='started')
        self.renew(events=[started], running=RUNNING)
        self.check_runs()

    def renew(self, **fields):
        return self.send_heartbeat(epoch=1, **fields)

    def find_job(self):
        return self.state.jobs.get('j')

    def check_runs(self, state=job.JobState.RUNNING):
        row = self.find_job()
        self.assertEqual(
            (state, 'i', 1), (row.state, row.instance, row.session)
        )
        self.assertTrue(self.state.instances.get('i').connected)

    def check_lease_is_waited_for(self, state=job.JobState.RUNNING):
        """Check that the job is released by the lease, and not before."""
        self.advance(FULL_S - 0.1)
        self.check_runs(state)
        self.advance(0.2)
        self.assertEqual(job.JobState.PENDING, self.find_job().state)


class NewcomerTest(SessionTestCase):
    """A second agent of the same name says nothing of the first one's jobs."""

    def open(self, opening='newcomer', **fields):
        return self.send_heartbeat(opening=opening, **fields)

    def test_second_session(self):
        self.assertEqual('refused', self.open().code)
        self.check_lease_is_waited_for()

    def test_second_session_again_and_again(self):
        for number in range(8):
            self.clock.advance(clocks.seconds(FULL_S / 10))
            self.assertEqual('refused', self.open(f'key {number}').code)
            self.leader.tick()
            self.check_runs()
        self.renew()
        self.check_lease_is_waited_for()

    def test_second_session_that_lists_no_run(self):
        self.open(running=[])
        self.open(leaving=True)
        self.check_lease_is_waited_for()

    def test_second_session_that_reports_the_end(self):
        for kind in ('stopped', 'refused', 'finished', 'failed'):
            event = message.JobEvent(job_id='j', epoch=1, kind=kind)
            self.open(events=[event])
        self.check_lease_is_waited_for()

    def test_repeated_opening_of_the_session_itself(self):
        self.assertEqual(1, self.open('former').epoch)
        self.check_lease_is_waited_for()

    def test_orders_go_to_no_newcomer(self):
        self.submit('k', kind=workload.Kind.BATCH)
        self.grant('k')
        self.assertEqual([], self.open().starts)
        self.assertEqual(['k'], [row.job_id for row in self.renew().starts])

    def test_job_is_granted_to_the_newcomer_with_an_epoch_of_its_own(self):
        self.check_lease_is_waited_for()
        self.assertEqual(2, self.open().epoch)
        self.grant(epoch=2)
        event = message.JobEvent(job_id='j', epoch=1, kind='finished')
        self.assertEqual('fenced', self.renew(events=[event]).code)
        self.assertEqual(
            (job.JobState.GRANTED, 2),
            (self.find_job().state, self.find_job().epoch),
        )


class LeavingTest(SessionTestCase):
    """An agent that stops keeps its session while it may run a job."""

    def test_while_its_job_runs(self):
        reply = self.renew(leaving=True, running=RUNNING)
        self.assertEqual('', reply.code)
        self.check_lease_is_waited_for(job.JobState.EVICTING)

    def test_while_its_job_runs_though_it_lists_none(self):
        self.assertEqual('', self.renew(leaving=True).code)
        self.check_lease_is_waited_for(job.JobState.EVICTING)

    def test_while_it_lists_a_job_that_ended_for_the_leader(self):
        event = message.JobEvent(job_id='j', epoch=1, kind='stopped')
        self.renew(events=[event], running=RUNNING)
        reply = self.renew(leaving=True, running=RUNNING)
        self.assertEqual('', reply.code)
        self.assertEqual(['j'], [order.job_id for order in reply.stops])
        self.assertTrue(self.state.instances.get('i').connected)

    def test_in_another_session(self):
        for epoch in (0, 2):
            self.send_heartbeat(epoch=epoch, leaving=True)
        self.assertFalse(self.state.instances.get('i').leaving)
        self.check_lease_is_waited_for()

    def test_its_word_ends_the_session_of_no_other_agent(self):
        command = session.LeaveSession(name='i', epoch=2)
        self.leader.propose(command)
        self.assertFalse(self.state.instances.get('i').leaving)

    def test_grant_after_it(self):
        self.submit('k', kind=workload.Kind.BATCH)
        self.renew(leaving=True, running=RUNNING)
        self.grant('k')
        self.assertEqual(job.JobState.PENDING, self.state.jobs.get('k').state)


class LateRenewalTest(SessionTestCase):
    """A renewal is overtaken by the close of its session.

    Guards against a lease of a session whose jobs were released, and against
    a later session whose end isn't noticed.
    """

    def delay_renewal(self, event):
        """Call ``event`` once, after the check of the next heartbeat."""
        renew = self.leader.leases.renew

        def renew_late(*args, **fields):
            self.leader.leases.renew = renew
            event()
            return renew(*args, **fields)

        self.leader.leases.renew = renew_late

    def close(self):
        self.advance(FULL_S + 0.1)
        self.assertFalse(self.state.instances.get('i').connected)

    def replace(self):
        self.close()
        self.assertEqual(2, self.send_heartbeat(opening='newcomer').epoch)

    def list_sessions(self):
        return [
            (row.name, row.epoch)
            for row in self.leader.list_nodes()
            if row.role == 'agent'
        ]

    def test_closed_session(self):
        self.delay_renewal(self.close)
        reply = self.renew(running=RUNNING)
        self.assertEqual(('fenced', 0), (reply.code, reply.lease_ms))
        self.assertEqual([], self.list_sessions())

    def test_replaced_session(self):
        self.delay_renewal(self.replace)
        reply = self.renew(running=RUNNING)
        self.assertEqual(('fenced', 0), (reply.code, reply.lease_ms))
        self.assertEqual([('i', 2)], self.list_sessions())

    def test_end_of_the_later_session_is_noticed(self):
        self.delay_renewal(self.replace)
        self.renew(running=RUNNING)
        self.grant(epoch=2)
        self.assertEqual(2, self.find_job().session)
        self.advance(FULL_S + 0.1)
        self.assertEqual(job.JobState.PENDING, self.find_job().state)

    def test_its_events_change_no_job(self):
        self.delay_renewal(self.replace)
        event = message.JobEvent(job_id='j', epoch=1, kind='finished')
        self.renew(events=[event])
        self.assertEqual(job.JobState.PENDING, self.find_job().state)

    def test_renewal_in_time(self):
        self.delay_renewal(lambda: self.advance(FULL_S - 0.1))
        self.assertEqual(1, self.renew(running=RUNNING).epoch)
        self.check_lease_is_waited_for()


class FormerTermTest(SessionTestCase):
    """Leadership comes back while a tick of the former term runs.

    Guards against jobs that run twice: another leader may have renewed the
    lease in between.
    """

    def lead_again(self):
        self.replica.term += 2
        self.leader.ensure_ready()

    def tick(self):
        with contextlib.suppress(errors.NotLeaderError):
            self.leader.tick()

    def call_before(self, owner, name, event):
        """Call ``event`` once, before a method."""
        method = getattr(owner, name)

        def call_late(*args, **fields):
            setattr(owner, name, method)
            event()
            return method(*args, **fields)

        setattr(owner, name, call_late)

    def test_session_found_expired_in_a_former_term(self):
        self.clock.advance(clocks.seconds(FULL_S + 0.1))
        self.call_before(self.replica, 'propose', self.lead_again)
        self.tick()
        self.check_runs()
        self.assertEqual('', self.renew(running=RUNNING).code)

    def test_leases_listed_in_a_former_term(self):
        self.clock.advance(clocks.seconds(FULL_S + 0.1))
        self.call_before(self.leader.leases, 'begin_close', self.lead_again)
        self.tick()
        self.check_runs()
        self.assertEqual('', self.renew(running=RUNNING).code)

    def test_session_is_closed_in_the_next_term(self):
        self.clock.advance(clocks.seconds(FULL_S + 0.1))
        self.call_before(self.replica, 'propose', self.lead_again)
        self.tick()
        self.check_lease_is_waited_for()


class EntryOfTheSameNameTest(SessionTestCase):
    """A process of another role renews no session, and hides none."""

    def sync_entry(self):
        return self.sync.handle(message.SyncRequest(entry='i', zone='z'))

    def test_end_of_the_session_is_noticed(self):
        self.sync_entry()
        self.check_lease_is_waited_for()

    def test_entry_extends_no_session(self):
        for _ in range(4):
            self.advance(1)
            self.sync_entry()
        self.check_runs()
        self.advance(FULL_S - 3.9)
        self.assertEqual(job.JobState.PENDING, self.find_job().state)

    def test_both_are_listed(self):
        self.sync_entry()
        rows = {(row.name, row.role) for row in self.leader.list_nodes()}
        self.assertLessEqual({('i', 'agent'), ('i', 'entry')}, rows)


class ReportedTest(SessionTestCase):
    """A report counts for the grant that it names."""

    def test_report_of_another_grant(self):
        for epoch in (0, 2):
            event = job_commands.JobEvent(
                job_id='j', epoch=epoch, kind=job_commands.EventKind.REFUSED
            )
            self.leader.propose(
                job_commands.RecordEvents(events=[event], at=self.clock.wall())
            )
        self.check_lease_is_waited_for()
