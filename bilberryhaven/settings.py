"""Settings of a process: YAML files checked against typed models."""

import pathlib

import msgspec
import yaml

from bilberryhaven import errors
from bilberryhaven import util

__all__ = ['Objective', 'Settings', 'Zone', 'load_settings']


class Objective(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Weights of the three measures; only their ratios count."""

    tail_latency: float = 1.0
    throughput: float = 1.0
    evictions: float = 1.0


class Zone(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """An availability zone.

    Attributes:
        name: Its name.
        region: The region it belongs to.
        delay_ms: One-way delay to other availability zones.
    """

    name: str
    region: str = ''
    delay_ms: float = 0.0


class Capacity(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """What an instance holds at most."""

    slots: int = 8
    connections: int = 64
    cpu: float = 16.0
    memory_mb: int = 61440
    accelerators: int = 0


class StandaloneOptions(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """What the standalone role runs in one process.

    Attributes:
        instances: How many stand-in backend servers, spread over the zones.
        instances_per_rack: How many share a rack.
    """

    instances: int = 11
    instances_per_rack: int = 3


class Settings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Settings of one process.

    Attributes:
        name: Unique name of the process.
        zone: Availability zone it is in.
        rack: Rack it is in.
        listen: HOST:PORT that it listens on.
        advertise: HOST:PORT that others reach it at; ``listen`` by default.
        data: Data folder.
        control: Addresses of the control instances.
        entries: Addresses of entries that relay heartbeats.
        voters: Names and addresses of the first quorum, for control.
        backend: Address of the backend server, for an agent.
        labels: Labels that an agent announces.
        capacity: What the instance holds.
        zones: The availability zones.
        objective: Weights of the three measures.
        service_reserve: Slots of an instance that batch work leaves free.
        standalone: Options of the standalone role.
        log_level: Lowest level that is logged.
    """

    name: str = 'standalone'
    zone: str = ''
    rack: str = ''
    listen: str = '127.0.0.1:7070'
    advertise: str = ''
    data: str = 'data'
    control: list[str] = []
    entries: list[str] = []
    voters: dict[str, str] = {}
    backend: str = ''
    labels: dict[str, str] = {}
    capacity: Capacity = Capacity()
    zones: list[Zone] = []
    objective: Objective = Objective()
    service_reserve: int = 2
    standalone: StandaloneOptions = StandaloneOptions()
    log_level: str = 'info'

    def __post_init__(self):
        util.parse_address(self.listen)
        for address in [*self.control, *self.entries]:
            util.parse_address(address)


def load_settings(path):
    """Return the ``Settings`` in the YAML file at ``path``.

    Raises:
        SettingsError: The file can't be read or a value isn't allowed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        tree = yaml.safe_load(text) or {}
        return msgspec.convert(tree, type=Settings)
    except (
        OSError,
        UnicodeDecodeError,
        yaml.YAMLError,
        msgspec.ValidationError,
        errors.OptionError,
    ) as error:
        raise errors.SettingsError(
            f'{path}: {error}', step='load settings'
        ) from error
