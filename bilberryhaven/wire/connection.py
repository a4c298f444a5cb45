"""Connections of the HTTP server: coded errors and a read time-out."""

import contextlib
import datetime
import json
import socket
import threading

from cheroot import server as cheroot_server

from bilberryhaven import clock
from bilberryhaven import errors

__all__ = ['ReadGuard', 'Request', 'build_connection_class']

READ_TIMEOUT = datetime.timedelta(seconds=5)
CHECK_INTERVAL_SECONDS = 0.5
BAD_REQUEST = '400 Bad Request'
CODES = {
    '404': errors.NotFoundError,
    '408': errors.DeadlineError,
    '5': errors.InternalError,
}


class ReadGuard:
    """Shuts down connections that send a request too slowly.

    Without it, a client that sends its headers byte by byte could occupy a
    thread indefinitely.

    Args:
        timeout: Longest time to receive a request's headers and body, a
            timedelta.
    """

    def __init__(self, *, timeout=READ_TIMEOUT):
        self._timeout = timeout
        self._clock = clock.SystemClock()
        self._started = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self):
        """Start the thread that checks the time-outs."""
        threading.Thread(
            target=self._monitor, name='read-guard', daemon=True
        ).start()

    def stop(self):
        """Stop checking the time-outs."""
        self._stopped.set()

    def begin(self, sock):
        """Start the time-out of the request read from ``sock``.

        Each thread reads one request at a time.
        """
        at = self._clock.monotonic()
        with self._lock:
            self._started[threading.get_ident()] = (sock, at)

    def end(self):
        """End the time-out of the request that the current thread reads."""
        with self._lock:
            self._started.pop(threading.get_ident(), None)

    def _monitor(self):
        while not self._stopped.wait(CHECK_INTERVAL_SECONDS):
            self._shut_down_slow()

    def _shut_down_slow(self):
        limit = self._clock.monotonic() - self._timeout
        with self._lock:
            slow = [sock for sock, at in self._started.values() if at < limit]
            for sock in slow:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)


class Request(cheroot_server.HTTPRequest):
    """Request for which the server reports its errors as coded JSON."""

    guard = None

    def parse_request(self):
        """Read the headers within the guard's time-out."""
        self.guard.begin(self.conn.socket)
        super().parse_request()
        if not self.ready:
            self.guard.end()

    def respond(self):
        """Respond; the guard's time-out applies until the body is read."""
        # Unread chunks would be parsed as the next request.
        self.close_connection = self.close_connection or self.chunked_read
        try:
            if int(self.inheaders.get(b'Content-Length', 0)) < 0:
                self.simple_response(BAD_REQUEST, 'negative Content-Length')
                return
            super().respond()
        finally:
            self.guard.end()

    def simple_response(self, status, msg=''):
        """Write the response to an error detected by the HTTP library."""
        number = str(status)[:3]
        if number == '100':
            super().simple_response(status, msg)
            return
        if not self.ready and number[0] == '5':
            # The HTTP library reports a server error for headers that it
            # can't parse, because they raise an exception in it.
            number, status = BAD_REQUEST[:3], BAD_REQUEST
        self.close_connection = True
        body = json.dumps(_build_error(number, msg or str(status)).to_dict())
        head = (
            f'HTTP/1.1 {status}\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        try:
            self.conn.wfile.write((head + body).encode())
        except OSError:
            return


def build_connection_class(guard):
    """Return a connection class whose requests ``guard`` times out.

    The attribute ``pending`` of a connection is the deferred response that
    it waits for, or None.
    """
    request_class = type('GuardedRequest', (Request,), {'guard': guard})
    return type(
        'GuardedConnection',
        (cheroot_server.HTTPConnection,),
        {'RequestHandlerClass': request_class, 'pending': None},
    )


def _build_error(number, text):
    cls = CODES.get(number) or CODES.get(number[:1]) or errors.BadInputError
    return cls(text, step='read request', outcome=errors.Outcome.NOT_RUN)
