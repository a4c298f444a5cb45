"""Tests of the leader's sessions, leases and change feed."""

import contextlib
import threading

import testtools

from bilberryhaven import clock
from bilberryhaven.commands import change
from bilberryhaven.commands import job as job_commands
from bilberryhaven.control import heartbeat
from bilberryhaven.control import leader
from bilberryhaven.control import leases
from bilberryhaven.control import machine
from bilberryhaven.control import sync
from bilberryhaven import errors
from bilberryhaven import settings
from bilberryhaven.tables import job
from bilberryhaven.tables import workload
from bilberryhaven.wire import message


class FakeFuture:
    def __init__(self, value):
        self.value = value

    def result(self, timeout=None):
        if isinstance(self.value, Exception):
            raise self.value
        return self.value


class FakeReplica:
    """Commits synchronously; tests set ``term`` and ``leading``."""

    def __init__(self, target):
        self.machine_lock = threading.RLock()
        self.machine = target
        self.term = 1
        self.leading = True

    def check_read(self):
        if not self.leading:
            raise errors.NotLeaderError('not leading', step='read')

    def status(self):
        return self

    def propose_future(self, data, *, term=0):
        if term not in (0, self.term):
            error = errors.NotLeaderError('term has ended', step='propose')
            return FakeFuture(error)
        return FakeFuture(self.machine.apply(0, data))

    def propose(self, data, *, timeout, term=0):
        return self.propose_future(data, term=term).result()


class ControlTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        target = machine.TableStateMachine(
            on_applied=lambda command: self.leader.record_applied(command)
        )
        self.replica = FakeReplica(target)
        self.leader = leader.Leader(
            settings=settings.Settings(),
            clock=self.clock,
            replica=self.replica,
            machine=target,
        )
        self.state = target.state
        self.heartbeat_handler = heartbeat.HeartbeatHandler(leader=self.leader)
        self.sync = sync.SyncHandler(leader=self.leader)

    def send_heartbeat(self, name='i', epoch=0, opening='', **fields):
        announcement = message.Announcement(
            name=name,
            zone='z',
            rack='r',
            address='127.0.0.1:1',
            opening=opening,
        )
        return self.heartbeat_handler.handle(
            message.Heartbeat(
                instance=name, epoch=epoch, announcement=announcement, **fields
            )
        )

    def advance(self, seconds):
        self.clock.advance(clock.seconds(seconds))
        self.leader.tick()

    def submit(self, job_id='j', **fields):
        fields.setdefault('kind', workload.Kind.BATCH)
        now = self.clock.wall()
        spec = workload.Workload(name='w', **fields)
        self.leader.propose(
            change.ApplyWorkload(
                change_id='c',
                by='op',
                at=now,
                kind='workload',
                name='w',
                spec=spec,
            )
        )
        self.leader.propose(
            job_commands.SubmitJob(
                job_id=job_id, workload='w', payload=b'', at=now
            )
        )

    def grant(self, job_id='j', name='i', epoch=1):
        grant = job_commands.Grant(job_id=job_id, instance=name, session=epoch)
        self.leader.propose(
            job_commands.GrantJobs(grants=[grant], at=self.clock.wall())
        )


class TestSessions(ControlTestCase):
    def test_session_is_opened_and_renewed(self):
        self.assertEqual(1, self.send_heartbeat().epoch)
        self.advance(3)
        reply = self.send_heartbeat(epoch=1)
        self.assertEqual(heartbeat.LEASE_MS, reply.lease_ms)

    def test_second_session_waits_for_expiry_of_the_first_lease(self):
        self.send_heartbeat()
        self.assertEqual('refused', self.send_heartbeat().code)
        self.advance(4.4)
        self.assertEqual('refused', self.send_heartbeat().code)
        self.advance(0.2)
        self.assertEqual(2, self.send_heartbeat().epoch)
        self.assertEqual('fenced', self.send_heartbeat(epoch=1).code)

    def test_repeated_opening_returns_the_same_session(self):
        self.assertEqual(1, self.send_heartbeat(opening='a').epoch)
        self.assertEqual(1, self.send_heartbeat(opening='a').epoch)
        self.assertEqual('refused', self.send_heartbeat(opening='b').code)
        self.advance(5)
        self.assertEqual('fenced', self.send_heartbeat(opening='a').code)
        self.assertEqual(2, self.send_heartbeat(opening='b').epoch)

    def test_session_reopened_while_closing_keeps_its_lease(self):
        self.send_heartbeat()
        self.clock.advance(clock.seconds(5))
        self.leader.leases.begin_close('i', 1)
        self.leader.close_session('i', 1, 'test')
        self.assertEqual(2, self.send_heartbeat().epoch)
        self.leader.leases.end_close('i', 1)
        self.assertEqual('', self.send_heartbeat(epoch=2).code)

    def test_new_leader_waits_for_a_full_lease(self):
        self.send_heartbeat()
        self.advance(4)
        self.replica.term = 2
        self.advance(0)
        self.advance(4.4)
        self.assertTrue(self.state.instances.get('i').connected)
        self.advance(0.2)
        self.assertFalse(self.state.instances.get('i').connected)

    def test_follower_rejects_heartbeats(self):
        self.replica.leading = False
        self.assertRaises(errors.NotLeaderError, self.send_heartbeat)
        self.advance(60)

    def test_session_of_stopped_agent_is_closed_at_once(self):
        self.send_heartbeat()
        self.assertEqual(
            'fenced', self.send_heartbeat(epoch=1, leaving=True).code
        )
        self.assertFalse(self.state.instances.get('i').connected)
        self.assertEqual(2, self.send_heartbeat().epoch)
        self.assertFalse(self.state.instances.get('i').leaving)


