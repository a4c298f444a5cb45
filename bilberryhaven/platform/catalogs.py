"""The operator's configuration in the infrastructure's JSON format."""

import re
import typing

import msgspec

from bilberryhaven import border
from bilberryhaven import errors
from bilberryhaven.tables import catalog
from bilberryhaven.workflow import message

__all__ = [
    'READ_PATH',
    'decode_configuration',
    'decode_tree',
    'find_place',
    'is_configuration',
    'translate_place',
]

READ_PATH = '/Config.Get'
MAIN_FIELDS = frozenset({'version', 'routes', 'services'})
FIELDS = {
    'queues': 'routes',
    'pools': 'services',
    'prefix': 'path_prefix',
    'pool': 'service',
    'latency_ms': 'target_latency_ms',
    'guards_capacity': 'enforces_capacity',
}
MAX_FACTOR = 10**9

# What is contradictory, such as a negative value, is found by the check of the
# catalog; these bounds are those of what can be stored and added.
_Level = typing.Annotated[
    int, msgspec.Meta(ge=-border.MAX_COUNT, le=border.MAX_COUNT)
]

_GUARD = border.Guard(what='configuration', step='decode configuration')


class _Route(msgspec.Struct):
    """A route; the rest of the project calls it a queue."""

    name: border.Text
    host: border.Text
    path_prefix: border.Text
    service: border.Text  # the pool
    timeout_ms: border.Milliseconds
    kind: border.Text = ''
    # Allowed waiting time, not a tail latency.
    target_latency_ms: border.Milliseconds = 0
    priority: _Level = 0
    max_attempts: _Level = 1
    slack_factor: typing.Annotated[
        float, msgspec.Meta(ge=-MAX_FACTOR, le=MAX_FACTOR)
    ] = 1.0


class _Service(msgspec.Struct):
    """A service; the rest of the project calls it a pool."""

    name: border.Text
    enforces_capacity: bool = False
    standby: bool = False


class _Configuration(msgspec.Struct):
    """A complete configuration."""

    version: border.Integer
    routes: list[_Route]
    services: list[_Service]


def decode_configuration(body):
    """Return the ``Replace`` request for a configuration's body.

    Raises:
        BadInputError: The body is incomplete or invalid.
    """
    with _GUARD:
        # Also what isn't used has to be readable: it is read back later.
        decode_tree(body)
        configuration = msgspec.json.decode(body, type=_Configuration)
    return message.Replace(
        version=configuration.version,
        queues=[_convert_route(route) for route in configuration.routes],
        pools=[
            catalog.Pool(
                name=service.name,
                guards_capacity=service.enforces_capacity,
                standby=service.standby,
            )
            for service in configuration.services
        ],
        document=body,
    )


def is_configuration(body):
    """Return whether a file's bytes are a configuration, perhaps cut off."""
    try:
        with _GUARD:
            tree = decode_tree(body)
    except errors.BadInputError:
        return body.lstrip().startswith(b'{') and any(
            f'"{field}"'.encode() in body for field in MAIN_FIELDS
        )
    return isinstance(tree, dict) and not MAIN_FIELDS.isdisjoint(tree)


def decode_tree(body):
    """Return all values of a valid configuration's body, for comparison."""
    return msgspec.json.decode(body)


def find_place(error):
    """Return the path of the field that an error of decoding names, or ''."""
    match = re.search(r'at `\$\.?([^`]*)`$', error.message)
    return match[1] if match else ''


def translate_place(place):
    """Return a path in a catalog with the configuration's field names."""
    return re.sub('[a-z_]+', lambda match: _translate(match[0]), place)


def _translate(field):
    return FIELDS.get(field, field)


def _convert_route(route):
    return catalog.Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        pool=route.service,
        timeout_ms=route.timeout_ms,
        priority=route.priority,
        max_attempts=route.max_attempts,
        slack_factor=route.slack_factor,
        latency_ms=route.target_latency_ms,
    )
