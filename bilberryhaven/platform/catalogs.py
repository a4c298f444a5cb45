"""The operator's configuration in the infrastructure's JSON format."""

import msgspec

from bilberryhaven import errors
from bilberryhaven.tables import catalog
from bilberryhaven.workflow import message

__all__ = ['decode_configuration']


class _Route(msgspec.Struct):
    """A route; the rest of the project calls it a queue."""

    name: str
    host: str
    path_prefix: str
    service: str  # the pool
    timeout_ms: int
    kind: str = ''
    target_latency_ms: int = 0  # allowed waiting time, not a tail latency
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0


class _Service(msgspec.Struct):
    """A service; the rest of the project calls it a pool."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class _Configuration(msgspec.Struct):
    """A complete configuration."""

    version: int
    routes: list[_Route]
    services: list[_Service]


def decode_configuration(body):
    """Return the ``Replace`` request for a configuration's body.

    Raises:
        BadInputError: The body is incomplete or invalid.
    """
    try:
        configuration = msgspec.json.decode(body, type=_Configuration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.BadInputError(
            f'invalid configuration: {error}', step='decode configuration'
        ) from error
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
