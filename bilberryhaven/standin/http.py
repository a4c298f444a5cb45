"""HTTP interface of a stand-in backend server; can inject broken answers."""

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
        value: Value that the body contains as JSON.
        status: HTTP status.
        lost: Close the connection without sending the answer.
        truncated: Close the connection in the middle of the answer.
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
        handle: Function that takes the method, path segments and body and
            returns a ``Reply``.
        resources: ``ResourceTracker`` that counts the connections.
        lock: Lock that guards ``resources``.
    """

    def __init__(self, *, address, handle, resources, lock):
        self._handle = handle
        self._listener = listener.Listener(
            address=address,
            application=self._serve,
            threads=THREADS,
            error_log=_discard_log,
            wrap_connection=lambda connection_class: _count_connections(
                connection_class, resources, lock
            ),
            gateway=_Gateway,
        )

    @property
    def address(self):
        """The HOST:PORT that it listens on, once started."""
        return self._listener.address

    def start(self):
        """Start listening and serve in a dedicated thread."""
        self._listener.start()

    def stop(self):
        """Stop listening and wait for requests in progress."""
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
        reason_phrase = server.REASON_PHRASES.get(reply.status, 'Unknown')
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(reply.body))),
        ]
        start_response(f'{reply.status} {reason_phrase}', headers)
        return [body]

    def _answer(self, environ):
        parts = environ['PATH_INFO'].strip('/').split('/')
        try:
            body = server.read_body(environ)
            return self._handle(environ['REQUEST_METHOD'], parts, body)
        except errors.BilberryhavenError as error:
            return Reply(status=error.status, value=error.to_dict())


def _count_connections(connection_class, resources, lock):
    class CountedConnection(connection_class):
        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            self._counted = True
            with lock:
                resources.open_connection()

        def close(self):
            with lock:
                if self._counted:
                    resources.close_connection()
                self._counted = False
            super().close()

    return CountedConnection


def _discard_log(msg='', level=20, traceback=False):
    """Discard the HTTP server's log lines: broken answers are intentional."""
