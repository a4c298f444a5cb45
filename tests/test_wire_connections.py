"""Tests of the connections of a listener, with limits that are lowered."""

import contextlib
import errno
import json
import os
import socket
import threading
import time

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import settings
from bilberryhaven import util
from bilberryhaven.wire import connection
from bilberryhaven.wire import input as wire_input
from bilberryhaven.wire import intake as wire_intake
from bilberryhaven.wire import listener
from bilberryhaven.wire import server

KIB = 1024
TIMEOUT = 20
THREADS = 2
HOLD_SECONDS = 1.5


def build_head(*headers):
    lines = ['POST /q/1 HTTP/1.1', 'Host: x', *headers]
    return ''.join(f'{line}\r\n' for line in lines).encode() + b'\r\n'


def build_request(body=b''):
    return build_head(f'Content-Length: {len(body)}') + body


class ListenerTestCase(testtools.TestCase):
    limits = {}

    def setUp(self):
        super().setUp()
        self.release = threading.Event()
        self.served = []
        self.intake = wire_intake.Intake(
            limits=settings.InputLimits(**self.limits)
        )
        self.listener = listener.Listener(
            address='127.0.0.1:0',
            application=self.serve,
            threads=THREADS,
            error_log=lambda *args, **kwargs: None,
            intake=self.intake,
        )
        self.listener.start()
        self.addCleanup(self.listener.stop)
        self.addCleanup(self.release.set)

    def serve(self, environ, start_response):
        body = server.read_body(environ)
        self.served.append(body)
        if body == b'wait':
            self.release.wait(TIMEOUT)
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    def connect(self):
        host, port = util.parse_address(self.listener.address)
        sock = socket.create_connection((host, port), timeout=TIMEOUT)
        self.addCleanup(sock.close)
        return sock

    def send(self, data):
        sock = self.connect()
        sock.sendall(data)
        return sock

    def read_answer(self, sock, reader=None):
        """Return the status, headers and body of an answer.

        Args:
            sock: The connected socket.
            reader: A file of it, which several answers are read from; it
                reads ahead.
        """
        reader = reader or sock.makefile('rb')
        status = int(reader.readline().split()[1])
        headers = {}
        while (line := reader.readline()) != b'\r\n':
            name, _, value = line.decode().partition(':')
            headers[name.lower()] = value.strip()
        body = reader.read(int(headers.get('content-length', 0)))
        return status, headers, body

    def check_served(self, body=b'{}'):
        status, _, answer = self.read_answer(self.send(build_request(body)))
        self.assertEqual((200, body), (status, answer))

    def check_refused(self, sock, status, code):
        found, headers, body = self.read_answer(sock)
        error = json.loads(body)
        self.assertEqual((status, code), (found, error['code']), error)
        self.assertEqual('not_run', error['outcome'])
        self.assertEqual('close', headers['connection'])
        self.assertEqual(b'', sock.recv(1))
        return headers

    def wait_until(self, condition):
        end = time.monotonic() + TIMEOUT
        while not condition():
            self.assertTrue(time.monotonic() < end, 'not met in time')
            time.sleep(0.01)


class CallersTest(testtools.TestCase):
    def test_a_long_author_is_cut_off(self):
        environ = {'HTTP_X_BILBERRYHAVEN_BY': 'x' * 10_000}
        author = server.read_author(environ)
        self.assertTrue(author.startswith('xxx') and len(author) < 300)
        self.assertEqual('::1', server.read_author({'REMOTE_ADDR': '::1'}))

    def test_a_listener_without_handlers_decodes_no_message(self):
        paths = []

        def answer(environ, body):
            paths.append(environ['PATH_INFO'])
            return server.Response(status=404)

        callers = server.Server(
            address='127.0.0.1:0', handlers={}, fallback=answer
        )
        callers.start()
        self.addCleanup(callers.stop)
        with socket.create_connection(
            util.parse_address(callers.address), timeout=TIMEOUT
        ) as sock:
            head = b'POST /wire HTTP/1.1\r\nContent-Length: 1\r\n\r\nx'
            sock.sendall(head)
            self.assertIn(b' 404 ', sock.recv(KIB))
        self.assertEqual(['/wire'], paths)


