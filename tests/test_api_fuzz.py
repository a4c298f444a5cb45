"""Stateful fuzzing of operators' changes against a simple model."""

import json

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies

from bilberryhaven.control import api
from bilberryhaven import tables
from tests import test_api

NAMES = strategies.sampled_from(['a', 'b'])
KEYS = strategies.sampled_from(['x', 'y'])
VALUES = strategies.none() | strategies.sampled_from(['1', '2'])
# Expected version: not checked, no such target, the current, an older one.
EXPECT = strategies.sampled_from(['any', 'absent', 'current', 'older'])


class ChangeMachine(stateful.RuleBasedStateMachine):
    """Concurrent and repeated changes and reads, across restarts."""

    def __init__(self):
        super().__init__()
        self.ctx = test_api.FakeContext()
        self.oracle = {}
        self.accepted = 0
        self.requests = []

    def call(self, method, path, body):
        data = json.dumps(body).encode()
        status, answer = api.handle(self.ctx, method, path, '', data, 'op')
        answer = json.loads(answer)
        answer.pop('current', None)
        return status, answer

    def get_version(self, name):
        return self.oracle.get(name, (0, {}))[0]

    def choose_expect(self, name, choice):
        version = self.get_version(name)
        versions = {'any': -1, 'absent': 0, 'current': version}
        return versions.get(choice, max(version - 1, 0))

    def change(self, method, path, body, name, labels):
        """Send a change and compare the response with the oracle's."""
        body = {**body, 'change_id': f'c{len(self.requests)}'}
        answer = self.call(method, path, body)
        self.requests.append((method, path, body, answer))
        version = self.get_version(name)
        if body['expect'] not in (-1, version):
            assert answer[0] == 409, answer
        elif labels is None:
            assert answer[0] == 404, answer
        else:
            self.accepted += 1
            self.oracle[name] = (version + 1, labels)
            assert answer[1]['version'] == version + 1, answer
            assert answer[1]['revision'] == self.accepted, answer

    @stateful.rule(name=NAMES, value=VALUES, choice=EXPECT)
    def declare(self, name, value, choice):
        labels = {} if value is None else {'x': value}
        body = {
            'kind': 'batch',
            'labels': labels,
            'expect': self.choose_expect(name, choice),
        }
        self.change('PUT', f'/v1/workloads/{name}', body, name, labels)

    @stateful.rule(name=NAMES, key=KEYS, value=VALUES, choice=EXPECT)
    def label(self, name, key, value, choice):
        body = {
            'labels': {key: value},
            'expect': self.choose_expect(name, choice),
        }
        labels = None
        if name in self.oracle:
            labels = {**self.oracle[name][1], key: value}
            labels = {k: v for k, v in labels.items() if v is not None}
        path = f'/v1/workloads/{name}/labels'
        self.change('PATCH', path, body, name, labels)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=strategies.data())
    def resend(self, data):
        method, path, body, first = data.draw(
            strategies.sampled_from(self.requests)
        )
        status, answer = self.call(method, path, body)
        assert status == first[0]
        if status == 200:
            assert answer == first[1]
        else:
            assert answer['code'] == first[1]['code']

    @stateful.rule()
    def restart_from_snapshot(self):
        state = tables.State()
        state.load(self.ctx.state.dump())
        self.ctx.state = state

    @stateful.invariant()
    def reads_back(self):
        assert self.ctx.state.revision == self.accepted
        for name, (version, labels) in self.oracle.items():
            _, row = self.call('GET', f'/v1/workloads/{name}', None)
            assert (row['version'], row['labels']) == (version, labels)


TestChangeMachine = ChangeMachine.TestCase
TestChangeMachine.settings = hypothesis_settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
)
