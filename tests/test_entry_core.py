"""Unit tests of the entry's request core, routing and health monitor."""

import dataclasses
import random

import testtools
from testtools import matchers

from bilberryhaven import clock
from bilberryhaven.entry import budget
from bilberryhaven.entry import effect
from bilberryhaven.entry import health
from bilberryhaven.entry import request
from bilberryhaven.entry import request_state
from bilberryhaven.entry import view
from bilberryhaven import errors
from bilberryhaven.policies import route_two_choice
from bilberryhaven.wire import message
from tests import entry_fakes

LIMITS = request_state.Limits(retry_burst=50, failover_burst=50)


def build_pairs(text):
    return [
        message.Pair(key=item.split('=')[0], value=item.split('=')[1])
        for item in text.split()
    ]


def build_instance(name, labels='', **fields):
    return message.InstanceView(
        name=name, address=f'{name}:1', labels=build_pairs(labels), **fields
    )


class CoreTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.view = view.View(zone='z1', delays={'z1': 3, 'z2': 3})
        self.core = request.RequestCore(
            name='e',
            view=self.view,
            policy=route_two_choice.TwoChoicePolicy(random=random.Random(1)),
            clock=self.clock,
            random=random.Random(1),
            limits=LIMITS,
        )
        self.count = 0

    def sync(self, *instances, workloads=(), full=False):
        now = self.clock.monotonic()
        reply = entry_fakes.build_sync(list(instances), workloads, full)
        self.view.apply(reply, sent_at=now, now=now)

    def submit(self, workload='price', key='', **fields):
        self.count += 1
        item = effect.Request(
            id=key or f'r{self.count}',
            workload=workload,
            timeout=clock.seconds(1),
            has_idempotency_key=bool(key),
            **fields,
        )
        self.last = item
        return self.core.submit(self.count, item)[-1]

    def reply(self, dispatch, code='', outcome='', **load):
        body = b'' if code else b'x'
        reply = entry_fakes.build_reply(
            dispatch.request_id, body, code, outcome, **load
        )
        effects = self.core.handle_reply(dispatch, reply)
        return effects[-1]

    def fail_dispatch(self, dispatch):
        error = errors.PeerError('lost', step='dispatch')
        return self.core.handle_dispatch_error(dispatch, error)[-1]

    def grant(self, claim):
        return self.core.handle_claim(claim, granted=True)[-1]