class SlowTest(ListenerTestCase):
    limits = {'request_ms': 300, 'idle_ms': 1_000}

    def test_parts_of_requests_occupy_no_thread(self):
        parts = [
            self.send(data)
            for data in (b'', b'POST', build_head('Content-Length: 9'))
            for _ in range(4 * THREADS)
        ]
        self.check_served()
        for sock in parts[4 * THREADS :]:
            self.check_refused(sock, 408, errors.DeadlineError.code)
        for sock in parts[: 4 * THREADS]:
            self.assertEqual(b'', sock.recv(1))

    def test_a_drip_does_not_extend_the_time(self):
        sock = self.send(build_head('Transfer-Encoding: chunked'))
        started = time.monotonic()
        try:
            while time.monotonic() - started < TIMEOUT:
                sock.sendall(b'1\r\nx\r\n')
                time.sleep(0.05)
        except OSError:
            pass
        self.assertTrue(time.monotonic() - started < TIMEOUT / 2)
        self.assertEqual([], self.served)

    def test_interim_response_is_sent_once(self):
        sock = self.send(
            build_head('Content-Length: 2', 'Expect: 100-continue')
        )
        self.assertEqual(b'HTTP/1.1 100 Continue\r\n\r\n', sock.recv(100))
        sock.sendall(b'{}')
        self.assertEqual(200, self.read_answer(sock)[0])

    def test_a_refused_sender_reads_the_answer(self):
        large = settings.InputLimits().body_bytes + 1
        sock = self.send(build_head(f'Content-Length: {large}'))
        sock.sendall(b'x' * KIB * KIB)
        self.check_refused(sock, 413, errors.BadInputError.code)
        self.assertEqual({'body': 1}, self.intake.refusals)

    def test_a_chunked_request_is_followed_by_another(self):
        sock = self.send(build_head('Transfer-Encoding: chunked'))
        sock.sendall(b'2\r\n{}\r\n0\r\nX: 1\r\n\r\n' + build_request(b'[]'))
        self.assertEqual(200, self.read_answer(sock)[0])
        self.wait_until(lambda: self.served == [b'{}', b'[]'])


class UnreadTest(ListenerTestCase):
    # Guards against a sender that reads no answer and holds up all others.
    def test_refusal_does_not_wait_for_a_full_buffer(self):
        sock, peer = socket.socketpair()
        self.addCleanup(peer.close)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                sock.send(bytes(KIB))
        conn = connection.Connection(self.listener._server, sock)
        self.addCleanup(conn.close)
        refusal = wire_input.RefusedInputError(
            reason='malformed',
            status='400 Bad Request',
            error=errors.BadInputError('malformed', step='read request'),
        )
        thread = threading.Thread(
            target=conn.refuse, args=(refusal,), daemon=True
        )
        thread.start()
        thread.join(TIMEOUT / 2)
        self.assertFalse(thread.is_alive())


