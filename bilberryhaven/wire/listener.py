"""Listener of an HTTP server: limits, start and graceful stop."""

import threading

from bilberryhaven import util
from bilberryhaven.wire import connection
from bilberryhaven.wire import deferral

__all__ = ['Listener']

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
REQUEST_QUEUE_SIZE = 512
STOP_TIMEOUT_SECONDS = 30
# Idle connections that are kept open: those of all instances of a fleet.
MAX_IDLE_CONNECTIONS = 2_000


class Listener:
    """Serves a WSGI application on one port, in background threads.

    Args:
        address: HOST:PORT to listen on; port 0 picks a free one.
        application: The WSGI application.
        threads: Number of requests served concurrently.
        error_log: Function called with the HTTP library's log lines.
        wrap_connection: Function from the connection class to the one to
            use, or None.
        gateway: WSGI gateway class, or None for ``deferral.Gateway``.

    Attributes:
        guard: Shuts down connections whose requests arrive too slowly; the
            application calls its ``end`` once it has read the body.
    """

    def __init__(
        self,
        *,
        address,
        application,
        threads,
        error_log,
        wrap_connection=None,
        gateway=None,
    ):
        self.guard = connection.ReadGuard()
        self._server = deferral.Server(
            util.parse_address(address),
            application,
            numthreads=threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            shutdown_timeout=STOP_TIMEOUT_SECONDS,
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.error_log = error_log
        connection_class = connection.build_connection_class(self.guard)
        self._server.ConnectionClass = (
            wrap_connection(connection_class)
            if wrap_connection
            else connection_class
        )
        self._server.gateway = gateway or deferral.Gateway
        self._thread = None

    @property
    def address(self):
        """The HOST:PORT that it listens on, once started."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def start(self):
        """Listen and serve in a background thread."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='server', daemon=True
        )
        self._thread.start()
        self.guard.start()

    def stop(self):
        """Stop listening and wait for the requests in progress."""
        self._server.stop()
        self.guard.stop()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_SECONDS)
