"""HTTP server of a process: messages, API, health and metrics."""

import concurrent.futures
import contextlib
import json
import select
import socket
import threading
import traceback

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import util
from bilberryhaven.wire import client
from bilberryhaven.wire import codec
from bilberryhaven.wire import deferral
from bilberryhaven.wire import listener
from bilberryhaven.wire import message

__all__ = [
    'Response',
    'Server',
    'build_error_reply',
    'build_error_response',
    'check_connected',
    'read_author',
    'read_body',
    'read_sent_after',
]

MS_PER_S = 1000
AUTHOR_HEADER = 'HTTP_X_BILBERRYHAVEN_BY'
REASON_PHRASES = {
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    409: 'Conflict',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

_logger = log.get_logger('wire')
_log = log.BoundedLog(logger=_logger, clock=clocks.SystemClock())


class Response:
    """An HTTP response.

    Args:
        status: HTTP status.
        body: Body as bytes.
        content_type: Media type of the body.
        headers: Additional headers, a mapping.
    """

    def __init__(
        self,
        *,
        status=200,
        body=b'',
        content_type='application/json',
        headers=None,
    ):
        self.status = status
        self.body = body
        self.headers = {
            'Content-Type': content_type,
            'Content-Length': str(len(body)),
            **(headers or {}),
        }


def build_error_reply(error):
    """Return the message that carries ``error`` to a peer."""
    retry_after_ms = round((error.retry_after or 0) * MS_PER_S)
    return message.ErrorReply(**error.to_dict(), retry_after_ms=retry_after_ms)


def build_error_response(error):
    """Return the ``Response`` that reports ``error`` to an HTTP client."""
    headers = {}
    if error.retry_after is not None:
        headers['Retry-After'] = str(max(1, round(error.retry_after)))
    return Response(
        status=error.status,
        body=json.dumps(error.to_dict()).encode(),
        headers=headers,
    )


def read_author(environ):
    """Return the sender of an API request: its header or its address.

    It is stored with each change, so a long name is cut off.
    """
    author = environ.get(AUTHOR_HEADER) or environ.get('REMOTE_ADDR', '')
    return util.shorten(author)


class Server:
    """HTTP server on the port of a process.

    Args:
        address: HOST:PORT to listen on; port 0 picks a free one.
        handlers: Functions from a message to its reply, or to a future of
            it, by message class. A request whose reply is a future occupies
            no thread until the reply is known.
        fallback: Function from a WSGI environ and body to a ``Response``,
            for all other paths.
        threads: Number of requests served concurrently.
        limits: Largest number of messages of a class that are handled
            concurrently, by message class; more are refused at once, so that
            no class of messages starves another.
        wrap_connection: Function from the connection class to the one to
            use, or None.
        is_for_callers: Whether it serves callers only; see ``Listener``.
    """

    def __init__(
        self,
        *,
        address,
        handlers,
        fallback=None,
        threads=16,
        limits=None,
        wrap_connection=None,
        is_for_callers=False,
    ):
        self._handlers = dict(handlers)
        self._slots = {
            cls: threading.BoundedSemaphore(count)
            for cls, count in (limits or {}).items()
        }
        self._fallback = fallback
        self._listener = listener.Listener(
            address=address,
            application=self._serve,
            threads=threads,
            error_log=_log_server_error,
            wrap_connection=wrap_connection,
            is_for_callers=is_for_callers,
        )

    @property
    def address(self):
        """The HOST:PORT that it listens on, once started."""
        return self._listener.address

    def start(self):
        """Listen and serve in a background thread."""
        self._listener.start()

    def stop(self):
        """Stop listening and wait for the requests in progress."""
        self._listener.stop()

    def _serve(self, environ, start_response):
        response = self._answer(environ)
        if not isinstance(response, concurrent.futures.Future):
            return _start_response(response, start_response)
        return deferral.Deferred(
            future=response,
            build_body=lambda: _start_response(
                _build_deferred_response(response), start_response
            ),
        )

    def _answer(self, environ):
        body = read_body(environ)
        # A listener for callers only decodes no messages.
        if self._handlers and environ['PATH_INFO'] == client.MESSAGE_PATH:
            return self._answer_message(environ, body)
        if self._fallback is None:
            return Response(status=404)
        try:
            return self._fallback(environ, body)
        except Exception as error:  # noqa: BLE001
            return build_error_response(_convert_exception(error))

    def _answer_message(self, environ, body):
        """Return the ``Response``, or a future of the reply message."""
        try:
            msg = codec.decode(body)
            handler = self._handlers.get(type(msg))
            if handler is None:
                raise errors.BadInputError(
                    f'this role does not handle {type(msg).__name__}',
                    step='dispatch',
                )
            if isinstance(msg, message.Relayed):
                msg.note_received(read_sent_after(environ))
            with self._claim_slot(msg):
                reply = handler(msg)
        except Exception as error:  # noqa: BLE001
            reply = _convert_error(error)
        if isinstance(reply, concurrent.futures.Future):
            return reply
        return _build_message_response(reply)

    @contextlib.contextmanager
    def _claim_slot(self, msg):
        slots = self._slots.get(type(msg))
        if slots is None:
            yield
            return
        if not slots.acquire(blocking=False):
            raise errors.OverloadError(
                f'too many {type(msg).__name__} messages are being handled',
                step='dispatch',
                retry_after=1,
            )
        try:
            yield
        finally:
            slots.release()


def _convert_error(error):
    """Return the reply that reports an exception to a peer."""
    return build_error_reply(_convert_exception(error))


def _convert_exception(error):
    if isinstance(error, errors.BilberryhavenError):
        return error
    _log.warning(
        'handler',
        f'a handler failed: {error!r}',
        exception=''.join(traceback.format_exception(error)),
    )
    return errors.InternalError(repr(error), step='dispatch')


def _build_message_response(reply):
    return Response(body=codec.encode(reply), content_type=client.CONTENT_TYPE)


def _build_deferred_response(future):
    error = future.exception()
    reply = _convert_error(error) if error else future.result()
    return _build_message_response(reply)


def _start_response(response, start_response):
    reason = REASON_PHRASES.get(response.status, 'Unknown')
    headers = list(response.headers.items())
    start_response(f'{response.status} {reason}', headers)
    return [response.body]


def check_connected(environ, *, step):
    """Check that the sender of a request still waits for the response.

    A request that waited while this process was suspended is out of date:
    its sender has closed the connection and sent it elsewhere. A sender that
    only ends its sending side is taken for one that has gone.

    Args:
        environ: The WSGI environ.
        step: Name of the operation, for the error.

    Raises:
        UnavailableError: The sender has closed the connection.
    """
    sock = environ.get(deferral.SOCKET_KEY)
    if sock is not None and _is_closed_by_peer(sock):
        _logger.warning('{}: the sender has closed the connection', step)
        raise errors.UnavailableError(
            'the sender of the request has closed the connection',
            step=step,
            peer=environ.get('REMOTE_ADDR', ''),
        )


def _is_closed_by_peer(sock):
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    if not poller.poll(0):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def read_sent_after(environ):
    """Return the steady time before which a request can't have been sent.

    Args:
        environ: The WSGI environ.

    Returns:
        A timedelta, as of ``SystemClock.monotonic``; None if it is unknown.
    """
    return environ.get(deferral.SENT_AFTER_KEY)


def read_body(environ):
    """Return the body of a WSGI request.

    It is complete: a request is served once it has been received.
    """
    return environ['wsgi.input'].read()


def _log_server_error(msg='', level=20, traceback=False):
    _logger.warning('HTTP server: {}', msg)