class TestRequests(CoreTestCase):
    def test_holder_name_is_not_reused_if_request_may_have_run(self):
        self.sync(build_instance('a'))
        claim = self.submit('recipe', key='k')
        revoke = self.fail_dispatch(self.grant(claim))
        response = self.core.handle_revoked(revoke, 'started')[-1].response
        self.assertEqual(errors.Outcome.UNKNOWN, response.error.outcome)
        self.clock.advance(clock.seconds(700))
        self.sync()
        retried = self.submit('recipe', key='k')
        self.assertNotEqual(claim.holder, retried.holder)

    def test_holder_name_is_reused_if_request_did_not_run(self):
        self.sync(build_instance('a'))
        claim = self.submit('recipe', key='k')
        response = self.reply(
            self.grant(claim), 'overload', 'not_run'
        ).response
        self.assertEqual(errors.Outcome.NOT_RUN, response.error.outcome)
        self.assertEqual(claim.holder, self.submit('recipe', key='k').holder)

    def test_attempts_are_limited(self):
        self.sync(*(build_instance(f'i{number}') for number in range(9)))
        item = self.submit()
        for _ in range(LIMITS.attempts - 1):
            item = self.reply(item, 'overload', 'not_run')
        response = self.reply(item, 'overload', 'not_run').response
        self.assertEqual('overload', response.error.code)

    def test_late_revocation_reply_is_ignored(self):
        self.sync(build_instance('a'), build_instance('b'))
        old = self.fail_dispatch(self.submit(key='k', idempotent=False))
        self.clock.advance(clock.seconds(2))
        self.core.tick()
        self.core._response_cache._drop('k')
        newer = self.fail_dispatch(self.submit(key='k'))
        self.assertEqual([], self.core.handle_revoked(old, 'not_run'))
        response = self.core.handle_revoked(newer, 'started')[-1].response
        self.assertEqual(errors.Outcome.UNKNOWN, response.error.outcome)

    def test_late_reply_to_an_earlier_submission_is_ignored(self):
        self.sync(build_instance('a'), build_instance('b'))
        old = self.submit(key='k', idempotent=True)
        self.clock.advance(clock.seconds(2))
        self.core.tick()
        newer = self.submit(key='k', idempotent=True)
        late = message.AdmitReply(
            request_id='k', code='overload', outcome='not_run'
        )
        self.assertEqual([], self.core.handle_reply(old, late))
        self.assertEqual(b'x', self.reply(newer).response.body)

    def test_retries_stay_within_their_budget(self):
        self.sync(*(build_instance(f'i{number}') for number in range(9)))
        self.core.budgets = budget.RetryBudgets(
            limits=request_state.Limits(retry_ratio=0.1, retry_burst=2)
        )
        sent = 0
        for _ in range(100):
            item = self.submit()
            while isinstance(item, effect.Dispatch):
                sent += 1
                item = self.reply(item, 'overload', 'not_run')
        self.assertIn(sent, range(110, 113))

    def test_callers_of_one_request_are_limited(self):
        self.sync(build_instance('a'))
        item = self.submit(key='k')
        joined = [
            self.core.submit(number, dataclasses.replace(self.last))
            for number in range(100, 105)
        ]
        limit = LIMITS.callers - 1
        self.assertEqual([[]] * limit, joined[:limit])
        for effects in joined[limit:]:
            self.assertEqual('overload', effects[0].response.error.code)
        effects = self.core.handle_reply(
            item, entry_fakes.build_reply('k', b'x')
        )
        self.assertEqual(LIMITS.callers, len(effects))

    def test_retry_after_view_renewal_is_within_the_budget(self):
        self.sync(build_instance('a'))
        item = self.submit()
        self.core.budgets = budget.RetryBudgets(
            limits=request_state.Limits(failover_burst=0)
        )
        response = self.reply(item, 'draining', 'not_run').response
        self.assertEqual('draining', response.error.code)

    def test_newer_revision_renews_the_view_before_the_retry(self):
        self.sync(build_instance('a'))
        item = self.reply(self.submit(), 'refused', 'not_run')
        self.assertIsInstance(item, effect.Resync)
        retried = self.core.handle_synced(item.request_id)[-1]
        self.assertEqual('a', retried.target.name)

    def test_request_without_a_lease_is_refused(self):
        self.sync(build_instance('a'))
        self.clock.advance(clock.seconds(4))
        error = self.submit().response.error
        self.assertEqual('lease_lapsed', error.code)
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)

    def test_incarnation_is_echoed(self):
        self.sync(build_instance('a'))
        self.reply(self.submit(), incarnation=9)
        self.assertEqual(9, self.submit().message.incarnation)


class TestRouting(CoreTestCase):
    def route(self, count=20, **fields):
        names = set()
        for _ in range(count):
            item = self.submit(**fields)
            names.add(item.target.name)
            self.reply(item)
        return names

    def test_selectors_and_sharing_rules_limit_candidates(self):
        workloads = [
            message.WorkloadView(
                name='liner',
                kind='service',
                labels=build_pairs('crew=bank'),
                runs_on='disk=ssd',
                shares_with='tier!=noisy',
            ),
            message.WorkloadView(
                name='survey', kind='batch', labels=build_pairs('tier=noisy')
            ),
            message.WorkloadView(
                name='watch', kind='watch', shares_with='crew!=bank'
            ),
        ]
        self.sync(
            build_instance('a', 'disk=ssd'),
            build_instance('b', 'disk=hdd'),
            build_instance('c', 'disk=ssd', beside=['survey']),
            build_instance('d', 'disk=ssd', beside=['watch']),
            workloads=workloads,
        )
        self.assertEqual({'a'}, self.route(workload='liner'))
        self.sync(
            build_instance('a', 'disk=hdd'), build_instance('c', 'disk=ssd')
        )
        self.assertEqual({'c'}, self.route(workload='liner'))

    def test_draining_instance_gets_no_new_requests(self):
        self.sync(build_instance('a'), build_instance('b'))
        self.assertEqual({'a', 'b'}, self.route())
        self.sync(build_instance('a', draining=True))
        self.assertEqual({'b'}, self.route())

    def test_instance_that_reports_draining_gets_no_new_requests(self):
        self.sync(build_instance('a'), build_instance('b'))
        while self.route(1) != {'a'}:
            continue
        for _ in range(20):
            item = self.submit()
            self.reply(item, draining=item.target.name == 'a')
        self.assertEqual({'b'}, self.route())

    def test_draining_report_expires(self):
        self.sync(build_instance('a'))
        self.reply(self.submit(), draining=True)
        resync = self.submit()
        self.clock.advance(clock.seconds(3.9))
        self.sync()
        self.clock.advance(clock.seconds(0.2))
        self.sync()
        self.assertEqual({'a'}, self.route())
        retried = self.core.handle_synced(resync.request_id)[-1]
        self.assertEqual('deadline', retried.response.error.code)

    def test_view_is_renewed_where_it_holds_no_instance(self):
        self.sync()
        resync = self.submit()
        self.sync(build_instance('a'))
        retried = self.core.handle_synced(resync.request_id)[-1]
        self.assertEqual('a', retried.target.name)

    def test_invalid_selector_affects_no_other_workload(self):
        bad = message.WorkloadView(name='bad', kind='service', runs_on='(((')
        self.sync(build_instance('a'), workloads=[bad])
        self.assertIsInstance(self.submit('bad'), effect.Resync)
        self.sync(build_instance('b'))
        self.assertEqual({'a', 'b'}, self.route())

    def test_missing_instance_is_removed_after_a_full_sync(self):
        self.sync(build_instance('a'), build_instance('b'))
        self.route()
        self.sync(build_instance('b'), full=True)
        self.assertEqual({'b'}, self.route())

    def test_remote_zone_is_used_when_local_zone_is_busy(self):
        self.sync(
            *(build_instance(f'l{number}', zone='z1') for number in range(3)),
            *(build_instance(f'f{number}', zone='z2') for number in range(3)),
        )
        local = {self.submit().target.zone for _ in range(12)}
        self.assertEqual({'z1'}, local)
        zones = [self.submit().target.zone for _ in range(30)]
        self.assertIn('z2', zones)

    def test_request_without_a_match_fails_immediately(self):
        held = message.WorkloadView(name='x', kind='service', held='broken')
        self.sync(workloads=[held])
        resync = self.submit()
        response = self.core.handle_synced(resync.request_id)[-1].response
        self.assertEqual('unavailable', response.error.code)
        self.assertEqual('refused', self.submit('x').response.error.code)
        self.assertEqual('not_found', self.submit('y').response.error.code)

    def test_request_is_refused_when_wait_exceeds_deadline(self):
        self.sync(build_instance('a', capacity=message.Capacity(slots=1)))
        self.clock.advance(clock.seconds(0))
        first = self.submit()
        self.clock.advance(clock.seconds(0.5))
        self.reply(first)
        items = [self.submit() for _ in range(40)]
        refused = [item for item in items if isinstance(item, effect.Respond)]
        self.assertThat(len(refused), matchers.GreaterThan(20))
        error = refused[0].response.error
        self.assertEqual(('overload', 1), (error.code, error.retry_after))


