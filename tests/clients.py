"""Clients that do not behave: what they send, and how much of it.

``python -m tests.clients`` lets each kind act on each listener, with the crowd
and the bounds of ``test_clients``.
"""

import contextlib
import dataclasses
import socket
import struct
import sys
import threading
import time
import unittest

from bilberryhaven import registry

KIB = 1024
MIB = 1024 * KIB
BLOCK_BYTES = 64 * KIB
CONNECT_TIMEOUT_S = 5
# A process that reads nothing for this long has stopped reading.
SEND_TIMEOUT_S = 4
ACT_TIMEOUT_S = 12
# How long a connection stays open after its last byte, unless it is closed.
HOLD_S = 1
SLOW_INTERVAL_S = 1

_registry = registry.Registry(family='client')
register = _registry.register
get_client_by_name = _registry.get


def list_names():
    """Return the names of the kinds in the order of their registration."""
    return [name for name, _ in _registry.items()]


@dataclasses.dataclass(kw_only=True, frozen=True)
class Target:
    """What a client calls.

    Attributes:
        address: HOST:PORT.
        method: HTTP method.
        path: Path.
        body: A body that the listener accepts.
        read_path: Path of a GET request that is answered.
        host: Value of the header Host.
    """

    address: str
    method: str
    path: str
    body: bytes
    read_path: str
    host: str = 'nony24.example'

    def build_head(self, *headers, path='', host=''):
        """Return a request line and headers, without the empty line."""
        lines = [
            f'{self.method} {path or self.path} HTTP/1.1',
            f'Host: {host or self.host}',
            'Content-Type: application/json',
            *headers,
        ]
        return ''.join(f'{line}\r\n' for line in lines).encode()

    def build_read(self, path=''):
        """Return a complete GET request."""
        line = f'GET {path or self.read_path} HTTP/1.1\r\n'
        return f'{line}Host: {self.host}\r\n\r\n'.encode()


