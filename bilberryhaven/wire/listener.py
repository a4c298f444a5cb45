"""Listener of an HTTP server: limits, start and graceful stop."""

import threading

from bilberryhaven import settings
from bilberryhaven import util
from bilberryhaven.wire import connection
from bilberryhaven.wire import deferral
from bilberryhaven.wire import intake as wire_intake

__all__ = ['Listener']

MAX_BODY_BYTES = settings.InputLimits().body_bytes
MAX_HEADER_BYTES = settings.InputLimits().head_bytes
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
        intake: The ``Intake``, or None for that of the process.
        is_for_callers: Whether it serves callers, whose bodies are smaller
            than those of operators and of other processes.
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
        intake=None,
        is_for_callers=False,
    ):
        self._intake = intake or wire_intake.PROCESS
        self._is_for_callers = is_for_callers
        self._server = deferral.Server(
            util.parse_address(address),
            application,
            numthreads=threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            shutdown_timeout=STOP_TIMEOUT_SECONDS,
        )
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.error_log = error_log
        self._server.ConnectionClass = (
            wrap_connection(connection.Connection)
            if wrap_connection
            else connection.Connection
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
        limits = self._intake.limits
        self._server.intake = self._intake
        self._server.is_for_callers = self._is_for_callers
        self._server.body_bytes = (
            limits.caller_body_bytes
            if self._is_for_callers
            else limits.body_bytes
        )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='server', daemon=True
        )
        self._thread.start()

    def stop(self):
        """Stop listening and wait for the requests in progress."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_SECONDS)
