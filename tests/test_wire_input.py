"""Tests of the bounded reading of requests.

Guards against input that is kept without a bound: the line of a chunk's size
once grew with what its sender sent (incident of issue 50, second matter).
"""

import time

import hypothesis
from hypothesis import strategies as st
import testtools

from bilberryhaven import settings
from bilberryhaven.wire import input as wire_input

LINE, HEAD, BODY = 256, 1024, 2048
CHUNKED = b'POST /q/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
# All that a sender without end may make a reader hold at any time.
MAX_KEPT = 2 * (BODY + HEAD + LINE)
SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
ENDLESS = {
    'request line': (b'GET /', b'a', 'line'),
    'header line': (b'GET / HTTP/1.1\r\nX: ', b'a', 'line'),
    'headers': (b'GET / HTTP/1.1\r\n', b'X: 1\r\n', 'head'),
    'size': (CHUNKED, b'0', 'line'),
    'extension': (CHUNKED + b'2;', b'a=b;', 'line'),
    'extensions of many chunks': (
        CHUNKED,
        b'1;' + b'x' * (LINE - 2) + b'\r\na\r\n',
        'framing',
    ),
    'chunks': (CHUNKED, b'1\r\na\r\n', 'body'),
    'trailer': (CHUNKED + b'0\r\nX: ', b'a', 'line'),
    'trailers': (CHUNKED + b'0\r\n', b'X: 1\r\n', 'trailers'),
    'trailers after a body': (
        CHUNKED + b'1\r\na\r\n0\r\n',
        b'X: 1\r\n',
        'trailers',
    ),
}
MALFORMED = (
    b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: 1_0\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: \r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
    b'POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n',
    b'POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n',
    b'POST / HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n',
    b'POST / HTTP/1.1\nContent-Length: 1\r\n\r\n',
    b'POST / HTTP/1.1\r\nX: a\rb\r\n\r\n',
    b'POST / HTTP/1.1\r\nX: a\0b\r\n\r\n',
    CHUNKED + b'+1\r\na\r\n0\r\n\r\n',
    CHUNKED + b'-1\r\na\r\n0\r\n\r\n',
    CHUNKED + b'1_0\r\na\r\n0\r\n\r\n',
    CHUNKED + b'0x1\r\na\r\n0\r\n\r\n',
    CHUNKED + b' 1\r\na\r\n0\r\n\r\n',
    CHUNKED + b'1\na\r\n0\r\n\r\n',
    CHUNKED + b'\r\na\r\n0\r\n\r\n',
    CHUNKED + b'1\r\nab\r\n0\r\n\r\n',
    CHUNKED + b'0\r\nX: 1\n\r\n\r\n',
)


def build_reader():
    return wire_input.RequestReader(
        line_bytes=LINE, head_bytes=HEAD, body_bytes=BODY
    )


def feed_in_parts(reader, data, size):
    """Feed ``data`` in parts; return the complete requests."""
    found = []
    for start in range(0, len(data), size):
        is_whole = reader.feed(data[start : start + size])
        while is_whole:
            found.append(reader.take())
            is_whole = reader.advance()
    return found


