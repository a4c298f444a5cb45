"""Odd heartbeats and lists of workers.

Guards against a worker's odd entry that an agent takes and then can't send on,
or for which it no longer follows the sound ones (incident
``docs/incidents/odd-entries.md``).
"""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.platform import handlers
from bilberryhaven.platform import workers
from bilberryhaven import util
from bilberryhaven.workflow import supervision
from tests import odd
from tests import odd_leader

SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
FEW = hypothesis.settings(SETTINGS, max_examples=100)
RUN_ROW = ['w.0.0.0', 1, 'c', 40, 120]
END_ROW = [3, 'w.0.0.1', 1, 'done', '']
LISTS = {
    'clock_ms': 482113,
    'running': [RUN_ROW, ['w.0.0.2', 1, '', 0, 0]],
    'finished': [END_ROW, [4, 'w.0.0.3', 1, 'failed', '']],
    'born': odd_leader.BORN_MS,
}


class HeartbeatTest(odd_leader.OddEntryTest):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.leader = odd_leader.Leader()
        self.supervisor = supervision.RunSupervisor(agent='a')
        agent = type('Agent', (), {})()
        agent.handle_announcement = self.handle_announcement
        self.handle = handlers.build_worker_handler(agent)

    def handle_announcement(self, announcement):
        if self.supervisor.target is None:
            self.supervisor.follow(announcement)
        self.supervisor.handle_announcement(announcement)

    def beat(self, body, *, worker=odd_leader.WORKER):
        environ = {'PATH_INFO': f'/Instances.Heartbeat/{worker}'}
        return self.handle(environ, body)

    def poll(self):
        poll = self.supervisor.build_poll()
        self.leader.name_pool(poll.server.pool)
        reply = self.leader.gateway.send(
            poll, timeout=clocks.seconds(1), step='poll'
        )
        now = self.leader.clock.monotonic()
        self.supervisor.handle_poll_reply(reply, now, now)

    @SETTINGS
    @hypothesis.given(body=odd.draw_json(odd_leader.HEARTBEAT))
    def test_odd_heartbeat_is_rejected_or_can_be_followed(self, body):
        self.begin()
        if not self.check_response(self.beat(body)):
            self.assertIsNone(self.supervisor.target)
            return
        self.poll()
        self.leader.configure(json.dumps(odd_leader.CONFIGURATION).encode())
        self.leader.submit('/q/1', json.dumps(odd_leader.JOB).encode())
        self.leader.check_works()
        _, port = util.parse_address(self.supervisor.target.address)
        self.assertTrue(0 < port < 65_536)

    @FEW
    @hypothesis.given(body=st.sampled_from(odd.JSON_VALUES))
    def test_odd_heartbeat_leaves_the_worker_in_use(self, body):
        self.begin()
        sound = json.dumps(odd_leader.HEARTBEAT).encode()
        self.assertEqual(200, self.beat(sound).status)
        self.assertEqual(400, self.beat(body).status)
        odd_born = {**odd_leader.HEARTBEAT, 'sequence': 5, 'born': 2**63}
        self.assertEqual(400, self.beat(json.dumps(odd_born).encode()).status)
        self.assertEqual(
            odd_leader.BORN_MS, self.supervisor.target.state.born_ms
        )
        self.poll()

    def test_odd_ids_are_rejected(self):
        sound = json.dumps(odd_leader.HEARTBEAT).encode()
        for worker in ('', 'a b', 'a\r\nX: 1', 'ä', '\x00', 'x' * 5_000):
            response = self.beat(sound, worker=worker)
            self.assertFalse(self.check_response(response), worker[:20])

    def test_odd_ports_are_rejected(self):
        addresses = (
            '127.0.0.1:0',
            '127.0.0.1:65536',
            '127.0.0.1:99999',
            '127.0.0.1:' + '9' * 5_000,
            '127.0.0.1:²',
            '127.0.0.1:-1',
            '127.0.0.1',
            ':80',
            'no where:80',
        )
        for address in addresses:
            fields = {**odd_leader.HEARTBEAT, 'address': address}
            response = self.beat(json.dumps(fields).encode())
            self.assertFalse(self.check_response(response), address[:40])


