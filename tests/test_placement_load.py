"""Tests of learning, throttling, eviction and urgent jobs."""

import datetime

from bilberryhaven.commands import session
from bilberryhaven import settings
from bilberryhaven.tables import workload
from bilberryhaven.wire import message
from tests import test_systems

SECOND = datetime.timedelta(seconds=1)
HEARTBEAT = datetime.timedelta(seconds=1)
URGENT_BOUND = datetime.timedelta(seconds=2.7)


class LoadTestCase(test_systems.SystemTestCase):
    """Simulates services whose latency depends on co-located jobs."""

    slowdowns = {'noisy': 1.6, 'quiet': 1.02}
    unreported = ()

    def setUp(self):
        super().setUp()
        self.declare('desk', kind=workload.Kind.SERVICE, runs_on='desk=yes')
        self.declare('noisy', labels={'app': 'noisy'})
        self.declare('quiet')

    def build_usage(self, name, load):
        factor = 1.0
        for row in self.state.jobs.select('instance', name):
            share = self.throttles.get(row.id, 1.0)
            factor *= self.slowdowns.get(row.workload, 1.0) ** share
        return message.Usage(
            workload='desk', latency_ms=10 * factor, load=load
        )

    def list_usage(self, load):
        return [
            (row.name, self.build_usage(row.name, load))
            for row in self.state.instances
            if 'desk' in row.announced and row.name not in self.unreported
        ]

    def advance(self, seconds, load=0.6):
        for _ in range(seconds):
            self.tick(usage=self.list_usage(load), step=SECOND)
            for row in list(self.state.jobs.select('state', 'granted')):
                self.report('started', row.id)
            for row in list(self.state.jobs.select('state', 'evicting')):
                self.report('stopped', row.id, body=b'half')

    @property
    def memory(self):
        return self.systems[0].memory

    def get_effect(self, name, band=2):
        return self.memory.interference.get_effect('desk', name, band)


class TestLearning(LoadTestCase):
    def setUp(self):
        super().setUp()
        for name in 'abcd':
            self.open(name, labels={'desk': 'yes'})

    def test_learned_interference_guides_placement(self):
        self.submit('noisy', 'n0', 'n1', 'n2')
        self.submit('quiet', *[f'q{i}' for i in range(6)])
        self.advance(60)
        self.assertGreater(self.get_effect('noisy'), 0.3)
        self.assertLess(self.get_effect('quiet'), 0.1)
        self.open('e')
        self.submit('noisy', 'n9')
        self.advance(2)
        self.assertEqual('e', self.job('n9').instance)

    def test_late_report_is_attributed_to_earlier_tasks(self):
        self.submit('noisy', 'n0')
        self.advance(30)
        first_instance = self.job('n0').instance
        self.report('finished', 'n0')
        learned = self.get_effect('noisy')
        late = message.Usage(
            workload='desk', latency_ms=16.0, load=0.6, age_ms=3000
        )
        self.tick(usage=[(first_instance, late)] * 60, step=SECOND)
        base = self.memory.interference.get_base_ms('desk', 2)
        self.assertLess(abs(base - 10.0), 0.5)
        self.assertLess(abs(self.get_effect('noisy') - learned), 0.1)

    def test_report_older_than_the_history_is_counted(self):
        self.submit('quiet', 'q')
        self.advance(3)
        first_instance = self.job('q').instance
        before = self.memory.late_reports
        late = message.Usage(
            workload='desk', latency_ms=90.0, load=0.6, age_ms=600_000
        )
        self.tick(usage=[(first_instance, late)])
        self.assertEqual(before + 1, self.memory.late_reports)

    def test_usage_overrides_declared_resources(self):
        need = workload.Resources(cpu=16.0, memory_mb=4000)
        self.declare('big', resources=need)
        self.submit('big', *[f'b{i}' for i in range(20)])
        self.tick()
        before = self.state.jobs.count('state', 'granted')
        usage = message.Usage(
            workload='big', job_id='b0', cpu=1.5, memory_mb=500
        )
        self.tick(40, usage=[('a', usage)])
        after = self.state.jobs.count('state', 'granted')
        self.assertEqual((4, 20), (before, after))


