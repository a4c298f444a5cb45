"""The leader's JSON API: routes by decorator, one module per resource."""

import dataclasses
import functools
import importlib
import pkgutil
import re
import urllib.parse

import msgspec

from bilberryhaven import border
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import registry
from bilberryhaven import util
from bilberryhaven import validation

__all__ = [
    'Response',
    'ID_PATTERN',
    'Request',
    'handle',
    'list_routes',
    'route',
]

ID_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._:@=+-]{0,199}$'
COMMIT_STEP = 'commit'
MAX_INTEGER = 2**53
MAX_DIGITS = 18

_BODY_GUARD = border.Guard(what='body', step='read body')
# For bodies that were rejected already.
_VALUE_GUARD = border.Guard(what='body', step='read body', logs=False)

_registry = registry.Registry(family='route')
_logger = log.get_logger('api')


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """One API request.

    Attributes:
        ctx: The ``Context`` of the leader that handles the request.
        method: HTTP method.
        path: Percent-decoded path.
        params: Values of the variables in the route's pattern.
        query: Last value of each query field.
        body: Bytes of the body.
        by: Author of the request as the receiving process knows it.
        relayed: The ``Relayed`` message that it came with, or None.
        request_id: Id of the request in logs and errors.
    """

    ctx: object
    method: str
    path: str
    params: dict[str, str] = dataclasses.field(default_factory=dict)
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    by: str = ''
    relayed: object = None
    request_id: str = ''

    def decode(self, kind):
        """Return the JSON body converted to the type ``kind``.

        Raises:
            BadInputError: The body is not JSON or does not match the type;
                the message has the path of each invalid field.
        """
        try:
            with _BODY_GUARD:
                return msgspec.json.decode(self.body or b'{}', type=kind)
        except errors.BadInputError as error:
            problems = _list_problems(self.body, kind) or [error.__cause__]
            listed = '; '.join(str(problem) for problem in problems)
            raise errors.BadInputError(
                f'invalid body of {self.method} {self.path}: {listed}',
                step='read body',
            ) from error

    def read_idempotency_key(self):
        """Return the idempotency key, or None if there is none.

        Raises:
            BadInputError: The key does not match ``ID_PATTERN``.
        """
        key = self.query.get('idempotency_key')
        if key and not re.search(ID_PATTERN, key):
            raise errors.BadInputError(
                f'idempotency key {key!r} does not match {ID_PATTERN}',
                step='read query',
            )
        return key or None

    def read_integer(self, field, default, *, low=0, high=MAX_INTEGER):
        """Return an integer query field.

        Args:
            field: Name of the field.
            default: Value if the field is missing or empty.
            low: Lowest allowed value.
            high: Highest allowed value.

        Raises:
            BadInputError: The field is not an integer within the bounds.
        """
        value = self.query.get(field, '')
        if not value:
            return default
        valid = value.isascii() and value.isdigit() and len(value) < MAX_DIGITS
        if not valid or not low <= int(value) <= high:
            raise errors.BadInputError(
                f'{field}={value!r} is not an integer from {low} to {high}',
                step='read query',
            )
        return int(value)


def _list_problems(body, kind):
    """Return all validation errors of a body; none if it isn't JSON."""
    try:
        with _VALUE_GUARD:
            decoded = msgspec.json.decode(body or b'{}')
    except errors.BadInputError:
        return []
    return validation.convert(decoded, kind)[1]


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """Response of a handler with a status other than 200.

    Attributes:
        value: Value to encode as the JSON body.
        status: HTTP status.
    """

    value: object
    status: int = 200


def route(method, pattern):
    """Return a decorator that registers a handler for a route.

    A handler takes a ``Request`` and returns a JSON value or a ``Response``.

    Args:
        method: HTTP method.
        pattern: Pattern of the path. ``{name}`` matches one segment.
    """
    return _registry.register(f'{method} {pattern}')


@functools.lru_cache(maxsize=1)
def list_routes():
    """Return (method, pattern segments, handler) of each route."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
    routes = []
    for key, handler in _registry.items():
        method, pattern = key.split(' ')
        routes.append((method, pattern.strip('/').split('/'), handler))
    return routes


def handle(ctx, method, path, query, body, by, *, relayed=None):
    """Handle an API request.

    Args:
        ctx: The leader's ``Context``.
        method: HTTP method.
        path: Percent-decoded path.
        query: Query string as sent. Its field ``idempotency_key`` replaces
            the Idempotency-Key header.
        body: Bytes of the body.
        by: Author of the request as the receiving process knows it, or ''.
        relayed: The ``Relayed`` message that it came with, or None.

    Returns:
        (status, JSON bytes).

    Raises:
        NotLeaderError: The request was not executed; the caller must send it
            to the leader.
        BilberryhavenError: It isn't known whether a change was committed. The
            caller must send the request again under the same idempotency
            key.
    """
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    request = Request(
        ctx=ctx,
        method=method,
        path=path,
        query=fields,
        body=body,
        by=by,
        relayed=relayed,
        request_id=fields.get('request_id') or util.create_id('api'),
    )
    try:
        response = _find_handler(request)(request)
    except errors.NotLeaderError:
        raise
    except errors.BilberryhavenError as error:
        if error.step == COMMIT_STEP and (
            error.outcome == errors.Outcome.UNKNOWN
        ):
            raise
        return error.status, _encode_error(error, request)
    except Exception as error:  # noqa: BLE001
        _logger.exception('{} {} raised an unexpected error', method, path)
        internal_error = errors.InternalError(
            repr(error), step=f'{method} {path}'
        )
        return internal_error.status, _encode_error(internal_error, request)
    if not isinstance(response, Response):
        response = Response(value=response)
    return response.status, msgspec.json.encode(response.value)


def _encode_error(error, request):
    fields = error.to_dict()
    fields['request_id'] = fields['request_id'] or request.request_id
    current = getattr(error, 'current', None)
    if current is not None:
        fields['current'] = current
    return msgspec.json.encode(fields)


def _find_handler(request):
    segments = request.path.strip('/').split('/')
    methods = set()
    for method, pattern, handler in list_routes():
        params = _match_path(pattern, segments)
        if params is None:
            continue
        if method == request.method:
            request.params = params
            return handler
        methods.add(method)
    if methods:
        raise errors.MethodError(
            f'{request.path} allows {", ".join(sorted(methods))}, '
            f'not {request.method}',
            step='find route',
        )
    raise errors.NotFoundError(
        f'no such path: {request.path}', step='find route'
    )


def _match_path(pattern, segments):
    if len(pattern) != len(segments):
        return None
    params = {}
    for expected, actual in zip(pattern, segments, strict=True):
        if expected.startswith('{') and actual:
            params[expected[1:-1]] = actual
        elif expected != actual:
            return None
    return params
