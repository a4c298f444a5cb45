"""Peers and backend servers that answer without end."""

import contextlib
import socket
import time

from bilberryhaven import registry
from tests import clients

# Most bytes and time that a peer spends on all its connections together.
MAX_BYTES = 128 * clients.MIB
ACT_TIMEOUT_S = 8
# Without a call for this long, the peer ends.
CALL_TIMEOUT_S = 30
MAX_HEAD_BYTES = 256 * clients.KIB

_registry = registry.Registry(family='answer')
register = _registry.register
get_answer_by_name = _registry.get

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def list_names():
    """Return the names of the answers in the order of their registration."""
    return [name for name, _ in _registry.items()]


class Answer:
    """Base of the answers.

    Attributes:
        start: What is sent first.
        block: What is then sent again and again.
    """

    start = b''
    block = b''


@register('status_line')
class StatusLine(Answer):
    """An answer with a status line without end."""

    start = b'HTTP/1.1 200 '
    block = b'x' * clients.KIB


@register('headers')
class Headers(Answer):
    """An answer with headers without end."""

    start = HEAD
    block = clients.Headers.block


@register('interim')
class Interim(Answer):
    """Interim answers without end."""

    block = b'HTTP/1.1 100 Continue\r\n\r\n'


@register('header_line')
class HeaderLine(Answer):
    """An answer with a header line without end."""

    start = HEAD + b'X-Header: '
    block = b'x' * clients.KIB


@register('chunk_extension')
class ChunkExtension(Answer):
    """An answer with the line of a chunk without end."""

    start = CHUNKED + b'2'
    block = clients.ChunkExtension.block


@register('chunks')
class Chunks(Answer):
    """An answer in chunks without end."""

    start = CHUNKED
    block = clients.build_chunk(b' ' * 8 * clients.KIB)


@register('body')
class Body(Answer):
    """An answer of a terabyte by its length."""

    start = HEAD + b'Content-Length: 1000000000000\r\n\r\n'
    block = b' ' * clients.KIB


@register('unlimited_body')
class UnlimitedBody(Answer):
    """An answer that ends with the connection."""

    start = HEAD + b'Connection: close\r\n\r\n'
    block = b' ' * clients.KIB


@register('trailers')
class Trailers(Answer):
    """An answer with trailers without end behind its body."""

    start = CHUNKED + clients.build_chunk(b'{}') + b'0\r\n'
    block = clients.Trailers.block


@register('trailer_line')
class TrailerLine(Answer):
    """An answer with a trailer line without end."""

    start = Trailers.start + b'X-Trailer: '
    block = b'x' * clients.KIB


class Peer:
    """Listens at an address and answers its calls in turn, without end.

    It ends once all its bytes or its time are used up.

    Attributes:
        calls: Number of calls that were answered.
        sent: Number of bytes sent.

    Args:
        address: HOST:PORT.
        answer: An ``Answer`` class.
    """

    def __init__(self, *, address, answer):
        self.calls = 0
        self.sent = 0
        self._answer = answer
        self._end = None
        host, _, port = address.rpartition(':')
        self._socket = socket.create_server((host, int(port)))
        self._socket.settimeout(CALL_TIMEOUT_S)

    def run(self):
        """Answer until everything is sent or the time is up."""
        # Nobody may call it again.
        with self._socket, contextlib.suppress(TimeoutError):
            self._accept()

    def _accept(self):
        while self._end is None or not self._is_over():
            sock, _ = self._socket.accept()
            if self._end is None:
                self._end = time.monotonic() + ACT_TIMEOUT_S
                self._socket.settimeout(ACT_TIMEOUT_S)
            self._serve(sock)

    def _serve(self, sock):
        # The caller may close the connection.
        with sock, contextlib.suppress(OSError):
            sock.settimeout(clients.SEND_TIMEOUT_S)
            self._read_head(sock)
            self.calls += 1
            sock.sendall(self._answer.start)
            count = max(1, clients.BLOCK_BYTES // len(self._answer.block))
            data = self._answer.block * count
            while not self._is_over():
                sock.sendall(data)
                self.sent += len(data)

    def _is_over(self):
        return self.sent >= MAX_BYTES or time.monotonic() >= self._end

    def _read_head(self, sock):
        head = b''
        while b'\r\n\r\n' not in head and len(head) < MAX_HEAD_BYTES:
            data = sock.recv(clients.BLOCK_BYTES)
            if not data:
                return
            head += data
