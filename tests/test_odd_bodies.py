"""Odd bodies and headers of callers and operators.

Guards against a request that fails without a code, or that is accepted and
stops the scheduler (incident ``docs/incidents/odd-entries.md``).
"""

import json

import hypothesis

from bilberryhaven import clock as clocks
from bilberryhaven.entry import api as entry_api
from bilberryhaven import errors
from bilberryhaven.platform import workers
from bilberryhaven.workflow import message
from tests import odd
from tests import odd_leader

SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
FEW = hypothesis.settings(SETTINGS, max_examples=100)


class CallerTest(odd_leader.OddEntryTest):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.leader = odd_leader.Leader()
        self.leader.configure(json.dumps(odd_leader.CONFIGURATION).encode())
        heartbeat = workers.decode_heartbeat(
            odd_leader.WORKER, json.dumps(odd_leader.HEARTBEAT).encode()
        )
        self.leader.gateway.send(
            message.Poll(agent='a', server=heartbeat.state, sequence=1),
            timeout=clocks.seconds(1),
            step='poll',
        )

    def check_others(self):
        sound = json.dumps({'spec': '', 'steps': [{'task_count': 1}]})
        response = self.leader.submit('/q/other', sound.encode())
        self.assertEqual(200, response.status, response.body)
        self.leader.check_works()

    @SETTINGS
    @hypothesis.given(body=odd.draw_json(odd_leader.JOB))
    def test_odd_job_is_rejected_or_runs(self, body):
        self.begin()
        response = self.leader.submit('/q/1', body)
        if response.status not in (429, 503):
            self.check_response(response)
        self.check_others()

    def test_odd_deadlines_are_bounded(self):
        body = json.dumps(odd_leader.JOB).encode()
        for text in (
            '9' * 400,
            '1' + '0' * 30,
            '²',
            '-1',
            'x',
            '',
            '0',
            '1_0',
        ):
            response = self.leader.submit(
                '/q/1', body, HTTP_X_DEADLINE_MS=text
            )
            self.assertEqual(200, response.status, text[:20])

    def test_odd_paths_are_rejected(self):
        for path in ('/q/' + 'x' * 5_000, '/q/a b', '/q/\x00', '/q/ÿ', '/'):
            for method in ('GET', 'POST', 'DELETE'):
                response = self.leader.call(
                    self.leader.callers,
                    method,
                    path,
                    json.dumps(odd_leader.JOB).encode(),
                )
                self.assertTrue(400 <= response.status < 500, path[:20])

    @FEW
    @hypothesis.given(
        body=odd.draw_json({'workload': 'w', 'body': 1, 'deadline_ms': 5})
    )
    def test_odd_request_is_rejected_or_has_a_bounded_time(self, body):
        try:
            request = entry_api.parse_request('key', body)
        except errors.BilberryhavenError as error:
            self.assertEqual(400, error.status)
            return
        self.assertTrue(request.timeout <= clocks.seconds(120))


class OperatorTest(odd_leader.OddEntryTest):
    @SETTINGS
    @hypothesis.given(body=odd.draw_json(odd_leader.CONFIGURATION))
    def test_odd_configuration_is_rejected_or_in_force(self, body):
        leader = odd_leader.Leader()
        sound = json.dumps({**odd_leader.CONFIGURATION, 'version': 1}).encode()
        self.assertEqual(200, leader.configure(sound).status)
        self.check_response(leader.configure(body))
        answer = leader.call(leader.operators, 'GET', '/Config.Get')
        self.assertEqual(200, answer.status)
        json.loads(answer.body)
        leader.submit('/q/1', json.dumps(odd_leader.JOB).encode())
        leader.check_works()

    def test_unreadable_part_that_is_not_used_is_rejected(self):
        leader = odd_leader.Leader()
        body = json.dumps({**odd_leader.CONFIGURATION, 'limits': 'x'}).encode()
        for raw in (b'"\xff"', b'[' * odd.DEEP + b']' * odd.DEEP):
            response = leader.configure(body.replace(b'"x"', raw))
            self.assertEqual(400, response.status)

    def test_odd_orders_on_zones_are_rejected(self):
        leader = odd_leader.Leader()
        for zone in ('', 'x' * 5_000, '\x00', 'ÿ', '../..'):
            response = leader.call(
                leader.operators, 'POST', f'/Evacuation.Start/{zone}'
            )
            self.assertTrue(400 <= response.status < 500, zone[:20])
