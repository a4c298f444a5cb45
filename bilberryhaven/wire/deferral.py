"""Responses that are completed after the thread of their request was freed.

A handler that has to wait for an event returns a future. The connection then
waits without a thread, so that many held requests don't keep other requests
from being served.
"""

from cheroot import wsgi

from bilberryhaven import clock as clocks
from bilberryhaven import log
from bilberryhaven.wire import connections

__all__ = ['Deferred', 'Gateway', 'SENT_AFTER_KEY', 'SOCKET_KEY', 'Server']

# Entry of the WSGI environ with the socket of the request's connection.
SOCKET_KEY = 'bilberryhaven.socket'
# Entry with the ``sent_after`` of the connection.
SENT_AFTER_KEY = 'bilberryhaven.sent_after'

_logger = log.get_logger('wire')


class Deferred:
    """Result of a WSGI application whose response isn't known yet.

    Args:
        future: Future that is done when the response is known.
        build_body: Function without arguments that calls ``start_response``
            and returns the chunks of the body; called once ``future`` is
            done.
    """

    def __init__(self, *, future, build_body):
        self.future = future
        self.build_body = build_body


class Gateway(wsgi.Gateway_10):
    """WSGI gateway for applications that may return ``Deferred``."""

    def get_environ(self):
        """Return the environ, with what is known of the connection."""
        connection = self.req.conn
        return {
            **super().get_environ(),
            SOCKET_KEY: connection.socket,
            SENT_AFTER_KEY: connection.sent_after,
        }

    def respond(self):
        """Write the response, or let the connection wait for it."""
        result = self.req.server.wsgi_app(self.env, self.start_response)
        if not isinstance(result, Deferred):
            self.write_body(result)
            return
        # Keeps the library from writing headers when this returns.
        self.req.ready = False
        # The body of the request isn't needed any more.
        self.env = self.req.rfile = None
        self.req.conn.pending = _PendingResponse(gateway=self, deferred=result)

    def write_body(self, chunks):
        """Write the headers and the chunks of the body."""
        for chunk in filter(None, chunks):
            self.write(chunk)
        self.req.ensure_headers_sent()


class Server(wsgi.Server):
    """WSGI server whose connections can wait for deferred responses.

    Attributes:
        intake: The ``Intake``, to be set before ``prepare``.
        body_bytes: Largest body of a request, to be set likewise.
        is_for_callers: Whether it serves callers only, to be set likewise.
    """

    intake = None
    body_bytes = 0
    is_for_callers = False

    def prepare(self):
        """Listen, and receive requests without a thread for each."""
        since = clocks.SystemClock().monotonic()
        super().prepare()
        self._connections.close()
        self._connections = connections.Connections(self, since=since)

    def put_conn(self, conn):
        """Send the response, or wait for one that is pending."""
        pending = conn.pending
        if pending is not None:
            pending.release()
        elif self.ready:
            self._connections.put(conn)
        else:
            conn.finish(connections.FINISH_SECONDS)


class _PendingResponse:
    """Response that is written once it is known and its thread is free."""

    def __init__(self, *, gateway, deferred):
        self._gateway = gateway
        self._deferred = deferred

    def release(self):
        """Write the response once it is known.

        Called when the thread of the request has stopped using the
        connection.
        """
        self._deferred.future.add_done_callback(lambda future: self._finish())

    def _finish(self):
        request = self._gateway.req
        connection = request.conn
        connection.pending = None
        try:
            self._gateway.write_body(self._deferred.build_body())
        except Exception as error:  # noqa: BLE001
            _logger.warning(
                'a deferred response was not sent: {!r}',
                error,
                extra={'peer': connection.remote_addr},
            )
            connection.close()
            return
        connection.closes = request.close_connection
        request.server.put_conn(connection)