class TestThrottlingAndEviction(LoadTestCase):
    def test_throttles_noisy_jobs_until_load_falls(self):
        self.declare('noisy', runs_on='batch=yes')
        self.open('a', labels={'desk': 'yes', 'batch': 'yes'})
        self.open('c', labels={'desk': 'yes'})
        self.advance(5)
        self.submit('noisy', 'n0', 'n1')
        self.advance(60)
        self.assertEqual({'n0', 'n1'}, set(self.throttles))
        self.advance(240, load=0.0)
        self.assertEqual({}, self.throttles)

    def test_evicts_jobs_if_throttling_is_insufficient(self):
        self.slowdowns = {'noisy': 5.0}
        self.open('a', labels={'desk': 'yes', 'batch': 'yes'})
        self.open('c', labels={'desk': 'yes'})
        self.advance(5)
        self.declare('noisy', run_seconds=3000, runs_on='batch=yes')
        self.submit('noisy', 'n0', 'n1', 'n2')
        self.advance(5)
        self.open('b', labels={'batch': 'yes'})
        self.advance(200)
        self.assertEqual(0, self.count_on('a'))
        self.assertEqual(3, self.count_on('b'))
        self.assertEqual(1, self.job('n0').evictions)

    def test_no_eviction_without_a_better_instance(self):
        self.slowdowns = {'noisy': 5.0}
        self.declare('noisy', runs_on='batch=yes')
        self.open('a', labels={'desk': 'yes', 'batch': 'yes'})
        self.open('c', labels={'desk': 'yes'})
        self.advance(5)
        self.submit('noisy', 'n0', 'n1', 'n2')
        self.advance(200)
        self.assertEqual(0, self.job('n0').evictions)

    def test_watch_is_not_evicted_twice_within_an_hour(self):
        self.slowdowns = {'tide': 5.0}
        self.declare('tide', kind=workload.Kind.WATCH, runs_on='batch=yes')
        self.open('a', labels={'desk': 'yes', 'batch': 'yes'})
        self.open('c', labels={'desk': 'yes'})
        self.advance(5)
        self.submit('tide', 't0', 't1', 't2')
        self.advance(5)
        self.open('b', labels={'batch': 'yes'})
        self.advance(200)
        moved = self.count_on('b')
        self.assertGreater(moved, 0)
        self.declare('desk', kind=workload.Kind.SERVICE)
        self.open('d', labels={'batch': 'yes', 'desk': 'yes'})
        self.advance(300)
        rows = list(self.state.jobs)
        self.assertEqual(3, len([row for row in rows if row.instance]))
        self.assertLessEqual(max(row.evictions for row in rows), 1)

    def test_batch_jobs_are_evicted_from_reserved_slots(self):
        self.reserve = 2
        self.declare('desk', kind=workload.Kind.SERVICE, runs_on='later=yes')
        self.open('a')
        self.submit('quiet', *[f'q{i}' for i in range(8)])
        self.tick(2)
        self.assertEqual(8, self.count_on('a'))
        self.relabel('instance', 'a', later='yes')
        self.advance(3)
        self.assertEqual(6, self.count_on('a'))
        self.loads['a'] = message.Load(
            slots=8, slots_used=8, batch_slots=6, queued=5
        )
        self.advance(4)
        self.assertEqual(5, self.count_on('a'))


class TestDrain(LoadTestCase):
    def test_jobs_nearly_done_or_unrepeatable_may_finish(self):
        self.declare('once', repeatable=False, run_seconds=900)
        self.open('a')
        for i in range(5):
            self.submit('quiet', f'q{i}')
            self.advance(30)
            self.report('finished', f'q{i}')
        self.submit('quiet', 'short', 'new')
        self.submit('once', 'o')
        self.submit('noisy', 'n')
        self.advance(30)
        self.drain('a')
        self.tick()
        states = [str(self.job(j).state) for j in ('short', 'o', 'n')]
        self.assertEqual(['running', 'running', 'evicting'], states)

    def test_jobs_left_to_finish_still_obey_selectors(self):
        self.declare('once', repeatable=False)
        self.open('a')
        self.submit('once', 'o')
        self.advance(2)
        self.drain('a')
        self.tick()
        self.assertEqual('running', self.job('o').state)
        self.declare('once', repeatable=False, runs_on='pond=yes')
        self.tick()
        self.assertEqual('evicting', self.job('o').state)


