"""Tests of the leader's sessions, leases and feed."""

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
    """Commits at once; ``term`` and ``leading`` are set by tests."""

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

    def propose_future(self, data):
        return FakeFuture(self.machine.apply(0, data))

    def propose(self, data, *, timeout):
        return self.propose_future(data).result()


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
        self.beats = heartbeat.HeartbeatHandler(leader=self.leader)
        self.sync = sync.SyncHandler(leader=self.leader)

    def beat(self, name='i', epoch=0, opening='', **fields):
        told = message.Announcement(
            name=name,
            zone='z',
            rack='r',
            address='127.0.0.1:1',
            opening=opening,
        )
        return self.beats.handle(
            message.Heartbeat(
                instance=name, epoch=epoch, announcement=told, **fields
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
    def test_session_opens_and_renews(self):
        self.assertEqual(1, self.beat().epoch)
        self.advance(3)
        reply = self.beat(epoch=1)
        self.assertEqual(heartbeat.LEASE_MS, reply.lease_ms)

    def test_second_session_waits_for_the_first_lease(self):
        self.beat()
        self.assertEqual('refused', self.beat().code)
        self.advance(4.4)
        self.assertEqual('refused', self.beat().code)
        self.advance(0.2)
        self.assertEqual(2, self.beat().epoch)
        self.assertEqual('fenced', self.beat(epoch=1).code)

    def test_resent_opening_gets_the_same_session(self):
        self.assertEqual(1, self.beat(opening='a').epoch)
        self.assertEqual(1, self.beat(opening='a').epoch)
        self.assertEqual('refused', self.beat(opening='b').code)
        self.advance(5)
        self.assertEqual('fenced', self.beat(opening='a').code)
        self.assertEqual(2, self.beat(opening='b').epoch)

    def test_session_reopened_while_closing_keeps_its_lease(self):
        self.beat()
        self.clock.advance(clock.seconds(5))
        self.leader.leases.begin_close('i', 1)
        self.leader.close_session('i', 1, 'test')
        self.assertEqual(2, self.beat().epoch)
        self.leader.leases.end_close('i', 1)
        self.assertEqual('', self.beat(epoch=2).code)

    def test_new_leader_waits_a_whole_lease(self):
        self.beat()
        self.advance(4)
        self.replica.term = 2
        self.advance(0)
        self.advance(4.4)
        self.assertTrue(self.state.instances.get('i').connected)
        self.advance(0.2)
        self.assertFalse(self.state.instances.get('i').connected)

    def test_follower_answers_nothing(self):
        self.replica.leading = False
        self.assertRaises(errors.NotLeaderError, self.beat)
        self.advance(60)

    def test_stopped_agent_closes_at_once(self):
        self.beat()
        self.assertEqual('fenced', self.beat(epoch=1, leaving=True).code)
        self.assertFalse(self.state.instances.get('i').connected)
        self.assertEqual(2, self.beat().epoch)
        self.assertFalse(self.state.instances.get('i').leaving)


class TestOrders(ControlTestCase):
    def setUp(self):
        super().setUp()
        self.beat()
        self.submit()
        self.grant()

    def event(self, kind, epoch=1):
        return message.JobEvent(job_id='j', epoch=epoch, kind=kind)

    def test_start_is_repeated_until_reported(self):
        for _ in range(2):
            self.assertEqual('j', self.beat(epoch=1).starts[0].job_id)
        reply = self.beat(
            epoch=1, first_event=7, events=[self.event('started')]
        )
        self.assertEqual((8, []), (reply.acked_events, reply.starts))

    def test_stop_is_repeated_until_reported(self):
        self.beat(epoch=1, events=[self.event('started')])
        self.leader.propose(
            job_commands.CancelJobs(job_ids=['j'], at=self.clock.wall())
        )
        self.assertEqual('j', self.beat(epoch=1).stops[0].job_id)
        reply = self.beat(epoch=1, events=[self.event('stopped')])
        self.assertEqual([], reply.stops)
        self.assertEqual(
            job.JobState.CANCELLED, self.state.jobs.get('j').state
        )

    def test_fenced_job_is_stopped(self):
        running = [message.RunningJob(job_id='old', epoch=3)]
        reply = self.beat(epoch=1, running=running)
        self.assertEqual('old', reply.stops[0].job_id)

    def test_lost_instance_frees_its_job_only_after_the_lease(self):
        self.beat(epoch=1, events=[self.event('started')])
        self.advance(4.4)
        self.assertEqual(job.JobState.RUNNING, self.state.jobs.get('j').state)
        self.clock.advance(clock.seconds(0.2))
        with contextlib.suppress(errors.BilberryhavenError):
            self.leader.tick()
        self.assertEqual(job.JobState.PENDING, self.state.jobs.get('j').state)


class TestInForce(ControlTestCase):
    def get_revision(self):
        rows = [n for n in self.leader.list_nodes() if n.role == 'agent']
        return rows[0].revision

    def test_agent_whose_replies_are_lost_holds_nothing_old_for_long(self):
        self.beat()
        self.submit()
        revision = self.state.revision
        for _ in range(4):
            self.advance(1)
            self.beat(epoch=1, revision=0)
            self.assertEqual(0, self.get_revision())
        self.advance(0.6)
        self.assertEqual(revision, self.get_revision())

    def test_acknowledged_change_is_held_at_once(self):
        self.beat()
        self.submit()
        self.beat(epoch=1, revision=self.state.revision)
        self.assertEqual(self.state.revision, self.get_revision())

    def test_older_beat_that_comes_late_takes_nothing_back(self):
        self.beat()
        self.submit()
        self.beat(epoch=1, revision=self.state.revision)
        self.beat(epoch=1, revision=0)
        self.assertEqual(self.state.revision, self.get_revision())


class TestSync(ControlTestCase):
    def sync_entry(self, feed='', cursor=0, revision=0):
        return self.sync.handle(
            message.SyncRequest(
                entry='e', feed=feed, cursor=cursor, revision=revision
            )
        )

    def test_entry_gets_everything_once_then_what_is_new(self):
        self.beat()
        self.submit()
        first = self.sync_entry()
        self.assertTrue(first.full)
        again = self.sync_entry(first.feed, first.cursor)
        self.assertEqual(([], []), (again.workloads, again.instances))
        self.grant()
        third = self.sync_entry(first.feed, again.cursor)
        self.assertEqual(['w'], third.instances[0].beside)

    def test_entry_gets_everything_once_from_a_quiet_leader(self):
        self.beat()
        self.replica.term = 2
        first = self.sync_entry()
        again = self.sync_entry(first.feed, first.cursor)
        self.assertEqual((True, False), (first.full, again.full))

    def test_slowdowns_are_sent_at_first_and_then_now_and_again(self):
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

    def test_new_leader_sends_everything(self):
        first = self.sync_entry()
        self.replica.term = 2
        self.assertTrue(self.sync_entry(first.feed, first.cursor).full)

    def test_new_leader_counts_entries_that_it_can_not_know(self):
        names = {node.name for node in self.leader.list_nodes()}
        self.assertEqual(set(), names)
        self.leader.ensure_ready()
        names = {node.name for node in self.leader.list_nodes()}
        self.assertEqual({leases.UNKNOWN_ENTRIES}, names)
        self.clock.advance(clock.seconds(4.6))
        self.assertEqual([], self.leader.list_nodes())
