"""Tests of message encoding, client and server."""

import concurrent.futures
import http.client
import socket
import threading
import time

import testtools
from testtools import matchers

from bilberryhaven import clock
from bilberryhaven import errors
from bilberryhaven import util
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
            raise errors.OverloadError('full', step='claim', retry_after=7)
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
        self.assertEqual(7, error.retry_after)

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


class TestDeferredReplies(testtools.TestCase):
    """Many held requests at a server with few threads."""

    HELD = 500
    THREADS = 4

    def setUp(self):
        super().setUp()
        self.held = []
        self.server = server.Server(
            address='127.0.0.1:0',
            handlers={
                message.WorkRequest: self.hold,
                message.ClaimRequest: lambda msg: message.ClaimReply(
                    granted=True, holder=msg.request_id
                ),
            },
            threads=self.THREADS,
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = client.Client()
        self.addCleanup(self.client.close)

    def hold(self, msg):
        future = concurrent.futures.Future()
        self.held.append((msg.body, future))
        return future

    def open_held_request(self, name):
        host, port = util.parse_address(self.server.address)
        sock = socket.create_connection((host, port))
        self.addCleanup(sock.close)
        body = codec.encode(message.WorkRequest(body=name))
        head = (
            f'POST {client.MESSAGE_PATH} HTTP/1.1\r\nHost: x\r\n'
            f'Content-Type: {client.CONTENT_TYPE}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        sock.sendall(head.encode() + body)
        return sock

    def open_chunked_request(self, name, *headers):
        host, port = util.parse_address(self.server.address)
        sock = socket.create_connection((host, port))
        self.addCleanup(sock.close)
        body = codec.encode(message.WorkRequest(body=name))
        lines = [
            f'POST {client.MESSAGE_PATH} HTTP/1.1',
            'Host: x',
            'Transfer-Encoding: chunked',
            *headers,
        ]
        head = ''.join(f'{line}\r\n' for line in lines).encode()
        chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        sock.sendall(head + b'\r\n' + chunk)
        return sock

    def test_chunked_and_closing_requests_occupy_no_thread(self):
        socks = {}
        for number in range(8 * self.THREADS):
            name = b'%d' % number
            headers = ['Connection: close'] if number % 2 else []
            socks[name] = self.open_chunked_request(name, *headers)
        self.wait_for_held(len(socks))
        claim = message.ClaimRequest(request_id='r', workload='w', entry='e')
        reply = self.client.send(
            self.server.address,
            claim,
            timeout=clock.seconds(5),
            step='claim',
        )
        self.assertEqual('r', reply.holder)
        for name, future in self.held:
            future.set_result(message.WorkReply(body=name))
        for name, sock in socks.items():
            _, reply = self.read_reply(sock)
            self.assertEqual(name, reply.body)

    def wait_for_held(self, count):
        deadline = time.monotonic() + 20
        while len(self.held) < count and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertEqual(count, len(self.held))

    def read_reply(self, sock):
        response = http.client.HTTPResponse(sock)
        response.begin()
        return response, codec.decode(response.read())

    def test_held_requests_occupy_no_thread(self):
        for number in range(self.HELD):
            self.open_held_request(b'%d' % number)
        self.wait_for_held(self.HELD)
        started = time.monotonic()
        reply = self.client.send(
            self.server.address,
            message.ClaimRequest(request_id='r', workload='w', entry='e'),
            timeout=clock.seconds(5),
            step='claim',
        )
        self.assertEqual('r', reply.holder)
        self.assertThat(time.monotonic() - started, matchers.LessThan(1))

    def test_each_held_request_gets_its_own_reply(self):
        socks = {}
        for number in range(20):
            name = b'%d' % number
            socks[name] = self.open_held_request(name)
        self.wait_for_held(20)
        for name, future in reversed(self.held):
            future.set_result(message.WorkReply(body=name))
        for name, sock in socks.items():
            _, reply = self.read_reply(sock)
            self.assertEqual(name, reply.body)

    def test_connection_serves_further_requests_after_a_held_one(self):
        held = threading.Thread(
            target=lambda: self.send_work(b'first'), daemon=True
        )
        held.start()
        self.wait_for_held(1)
        self.held[0][1].set_result(message.WorkReply(body=b'1'))
        held.join(5)
        self.assertEqual([b'1'], self.replies)

    def send_work(self, body):
        reply = self.client.send(
            self.server.address,
            message.WorkRequest(body=body),
            timeout=clock.seconds(5),
            step='test',
        )
        self.replies = [reply.body]

    def test_messages_over_the_limit_of_their_class_are_refused(self):
        release = threading.Event()
        limited = server.Server(
            address='127.0.0.1:0',
            handlers={
                message.WorkRequest: lambda msg: release.wait(),
                message.ClaimRequest: lambda msg: message.ClaimReply(
                    granted=True, holder=msg.request_id
                ),
            },
            threads=self.THREADS,
            limits={message.WorkRequest: 1},
        )
        limited.start()
        self.addCleanup(limited.stop)
        self.addCleanup(release.set)
        self.server = limited
        self.open_held_request(b'first')
        self.wait_until_refused()
        claim = message.ClaimRequest(request_id='r', workload='w', entry='e')
        reply = self.client.send(
            limited.address, claim, timeout=clock.seconds(5), step='claim'
        )
        self.assertEqual('r', reply.holder)

    def wait_until_refused(self):
        """Wait until the first request has been read."""
        for _ in range(50):
            try:
                self.client.send(
                    self.server.address,
                    message.WorkRequest(body=b'second'),
                    timeout=clock.seconds(0.1),
                    step='test',
                )
            except errors.OverloadError as error:
                self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)
                return
            except errors.PeerError:
                continue
        self.fail('no message was refused')

    def test_error_of_a_held_request_is_reported(self):
        sock = self.open_held_request(b'x')
        self.wait_for_held(1)
        error = errors.OverloadError('full', step='poll')
        self.held[0][1].set_exception(error)
        _, reply = self.read_reply(sock)
        self.assertEqual((error.code, 'poll'), (reply.code, reply.step))

    def test_unexpected_error_of_a_held_request_is_reported(self):
        sock = self.open_held_request(b'x')
        self.wait_for_held(1)
        self.held[0][1].set_exception(ValueError('bug'))
        _, reply = self.read_reply(sock)
        self.assertEqual(errors.InternalError.code, reply.code)
        self.assertEqual(
            'r',
            self.client.send(
                self.server.address,
                message.ClaimRequest(request_id='r', workload='w', entry='e'),
                timeout=clock.seconds(5),
                step='claim',
            ).holder,
        )
