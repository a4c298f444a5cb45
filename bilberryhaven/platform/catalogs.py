"""The operator's configuration as the infrastructure writes it."""

import msgspec

from bilberryhaven import errors
from bilberryhaven.tables import catalog
from bilberryhaven.workflow import message

__all__ = ['decode_configuration']


class _Route(msgspec.Struct):
    """A route; it is what the project calls a queue."""

    name: str
    host: str
    path_prefix: str
    service: str  # the pool
    timeout_ms: int
    kind: str = ''
    target_latency_ms: int = 0  # allowance for waiting, not a tail latency
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0


class _Service(msgspec.Struct):
    """A service; it is what the project calls a pool."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class _Configuration(msgspec.Struct):
    """A whole configuration."""

    version: int
    routes: list[_Route]
    services: list[_Service]


def decode_configuration(body):
    """Return the ``Replace`` request for a configuration's body.

    Raises:
        BadInputError: The body can't be read in full.
    """
    try:
        read = msgspec.json.decode(body, type=_Configuration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.BadInputError(
            f'no configuration: {error}', step='decode configuration'
        ) from error
    return message.Replace(
        version=read.version,
        queues=[_convert_route(route) for route in read.routes],
        pools=[
            catalog.Pool(
                name=service.name,
                guards_capacity=service.enforces_capacity,
                standby=service.standby,
            )
            for service in read.services
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
