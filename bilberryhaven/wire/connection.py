"""Connections of the HTTP server: complete requests and coded errors."""

import contextlib
import io
import json
import select
import socket
import time

from cheroot import server as cheroot_server

from bilberryhaven import errors
from bilberryhaven.wire import input as wire_input
from bilberryhaven.wire import output

__all__ = ['Connection', 'Request']

MS_PER_S = 1000
BAD_REQUEST = '400 Bad Request'
CODES = {
    '404': errors.NotFoundError,
    '408': errors.DeadlineError,
    '503': errors.OverloadError,
    '5': errors.InternalError,
}


class _HeaderReader(cheroot_server.HeaderReader):
    """Reads the headers of a request that has been received completely."""

    def __call__(self, rfile, hdict=None):
        """Return the headers without the one that asks for the body."""
        hdict = super().__call__(rfile, hdict)
        hdict.pop(b'Expect', None)
        return hdict

    def _allow_header(self, key_name):
        # Applications would take it for the header with a hyphen.
        return b'_' not in key_name


class Request(cheroot_server.HTTPRequest):
    """Request that was read before its thread started to serve it.

    The server reports its errors as coded JSON.
    """

    header_reader = _HeaderReader()

    def parse_request(self):
        """Parse the request line and the headers."""
        self.rfile = self.conn.rfile
        self.ready = self.read_request_line() and self.read_request_headers()

    def respond(self):
        """Respond; the body is at hand without its transfer coding."""
        self.rfile = io.BytesIO(self.conn.take_body())
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def simple_response(self, status, msg=''):
        """Write the response to an error detected by the HTTP library."""
        number = str(status)[:3]
        if not self.ready and number[0] == '5':
            # The HTTP library reports a server error for headers that it
            # can't parse, because they raise an exception in it.
            number, status = BAD_REQUEST[:3], BAD_REQUEST
        self.close_connection = True
        # Once it was parsed, the application may have carried it out.
        outcome = (
            errors.Outcome.UNKNOWN if self.ready else errors.Outcome.NOT_RUN
        )
        error = _build_error(number, msg or str(status), outcome)
        self.conn.wfile.write(encode_refusal(status, error))


class Connection(cheroot_server.HTTPConnection):
    """A connection whose requests are collected before they are served.

    Args:
        server: The HTTP server.
        sock: The connected socket.
        makefile: Not used; the library passes it.

    Attributes:
        pending: The deferred response that it waits for, or None.
        place: The queue of ``connections.Connections`` that it is in.
        since: Monotonic time in seconds at which it was put there.
        reader: The ``RequestReader`` of its requests.
        claimed_bytes: What it may keep of the process's memory for requests.
        closes: Whether it is closed once the response is sent.
        sent_after: Steady time, a timedelta, before which its current request
            can't have been sent: when the connection was opened, or when the
            response before was sent. It may be earlier than either.
        answered_at: Steady time before the last part of a response was sent.
        has_room: Whether the process has room for one more connection.
    """

    RequestHandlerClass = Request

    def __init__(self, server, sock, makefile=None):
        limits = server.intake.limits
        self.server = server
        self.socket = sock
        self.fd = sock.fileno()
        self.rfile = io.BytesIO()
        self.wfile = output.Writer(sock)
        self.requests_seen = 0
        self.pending = None
        self.closes = False
        self.place = None
        self.since = 0.0
        self.discarded = 0
        self.sent_after = None
        self.answered_at = None
        self._is_ahead = False
        self._is_message = False
        self.claimed_bytes = 0
        self.reader = wire_input.RequestReader(
            line_bytes=limits.line_bytes,
            head_bytes=limits.head_bytes,
            body_bytes=server.body_bytes,
            takes_messages=not server.is_for_callers,
        )
        self._body = b''
        self._is_open = True
        self.has_room = server.intake.open_connection(id(server))

    def take_body(self):
        """Return the body of the request that is served, once."""
        body, self._body = self._body, b''
        return body

    def note_early_input(self):
        """Find out whether its peer sends ahead of the response.

        Then responses say nothing of when later requests were sent.
        """
        self._is_ahead = (
            self._is_ahead
            or bool(self.reader.kept_bytes)
            # Other processes of the system wait for each response.
            or (not self._is_message and _has_input(self.socket))
        )

    def note_answered(self):
        """Note that the response was sent before the next request."""
        if not self._is_ahead and self.answered_at is not None:
            self.sent_after = self.answered_at

    def resize_claim(self, needed):
        """Change what it may keep; return whether the process has room.

        Args:
            needed: Number of bytes.
        """
        if not self.server.intake.resize(self.claimed_bytes, needed):
            return False
        self.claimed_bytes = needed
        return True

    def close(self):
        """Close the socket and release what it kept."""
        self.resize_claim(0)
        if self._is_open:
            self._is_open = False
            self.server.intake.close_connection(id(self.server))
        super().close()

    def communicate(self):
        """Serve the request that is complete; return True.

        What follows is decided when the response has been sent.
        """
        request = self.reader.take()
        self.rfile = io.BytesIO(request.head)
        self._body = request.body
        self._is_message = request.head.startswith(wire_input.MESSAGE_HEAD)
        del request
        self.closes = not super().communicate()
        return True

    def finish(self, seconds):
        """Send the rest of the response and close.

        Args:
            seconds: Longest time to wait for the peer.
        """
        until = time.monotonic() + seconds
        poller = select.poll()
        poller.register(self.fd, select.POLLOUT)
        with contextlib.suppress(OSError):
            while not self.wfile.flush():
                left_s = until - time.monotonic()
                if left_s <= 0 or not poller.poll(left_s * MS_PER_S):
                    break
        self.close()

    def refuse(self, refusal):
        """Answer a request that can't be served, without waiting."""
        data = encode_refusal(refusal.status, refusal.error)
        try:
            self.socket.send(data, socket.MSG_DONTWAIT)
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return


def _has_input(sock):
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def encode_refusal(status, error):
    """Return the bytes of the response that refuses a request.

    Args:
        status: Status line of the response.
        error: The ``BilberryhavenError``.
    """
    body = json.dumps(error.to_dict())
    retry = ''
    if error.retry_after is not None:
        retry = f'Retry-After: {max(1, round(error.retry_after))}\r\n'
    head = (
        f'HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{retry}'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    return (head + body).encode()


def _build_error(number, text, outcome):
    cls = CODES.get(number) or CODES.get(number[:1]) or errors.BadInputError
    return cls(text, step='read request', outcome=outcome)
