"""Tests of the leader's JSON API with real tables and commands."""

import contextlib
import json

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import testtools

from bilberryhaven import clock
from bilberryhaven import commands
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven.control import api
from bilberryhaven.control import context
from bilberryhaven import errors
from bilberryhaven import settings
from bilberryhaven import tables
from bilberryhaven.tables import instance
from bilberryhaven.workflow import zone_orders


class FakeContext(context.Context):
    """Applies commands synchronously to one copy of the tables."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.state = tables.State()
        self.settings = settings.Settings(zones=[settings.Zone(name='a')])
        self.nodes = []
        self.members = [{'name': 'c1', 'address': '127.0.0.1:1'}]
        self.zone_orders = zone_orders.ZoneOrders(
            clock=self.clock, zones=['a']
        )

    @contextlib.contextmanager
    def read(self):
        yield self.state

    def propose(self, command, *, term=0):
        result = commands.apply(
            self.state, commands.decode(commands.encode(command))
        )
        if isinstance(result, Exception):
            raise result
        return result

    def list_nodes(self):
        return self.nodes

    def list_members(self):
        return self.members

    def change_members(self, *, add=None, remove=None):
        if add:
            self.members.append({'name': add[0], 'address': add[1]})
        self.members = [m for m in self.members if m['name'] != remove]

    def get_load(self, instance):
        return None


class LostLeaderContext(FakeContext):
    """Commits a change, but loses leadership before that is known."""

    def propose(self, command):
        super().propose(command)
        raise errors.PeerError(
            'leadership was lost before the entry was committed',
            step='commit',
            outcome=errors.Outcome.UNKNOWN,
        )


class ApiTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ctx = FakeContext()

    def call(self, method, path, body=None, query='', status=200):
        data = b'' if body is None else json.dumps(body).encode()
        got, answer = api.handle(self.ctx, method, path, query, data, 'op')
        answer = json.loads(answer)
        self.assertEqual(status, got, answer)
        return answer

    def declare(self, name='survey', kind='batch', **fields):
        path = f'/v1/workloads/{name}'
        return self.call('PUT', path, {'kind': kind, **fields})

    def open_session(self, name='i1', **labels):
        self.ctx.propose(
            session.OpenSession(
                name=name,
                zone='a',
                rack='r',
                address='127.0.0.1:1',
                labels=labels,
                capacity=instance.Capacity(),
                at=self.ctx.clock.wall(),
            )
        )

    def hold_lease(self, name, revision, seconds=4, role='agent'):
        node = context.NodeStatus(
            name=name,
            role=role,
            revision=revision,
            lease_end=self.ctx.clock.monotonic() + clock.seconds(seconds),
        )
        self.ctx.nodes.append(node)
        return node


class TestChanges(ApiTestCase):
    def test_declared_workload_can_be_read(self):
        answer = self.declare(runs_on='zone=a', labels={'tier': 'x'})
        self.assertEqual((1, 1), (answer['revision'], answer['version']))
        got = self.call('GET', '/v1/workloads/survey')
        self.assertEqual(('zone=a', 'batch'), (got['runs_on'], got['kind']))

    def test_conflicting_change_returns_the_current_row(self):
        self.declare()
        path = '/v1/workloads/survey/labels'
        self.call('PATCH', path, {'labels': {'a': '1'}, 'expect': 1})
        error = self.call(
            'PATCH', path, {'labels': {'a': '2'}, 'expect': 1}, status=409
        )
        self.assertEqual('conflict', error['code'])
        self.assertEqual({'a': '1'}, error['current']['labels'])
        self.assertIn('version 2, not 1', error['message'])

    def test_repeated_change_gets_the_first_response(self):
        path = '/v1/workloads/survey'
        body = {'kind': 'batch', 'change_id': 'x', 'expect': 0}
        first = self.call('PUT', path, body)
        self.assertEqual(first, self.call('PUT', path, body))
        self.assertEqual(1, self.ctx.state.revision)

    def test_change_id_used_for_another_change_is_refused(self):
        body = {'kind': 'batch', 'change_id': 'x'}
        self.call('PUT', '/v1/workloads/survey', body)
        self.call('PUT', '/v1/workloads/other', body, status=409)

    def test_idempotency_key_replaces_the_change_id(self):
        path = '/v1/workloads/survey'
        body = {'kind': 'batch', 'expect': 0}
        first = self.call('PUT', path, body, 'idempotency_key=k')
        self.assertEqual('k', first['change_id'])
        self.assertEqual(
            first, self.call('PUT', path, body, 'idempotency_key=k')
        )
        self.call('PUT', path, body, 'idempotency_key=a/b', status=400)

    def test_history_names_the_author(self):
        self.declare(by='amal')
        got = self.call('GET', '/v1/history/survey')['changes']
        self.assertEqual(['amal via op'], [row['by'] for row in got])
        path = '/v1/history/workload/survey'
        self.assertEqual(got, self.call('GET', path)['changes'])
        self.call('GET', '/v1/history/none', status=404)

    def test_history_shows_all_declared_fields(self):
        self.declare(team='ponds', repeatable=False)
        (row,) = self.call('GET', '/v1/history/survey')['changes']
        shown = row['fields']
        self.assertEqual(
            ('ponds', 'false'), (shown['team'], shown['repeatable'])
        )
        self.assertIn('slots=1,', shown['resources'])

    def test_error_names_the_invalid_field(self):
        cases = [
            ({'kind': 'batch', 'resources': {'slots': 0}}, 'resources.slots'),
            ({'kind': 'batch', 'runs_on': 'a=('}, '$.runs_on'),
            ({'kind': 'batch', 'colour': 1}, 'colour'),
            ({'kind': 'nap'}, 'expected one of service, batch, watch'),
        ]
        for body, path in cases:
            error = self.call('PUT', '/v1/workloads/w', body, status=400)
            self.assertIn(path, error['message'])
        self.assertEqual(0, self.ctx.state.revision)

    def test_reserved_labels_cannot_be_set(self):
        self.open_session()
        path = '/v1/instances/i1/labels'
        self.call('PATCH', path, {'labels': {'zone': 'b'}}, status=400)
        self.declare()
        path = '/v1/workloads/survey/labels'
        self.call('PATCH', path, {'labels': {'kind': 'x'}}, status=400)
        body = {'kind': 'batch', 'labels': {'team': 'x'}}
        self.call('PUT', '/v1/workloads/other', body, status=400)

    def test_drain_marks_the_instance(self):
        self.open_session()
        self.call('POST', '/v1/instances/i1/drain', {})
        zones = self.call('GET', '/v1/zones')['zones']
        self.assertEqual([1], [zone['draining'] for zone in zones])


class TestInForce(ApiTestCase):
    def test_change_is_in_force_once_each_live_node_holds_it(self):
        self.open_session()
        self.declare()
        self.assertEqual(['i1'], self.call('GET', '/v1/in-force')['behind'])
        self.hold_lease('i1', revision=0)
        self.hold_lease('e1', revision=1, role='entry')
        self.assertFalse(self.call('GET', '/v1/in-force')['in_force'])
        self.ctx.clock.advance(clock.seconds(4))
        self.assertTrue(self.call('GET', '/v1/in-force')['in_force'])

    def test_response_tells_whether_change_is_in_force(self):
        node = self.hold_lease('e1', revision=0, role='entry')
        body = {'kind': 'batch'}
        query = 'wait=in-force&wait_seconds=1'
        path = '/v1/workloads/w'
        self.assertFalse(self.call('PUT', path, body, query)['in_force'])
        node.revision = 2
        self.assertTrue(self.call('PUT', path, body, query)['in_force'])

    def test_revision_that_does_not_exist_is_not_in_force(self):
        got = self.call('GET', '/v1/in-force', query='revision=9')
        self.assertFalse(got['in_force'])


class TestJobs(ApiTestCase):
    def test_repeated_submit_returns_the_same_job(self):
        self.declare()
        body = {'workload': 'survey', 'payload': {'pond': 3}, 'id': 'j'}
        first = self.call('POST', '/v1/jobs', body, status=201)
        self.ctx.clock.advance(clock.seconds(1))
        self.assertEqual(first, self.call('POST', '/v1/jobs', body))
        body['payload'] = {'pond': 4}
        self.call('POST', '/v1/jobs', body, status=409)

    def test_large_payload_is_refused(self):
        self.declare()
        body = {'workload': 'survey', 'payload': 'x' * 300_000}
        error = self.call('POST', '/v1/jobs', body, status=400)
        self.assertIn('payload: 300000 bytes', error['message'])

    def test_cancel_of_many_jobs_is_idempotent(self):
        self.declare()
        ids = [f'j{number}' for number in range(50)]
        for job_id in ids:
            body = {'workload': 'survey', 'id': job_id}
            self.call('POST', '/v1/jobs', body, status=201)
        for _ in range(2):
            got = self.call('DELETE', '/v1/jobs', {'ids': [*ids, 'none']})
            self.assertEqual({'cancelled', ''}, set(got['states'].values()))
        got = self.call('GET', '/v1/jobs', query='state=cancelled&limit=3')
        self.assertEqual((50, 3), (got['total'], len(got['jobs'])))

    def test_pending_job_lists_unmet_requirements(self):
        self.declare(runs_on='gpu', resources={'memory_mb': 10**9})
        self.open_session()
        self.open_session('i2', gpu='yes')
        body = {'workload': 'survey', 'id': 'j'}
        self.call('POST', '/v1/jobs', body, status=201)
        rows = self.call('GET', '/v1/explain/j')['rows']
        self.assertEqual(
            ['runs_on', 'resources'], [row['verdict'] for row in rows]
        )
        self.assertIn('memory_mb', rows[1]['reason'])

    def test_instance_lists_services_and_closed_reasons(self):
        self.declare('check', kind='service', runs_on='zone=a')
        self.declare('other', kind='service', runs_on='zone=b')
        self.open_session()
        self.ctx.propose(
            session.QuarantineInstance(name='i1', reason='fails all')
        )
        got = self.call('GET', '/v1/explain/i1')
        self.assertIn('quarantined: fails all', got['summary'])
        self.assertIn('Services that may run here: check.', got['notes'])

    def test_workload_reports_exhausted_quota(self):
        self.call('PUT', '/v1/teams/ponds', {'quota': 1})
        self.declare(team='ponds', resources={'slots': 2})
        self.open_session()
        notes = self.call('GET', '/v1/explain/survey')['notes']
        self.assertIn('holds 0 of its quota of 1 slots', notes[0])

    def test_running_job_shows_the_reason_of_its_placement(self):
        self.declare(runs_on='zone=a')
        self.open_session()
        self.call(
            'POST', '/v1/jobs', {'workload': 'survey', 'id': 'j'}, status=201
        )
        grant = job_commands.Grant(
            job_id='j', instance='i1', session=1, reason='most free slots'
        )
        now = self.ctx.clock.wall()
        self.ctx.propose(job_commands.GrantJobs(grants=[grant], at=now))
        got = self.call('GET', '/v1/explain/j')
        self.assertIn('on i1: most free slots', got['summary'])
        self.assertIn("runs_on 'zone=a' matches i1.", got['notes'])


class TestRouting(ApiTestCase):
    def test_lost_leadership_raises_not_leader_error(self):
        def propose(command):
            raise errors.NotLeaderError('gone', step='propose', peer='b')

        self.ctx.propose = propose
        error = self.assertRaises(errors.NotLeaderError, self.declare)
        self.assertEqual('b', error.peer)

    def test_unknown_paths_and_methods_return_error_codes(self):
        error = self.call('GET', '/v1/nowhere', status=404)
        self.assertEqual('not_found', error['code'])
        error = self.call('POST', '/v1/workloads', status=405)
        self.assertEqual('bad_method', error['code'])
        keys = {'code', 'message', 'step', 'peer', 'outcome', 'request_id'}
        self.assertEqual(keys, set(error))
        self.call('GET', '/v1/jobs', query='limit=-1', status=400)

    def test_members_are_added_and_removed(self):
        body = {'name': 'c2', 'address': '127.0.0.1:2'}
        self.assertEqual(
            2, len(self.call('POST', '/v1/members', body)['members'])
        )
        self.assertEqual(
            1, len(self.call('DELETE', '/v1/members/c1')['members'])
        )
        self.call('POST', '/v1/members', {**body, 'address': 'x'}, status=400)

    @hypothesis_settings(derandomize=True, database=None, deadline=None)
    @given(data=strategies.data())
    def test_no_body_breaks_a_handler(self, data):
        method, pattern, _ = data.draw(
            strategies.sampled_from(api.list_routes())
        )
        segments = [
            data.draw(strategies.sampled_from(['w', '%00', 'c1', '..']))
            if part.startswith('{')
            else part
            for part in pattern
        ]
        path = '/' + '/'.join(segments)
        leaves = (
            strategies.none()
            | strategies.integers()
            | (strategies.sampled_from(['', 'w', 'zone=a', 'batch', '\x00']))
        )
        fields = strategies.sampled_from(
            [
                'kind',
                'labels',
                'workload',
                'payload',
                'ids',
                'expect',
                'id',
                'quota',
                'address',
                'name',
                'runs_on',
            ]
        )
        trees = strategies.recursive(
            leaves,
            lambda kids: (
                strategies.lists(kids, max_size=3)
                | strategies.dictionaries(fields, kids, max_size=5)
            ),
            max_leaves=8,
        )
        body = data.draw(
            strategies.binary(max_size=20)
            | trees.map(lambda tree: json.dumps(tree).encode())
        )
        status, answer = api.handle(
            FakeContext(), method, path, '', body, 'op'
        )
        self.assertLess(status, 500, answer)
        json.loads(answer)


class TestLostLeadership(testtools.TestCase):
    """The process that relays a call resolves an unknown commit."""

    def put(self, ctx, body):
        return api.handle(
            ctx,
            'PUT',
            '/v1/workloads/w',
            'idempotency_key=c1',
            json.dumps(body).encode(),
            'test',
        )

    def test_unknown_outcome_of_a_commit_is_raised(self):
        ctx = LostLeaderContext()
        body = {'kind': 'batch'}
        error = self.assertRaises(errors.PeerError, self.put, ctx, body)
        self.assertEqual(errors.Outcome.UNKNOWN, error.outcome)

    def test_resent_change_returns_the_first_response(self):
        ctx = LostLeaderContext()
        body = {'kind': 'batch', 'expect': 0}
        self.assertRaises(errors.PeerError, self.put, ctx, body)
        successor = FakeContext()
        successor.state = ctx.state
        status, answer = self.put(successor, body)
        self.assertEqual((200, 1), (status, json.loads(answer)['revision']))
