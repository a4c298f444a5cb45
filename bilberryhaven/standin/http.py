"""HTTP surface of a stand-in backend server, with broken answers on demand."""

import socket

from cheroot import wsgi
import msgspec

from bilberryhaven import errors
from bilberryhaven.wire import listener
from bilberryhaven.wire import server

__all__ = ['HttpServer', 'Reply']

CONNECTION_KEY = 'standin.request'
THREADS = 24


class Reply:
    """An HTTP answer in JSON.

    Args:
        status: HTTP status.
        value: What the body holds.
        lost: Break the connection in place of the answer.
        truncated: Break the connection in the middle of the answer.
    """

    def __init__(self, *, value, status=200, lost=False, truncated=False):
        self.status = status
        self.body = msgspec.json.encode(value)
        self.lost = lost
        self.truncated = truncated


class _Gateway(wsgi.Gateway_10):
    def get_environ(self):
        return {**super().get_environ(), CONNECTION_KEY: self.req}


class HttpServer:
    """Serves JSON and counts connections.

    Args:
        address: HOST:PORT; port 0 picks a free one.
        handle: Function from method, path parts and body to a ``Reply``.
        ledger: Where connections are counted.
        lock: Guards the ledger.
    """

    def __init__(self, *, address, handle, ledger, lock):
        self._handle = handle
        self._listener = listener.Listener(
            address=address,
            application=self._serve,
            threads=THREADS,
            error_log=_ignore,
            wrap_connection=lambda kind: _count_connections(
                kind, ledger, lock
            ),
            gateway=_Gateway,
        )

    @property
    def address(self):
        """The HOST:PORT that it listens on, once started."""
        return self._listener.address

    def start(self):
        """Listen, and serve in a thread of its own."""
        self._listener.start()

    def stop(self):
        """Stop listening and wait for the requests in progress."""
        self._listener.stop()

    def _serve(self, environ, start_response):
        reply = self._answer(environ)
        request = environ[CONNECTION_KEY]
        body = reply.body
        if reply.lost:
            request.close_connection = True
            request.conn.socket.shutdown(socket.SHUT_RDWR)
        if reply.truncated:
            request.close_connection = True
            body = body[: len(body) // 2]
        reason = server.REASON_PHRASES.get(reply.status, 'Unknown')
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(reply.body))),
        ]
        start_response(f'{reply.status} {reason}', headers)
        return [body]

    def _answer(self, environ):
        parts = environ['PATH_INFO'].strip('/').split('/')
        try:
            try:
                body = server.read_body(environ)
            finally:
                self._listener.guard.end()
            return self._handle(environ['REQUEST_METHOD'], parts, body)
        except errors.BilberryhavenError as error:
            return Reply(status=error.status, value=error.to_dict())


def _count_connections(kind, ledger, lock):
    class CountedConnection(kind):
        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            self._counted = True
            with lock:
                ledger.open_connection()

        def close(self):
            with lock:
                if self._counted:
                    ledger.close_connection()
                self._counted = False
            super().close()

    return CountedConnection


def _ignore(msg='', level=20, traceback=False):
    """Drop the HTTP server's own log lines; faults are wanted here."""