class TestUrgency(LoadTestCase):
    """Simulates agents that get orders at heartbeats and report at once."""

    def setUp(self):
        super().setUp()
        self.declare('liner', labels={'urgent': 'yes'})
        self.stops = {}

    def heartbeat(self, name):
        for row in list(self.state.jobs.select('instance', name)):
            if row.state == 'granted':
                self.report('started', row.id)
            elif row.state == 'evicting':
                self.report('stopped', row.id, body=b'half')

    def run_until_started(self, job_id):
        since = self.now
        for i in range(100):
            self.tick()
            names = [row.name for row in self.state.instances]
            for position, name in enumerate(names):
                if i % 10 == position % 10:
                    self.heartbeat(name)
            if self.job(job_id).state == 'running':
                return self.now - since
        self.fail('the job did not start within 100 ticks')

    def test_urgent_job_starts_in_time_though_all_slots_hold_batch(self):
        for name in 'abcdef':
            self.open(name)
        self.declare('liner')
        self.submit('quiet', *[f'q{i}' for i in range(60)])
        self.advance(3)
        self.assertEqual(48, self.state.jobs.count('state', 'running'))
        self.declare('liner', labels={'urgent': 'yes'})
        for i in range(12):
            self.submit('liner', f'u{i}')
            self.assertLess(self.run_until_started(f'u{i}'), URGENT_BOUND)

    def test_burst_of_urgent_jobs_starts_in_time(self):
        for name in 'abcdef':
            self.open(name)
        self.submit('quiet', *[f'q{i}' for i in range(60)])
        self.advance(3)
        burst = [f'u{i}' for i in range(20)]
        self.submit('liner', *burst)
        since = self.now
        for job_id in burst:
            if self.job(job_id).state != 'running':
                self.run_until_started(job_id)
        self.assertLess(self.now - since, URGENT_BOUND)

    def test_headroom_lets_an_urgent_job_start_without_an_eviction(self):
        for name in 'abcdef':
            self.open(name)
        self.tick()
        self.submit('quiet', *[f'q{i}' for i in range(60)])
        self.advance(3)
        self.assertEqual(47, self.state.jobs.count('state', 'running'))
        self.submit('liner', 'u')
        self.run_until_started('u')
        self.assertEqual(0, sum(row.evictions for row in self.state.jobs))

    def test_job_about_to_miss_its_deadline_preempts(self):
        self.declare('silt', run_seconds=60)
        self.open('a', slots=1)
        self.submit('quiet', 'q')
        self.advance(3)
        deadline = self.now + 100 * SECOND
        self.submit('silt', 's', deadline_at=deadline)
        self.advance(20)
        self.assertEqual('a', self.job('s').instance)


class TestVictims(LoadTestCase):
    """Selection of the job to evict for an urgent one on a full instance."""

    def setUp(self):
        super().setUp()
        self.declare('liner', labels={'urgent': 'yes'})
        self.declare('once', repeatable=False)
        self.declare('held')
        self.open('a', slots=4)

    def evict_for_urgent(self):
        free = 4 - self.count_on('a')
        self.submit('liner', *[f'u{i}' for i in range(free + 1)])
        self.tick(2)
        rows = self.state.jobs.select('state', 'evicting')
        return [row.id for row in rows]

    def test_work_since_last_checkpoint_adds_to_eviction_cost(self):
        self.submit('held', 'x', 'y')
        self.advance(100)
        self.report('checkpoint', 'y', body=b'half')
        self.assertEqual(['y'], self.evict_for_urgent())

    def test_earlier_evictions_add_to_eviction_cost(self):
        self.submit('held', 'x', 'y')
        self.advance(10)
        self.job('x').evictions = 3
        self.assertEqual(['y'], self.evict_for_urgent())

    def test_jobs_with_deadline_or_unrepeatable_are_not_evicted(self):
        self.submit('once', 'o')
        self.submit('held', 'd', deadline_at=self.now + 900 * SECOND)
        self.advance(3)
        self.submit('held', 'x')
        self.advance(3)
        self.job('x').evictions = 5
        self.assertEqual(['x'], self.evict_for_urgent())

    def test_watch_is_not_evicted_again_within_an_hour(self):
        self.declare('tide', kind=workload.Kind.WATCH)
        self.submit('tide', 't0', 't1', 't2')
        self.advance(3)
        for row in self.state.jobs:
            row.evicted_at = self.now
        self.assertEqual([], self.evict_for_urgent())
        self.tick(step=3601 * SECOND)
        self.tick()
        self.assertEqual(1, self.state.jobs.count('state', 'evicting'))


