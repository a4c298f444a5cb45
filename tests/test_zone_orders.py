"""Orders on zones that were held up on their way, from end to end.

The listener, the relay between instances and the leader each add what they
can't exclude to the age of an order.
"""

import contextlib
import http.client
import socket
import threading
import time

import msgspec
import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.platform import handlers
from bilberryhaven.tables import zone
from bilberryhaven import util
from bilberryhaven.wire import client
from bilberryhaven.wire import codec
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from tests import relays
from tests import test_workflow_dispatcher

ZONE = 'north'
TIMEOUT = 10
START = f'/Evacuation.Start/{ZONE}'
END = f'/Evacuation.End/{ZONE}'
# Longer than a listener can be unaware that no connection waits.
PAUSE_SECONDS = 1.2


class ZoneOrdersTest(test_workflow_dispatcher.DispatcherTest):
    """The leader's part, by a clock that advances on request."""

    def build_leader(self):
        leader = dispatcher.Dispatcher(
            replica=self.replica,
            machine=self.machine,
            clock=self.clock,
            options=options.Options(max_poll_wait=clocks.seconds(0.01)),
            zones=[ZONE],
        )
        self.addCleanup(leader.stop)
        return leader

    def order(self, kind, age=0.0):
        """Give an order that may have been sent ``age`` seconds ago."""
        self.advance(0.01)
        request = wire_message.WorkRequest(
            body=message.encode(kind(zone=ZONE))
        )
        sent_after = self.clock.monotonic() - clocks.seconds(age)
        request.note_received(sent_after)
        return self.leader.handle(request)

    def check_rejected(self, kind, age):
        error = self.assertRaises(
            errors.OutdatedError, self.order, kind, age=age
        )
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)
        self.assertIsNotNone(error.retry_after)

    def is_withdrawn(self):
        return self.state.zones.is_withdrawn(ZONE)

    def give_orders(self):
        self.order(message.Withdraw)
        self.advance(5)
        self.order(message.Restore)
        self.advance(5)
        self.order(message.Withdraw)

    def test_late_order_does_not_undo_a_later_one(self):
        # An order to restore a zone that was held up took back a later
        # withdrawal.
        self.give_orders()
        self.advance(4)
        self.check_rejected(message.Restore, age=5)
        self.assertTrue(self.is_withdrawn())
        self.assertEqual(1, self.leader.zone_orders.outdated)

    def test_newer_order_is_carried_out(self):
        self.give_orders()
        self.advance(4)
        self.order(message.Restore, age=3.9)
        self.assertFalse(self.is_withdrawn())

    def test_late_order_that_changes_nothing_is_acknowledged(self):
        self.give_orders()
        self.order(message.Withdraw, age=60)
        self.assertTrue(self.is_withdrawn())

    def test_repeated_order_is_the_last_one_too(self):
        self.order(message.Withdraw)
        self.advance(5)
        self.order(message.Withdraw)
        self.advance(1)
        self.check_rejected(message.Restore, age=3)

    def test_first_order_on_a_zone_may_be_old(self):
        self.order(message.Withdraw, age=60)
        self.assertTrue(self.is_withdrawn())

    def test_next_leader_takes_its_term_for_the_last_order(self):
        self.give_orders()
        self.replica.term += 1
        self.advance(2)
        self.leader.ensure_ready()
        self.advance(1)
        self.check_rejected(message.Restore, age=1.5)
        self.order(message.Restore, age=0.5)
        self.assertFalse(self.is_withdrawn())

    def test_restart_from_a_snapshot_keeps_the_order(self):
        self.give_orders()
        snapshot = self.machine.dump()
        self.advance(2)
        self.machine.load(snapshot)
        self.leader = self.build_leader()
        self.check_rejected(message.Restore, age=1)
        self.advance(1)
        self.order(message.Restore, age=0.5)

    def test_step_of_the_time_of_day_changes_nothing(self):
        for step in (-3600, 3600):
            self.give_orders()
            self.advance(4)
            self.clock.step_wall(clocks.seconds(step))
            self.check_rejected(message.Restore, age=5)
            self.order(message.Restore, age=3)

    def test_order_waits_for_the_commit_of_another_one(self):
        # Checked before the other one's commit, it would be carried out after.
        self.give_orders()
        self.advance(1)
        propose, outcomes, threads = self.replica.propose, [], []

        def order_late():
            try:
                self.order(message.Restore, age=0.5)
            except errors.BilberryhavenError as error:
                outcomes.append(type(error))

        def propose_beside(data, **fields):
            self.replica.propose = propose
            late = threading.Thread(target=order_late)
            threads.append(late)
            late.start()
            self.advance(0.1)
            late.join(0.1)
            self.assertTrue(late.is_alive())
            return propose(data, **fields)

        self.replica.propose = propose_beside
        self.order(message.Withdraw)
        threads[0].join(TIMEOUT)
        self.assertEqual([errors.OutdatedError], outcomes)
        self.assertTrue(self.is_withdrawn())

    def test_order_checked_in_an_earlier_term_is_not_committed(self):
        self.give_orders()
        self.advance(4)
        read = self.leader.read

        @contextlib.contextmanager
        def read_and_lose_leadership():
            with read() as state:
                yield state
            self.replica.term += 1

        self.leader.read = read_and_lose_leadership
        self.assertRaises(errors.NotLeaderError, self.order, message.Restore)
        self.assertTrue(self.is_withdrawn())


