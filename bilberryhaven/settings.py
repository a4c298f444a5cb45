"""Settings of a process: YAML files checked against typed models."""

import ipaddress
import typing

import msgspec

from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven import validation
from bilberryhaven import yamlfile

__all__ = [
    'Capacity',
    'INSTANCE_LABELS',
    'Label',
    'NAME_PATTERN',
    'Name',
    'Objective',
    'Settings',
    'StandaloneOptions',
    'Zone',
    'load_settings',
]

MAX_DELAY_MS = 10_000
MAX_WEIGHT = 1_000_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000
MAX_CORES = 100_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 10_000
MAX_STANDALONE = 1_000

NAME_PATTERN = r'^[A-Za-z0-9]([A-Za-z0-9._-]{0,98}[A-Za-z0-9])?$'
LABEL_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9_./-]{0,99}$'
INSTANCE_LABELS = frozenset({'instance', 'zone', 'rack'})

Name = typing.Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Label = typing.Annotated[str, msgspec.Meta(pattern=LABEL_PATTERN)]
Weight = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
Level = typing.Literal['debug', 'info', 'notice', 'warning', 'error']


class Objective(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Weights of the three measures; only their ratios count."""

    tail_latency: Weight = 1.0
    throughput: Weight = 1.0
    evictions: Weight = 1.0


class Zone(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """An availability zone.

    Attributes:
        name: Its name.
        region: The region it belongs to.
        delay_ms: One-way delay to other availability zones.
    """

    name: Name
    region: str = ''
    delay_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_MS)] = (
        0.0
    )


class Capacity(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """What an instance holds at most."""

    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 8
    connections: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS)
    ] = 64
    cpu: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_CORES)] = 16.0
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)] = (
        61440
    )
    accelerators: typing.Annotated[
        int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)
    ] = 0


class StandaloneOptions(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """What the standalone role runs in one process.

    Attributes:
        instances: How many stand-in backend servers, spread over the zones.
        instances_per_rack: How many share a rack.
    """

    instances: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_STANDALONE)] = (
        11
    )
    instances_per_rack: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_STANDALONE)
    ] = 3


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

    name: Name = 'standalone'
    zone: str = ''
    rack: str = ''
    listen: str = '127.0.0.1:7070'
    advertise: str = ''
    data: typing.Annotated[str, msgspec.Meta(min_length=1)] = 'data'
    control: list[str] = []
    entries: list[str] = []
    voters: dict[Name, str] = {}
    backend: str = ''
    labels: dict[Label, Label] = {}
    capacity: Capacity = Capacity()
    zones: list[Zone] = []
    objective: Objective = Objective()
    service_reserve: typing.Annotated[
        int, msgspec.Meta(ge=0, le=MAX_SLOTS)
    ] = 2
    standalone: StandaloneOptions = StandaloneOptions()
    log_level: Level = 'info'

    def __post_init__(self):
        util.parse_address(self.listen)
        for address in [*self.control, *self.entries]:
            util.parse_address(address)


def load_settings(path):
    """Return the ``Settings`` in the YAML file at ``path``.

    Raises:
        SettingsError: The file can't be read or values aren't allowed; the
            message lists them all.
    """
    documents = yamlfile.load_documents(path)
    if len(documents) > 1:
        raise errors.SettingsError(
            f'{path}: one document is allowed, this has {len(documents)}',
            step='load settings',
        )
    tree = documents[0] if documents else {}
    faults = _list_address_faults(tree)
    bad = {fault.path.partition('[')[0].partition('.')[0] for fault in faults}
    if isinstance(tree, dict):
        tree = {key: tree[key] for key in tree if key not in bad}
    loaded, found = validation.convert(tree, Settings)
    faults += found
    if loaded is not None:
        faults += _list_reference_faults(loaded, bad)
    if faults:
        lines = '\n'.join(f'{path}: {fault}' for fault in faults)
        raise errors.SettingsError(lines, step='load settings')
    return loaded


def _list_address_faults(tree):
    """Return the faults of all addresses that are texts."""
    if not isinstance(tree, dict):
        return []
    found = {key: tree.get(key) for key in ('listen', 'advertise', 'backend')}
    for key in ('control', 'entries'):
        items = tree.get(key)
        if isinstance(items, list):
            found |= {f'{key}[{i}]': item for i, item in enumerate(items)}
    voters = tree.get('voters')
    if isinstance(voters, dict):
        found |= {f'voters.{name}': voters[name] for name in voters}
    return [
        validation.Fault(path=where, message=message)
        for where, address in found.items()
        if isinstance(address, str)
        for message in _check_address(where, address)
    ]


def _check_address(where, address):
    if not address and where in ('advertise', 'backend'):
        return
    try:
        host, port = util.parse_address(address)
        ip = ipaddress.ip_address(host.strip('[]'))
    except (errors.OptionError, ValueError):
        yield (
            f'{address!r} is refused: write IP:PORT with an IP number, such '
            'as 127.0.0.1:7000'
        )
        return
    if where == 'listen':
        return
    if port == 0 or ip.is_unspecified:
        yield f'{address!r} is refused: others must be able to reach it'


def _list_reference_faults(loaded, bad):
    """Return the faults of values that don't go together."""
    faults = []

    def add(path, message):
        if path not in bad:
            faults.append(validation.Fault(path=path, message=message))

    names = [zone.name for zone in loaded.zones]
    for index, name in enumerate(names):
        if name in names[:index]:
            add(f'zones[{index}].name', f'{name!r} is there twice')
    if names and loaded.zone and loaded.zone not in names:
        add('zone', f'{loaded.zone!r} is none of zones: {", ".join(names)}')
    for key in sorted(INSTANCE_LABELS & set(loaded.labels)):
        add(f'labels.{key}', 'this label is always there and says what it is')
    slots = loaded.capacity.slots
    if loaded.service_reserve > slots:
        add(
            'service_reserve',
            f'{loaded.service_reserve} is refused: capacity.slots is {slots}',
        )
    goal = loaded.objective
    if not goal.tail_latency + goal.throughput + goal.evictions:
        add('objective', 'one weight must be above 0')
    return faults