class BudgetTest(ListenerTestCase):
    limits = {'kept_bytes': 256 * KIB}

    def test_newest_is_refused_and_those_at_hand_are_served(self):
        held = self.send(build_request(b'wait'))
        self.wait_until(lambda: self.served)
        body = b'x' * 80 * KIB
        first = self.send(build_request(body)[:-1])
        self.wait_until(lambda: self.intake.kept_bytes > 160 * KIB)
        headers = self.check_refused(
            self.send(build_request(body)), 503, errors.OverloadError.code
        )
        self.assertEqual('1', headers['retry-after'])
        self.check_served()
        first.sendall(b'x')
        self.assertEqual(200, self.read_answer(first)[0])
        self.release.set()
        self.assertEqual(200, self.read_answer(held)[0])
        self.wait_until(lambda: self.intake.kept_bytes == 0)

    def test_what_grows_when_decoded_is_refused_before(self):
        body = b'[' + b'{},' * 1_000 + b'{}]'
        self.check_refused(
            self.send(build_request(body)), 413, errors.BadInputError.code
        )
        self.assertEqual([], self.served)
        self.assertEqual({'decoded': 1}, self.intake.refusals)
        self.check_served(body[:100])

    def test_path_of_messages_is_no_exception_for_callers(self):
        text = b'{},' * 1_000
        head = b'POST /wire HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
        costs = []
        for takes_messages in (False, True):
            reader = wire_input.RequestReader(
                line_bytes=KIB,
                head_bytes=KIB,
                body_bytes=8 * KIB,
                takes_messages=takes_messages,
            )
            self.assertTrue(reader.feed(head % len(text) + text))
            costs.append(reader.estimate_cost())
        self.assertTrue(costs[0] > 500_000 > costs[1])

    def test_closed_connections_release_what_they_kept(self):
        for _ in range(3):
            self.send(build_request(b'x' * 80 * KIB)[:-1]).close()
            self.wait_until(lambda: self.intake.kept_bytes == 0)
        self.check_served()

    def test_defaults_let_every_single_request_of_the_pages_in(self):
        intake = wire_intake.Intake()
        body = b'{"steps":[' + b'{"task_count":1},' * 15_400
        body += b'{"task_count":1,"after":[' + b'0,' * 100 + b'0]}]}'
        self.assertTrue(260_000 < len(body) < 262_144)
        for text in (body, b'0,' * 131_072):
            limits = settings.InputLimits()
            reader = wire_input.RequestReader(
                line_bytes=limits.line_bytes,
                head_bytes=limits.head_bytes,
                body_bytes=limits.caller_body_bytes,
            )
            filler = [f'X-{n}: ' + 'y' * 100 for n in range(140)]
            head = build_head(f'Content-Length: {len(text)}', *filler)
            self.assertTrue(reader.feed(head + text))
            self.assertTrue(intake.resize(0, reader.estimate_cost()))
            intake.resize(reader.estimate_cost(), 0)


class CrowdTest(ListenerTestCase):
    limits = {'descriptors': 64}
    # What 64 descriptors leave to connections.
    ROOM = 38

    def test_longest_idle_connections_make_room(self):
        idle = [self.connect() for _ in range(self.ROOM)]
        self.check_served()
        self.assertEqual(b'', idle[0].recv(1))
        idle[-1].sendall(build_request(b'[]'))
        self.assertEqual(200, self.read_answer(idle[-1])[0])

    def test_newest_is_refused_if_requests_are_received_on_all(self):
        parts = [
            self.send(build_request(b'{}')[:-1]) for _ in range(self.ROOM)
        ]
        self.wait_until(lambda: self.intake.kept_bytes > 0)
        time.sleep(0.5)
        self.check_refused(self.connect(), 503, errors.OverloadError.code)
        for sock in parts:
            sock.sendall(b'}')
            self.assertEqual(200, self.read_answer(sock)[0])

    def test_another_listener_has_connections_left(self):
        parts = [
            self.send(build_request(b'{}')[:-1]) for _ in range(self.ROOM)
        ]
        other = listener.Listener(
            address='127.0.0.1:0',
            application=self.serve,
            threads=THREADS,
            error_log=lambda *args, **kwargs: None,
            intake=self.intake,
        )
        other.start()
        self.addCleanup(other.stop)
        self.listener, crowded = other, self.listener
        self.check_served()
        self.listener = crowded
        self.assertEqual(self.ROOM, len(parts))

    def test_failing_accepts_stop_nothing(self):
        kept = self.connect()
        kept.sendall(build_request(b'{}'))
        self.assertEqual(200, self.read_answer(kept)[0])
        accepting = self.listener._server.socket

        class FailingSocket:
            def accept(self):
                raise OSError(errno.EMFILE, 'too many open files')

            def __getattr__(self, name):
                return getattr(accepting, name)

        self.listener._server.socket = FailingSocket()
        waiting = self.send(build_request(b'[]'))
        self.wait_until(lambda: self.intake.refusals.get('accept', 0) > 1)
        started = time.process_time()
        time.sleep(0.5)
        self.assertTrue(time.process_time() - started < 0.4)
        self.listener._server.socket = accepting
        self.assertEqual(200, self.read_answer(waiting)[0])