class TestEvictionRate(LoadTestCase):
    """Delay and rate of evictions that a latency penalty causes."""

    def setUp(self):
        super().setUp()
        self.slowdowns = {'noisy': 5.0}
        self.declare('noisy', run_seconds=3000, runs_on='batch=yes')
        self.open('a', labels={'desk': 'yes', 'batch': 'yes'})
        self.open('c', labels={'desk': 'yes'})
        self.advance(5)
        self.eviction_times = []

    def advance_and_record(self, seconds, load=0.6):
        for _ in range(seconds):
            self.advance(1, load=load)
            rows = [row for row in self.state.jobs if row.evicted_at]
            self.eviction_times += [
                row.evicted_at
                for row in rows
                if row.evicted_at not in self.eviction_times
            ]

    def test_a_job_runs_for_a_minimum_time(self):
        self.submit('noisy', 'n0', 'n1', 'n2')
        self.advance(2)
        self.open('b', labels={'batch': 'yes'})
        self.advance_and_record(26)
        self.assertEqual([], self.eviction_times)
        self.advance_and_record(100)
        self.assertNotEqual([], self.eviction_times)

    def test_penalty_must_last_and_evictions_are_spaced(self):
        self.submit('noisy', 'n0', 'n1', 'n2')
        self.advance(60, load=0.0)
        self.open('b', labels={'batch': 'yes'})
        self.advance_and_record(13)
        self.assertEqual([], self.eviction_times)
        self.advance_and_record(200)
        gaps = [
            later - earlier
            for earlier, later in zip(
                self.eviction_times, self.eviction_times[1:], strict=False
            )
        ]
        self.assertGreaterEqual(len(gaps), 1)
        self.assertGreaterEqual(min(gaps), 30 * SECOND)


class TestPlacementCost(LoadTestCase):
    """Terms of the placement cost other than the latency penalty."""

    def list_instances(self, name):
        rows = self.state.jobs.select('workload', name)
        return sorted(row.instance for row in rows)

    def test_watches_spread_over_zones_and_racks(self):
        self.declare('tide', kind=workload.Kind.WATCH)
        for name, zone, rack in ('aas', 'bas', 'cat', 'dbs', 'ebt'):
            self.open(name, zone=zone, rack=zone + rack)
        self.submit('tide', 't0', 't1', 't2', 't3')
        self.tick(2)
        rows = self.state.instances
        racks = {rows.get(n).rack for n in self.list_instances('tide')}
        self.assertEqual({'as', 'at', 'bs', 'bt'}, racks)

    def test_jobs_without_accelerators_leave_them_free(self):
        self.open('a', accelerators=4)
        self.open('b')
        self.submit('quiet', *[f'q{i}' for i in range(8)])
        self.tick()
        self.assertEqual(['b'] * 8, self.list_instances('quiet'))

    def test_crowded_processors_are_avoided(self):
        self.open('a', cpu=4)
        self.open('b', cpu=64)
        self.submit('quiet', *[f'q{i}' for i in range(10)])
        self.tick()
        self.assertEqual(3, self.list_instances('quiet').count('a'))

    def test_restarted_instances_are_preferred_in_rolling_restart(self):
        for name in 'abc':
            self.open(name)
        self.tick()
        self.drain('a')
        self.tick()
        self.apply_command(
            session.CloseSession(name='a', epoch=1, at=self.now)
        )
        self.drain('a', draining=False)
        self.open('a')
        self.drain('b')
        self.tick()
        self.submit('quiet', 'q0', 'q1')
        self.tick()
        self.assertEqual(['a', 'a'], self.list_instances('quiet'))


class TestObjective(LoadTestCase):
    def test_weight_of_evictions_keeps_work_in_place(self):
        self.slowdowns = {'noisy': 5.0}
        heavy = settings.Objective(evictions=1000.0)
        self.objective = heavy
        self.open('a', labels={'desk': 'yes'})
        self.advance(5)
        self.declare('noisy', run_seconds=3000)
        self.submit('noisy', 'n0', 'n1', 'n2')
        self.advance(5)
        self.open('b')
        self.advance(200)
        self.assertEqual(0, sum(row.evictions for row in self.state.jobs))
