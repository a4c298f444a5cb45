"""The leader's JSON API: routes by decorator, one module a family."""

import dataclasses
import functools
import importlib
import pkgutil
import re
import urllib.parse

import msgspec

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
MAX_INTEGER = 2**53
MAX_DIGITS = 18

_registry = registry.Registry(family='route')
_logger = log.get_logger('api')


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """One API request.

    Attributes:
        ctx: The ``Context`` of the leader that answers it.
        method: HTTP method.
        path: Percent-decoded path.
        params: Values of the pattern's variables.
        query: First value of each query field.
        body: Bytes of the body.
        by: Who sent it, as its receiver knows.
        request_id: Id by which logs and errors name it.
    """

    ctx: object
    method: str
    path: str
    params: dict[str, str] = dataclasses.field(default_factory=dict)
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    by: str = ''
    request_id: str = ''

    def decode(self, kind):
        """Return the JSON body as a ``kind``.

        Raises:
            BadInputError: It isn't JSON or doesn't fit; the message names
                the field's path.
        """
        try:
            return msgspec.json.decode(self.body or b'{}', type=kind)
        except (msgspec.MsgspecError, RecursionError) as error:
            problems = _list_problems(self.body, kind) or [error]
            listed = '; '.join(str(problem) for problem in problems)
            raise errors.BadInputError(
                f'the body of {self.method} {self.path}: {listed}',
                step='read body',
            ) from error

    def read_idempotency_key(self):
        """Return the idempotency key, None if there is none.

        Raises:
            BadInputError: It has characters that ids may not have.
        """
        key = self.query.get('idempotency_key')
        if key and not re.search(ID_PATTERN, key):
            raise errors.BadInputError(
                f'idempotency key {key!r} does not match {ID_PATTERN}',
                step='read query',
            )
        return key or None

    def read_integer(self, field, default, *, low=0, high=MAX_INTEGER):
        """Return the query's ``field`` as an int within its bounds."""
        value = self.query.get(field, '')
        if not value:
            return default
        valid = value.isascii() and value.isdigit() and len(value) < MAX_DIGITS
        if not valid or not low <= int(value) <= high:
            raise errors.BadInputError(
                f'{field}={value!r} is no whole number from {low} to {high}',
                step='read query',
            )
        return int(value)


def _list_problems(body, kind):
    """Return all faults of a body that is JSON; none if it isn't."""
    try:
        decoded = msgspec.json.decode(body or b'{}')
    except (msgspec.MsgspecError, RecursionError):
        return []
    return validation.convert(decoded, kind)[1]


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """What a handler answers, if not status 200.

    Attributes:
        value: JSON value of the body.
        status: HTTP status.
    """

    value: object
    status: int = 200


def route(method, pattern):
    """Return a decorator that files a handler of ``METHOD pattern``.

    A handler takes a ``Request`` and returns a JSON value or an ``Answer``.
    A ``{name}`` in the pattern matches one segment of the path.
    """
    return _registry.register(f'{method} {pattern}')


@functools.lru_cache(maxsize=1)
def list_routes():
    """Return (method, segments, handler) of each route."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
    routes = []
    for key, handler in _registry.items():
        method, pattern = key.split(' ')
        routes.append((method, pattern.strip('/').split('/'), handler))
    return routes


def handle(ctx, method, path, query, body, by):
    """Answer one API request.

    Args:
        ctx: The leader's ``Context``.
        method: HTTP method.
        path: Path, percent-decoded.
        query: Query string as sent. ``idempotency_key`` in it stands for
            the header of that name.
        body: Bytes of the body.
        by: Who sent it, if the receiver knows.

    Returns:
        The (status, JSON bytes) pair.

    Raises:
        NotLeaderError: Nothing was done; the caller asks the new leader.
    """
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    request = Request(
        ctx=ctx,
        method=method,
        path=path,
        query=fields,
        body=body,
        by=by,
        request_id=fields.get('request_id') or util.create_id('api'),
    )
    try:
        response = _find_handler(request)(request)
    except errors.NotLeaderError:
        raise
    except errors.BilberryhavenError as error:
        return error.status, _encode_error(error, request)
    except Exception as error:  # noqa: BLE001
        _logger.exception('{} {} failed', method, path)
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
            f'{request.path} takes {", ".join(sorted(methods))}, '
            f'not {request.method}',
            step='find route',
        )
    raise errors.NotFoundError(f'no path {request.path}', step='find route')


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