class FailingApplicationTest(ListenerTestCase):
    def serve(self, environ, start_response):
        super().serve(environ, start_response)
        raise ValueError('after the work was done')

    # Guards against work that is repeated since it is said not to have run.
    def test_error_after_the_work_was_done_does_not_say_not_run(self):
        status, _, body = self.read_answer(self.send(build_request(b'{}')))
        self.assertEqual([b'{}'], self.served)
        self.assertEqual(
            (500, 'unknown'), (status, json.loads(body)['outcome'])
        )


class HeldPoll:
    """Poll object; threads that serve requests pause before they register.

    Attributes:
        held: Descriptor that is to be registered, or None.
    """

    def __init__(self, poll):
        self.poll_object = poll
        self.held = None

    def register(self, fd, events):
        if threading.current_thread().name != 'server':
            self.held = self.held or fd
            time.sleep(HOLD_SECONDS)
        self.poll_object.register(fd, events)

    def __getattr__(self, name):
        return getattr(self.poll_object, name)


class ReusedDescriptorTest(ListenerTestCase):
    limits = {'descriptors': 64}

    def fill_descriptors(self, upto):
        """Leave no descriptor free below ``upto``."""
        while True:
            fd = os.open(os.devnull, os.O_RDONLY)
            self.addCleanup(os.close, fd)
            if fd > upto:
                return

    # Guards against a new connection whose requests are never received.
    def test_connection_that_is_closed_before_it_is_registered(self):
        queues = self.listener._server._connections
        for _ in range(CrowdTest.ROOM - 1):
            self.send(build_request(b'{}')[:-1])
        self.wait_until(lambda: len(queues._reading) == CrowdTest.ROOM - 1)
        clients = [socket.socket() for _ in range(2)]
        for sock in clients:
            self.addCleanup(sock.close)
            sock.settimeout(TIMEOUT / 4)
        poll = HeldPoll(queues._poll)
        queues._poll = poll
        self.check_served()
        self.wait_until(lambda: poll.held is not None)
        self.fill_descriptors(poll.held)
        address = util.parse_address(self.listener.address)
        for sock in clients:
            known = set(queues._idle.values())
            sock.connect(address)
            self.wait_until(
                lambda known=known: set(queues._idle.values()) - known
            )
        self.assertEqual([poll.held], list(queues._idle))
        time.sleep(2 * HOLD_SECONDS)
        clients[1].sendall(build_request(b'[]'))
        self.assertEqual(200, self.read_answer(clients[1])[0])


class UnreadAnswerTest(ListenerTestCase):
    limits = {'answer_ms': 1_000, 'kept_bytes': 64 * KIB * KIB}
    ANSWER = b'x' * 8 * KIB * KIB

    def serve(self, environ, start_response):
        body = server.read_body(environ)
        self.served.append(body)
        answer = self.ANSWER if body == b'large' else body
        start_response('200 OK', [('Content-Length', str(len(answer)))])
        return [answer]

    def test_unread_answers_occupy_no_thread_and_are_given_up(self):
        unread = [
            self.send(build_request(b'large') * 20) for _ in range(8 * THREADS)
        ]
        self.wait_until(lambda: len(self.served) >= len(unread))
        self.check_served()
        self.assertTrue(self.intake.kept_bytes <= 64 * KIB * KIB)
        self.wait_until(
            lambda: self.intake.refusals.get('unread') == len(unread)
        )
        self.wait_until(lambda: self.intake.kept_bytes == 0)

    def test_a_slow_reader_gets_the_whole_answer(self):
        sock = self.send(build_request(b'large') + build_request(b'{}'))
        time.sleep(0.5)
        self.assertEqual((200, self.ANSWER), self.read_answer(sock)[::2])
        self.wait_until(lambda: self.served == [b'large', b'{}'])

    def test_a_stop_sends_what_is_left(self):
        sock = self.send(build_request(b'large'))
        self.wait_until(lambda: self.served)
        stopping = threading.Thread(target=self.listener.stop)
        stopping.start()
        self.assertEqual(200, self.read_answer(sock)[0])
        stopping.join(TIMEOUT)
        self.assertFalse(stopping.is_alive())