class TestHealth(CoreTestCase):
    def run_requests(self, count, fails):
        names = []
        for number in range(count):
            if number % 100 == 0:
                self.sync()
            item = self.submit(idempotent=True)
            while isinstance(item, effect.Dispatch):
                name = item.target.name
                names.append(name)
                if fails(name):
                    item = self.reply(item, 'internal', 'ran')
                else:
                    item = self.reply(item)
            self.clock.advance(clock.seconds(0.005))
        return names

    def test_failing_instance_is_quarantined_and_probed(self):
        self.sync(*(build_instance(f'i{number}') for number in range(5)))
        names = self.run_requests(100, lambda name: name == 'i0')
        self.assertThat(names.count('i0'), matchers.LessThan(10))
        names = self.run_requests(4000, lambda name: name == 'i0')
        self.assertIn(names.count('i0'), range(1, 20))
        self.assertTrue(self.view.targets['i0'].health.quarantined)
        names = self.run_requests(8000, lambda name: False)
        self.assertThat(names.count('i0'), matchers.GreaterThan(100))

    def test_breaker_opens_if_workload_fails_on_all_instances(self):
        self.sync(*(build_instance(f'i{number}') for number in range(5)))
        names = self.run_requests(100, lambda name: True)
        self.assertThat(len(names), matchers.LessThan(30))
        response = self.submit().response
        self.assertEqual('unavailable', response.error.code)
        self.clock.advance(clock.seconds(1))
        self.run_requests(1, lambda name: False)
        self.assertIsInstance(self.submit(), effect.Dispatch)

    def test_open_breaker_quarantines_no_instance(self):
        self.sync(*(build_instance(f'i{number}') for number in range(5)))
        for _ in range(60):
            self.run_requests(1, lambda name: True)
            self.clock.advance(clock.seconds(1))
        quarantined = [
            item.name
            for item in self.view.targets.values()
            if item.health.quarantined
        ]
        self.assertEqual([], quarantined)

    def test_quarantined_share_is_capped(self):
        self.sync(*(build_instance(f'i{number}') for number in range(4)))
        monitor = health.HealthMonitor(view=self.view)
        now = self.clock.monotonic()
        for item in self.view.targets.values():
            for _ in range(10):
                monitor.record_failure(item.name, item, now)
        quarantined = [
            item
            for item in self.view.targets.values()
            if item.health.quarantined
        ]
        self.assertThat(len(quarantined), matchers.LessThan(3))
