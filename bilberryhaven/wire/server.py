"""HTTP server of a process: messages, API, health and metrics."""

import json

from cheroot import errors as cheroot_errors

from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import client
from bilberryhaven.wire import codec
from bilberryhaven.wire import listener
from bilberryhaven.wire import message

__all__ = [
    'Response',
    'Server',
    'build_error_reply',
    'build_error_response',
    'read_author',
    'read_body',
]

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
    return message.ErrorReply(**error.to_dict())


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
    """Return the sender of an API request: its header or its address."""
    return environ.get(AUTHOR_HEADER) or environ.get('REMOTE_ADDR', '')


class Server:
    """HTTP server on the port of a process.

    Args:
        address: HOST:PORT to listen on; port 0 picks a free one.
        handlers: Functions from a message to its reply, by message class.
        fallback: Function from a WSGI environ and body to a ``Response``,
            for all other paths.
        threads: Number of requests served concurrently.
        wrap_connection: Function from the connection class to the one to
            use, or None.
    """

    def __init__(
        self,
        *,
        address,
        handlers,
        fallback=None,
        threads=16,
        wrap_connection=None,
    ):
        self._handlers = dict(handlers)
        self._fallback = fallback
        self._listener = listener.Listener(
            address=address,
            application=self._serve,
            threads=threads,
            error_log=_log_server_error,
            wrap_connection=wrap_connection,
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
        reason = REASON_PHRASES.get(response.status, 'Unknown')
        headers = list(response.headers.items())
        start_response(f'{response.status} {reason}', headers)
        return [response.body]

    def _answer(self, environ):
        try:
            body = read_body(environ)
        except errors.BilberryhavenError as error:
            return build_error_response(error)
        finally:
            self._listener.guard.end()
        if environ['PATH_INFO'] == client.MESSAGE_PATH:
            return self._answer_message(body)
        if self._fallback is not None:
            return self._fallback(environ, body)
        return Response(status=404)

    def _answer_message(self, body):
        try:
            msg = codec.decode(body)
            handler = self._handlers.get(type(msg))
            if handler is None:
                raise errors.BadInputError(
                    f'this role does not handle {type(msg).__name__}',
                    step='dispatch',
                )
            reply = handler(msg)
        except errors.BilberryhavenError as error:
            reply = build_error_reply(error)
        except Exception as error:  # noqa: BLE001
            _logger.exception('a message handler failed')
            internal_error = errors.InternalError(repr(error), step='dispatch')
            reply = build_error_reply(internal_error)
        return Response(
            body=codec.encode(reply), content_type=client.CONTENT_TYPE
        )


def read_body(environ):
    """Return the complete body of a WSGI request.

    A chunked body has no declared length.

    Raises:
        BadInputError: The body is shorter than declared or its chunks are
            invalid.
    """
    stream = environ['wsgi.input']
    if environ.get('HTTP_TRANSFER_ENCODING'):
        try:
            return stream.read()
        except (cheroot_errors.MaxSizeExceeded, ValueError) as error:
            raise errors.BadInputError(
                f'invalid chunked body: {error!r}', step='read request'
            ) from error
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body = stream.read(length) if length > 0 else b''
    if len(body) != length:
        raise errors.BadInputError(
            f'body truncated: got {len(body)} of {length} bytes',
            step='read request',
        )
    return body


def _log_server_error(msg='', level=20, traceback=False):
    _logger.warning('HTTP server: {}', msg)
