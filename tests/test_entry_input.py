"""Tests of the entry's HTTP server: malformed, slow and oversized input."""

import json
import socket
import string

import hypothesis
from hypothesis import strategies as st
import testtools

from bilberryhaven.wire import listener
from tests import entry_fakes

SETTINGS = hypothesis.settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(
                ('workload', 'body', 'deadline_ms', 'urgent', 'x')
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=6,
)
HEADER = st.text(string.printable, max_size=20)


def exchange(address, data, *, finish=True):
    """Send ``data`` and return all bytes received until the end."""
    host, port = address.split(':')
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        try:
            sock.sendall(data)
            if finish:
                sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        parts = []
        while True:
            try:
                part = sock.recv(65536)
            except ConnectionResetError:
                break
            if not part:
                break
            parts.append(part)
    return b''.join(parts)


def parse_response(data):
    """Return the (status, JSON body) of an HTTP response."""
    head, _, body = data.partition(b'\r\n\r\n')
    return int(head.split()[1]), json.loads(body)


class TestInput(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.agent = entry_fakes.FakeAgent()
        self.leader = entry_fakes.FakeLeader(agents=[self.agent])
        self.role = entry_fakes.start_entry(
            control=[self.leader.server.address]
        )
        self.addCleanup(
            entry_fakes.stop_all, [self.leader.server, self.agent.server]
        )
        self.addCleanup(self.role.kill)
        entry_fakes.wait_until(self.role.is_ready)

    def send(self, body, headers=''):
        head = (
            'POST /v1/requests HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            f'Content-Length: {len(body)}\r\n{headers}\r\n'
        )
        return exchange(self.role.address, head.encode() + body)

    def check_coded_error(self, data):
        status, error = parse_response(data)
        self.assertIn(status, range(400, 500), error)
        self.assertTrue(error['code'] and error['step'], error)
        self.assertEqual('not_run', error['outcome'])

    def test_any_body_gets_an_error_code(self):
        @SETTINGS
        @hypothesis.given(st.binary(max_size=50) | JSON.map(json.dumps))
        def check(body):
            data = body if isinstance(body, bytes) else body.encode()
            self.check_coded_error(self.send(data))

        check()

    def test_any_header_gets_an_error_code_or_is_closed(self):
        @SETTINGS
        @hypothesis.given(HEADER, HEADER)
        def check(name, value):
            header = f'{name}: {value}\r\n'.encode('ascii', 'replace')
            data = self.send(b'{}', header.decode())
            if data:
                self.check_coded_error(data)

        check()

    def test_any_bytes_get_an_error_code_or_are_closed(self):
        @SETTINGS
        @hypothesis.given(st.binary(max_size=60))
        def check(raw_bytes):
            for start in (b'', b'POST /v1/requests HTTP/1.1\r\n'):
                data = exchange(
                    self.role.address, start + raw_bytes + b'\r\n\r\n'
                )
                if data:
                    self.check_coded_error(data)

        check()

    def test_wrong_content_length_is_refused(self):
        body = b'{"workload": "price"}'
        for length in ('-1', 'x', '99', str(listener.MAX_BODY_BYTES + 1)):
            head = (
                'POST /v1/requests HTTP/1.1\r\nHost: x\r\n'
                f'Content-Length: {length}\r\n\r\n'
            )
            data = exchange(self.role.address, head.encode() + body)
            self.check_coded_error(data)
        self.assertEqual([], self.agent.received)

    def test_chunked_body_is_read(self):
        body = b'{"workload": "price", "body": 5}'
        head = (
            'POST /v1/requests HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        chunks = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        data = exchange(self.role.address, head.encode() + chunks)
        status, response = parse_response(data)
        self.assertEqual((200, 5), (status, response.get('body')), response)

    def test_slow_headers_time_out_and_block_no_request(self):
        host, port = self.role.address.split(':')
        slow_sockets = [
            socket.create_connection((host, int(port)), timeout=30)
            for _ in range(32)
        ]
        for sock in slow_sockets:
            self.addCleanup(sock.close)
            sock.sendall(b'POST /v1/requests HTTP/1.1\r\nHost: ')
        status, _ = parse_response(self.send(b'{"workload": "price"}'))
        self.assertEqual(200, status)
        for sock in slow_sockets:
            while sock.recv(4096):
                continue

    def test_oversized_headers_are_refused(self):
        filler = 'X-Filler: ' + 'a' * listener.MAX_HEADER_BYTES + '\r\n'
        data = self.send(b'{}', filler)
        if data:
            self.check_coded_error(data)

    def test_disconnected_caller_affects_no_other_request(self):
        self.agent.respond = self.agent.wait_for_release
        host, port = self.role.address.split(':')
        body = b'{"workload": "price"}'
        head = f'POST /v1/requests HTTP/1.1\r\nContent-Length: {len(body)}'
        for _ in range(8):
            sock = socket.create_connection((host, int(port)))
            sock.sendall(head.encode() + b'\r\nHost: x\r\n\r\n' + body)
            sock.close()
        self.agent.release.set()
        status, _ = parse_response(self.send(body))
        self.assertEqual(200, status)
