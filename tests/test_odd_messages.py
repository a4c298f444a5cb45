"""Odd messages and answers between the system's own processes.

Guards against a message that fails without a code, and against an answer that
says of what was done that it was not run (incident
``docs/incidents/odd-entries.md``).
"""

import concurrent.futures
import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.wire import client
from bilberryhaven.wire import codec
from bilberryhaven.wire import leader
from bilberryhaven.wire import message as wire_message
from bilberryhaven.wire import server
from bilberryhaven.workflow import gateway
from bilberryhaven.workflow import message
from tests import odd
from tests import odd_leader
from tests import processes

SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
FEW = hypothesis.settings(SETTINGS, max_examples=100)


class AdmitNobody:
    """A membership controller that admits no instance."""

    def admit(self, request):
        port = int(request.address.rpartition(':')[2])
        assert 0 < port < 65_536
        return False

    def tick(self):
        pass


class OwnMessageTest(testtools.TestCase):
    """Messages between the processes, and what the log and snapshots hold."""

    REQUESTS = (
        message.Poll(
            agent='a',
            server=message.ServerState(id='i', born_ms=1, pool='s', cpu=1),
            epoch=0,
            feed='f',
            seen=1,
            sequence=1,
        ),
        message.Report(
            agent='a',
            key='i@1',
            epoch=1,
            ends=[
                workflow_commands.RunEnd(
                    1, workflow_commands.RunRef('w', '0.0.0', 1), 'done'
                )
            ],
            upto=1,
            deadline_ms=5,
            crash_age_ms=5,
            number=1,
        ),
        message.Inquire(host=odd_leader.HOST, path='/q/1'),
        message.Join(name='r1', address='127.0.0.1:7720'),
    )
    WIRE = (
        wire_message.Heartbeat(instance='i', epoch=1),
        wire_message.AdmitRequest(
            request_id='r', workload='w', body=b'x', deadline_ms=5
        ),
        wire_message.SyncReply(
            revision=1, lease_ms=5, feed='f', cursor=1, full=True
        ),
        wire_message.ConsensusBatch(sender='a', messages=[b'x']),
    )

    def check(self, function, *args):
        try:
            function(*args)
        except errors.BilberryhavenError as error:
            self.assertTrue(400 <= error.status < 500, error)

    @SETTINGS
    @hypothesis.given(data=st.data())
    def test_odd_workflow_message_is_rejected_or_handled(self, data):
        request = data.draw(st.sampled_from(self.REQUESTS))
        tree = msgspec.msgpack.decode(message.encode(request))
        body = data.draw(odd.draw_msgpack(tree))
        leader = odd_leader.Leader()
        leader.configure(json.dumps(odd_leader.CONFIGURATION).encode())

        def handle():
            msg = message.decode_request(body)
            if isinstance(msg, message.Poll):
                leader.name_pool(msg.server.pool)
            reply = leader.dispatcher.handle(
                wire_message.WorkRequest(body=body)
            )
            if isinstance(reply, concurrent.futures.Future):
                reply = reply.result()
            codec.encode(reply)

        leader.dispatcher._membership = AdmitNobody()
        self.check(handle)
        leader.check_works()

    @SETTINGS
    @hypothesis.given(data=st.data())
    def test_odd_wire_message_is_rejected_or_can_be_encoded(self, data):
        body = codec.encode(data.draw(st.sampled_from(self.WIRE)))
        changes = data.draw(
            st.lists(
                st.tuples(
                    st.integers(0, len(body) - 1),
                    st.sampled_from((0, 1, 127, 128, 255)),
                ),
                max_size=4,
            )
        )
        changed = bytearray(body)
        for index, value in changes:
            changed[index] = value
        cut = data.draw(st.integers(0, len(body)))
        try:
            msg = codec.decode(bytes(changed[:cut] if cut % 2 else changed))
        except errors.BilberryhavenError as error:
            self.assertEqual(400, error.status)
            return
        codec.encode(msg)

    def test_numbers_that_are_none_are_rejected(self):
        for value in (float('nan'), float('inf')):
            load = wire_message.Load(service_ms=value)
            body = codec.encode(
                wire_message.Heartbeat(instance='i', load=load)
            )
            self.assertRaises(errors.BadInputError, codec.decode, body)


class DialTest(testtools.TestCase):
    def test_odd_addresses_are_coded_errors(self):
        tested = client.Client()
        self.addCleanup(tested.close)
        for address in ('127.0.0.1:²', '127.0.0.1:99999', '', ':1', 'x' * 999):
            self.assertRaises(
                errors.BilberryhavenError,
                tested.send,
                address,
                wire_message.WorkRequest(body=b''),
                timeout=clocks.seconds(0.1),
                step='test',
            )


class AnswerTest(testtools.TestCase):
    """Odd answers of the leader; what was asked for may have been done."""

    def serve(self, body):
        def answer(environ, data):
            return server.Response(body=body)

        (port,) = processes.find_ports(1)
        tested = server.Server(
            address=f'127.0.0.1:{port}', handlers={}, fallback=answer
        )
        tested._answer_message = lambda data: answer(None, data)
        tested.start()
        self.addCleanup(tested.stop)
        return tested.address

    def send(self, body):
        tested = client.Client()
        self.addCleanup(tested.close)
        address = self.serve(body)
        leader_client = leader.LeaderClient(
            list_addresses=lambda: [address],
            client=tested,
            clock=clocks.SystemClock(),
        )
        return gateway.Gateway(leader=leader_client).send(
            message.Cancel(host=odd_leader.HOST, path='/q/1'),
            timeout=clocks.seconds(0.3),
            step='cancel',
        )

    def test_unreadable_answers_do_not_say_not_run(self):
        error_reply = wire_message.ErrorReply(code='peer', outcome='odd')
        bodies = [
            b'',
            b'x' * 100,
            codec.encode(error_reply),
            *(
                codec.encode(wire_message.WorkReply(body=value))
                for value in odd.MSGPACK_VALUES
            ),
        ]
        for body in bodies:
            error = self.assertRaises(
                errors.BilberryhavenError, self.send, body
            )
            self.assertEqual(errors.Outcome.UNKNOWN, error.outcome, body[:9])
            self.assertTrue(error.status >= 500, error)

    def test_odd_address_of_the_leader_is_not_used(self):
        for peer in ('127.0.0.1:99999', 'nowhere', '0.0.0.0:1', 'x' * 999):
            reply = wire_message.ErrorReply(
                code='not_leader', peer=peer, outcome='not_run'
            )
            error = self.assertRaises(
                errors.BilberryhavenError, self.send, codec.encode(reply)
            )
            self.assertEqual(503, error.status, error)
