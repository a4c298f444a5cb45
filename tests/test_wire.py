"""Tests of message encoding, client and server."""

import threading

import testtools
from testtools import matchers

from bilberryhaven import clock
from bilberryhaven import errors
from bilberryhaven.wire import client
from bilberryhaven.wire import codec
from bilberryhaven.wire import message
from bilberryhaven.wire import server


class TestCodec(testtools.TestCase):
    def test_nested_message_round_trips(self):
        heartbeat = message.Heartbeat(
            instance='a',
            epoch=3,
            announcement=message.Announcement(
                name='a', labels=[message.Pair(key='k', value='v')]
            ),
            load=message.Load(slots=8, service_ms=1.5),
            events=[message.JobEvent(job_id='j', epoch=1, kind='started')],
        )
        self.assertEqual(heartbeat, codec.decode(codec.encode(heartbeat)))

    def test_invalid_bytes_are_rejected(self):
        for data in (b'', b'x', b'\xff' * 64):
            self.assertRaises(errors.BadInputError, codec.decode, data)


class TestExchange(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.release = threading.Event()
        self.server = server.Server(
            address='127.0.0.1:0',
            handlers={message.ClaimRequest: self.answer},
            wrap_connection=self.count_connections,
        )
        self.accepted = 0
        self.server.start()
        self.client = client.Client()
        self.addCleanup(self.server.stop)
        self.addCleanup(self.client.close)
        self.addCleanup(self.release.set)

    def count_connections(self, connection_class):
        test = self

        class CountedConnection(connection_class):
            def __init__(self, *args, **kwargs):
                super().__init__(*args, **kwargs)
                test.accepted += 1

        return CountedConnection

    def answer(self, msg):
        if msg.workload == 'slow':
            self.release.wait()
        if msg.workload == 'bad':
            raise errors.OverloadError('full', step='claim')
        return message.ClaimReply(granted=True, holder=msg.request_id)

    def send(self, request_id, workload, seconds=5):
        return self.client.send(
            self.server.address,
            message.ClaimRequest(
                request_id=request_id, workload=workload, entry='e'
            ),
            timeout=clock.seconds(seconds),
            step='claim',
        )

    def test_reply_is_returned(self):
        self.assertEqual('r1', self.send('r1', 'w').holder)

    def test_error_keeps_its_code(self):
        error = self.assertRaises(errors.OverloadError, self.send, 'r', 'bad')
        self.assertEqual('claim', error.step)

    def test_late_answer_is_not_matched_to_another_request(self):
        error = self.assertRaises(
            errors.PeerError, self.send, 'late', 'slow', 0.05
        )
        self.assertEqual(errors.Outcome.UNKNOWN, error.outcome)
        self.release.set()
        self.assertEqual('next', self.send('next', 'w').holder)

    def test_connections_of_many_idle_peers_are_kept(self):
        """A fleet's connections must survive between its requests."""
        clients = [client.Client() for _ in range(40)]
        for peer in clients:
            self.addCleanup(peer.close)
        for round_number in range(3):
            for number, peer in enumerate(clients):
                reply = peer.send(
                    self.server.address,
                    message.ClaimRequest(
                        request_id=f'{round_number}.{number}',
                        workload='w',
                        entry='e',
                    ),
                    timeout=clock.seconds(5),
                    step='claim',
                )
                self.assertEqual(f'{round_number}.{number}', reply.holder)
        self.assertEqual(len(clients), self.accepted)

    def test_unreachable_peer_has_outcome_not_run(self):
        self.server.stop()
        error = self.assertRaises(errors.PeerError, self.send, 'r', 'w')
        self.assertThat(error.outcome, matchers.Equals(errors.Outcome.NOT_RUN))