class Client:
    """Base of the kinds of clients; one object is one connection.

    Attributes:
        kind: Number of the kind in issue 50's list.
        connections: Number of connections that act at the same time.
        max_bytes: Most bytes that a connection sends.
        counts_unread: Whether bytes that have arrived at the port and haven't
            been read are counted to the memory of the process.
        block: What is sent again and again after the start.

    Args:
        target: The ``Target``.
        index: Number of the connection.
        end: When it stops, in seconds of the steady clock.
    """

    kind = 0
    connections = 8
    max_bytes = 16 * MIB
    counts_unread = False
    block = b''

    def __init__(self, *, target, index, end):
        self.target = target
        self.index = index
        self.sent = 0
        self._end = end

    def run(self):
        """Act until the connection is closed or everything is sent."""
        # Refusing or closing the connection is allowed.
        with contextlib.suppress(OSError), self.connect() as sock:
            self.act(sock)

    @staticmethod
    def run_together(crowd):
        """Let the clients act at the same time."""
        threads = [
            threading.Thread(target=client.run, daemon=True)
            for client in crowd
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def connect(self):
        """Return a connected socket."""
        host, _, port = self.target.address.rpartition(':')
        sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        sock.settimeout(SEND_TIMEOUT_S)
        return sock

    def act(self, sock):
        """Send the start and then blocks; keep the connection for a time."""
        self.send(sock, self.build_start())
        if self.block:
            count = max(1, BLOCK_BYTES // len(self.block))
            self.send_repeatedly(sock, self.block * count)
        self.hold(sock)

    def build_start(self):
        """Return the bytes before the blocks."""
        return b''

    def send(self, sock, data):
        """Send bytes and count them."""
        sock.sendall(data)
        self.sent += len(data)

    def send_repeatedly(self, sock, data):
        """Send ``data`` until ``max_bytes`` are sent or the time is up."""
        while self.sent + len(data) <= self.max_bytes and not self.is_over():
            self.send(sock, data)

    def is_over(self):
        """Return whether its time is up."""
        return time.monotonic() >= self._end

    def hold(self, sock):
        """Read until the connection is closed or ``HOLD_S`` have passed."""
        end = min(self._end, time.monotonic() + HOLD_S)
        while (left_s := end - time.monotonic()) > 0:
            sock.settimeout(left_s)
            if not sock.recv(BLOCK_BYTES):
                return


def run_crowd(cls, target):
    """Let all connections of a kind act; return the bytes sent."""
    end = time.monotonic() + ACT_TIMEOUT_S
    crowd = [
        cls(target=target, index=index, end=end)
        for index in range(cls.connections)
    ]
    cls.run_together(crowd)
    return sum(client.sent for client in crowd)


class ChunkedClient(Client):
    """Base of clients that send a chunked body."""

    first_chunks = b''

    def build_start(self):
        head = self.target.build_head('Transfer-Encoding: chunked')
        return head + b'\r\n' + self.first_chunks


def build_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


@register('trailers')
class Trailers(ChunkedClient):
    """Trailers without end after a body that can be read."""

    kind = 1
    block = b'X-Trailer: 0123456789\r\n'

    def build_start(self):
        body = build_chunk(self.target.body)
        return super().build_start() + body + b'0\r\n'


@register('trailer_line')
class TrailerLine(Trailers):
    """One trailer line without end after a body that can be read."""

    block = b'x' * KIB

    def build_start(self):
        return super().build_start() + b'X-Trailer: '


@register('trailers_of_a_bad_body')
class TrailersOfABadBody(ChunkedClient):
    """Trailers without end after a body that can't be read."""

    kind = 1
    block = Trailers.block
    first_chunks = build_chunk(b'{"') + b'0\r\n'


class ChunkLine(ChunkedClient):
    """Base of clients that send a chunk's line without end."""

    kind = 2
    # A listener with two threads reads only two of them at the same time.
    connections = 4
    max_bytes = 32 * MIB


@register('chunk_extension')
class ChunkExtension(ChunkLine):
    """An extension without end in the line of a chunk's size."""

    first_chunks = b'2'
    block = b';a=b'


@register('last_chunk_extension')
class LastChunkExtension(ChunkExtension):
    """An extension without end in the line of the last chunk."""

    first_chunks = b'0'


@register('chunk_size')
class ChunkSize(ChunkLine):
    """Leading zeros of a chunk's size without end."""

    block = b'0' * KIB


@register('chunks')
class Chunks(ChunkedClient):
    """Chunked bodies of almost 8 MiB in all threads at once."""

    kind = 3
    connections = 16
    max_bytes = 8 * MIB
    block = build_chunk(b' ' * 256 * KIB)


@register('small_chunks')
class SmallChunks(ChunkedClient):
    """Chunks of a byte without end."""

    kind = 3
    connections = 4
    max_bytes = 2 * MIB
    block = build_chunk(b' ')


@register('bodies')
class Bodies(Client):
    """Bodies of 8 MiB, the most that is read, in all threads at once.

    The last byte is held back, so that all are kept at the same time.
    """

    kind = 3
    connections = 16
    max_bytes = 8 * MIB
    block = b' ' * KIB

    def build_start(self):
        length = f'Content-Length: {self.max_bytes}'
        return self.target.build_head(length) + b'\r\n'


@register('missing_bodies')
class MissingBodies(Client):
    """Bodies that are declared and never sent, in all threads."""

    kind = 3
    connections = 200
    max_bytes = KIB

    def build_start(self):
        return self.target.build_head('Content-Length: 1024') + b'\r\n'


@register('slow_bodies')
class SlowBodies(MissingBodies):
    """Bodies of which a byte arrives each second, in all threads."""

    def act(self, sock):
        self.send(sock, self.build_start())
        # A short connection shows nothing; the server's time-out is 5 s.
        while not self.is_over():
            self.send(sock, b' ')
            time.sleep(SLOW_INTERVAL_S)


@register('headers')
class Headers(Client):
    """Headers without end."""

    kind = 4
    block = b'X-Header: 0123456789\r\n'

    def build_start(self):
        return self.target.build_head()


@register('distinct_headers')
class DistinctHeaders(Headers):
    """Headers without end, each with a name of its own."""

    def act(self, sock):
        self.send(sock, self.build_start())
        number = 0
        while self.sent < self.max_bytes and not self.is_over():
            rows = range(number, number + KIB)
            self.send(sock, b''.join(b'X-%d: 1\r\n' % row for row in rows))
            number += KIB
        self.hold(sock)


@register('header_line')
class HeaderLine(Headers):
    """One header line without end."""

    block = b'x' * KIB

    def build_start(self):
        return super().build_start() + b'X-Header: '


@register('folded_header')
class FoldedHeader(Headers):
    """A header folded into lines without end."""

    block = b' 0123456789\r\n'

    def build_start(self):
        return super().build_start() + b'X-Header: 1\r\n'


@register('request_line')
class RequestLine(Client):
    """A request line without end."""

    kind = 4
    block = b'x' * KIB

    def build_start(self):
        return f'{self.target.method} /'.encode()


class Holder(Client):
    """Base of clients that only occupy connections, all at the same time."""

    kind = 5
    # More than the descriptors that a process of the tests may use.
    connections = 1_200
    max_bytes = KIB

    @staticmethod
    def run_together(crowd):
        with contextlib.ExitStack() as stack:
            for client in crowd:
                if client.is_over():
                    break
                with contextlib.suppress(OSError):
                    sock = stack.enter_context(client.connect())
                    client.act(sock)
            time.sleep(HOLD_S)

    def act(self, sock):
        self.send(sock, self.build_start())


@register('silent')
class Silent(Holder):
    """Connections without a request, more than descriptors."""


@register('idle')
class Idle(Holder):
    """Connections that are kept after an answer, more than descriptors."""

    def build_start(self):
        return self.target.build_read()


@register('reset')
class Reset(Holder):
    """Connections that are reset at once."""

    def act(self, sock):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        sock.close()


@register('half_closed')
class HalfClosed(Holder):
    """Connections whose sending side is closed in the middle of headers."""

    def act(self, sock):
        self.send(sock, self.target.build_head())
        sock.shutdown(socket.SHUT_WR)


@register('unread_requests')
class UnreadRequests(Holder):
    """Bytes that arrive at connections which no thread reads.

    The pages count them to the memory of the process.
    """

    connections = 1_000
    max_bytes = MIB
    counts_unread = True
    block = b' ' * 16 * KIB

    def act(self, sock):
        length = f'Content-Length: {self.max_bytes}'
        self.send(sock, self.target.build_head(length) + b'\r\n')
        sock.setblocking(False)
        # Raises an error once the window is full.
        while self.sent + len(self.block) < self.max_bytes:
            self.sent += sock.send(self.block)


@register('unread_answers')
class UnreadAnswers(Client):
    """Requests by the thousand, whose answers are never read."""

    kind = 6
    connections = 64
    max_bytes = 2 * MIB

    def connect(self):
        sock = super().connect()
        # The smaller the window, the sooner the answers fill it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        return sock

    def act(self, sock):
        read = self.target.build_read()
        self.send_repeatedly(sock, read * (BLOCK_BYTES // len(read)))
        time.sleep(HOLD_S)


class BodyClient(Client):
    """Base of clients that send one complete body each."""

    kind = 7

    def build_body(self):
        """Return the body."""
        raise NotImplementedError

    def build_start(self):
        body = self.build_body()
        length = f'Content-Length: {len(body)}'
        return self.target.build_head(length) + b'\r\n' + body


@register('nested_lists')
class NestedLists(BodyClient):
    """JSON lists nested as deep as a body allows."""

    max_bytes = 8 * MIB

    def build_body(self):
        return b'[' * (self.max_bytes - KIB)


@register('long_number')
class LongNumber(BodyClient):
    """A JSON number of millions of digits."""

    max_bytes = 8 * MIB

    def build_body(self):
        return b'{"steps":' + b'9' * (self.max_bytes - KIB) + b'}'


@register('many_keys')
class ManyKeys(BodyClient):
    """A JSON object of very many keys."""

    max_bytes = 8 * MIB

    def build_body(self):
        return b'{' + b','.join(b'"%d":{}' % n for n in range(600_000)) + b'}'


@register('many_values')
class ManyValues(BodyClient):
    """JSON lists of very many empty objects in the fields of a job."""

    connections = 16
    max_bytes = 8 * MIB

    def build_body(self):
        values = b'[' + b'{},' * 2_500_000 + b'{}]'
        return b'{"spec":"","steps":' + values + b',"payload":[]}'


@register('expect_continue')
class ExpectContinue(Client):
    """``Expect: 100-continue`` without a body, in all threads."""

    kind = 7
    connections = 200
    max_bytes = KIB

    def build_start(self):
        return (
            self.target.build_head(
                'Content-Length: 1024', 'Expect: 100-continue'
            )
            + b'\r\n'
        )


class _Smuggler(Client):
    """Base of clients whose request has two lengths."""

    kind = 7
    max_bytes = 64 * KIB
    headers = ()

    def build_start(self):
        body = self.target.build_read()
        head = self.target.build_head(*self.headers)
        return head + b'\r\n' + b'0\r\n\r\n' + body


@register('length_with_chunks')
class LengthWithChunks(_Smuggler):
    """A length beside a chunked body."""

    headers = ('Content-Length: 5', 'Transfer-Encoding: chunked')


@register('two_lengths')
class TwoLengths(_Smuggler):
    """Two different lengths."""

    headers = ('Content-Length: 5', 'Content-Length: 0')


@register('upgrade')
class Upgrade(_Smuggler):
    """A request to change the protocol."""

    headers = ('Connection: Upgrade', 'Upgrade: h2c', 'Content-Length: 0')


@register('names')
class Names(Client):
    """A new path, host and id in each request."""

    kind = 10
    max_bytes = MIB // 2

    def act(self, sock):
        number = 0
        while self.sent < self.max_bytes and not self.is_over():
            name = f'{self.index:02d}{number:08d}' + 'x' * KIB
            read = self.target.build_read(f'{self.target.path}{name}')
            read = read.replace(b'Host: ', b'Host: ' + name.encode())
            self.send(sock, read)
            sock.recv(BLOCK_BYTES)
            number += 1


def run_all(args):
    """Run the tests of all kinds at all listeners, or at those named."""
    from tests import test_clients  # noqa: PLC0415

    suite = test_clients.build_complete_suite(args)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    return 0 if result.wasSuccessful() else 1


if __name__ == '__main__':
    sys.exit(run_all(sys.argv[1:]))
