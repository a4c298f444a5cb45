"""HTTP surface of a stand-in backend server, with broken answers on demand."""

import socket
import threading

from cheroot import wsgi
import msgspec

from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven.wire import connection
from bilberryhaven.wire import server

__all__ = ['HttpServer', 'Reply']

CONNECTION_KEY = 'standin.request'
MAX_BODY_BYTES = 8 * 1024 * 1024
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
        self._server = wsgi.Server(
            util.parse_address(address),
            self._serve,
            numthreads=THREADS,
            request_queue_size=128,
        )
        self._server.gateway = _Gateway
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._guard = connection.ReadGuard()
        self._server.ConnectionClass = _build_connection_class(
            self._guard, ledger, lock
        )
        self._server.error_log = _ignore
        self._thread = None

    @property
    def address(self):
        """The HOST:PORT that it listens on, once started."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def start(self):
        """Listen, and serve in a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='standin', daemon=True
        )
        self._thread.start()
        self._guard.start()

    def stop(self):
        """Stop listening and wait for the requests in progress."""
        self._guard.stop()
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

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
        reason = server.REASONS.get(reply.status, 'Unknown')
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
                self._guard.end()
            return self._handle(environ['REQUEST_METHOD'], parts, body)
        except errors.BilberryhavenError as error:
            return Reply(status=error.status, value=error.to_dict())


def _build_connection_class(guard, ledger, lock):
    class CountedConnection(connection.build_connection_class(guard)):
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
