"""HTTP API of an entry: requests, relayed API calls, health, metrics."""

import datetime
import urllib.parse

import msgspec

from bilberryhaven import border
from bilberryhaven.entry import effect
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import util
from bilberryhaven.wire import message
from bilberryhaven.wire import server

__all__ = ['Api', 'RequestBody']

REQUESTS_PATH = '/v1/requests'
MAX_TIMEOUT_MS = 120_000
DEFAULT_TIMEOUT_MS = 10_000
MAX_KEY_LENGTH = 200
CALL_TIMEOUT = datetime.timedelta(seconds=10)
IDEMPOTENCY_KEY_VARIABLE = 'HTTP_IDEMPOTENCY_KEY'
IDEMPOTENCY_KEY_PATHS = (
    '/v1/workloads',
    '/v1/instances',
    '/v1/teams',
    '/v1/jobs',
)
IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'DELETE'})

_REQUEST_GUARD = border.Guard(what='request', step='read request')
# What follows an odd body of these is decided by the leader, or by the caller.
_CALL_GUARD = border.Guard(what='call', step='read call', logs=False)
_ANSWER_GUARD = border.Guard(what='answer', step='read answer', logs=False)

_logger = log.get_logger('api')


class RequestBody(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Body of ``POST /v1/requests``.

    Attributes:
        workload: Name of a service workload.
        body: Input of the request, any JSON value.
        deadline_ms: Time until the deadline, in milliseconds.
        idempotent: Whether the request may run more than once.
        urgent: Whether the request is queued ahead of non-urgent ones.
    """

    workload: str
    body: msgspec.Raw = msgspec.Raw(b'null')
    deadline_ms: int = DEFAULT_TIMEOUT_MS
    idempotent: bool = False
    urgent: bool = True


class WriteIds(msgspec.Struct, kw_only=True, frozen=True):
    """Ids in a write by which the leader detects a duplicate."""

    change_id: str | None = None
    id: str | None = None


class Api:
    """Handles the HTTP paths that do not carry wire messages.

    Args:
        service: An ``EntryService``.
        leader: A ``LeaderClient``.
        metrics: The entry's ``Metrics``.
        call_limiter: ``ConcurrencyLimiter`` of the relayed calls.
        clock: The ``Clock``.
    """

    def __init__(self, *, service, leader, metrics, call_limiter, clock):
        self._clock = clock
        self._call_limiter = call_limiter
        self._service = service
        self._leader = leader
        self._metrics = metrics

    def handle(self, environ, body):
        """Return the HTTP ``Response`` to a request.

        Args:
            environ: WSGI environ of the request.
            body: Body of the request in bytes.
        """
        try:
            return self._route(environ, body)
        except errors.BilberryhavenError as error:
            return server.build_error_response(error)
        except Exception as error:  # noqa: BLE001
            _logger.exception(
                'unhandled exception while serving an HTTP request'
            )
            fault = errors.InternalError(repr(error), step='serve')
            return server.build_error_response(fault)

    def _route(self, environ, body):
        method = environ['REQUEST_METHOD']
        path = environ['PATH_INFO']
        if path == REQUESTS_PATH:
            return self._serve_request(method, environ, body)
        if path.startswith(f'{REQUESTS_PATH}/'):
            return self._serve_cancel(method, path[len(REQUESTS_PATH) + 1 :])
        if path.startswith('/v1/'):
            return self._relay(method, path, environ, body)
        if path == '/healthz':
            return server.Response(body=b'{"status": "ok"}')
        if path == '/readyz':
            return self._serve_ready()
        if path == '/metrics':
            return self._serve_metrics()
        raise errors.NotFoundError(f'no such path: {path}', step='serve')

    def _serve_request(self, method, environ, body):
        if method != 'POST':
            return _build_method_error(method)
        request = parse_request(environ.get(IDEMPOTENCY_KEY_VARIABLE), body)
        response = self._service.execute(request)
        if response.error is not None:
            return server.build_error_response(response.error)
        return server.Response(body=_encode_response(response))

    def _serve_cancel(self, method, request_id):
        if method != 'DELETE':
            return _build_method_error(method)
        if not self._service.cancel(request_id):
            raise errors.NotFoundError(
                'no such request is in progress at this entry',
                step='cancel',
                outcome=errors.Outcome.UNKNOWN,
                request_id=request_id,
            )
        return server.Response(
            status=202, body=msgspec.json.encode({'request_id': request_id})
        )

    def _relay(self, method, path, environ, body):
        query = environ.get('QUERY_STRING', '')
        repeatable = _is_retry_safe(method, body)
        if not repeatable and path.startswith(IDEMPOTENCY_KEY_PATHS):
            query = _add_idempotency_key(query, environ)
            repeatable = True
        call = message.CallRequest(
            method=method,
            path=path,
            query=query,
            body=body,
            by=server.read_author(environ),
        )
        with self._call_limiter.enter():
            reply = self._leader.send(
                call.forward(server.read_sent_after(environ), self._clock),
                timeout=CALL_TIMEOUT,
                step='relay call',
                repeatable=repeatable,
            )
        return server.Response(status=reply.status, body=reply.body)

    def _serve_ready(self):
        if self._service.is_ready():
            return server.Response(body=b'{"status": "ready"}')
        error = errors.UnavailableError(
            'the entry is draining or holds no valid lease', step='readyz'
        )
        return server.build_error_response(error)

    def _serve_metrics(self):
        self._metrics.set_pending(self._service.pending)
        text, headers = self._metrics.render()
        return server.Response(
            body=text, content_type=headers.get('Content-Type', 'text/plain')
        )


def parse_request(key, body):
    """Parse the body of ``POST /v1/requests`` into a ``Request``.

    Args:
        key: Value of the ``Idempotency-Key`` header, or None.
        body: JSON text in bytes.

    Raises:
        BadInputError: The key or the body is invalid.
    """
    with _REQUEST_GUARD:
        fields = msgspec.json.decode(body, type=RequestBody)
    if not 0 < fields.deadline_ms <= MAX_TIMEOUT_MS:
        raise errors.BadInputError(
            f'deadline_ms must be from 1 to {MAX_TIMEOUT_MS}',
            step='read request',
        )
    if key is not None and not _is_valid_key(key):
        raise errors.BadInputError(
            f'Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable '
            'ASCII characters',
            step='read request',
        )
    return effect.Request(
        id=key or util.create_id('req'),
        workload=fields.workload,
        body=bytes(fields.body),
        timeout=datetime.timedelta(milliseconds=fields.deadline_ms),
        idempotent=fields.idempotent,
        urgent=fields.urgent,
        has_idempotency_key=key is not None,
    )


def _is_retry_safe(method, body):
    """Return whether a call may be resent after its reply was lost."""
    if method in IDEMPOTENT_METHODS:
        return True
    try:
        with _CALL_GUARD:
            keys = msgspec.json.decode(body, type=WriteIds)
    except errors.BadInputError:
        return False
    return bool(keys.change_id or keys.id)


def _add_idempotency_key(query, environ):
    """Append the caller's idempotency key, or a new one, to the query.

    The leader uses the key to detect a call that is sent again.
    """
    key = environ.get(IDEMPOTENCY_KEY_VARIABLE) or util.create_id('call')
    field = urllib.parse.urlencode({'idempotency_key': key})
    return f'{query}&{field}' if query else field


def _is_valid_key(key):
    printable = key.isascii() and key.isprintable()
    return printable and 0 < len(key) <= MAX_KEY_LENGTH


def _build_method_error(method):
    error = errors.BadInputError(
        f'method {method} is not allowed', step='serve'
    )
    response = server.build_error_response(error)
    response.status = 405
    return response


def _encode_response(response):
    """Encode a response as JSON; a body that isn't JSON becomes a string."""
    fields = {'request_id': response.request_id, 'instance': response.instance}
    try:
        with _ANSWER_GUARD:
            msgspec.json.decode(response.body)
        fields['body'] = msgspec.Raw(response.body)
    except errors.BadInputError:
        fields['body'] = response.body.decode('utf-8', 'replace')
    return msgspec.json.encode(fields)
