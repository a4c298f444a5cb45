"""Odd bodies of callers and operators of the project's own API.

Guards against an accepted entry that later makes each listing fail (incident
``docs/incidents/odd-entries.md``).
"""

import json

import hypothesis
from hypothesis import strategies as st
import testtools

from bilberryhaven.control import api
from tests import odd
from tests import test_api

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
# Bodies by method and path.
BODIES = (
    (
        'PUT',
        '/v1/workloads/odd',
        {
            'kind': 'batch',
            'labels': {'a': 'b'},
            'runs_on': 'a=b',
            'resources': {'cpu': 1.0, 'memory_mb': 10},
            'run_seconds': 5,
            'expect': 0,
        },
    ),
    ('PATCH', '/v1/workloads/survey/labels', {'labels': {'a': 'b'}}),
    ('PATCH', '/v1/workloads/survey/selectors', {'runs_on': 'a=b'}),
    ('PATCH', '/v1/instances/i1/labels', {'labels': {'a': 'b'}, 'expect': -1}),
    ('PUT', '/v1/teams/t', {'quota': 1, 'weight': 1.0}),
    (
        'POST',
        '/v1/jobs',
        {'workload': 'survey', 'id': 'odd', 'payload': {'a': 1}},
    ),
    ('DELETE', '/v1/jobs', {'ids': ['odd']}),
    ('POST', '/v1/instances/i1/drain', {'draining': True, 'expect': -1}),
    ('POST', '/v1/members', {'name': 'c2', 'address': '127.0.0.1:7070'}),
)
READS = (
    '/v1/workloads',
    '/v1/instances',
    '/v1/jobs',
    '/v1/members',
    '/v1/jobs/sound',
    '/v1/history/survey',
)
# Payloads are nested as their callers like, up to what can be written again.
DEPTHS = (100, 500, 800, 900, 950, 980, 990, 1_000, 1_100, odd.DEEP)


class OddApiTest(testtools.TestCase):
    def begin(self):
        case = test_api.ApiTestCase()
        case.ctx = test_api.FakeContext()
        self.ctx = case.ctx
        case.open_session()
        case.declare()
        case.call(
            'POST',
            '/v1/jobs',
            {'workload': 'survey', 'id': 'sound'},
            status=201,
        )

    def check(self, method, path, body):
        self.begin()
        status, answer = api.handle(self.ctx, method, path, '', body, 'op')
        if status >= 300:
            self.assertTrue(400 <= status < 500, answer[:300])
            self.assertTrue(json.loads(answer)['code'])
            self.assertTrue(len(answer) < 5_000, len(answer))
        for read in READS:
            status, answer = api.handle(self.ctx, 'GET', read, '', b'', 'op')
            self.assertEqual(200, status, (read, answer[:300]))
            json.loads(answer)

    @SETTINGS
    @hypothesis.given(data=st.data())
    def test_odd_body_is_rejected_or_can_be_read_back(self, data):
        method, path, tree = data.draw(st.sampled_from(BODIES))
        self.check(method, path, data.draw(odd.draw_json(tree)))

    def test_each_field_with_each_odd_value(self):
        for method, path, tree in BODIES:
            for place in odd.list_paths(tree):
                marked = odd.replace(tree, place, odd.PLACE)
                text = json.dumps(marked).encode()
                for value in odd.JSON_VALUES:
                    mark = json.dumps(odd.PLACE).encode()
                    self.check(method, path, text.replace(mark, value))

    def test_nested_payload_is_rejected_or_can_be_read_back(self):
        for depth in DEPTHS:
            payload = b'[' * depth + b']' * depth
            body = b'{"workload":"survey","id":"odd","payload":%s}' % payload
            self.check('POST', '/v1/jobs', body)