class RelayTest(relays.RelayTestCase):
    """Control instances and a leader, each with a listener of its own."""

    zones = (ZONE,)

    def build_handler(self, leader_gateway):
        return handlers.build_operator_handler(leader_gateway)

    def send(self, path, connection):
        connection.request('POST', path)
        response = connection.getresponse()
        response.read()
        return response

    def order(self, path, relay=1):
        """Give an order on new connections until it is acknowledged."""
        until = time.monotonic() + TIMEOUT
        while time.monotonic() < until:
            if self.send(path, self.connect(relay)).status == 200:
                return
            time.sleep(0.05)
        self.fail(f'{path} was not acknowledged')

    def is_withdrawn(self):
        return self.machine.state.zones.is_withdrawn(ZONE)

    def test_order_on_a_connection_older_than_the_last_order(self):
        # Held up on an open connection, it took back a later withdrawal.
        self.order(START)
        held_up = self.connect()
        self.order(END)
        self.order(START)
        response = self.send(END, held_up)
        self.assertEqual(
            (503, 'close'),
            (response.status, response.getheader('Connection')),
        )
        self.assertIsNotNone(response.getheader('Retry-After'))
        self.assertTrue(self.is_withdrawn())
        self.order(END, relay=0)
        self.assertFalse(self.is_withdrawn())

    def test_kept_connection_is_as_new_as_its_last_answer(self):
        kept = self.connect()
        self.assertEqual(200, self.send(START, kept).status)
        time.sleep(PAUSE_SECONDS)
        self.assertEqual(404, self.send('/nothing', kept).status)
        time.sleep(PAUSE_SECONDS)
        # The connection between the instances has been idle meanwhile.
        self.assertEqual(200, self.send(END, kept).status)
        self.assertFalse(self.is_withdrawn())

    def test_order_held_up_between_the_instances(self):
        self.order(START)
        relay = wire_message.WorkRequest(
            body=message.encode(message.Restore(zone=ZONE))
        )
        relay.note_sending(self.clock.monotonic(), self.clock.monotonic())
        host, port = util.parse_address(self.internal.address)
        held_up = socket.create_connection((host, port), timeout=TIMEOUT)
        self.addCleanup(held_up.close)
        self.order(END)
        self.order(START)
        connection = http.client.HTTPConnection(host, port)
        connection.sock = held_up
        connection.request('POST', client.MESSAGE_PATH, codec.encode(relay))
        reply = codec.decode(connection.getresponse().read())
        self.assertEqual(errors.OutdatedError.code, reply.code)
        self.assertTrue(self.is_withdrawn())

    def test_age_grows_with_each_hop(self):
        now = self.clock.monotonic()
        relay = wire_message.WorkRequest(body=b'')
        relay.note_sending(now - clocks.seconds(5), now)
        self.assertEqual(5000, relay.age_ms)
        arrival = clocks.seconds(1000)
        relay.note_received(arrival)
        self.assertEqual(clocks.seconds(995), relay.sent_after)
        self.assertEqual(
            (6.0, 5.0),
            tuple(
                relay.describe_sending(clocks.seconds(1001))[key]
                for key in ('sent_within_s', 'before_relay_s')
            ),
        )


class SnapshotTest(testtools.TestCase):
    def test_row_of_a_zone_is_stored_as_before(self):
        # Instances of earlier versions read the same rows.
        row = msgspec.to_builtins(zone.Zone(name=ZONE, withdrawn=True))
        self.assertEqual({'name', 'withdrawn', 'changed_at'}, set(row))