class TestOrders(ControlTestCase):
    def setUp(self):
        super().setUp()
        self.send_heartbeat()
        self.submit()
        self.grant()

    def build_event(self, kind, epoch=1):
        return message.JobEvent(job_id='j', epoch=epoch, kind=kind)

    def test_start_is_repeated_until_reported(self):
        for _ in range(2):
            self.assertEqual(
                'j', self.send_heartbeat(epoch=1).starts[0].job_id
            )
        reply = self.send_heartbeat(
            epoch=1, first_event=7, events=[self.build_event('started')]
        )
        self.assertEqual((8, []), (reply.acked_events, reply.starts))

    def test_stop_is_repeated_until_reported(self):
        self.send_heartbeat(epoch=1, events=[self.build_event('started')])
        self.leader.propose(
            job_commands.CancelJobs(job_ids=['j'], at=self.clock.wall())
        )
        self.assertEqual('j', self.send_heartbeat(epoch=1).stops[0].job_id)
        reply = self.send_heartbeat(
            epoch=1, events=[self.build_event('stopped')]
        )
        self.assertEqual([], reply.stops)
        self.assertEqual(
            job.JobState.CANCELLED, self.state.jobs.get('j').state
        )

    def test_fenced_job_is_stopped(self):
        running = [message.RunningJob(job_id='old', epoch=3)]
        reply = self.send_heartbeat(epoch=1, running=running)
        self.assertEqual('old', reply.stops[0].job_id)

    def test_job_of_lost_instance_is_requeued_only_after_the_lease(self):
        self.send_heartbeat(epoch=1, events=[self.build_event('started')])
        self.advance(4.4)
        self.assertEqual(job.JobState.RUNNING, self.state.jobs.get('j').state)
        self.clock.advance(clock.seconds(0.2))
        with contextlib.suppress(errors.BilberryhavenError):
            self.leader.tick()
        self.assertEqual(job.JobState.PENDING, self.state.jobs.get('j').state)


class TestInForce(ControlTestCase):
    def get_agent_revision(self):
        rows = [n for n in self.leader.list_nodes() if n.role == 'agent']
        return rows[0].revision

    def test_old_revision_expires_when_replies_are_lost(self):
        self.send_heartbeat()
        self.submit()
        revision = self.state.revision
        for _ in range(4):
            self.advance(1)
            self.send_heartbeat(epoch=1, revision=0)
            self.assertEqual(0, self.get_agent_revision())
        self.advance(0.6)
        self.assertEqual(revision, self.get_agent_revision())

    def test_acknowledged_revision_counts_at_once(self):
        self.send_heartbeat()
        self.submit()
        self.send_heartbeat(epoch=1, revision=self.state.revision)
        self.assertEqual(self.state.revision, self.get_agent_revision())

    def test_late_heartbeat_does_not_lower_the_revision(self):
        self.send_heartbeat()
        self.submit()
        self.send_heartbeat(epoch=1, revision=self.state.revision)
        self.send_heartbeat(epoch=1, revision=0)
        self.assertEqual(self.state.revision, self.get_agent_revision())


class TestSync(ControlTestCase):
    def sync_entry(self, feed='', cursor=0, revision=0):
        return self.sync.handle(
            message.SyncRequest(
                entry='e', feed=feed, cursor=cursor, revision=revision
            )
        )

    def test_first_sync_is_full_and_later_ones_are_incremental(self):
        self.send_heartbeat()
        self.submit()
        first = self.sync_entry()
        self.assertTrue(first.full)
        again = self.sync_entry(first.feed, first.cursor)
        self.assertEqual(([], []), (again.workloads, again.instances))
        self.grant()
        third = self.sync_entry(first.feed, again.cursor)
        self.assertEqual(['w'], third.instances[0].beside)

    def test_second_sync_is_incremental_without_changes(self):
        self.send_heartbeat()
        self.replica.term = 2
        first = self.sync_entry()
        again = self.sync_entry(first.feed, first.cursor)
        self.assertEqual((True, False), (first.full, again.full))

    def test_slowdowns_are_sent_first_and_then_periodically(self):
        found = [message.Slowdown(service='s', beside='w', band=1, factor=2)]
        self.leader.list_slowdowns = lambda: found
        first = self.sync_entry()
        again = self.sync_entry(first.feed, first.cursor)
        self.clock.advance(clock.seconds(10))
        later = self.sync_entry(first.feed, first.cursor)
        self.assertEqual(
            [found, [], found],
            [reply.slowdowns for reply in (first, again, later)],
        )

    def test_first_sync_with_new_leader_is_full(self):
        first = self.sync_entry()
        self.replica.term = 2
        self.assertTrue(self.sync_entry(first.feed, first.cursor).full)

    def test_new_leader_assumes_leases_of_unknown_entries(self):
        names = {node.name for node in self.leader.list_nodes()}
        self.assertEqual(set(), names)
        self.leader.ensure_ready()
        names = {node.name for node in self.leader.list_nodes()}
        self.assertEqual({leases.UNKNOWN_ENTRIES}, names)
        self.clock.advance(clock.seconds(4.6))
        self.assertEqual([], self.leader.list_nodes())