class SentAfterTest(ListenerTestCase):
    """What the listener knows of the time at which a request was sent."""

    def setUp(self):
        self.clock = clocks.SystemClock()
        self.bounds = []
        super().setUp()

    def serve(self, environ, start_response):
        self.bounds.append(server.read_sent_after(environ))
        return super().serve(environ, start_response)

    def now(self):
        return self.clock.monotonic()

    def ask(self, sock, body=b''):
        sent_at = self.now()
        sock.sendall(build_request(body))
        self.read_answer(sock)
        return sent_at

    def test_new_connection(self):
        def is_close():
            sent_at = self.ask(self.connect())
            self.assertTrue(self.bounds[-1] <= sent_at)
            return sent_at - self.bounds[-1] < clocks.seconds(1)

        # The thread that accepts may be slow under load.
        self.wait_until(is_close)

    def test_connection_that_was_opened_long_ago(self):
        sock = self.connect()
        opened_at = self.now()
        time.sleep(HOLD_SECONDS)
        self.ask(sock)
        self.assertTrue(self.bounds[0] <= opened_at)

    def test_request_after_an_answer(self):
        sock = self.connect()
        time.sleep(HOLD_SECONDS)
        first_at = self.ask(sock)
        second_at = self.ask(sock)
        self.assertTrue(first_at <= self.bounds[1] <= second_at)

    def test_connection_that_is_accepted_late(self):
        # The thread that accepts is suspended, the operating system isn't.
        suspended, resume = threading.Event(), threading.Event()
        connections = self.listener._server._connections
        accept = connections._accept

        def accept_late():
            suspended.set()
            resume.wait(TIMEOUT)
            accept()

        connections._accept = accept_late
        sock = self.connect()
        sock.sendall(build_request())
        sent_at = self.now()
        self.assertTrue(suspended.wait(TIMEOUT))
        time.sleep(HOLD_SECONDS)
        resume.set()
        self.read_answer(sock)
        self.assertTrue(self.bounds[0] <= sent_at)

    def test_requests_sent_ahead_of_the_answer(self):
        # In one part with the first one, and while that is served.
        for parts in (1, 2):
            del self.bounds[:]
            self.release.clear()
            sock = self.connect()
            first, second = build_request(b'wait'), build_request()
            opened_at = self.now()
            if parts == 1:
                sock.sendall(first + second)
            else:
                sock.sendall(first)
                self.wait_until(lambda: self.bounds)
                sock.sendall(second)
            time.sleep(HOLD_SECONDS)
            self.release.set()
            reader = sock.makefile('rb')
            for _ in range(2):
                self.read_answer(sock, reader)
            self.ask(sock)
            self.assertEqual(3, len(self.bounds))
            self.assertTrue(max(self.bounds) <= opened_at, parts)

    def test_answer_that_is_taken_late(self):
        # The bound is that of its last part.
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        sock.settimeout(TIMEOUT)
        sock.connect(util.parse_address(self.listener.address))
        body = b'x' * (6 * KIB * KIB)
        sock.sendall(build_request(body))
        time.sleep(HOLD_SECONDS)
        read_at = self.now()
        self.read_answer(sock)
        sent_at = self.ask(sock)
        self.assertTrue(read_at <= self.bounds[1] <= sent_at)
