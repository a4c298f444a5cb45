"""Tests of arbitrary input to the ports of agents and backend servers."""

import contextlib
import http.client
import json
import socket

import hypothesis
from hypothesis import strategies as st
import testtools

from bilberryhaven import util
from bilberryhaven.wire import codec
from bilberryhaven.wire import message
from tests import agent_fakes

SETTINGS = hypothesis.settings(
    max_examples=150, derandomize=True, database=None, deadline=None
)
TIMEOUT = 10
PATHS = (
    '/v1/requests',
    '/v1/requests/x',
    '/v1/tasks',
    '/v1/tasks/x',
    '/v1/tasks/x/stop',
    '/v1/tasks/x/throttle',
    '/v1/lease',
    '/v1/attach',
    '/v1/status',
    '/nowhere',
)
MALFORMED = (
    b'\r\n\r\n',
    b'GET\r\n\r\n',
    b'GET / HTTP/9.9\r\n\r\n',
    b'G\xff\x00 /\xff HTTP/1.1\r\n\r\n',
    b'POST /v1/tasks HTTP/1.1\r\nContent-Length: x\r\n\r\n',
    b'POST /v1/tasks HTTP/1.1\r\nContent-Length: -5\r\n\r\n',
    b'POST /wire HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n',
    b'POST /wire HTTP/1.1\r\nTransfer-Encoding: odd\r\n\r\n',
    b'GET /' + b'a' * 1_000_000 + b' HTTP/1.1\r\n\r\n',
)
JSON_VALUES = st.recursive(
    st.none() | st.integers() | st.text(max_size=8) | st.floats(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ['id', 'epoch', 'session', 'owner', 'body', 'share']
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=8,
)
NUMBERS = st.integers(-1, 3) | st.integers()
NEARLY_VALID = st.fixed_dictionaries(
    {
        'id': st.text(max_size=3),
        'epoch': NUMBERS,
        'session': NUMBERS,
        'lease_ms': NUMBERS,
        'ticket': NUMBERS,
        'workload': st.just('quick'),
    },
    optional={
        'slots': NUMBERS,
        'share': st.floats(allow_nan=False, allow_infinity=False),
        'payload': st.sampled_from(['', 'e30=', 'eyJzZWNvbmRzIjotMX0=', '?']),
        'checkpoint': st.sampled_from(['', 'e30=', '!']),
    },
)
BODIES = st.binary(max_size=64) | (JSON_VALUES | NEARLY_VALID).map(
    lambda value: json.dumps(value).encode()
)


def call(address, method, path, body):
    """Return the status and body of one HTTP request."""
    host, port = util.parse_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def send_raw(address, data):
    """Return all that a server sends before it closes the connection."""
    with socket.create_connection(
        util.parse_address(address), timeout=TIMEOUT
    ) as sock:
        sock.sendall(data)
        # The server may already have responded and closed the connection.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
        chunks = []
        try:
            while chunk := sock.recv(65536):
                chunks.append(chunk)
        except ConnectionResetError:
            pass
    return b''.join(chunks)


class TestInput(agent_fakes.AgentTestCase):
    def check_error(self, status, body):
        if status >= 400:
            self.assertNotEqual(500, status, body)
            self.assertIn('code', json.loads(body))

    def test_backend_server_answers_any_body_with_a_coded_error(self):
        address = self.start_backend().address

        @SETTINGS
        @hypothesis.given(
            method=st.sampled_from(['GET', 'POST', 'DELETE', 'PUT']),
            path=st.sampled_from(PATHS),
            body=BODIES,
        )
        def check(method, path, body):
            self.check_error(*call(address, method, path, body))

        check()

    def test_agent_answers_any_message_with_a_coded_error(self):
        @SETTINGS
        @hypothesis.given(body=st.binary(max_size=200))
        def check(body):
            status, data = call(self.agent.address, 'POST', '/wire', body)
            self.assertEqual(200, status)
            reply = codec.decode(data)
            self.assertIsInstance(reply, message.ErrorReply)
            self.assertEqual('bad_input', reply.code)

        check()

    def test_malformed_requests_get_a_coded_error(self):
        answered = 0
        for address in (self.agent.address, self.backend.address):
            for data in MALFORMED:
                answer = send_raw(address, data)
                if not answer:
                    continue
                answered += 1
                head, _, body = answer.partition(b'\r\n\r\n')
                self.check_error(int(head.split()[1]), body)
        self.assertGreater(answered, len(MALFORMED))

    def test_oversize_body_is_refused(self):
        data = b'POST /wire HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n'
        answer = send_raw(self.agent.address, data)
        self.assertThat(answer, testtools.matchers.StartsWith(b'HTTP/1.1 413'))
        self.assertIn(b'bad_input', answer)