class ListsTest(odd_leader.OddEntryTest):
    """Lists of a worker; its sound rows hold beside an odd one."""

    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.leader = odd_leader.Leader()
        self.supervisor = supervision.RunSupervisor(agent='a')
        self.announcement = workers.decode_heartbeat(
            odd_leader.WORKER, json.dumps(odd_leader.HEARTBEAT).encode()
        )
        self.supervisor.follow(self.announcement)
        self.leader.name_pool(self.announcement.state.pool)
        reply = self.leader.gateway.send(
            self.supervisor.build_poll(),
            timeout=clocks.seconds(1),
            step='poll',
        )
        self.now = self.leader.clock.monotonic()
        self.supervisor.handle_poll_reply(reply, self.now, self.now)

    def read(self, body):
        worker = workers.WorkerClient()
        worker._post = lambda *args, **kwargs: (200, body)
        return worker.hold(
            self.announcement, deadline_ms=1, epoch=1, acked=2, wait_ms=0
        )

    def follow(self, listing):
        report = self.supervisor.handle_listing(listing, 1, self.now, self.now)
        self.leader.gateway.send(
            report, timeout=clocks.seconds(1), step='report'
        )
        deadline = self.supervisor.grant_deadline(self.now)
        msgspec.msgpack.encode(deadline)
        self.supervisor.list_paces()

    @SETTINGS
    @hypothesis.given(body=odd.draw_json(LISTS))
    def test_odd_lists_are_rejected_or_can_be_followed(self, body):
        self.begin()
        try:
            listing = self.read(body)
        except errors.PeerError:
            return
        self.follow(listing)

    @SETTINGS
    @hypothesis.given(
        row=odd.draw_json(RUN_ROW) | st.sampled_from(odd.JSON_VALUES),
        place=st.sampled_from(('running', 'finished')),
    )
    def test_odd_row_leaves_the_others(self, row, place):
        try:
            msgspec.json.decode(row, type=msgspec.Raw)
        except msgspec.MsgspecError:
            # A row that is no JSON makes the whole text unreadable.
            hypothesis.reject()
        except RecursionError:
            hypothesis.assume(row in odd.JSON_VALUES[:2])
        self.begin()
        tree = {**LISTS, place: [odd.PLACE, *LISTS[place]]}
        body = json.dumps(tree).encode()
        listing = self.read(body.replace(b'"@odd@"', row))
        runs = [(item.run.task, item.run.number) for item in listing.running]
        self.assertEqual([('0.0.0', 1), ('0.0.2', 1)], runs[-2:])
        numbers = [item.number for item in listing.ends]
        self.assertEqual([3, 4], numbers[-2:])
        self.follow(listing)

    def test_present_run_with_an_odd_measurement_stays_present(self):
        for odd_value in (-1, 2**70, None, 'x', 1e300):
            rows = [['w.0.0.0', 1, '', odd_value, odd_value]]
            body = json.dumps({**LISTS, 'running': rows}).encode()
            (row,) = self.read(body).running
            self.assertEqual('0.0.0', row.run.task)

    def test_end_with_a_number_too_large_hides_no_later_end(self):
        rows = [[2**50, 'w.0.0.5', 1, 'done', ''], END_ROW]
        body = json.dumps({**LISTS, 'finished': rows}).encode()
        self.assertEqual([3], [end.number for end in self.read(body).ends])

    def test_names_that_are_no_tasks_are_left_out(self):
        names = ('', 'w', 'w.0.0', 'w.0.0.x', '.0.0.0', 'w.0.0.0.0', 'ä.0.0.0')
        rows = [[name, 1, '', 0, 0] for name in names]
        body = json.dumps({**LISTS, 'running': rows}).encode()
        self.assertEqual([], self.read(body).running)

    def test_refused_call_is_not_repeated_for_ever(self):
        worker = workers.WorkerClient()
        worker._post = lambda *args, **kwargs: (400, b'')
        run = workflow_commands.RunRef('w', '0.0.0', 1)
        error = self.assertRaises(
            errors.BilberryhavenError,
            worker.stop_run,
            self.announcement,
            run,
            epoch=1,
        )
        self.assertNotIsInstance(error, errors.PeerError)