class RequestReaderTest(testtools.TestCase):
    def refuse(self, data, size):
        return self.assertRaises(
            wire_input.RefusedInputError,
            feed_in_parts,
            build_reader(),
            data,
            size,
        )

    def test_input_without_end_is_refused_at_its_bound(self):
        for name, (start, part, reason) in ENDLESS.items():
            for count in (1, 7, 100):
                reader = build_reader()
                reader.feed(start)
                largest = 0

                def send(reader=reader, part=part, count=count):
                    nonlocal largest
                    for _ in range(40 * BODY):
                        reader.feed(part * count)
                        largest = max(largest, reader.kept_bytes)

                refused = self.assertRaises(wire_input.RefusedInputError, send)
                self.assertEqual(reason, refused.reason, name)
                self.assertTrue(largest <= MAX_KEPT, (name, largest))
                self.assertEqual('not_run', refused.error.outcome)

    def test_what_parsers_read_differently_is_refused(self):
        for data in MALFORMED:
            for size in (1, 3, len(data)):
                self.assertEqual(
                    'malformed', self.refuse(data, size).reason, data
                )

    def test_declared_body_over_the_limit_is_refused_at_once(self):
        for length in (BODY + 1, 10**15):
            head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % length
            self.assertEqual('body', self.refuse(head, len(head)).reason)
        head = CHUNKED + b'%x\r\n' % (BODY + 1)
        self.assertEqual('body', self.refuse(head, len(head)).reason)

    def test_input_at_the_limits_is_read(self):
        line = b'GET /' + b'a' * (LINE - 14) + b' HTTP/1.1'
        self.assertEqual(LINE, len(line))
        headers = b'X: ' + b'a' * (LINE - 3) + b'\r\n'
        data = line + b'\r\n' + headers * 2 + b'\r\n'
        for size in (1, len(data)):
            (found,) = feed_in_parts(build_reader(), data, size)
            self.assertEqual(data, found.head)
        body = b'b' * BODY
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % BODY
        (found,) = feed_in_parts(build_reader(), head + body, 100)
        self.assertEqual(body, found.body)
        # The smallest chunks are served, too.
        data = CHUNKED + b'1\r\nb\r\n' * BODY + b'0\r\n\r\n'
        (found,) = feed_in_parts(build_reader(), data, 100)
        self.assertEqual(body, found.body)

    @SETTINGS
    @hypothesis.given(
        bodies=st.lists(st.binary(max_size=200), max_size=5),
        chunk=st.integers(1, 50),
        size=st.integers(1, 400),
        trailers=st.sampled_from([b'', b'A: 1\r\n', b'A: 1\r\nB: 2\r\n']),
        extension=st.sampled_from([b'', b';a', b';a="b c"']),
    )
    def test_pipelined_requests_are_read_however_they_arrive(
        self, bodies, chunk, size, trailers, extension
    ):
        data = b''
        for number, body in enumerate(bodies):
            if number % 2:
                data += b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(
                    body
                )
                data += body
                continue
            data += CHUNKED
            for start in range(0, len(body), chunk):
                part = body[start : start + chunk]
                data += b'%04X%s\r\n%s\r\n' % (len(part), extension, part)
            data += b'0%s\r\n%s\r\n' % (extension, trailers)
        reader = build_reader()
        found = feed_in_parts(reader, data, size)
        self.assertEqual(bodies, [request.body for request in found])
        self.assertEqual(0, reader.kept_bytes)

    @SETTINGS
    @hypothesis.given(data=st.binary(max_size=300), size=st.integers(1, 300))
    def test_any_bytes_are_read_or_refused(self, data, size):
        for start in (b'', CHUNKED, b'GET / HTTP/1.1\r\n'):
            try:
                feed_in_parts(build_reader(), start + data, size)
            except wire_input.RefusedInputError as refused:
                self.assertEqual('bad_input', refused.error.code)

    def test_blank_lines_between_requests_are_not_kept(self):
        reader = build_reader()
        self.assertTrue(reader.feed(b'GET / HTTP/1.1\r\n\r\n' + b'\r\n' * 9))
        reader.take()
        self.assertFalse(reader.advance())
        self.assertEqual(0, reader.kept_bytes)

    def test_interim_response_is_wanted_before_the_body_only(self):
        head = (
            b'POST / HTTP/1.1\r\nExpect: 100-continue\r\n'
            b'Content-Length: 1\r\n\r\n'
        )
        reader = build_reader()
        self.assertFalse(reader.feed(head))
        self.assertTrue(reader.wants_continue)
        self.assertTrue(reader.feed(b'x'))
        reader.take()
        self.assertFalse(reader.wants_continue)


class DripTest(testtools.TestCase):
    # Guards against a sender whose single bytes occupy the listener's thread.
    def test_single_bytes_of_a_long_head_cost_little(self):
        limits = settings.InputLimits()
        reader = wire_input.RequestReader(
            line_bytes=limits.line_bytes,
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
        )
        lines = b'a:\r\n' * (limits.head_bytes // 4 - 500)
        self.assertFalse(reader.feed(b'GET / HTTP/1.1\r\n' + lines))
        started = time.process_time()
        for _ in range(100):
            for byte in b'a:\r\n':
                reader.feed(bytes([byte]))
        self.assertTrue(time.process_time() - started < 0.2)
