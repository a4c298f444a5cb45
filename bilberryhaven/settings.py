"""Settings of a process: YAML files validated by typed models."""

import ipaddress
import typing

import msgspec

from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven import validation
from bilberryhaven import yamlfile

__all__ = [
    'Capacity',
    'InputLimits',
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

KIB = 1024
MIB = 1024 * KIB
MAX_DELAY_MS = 10_000
MAX_WEIGHT = 1_000_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000
MAX_CORES = 100_000
MAX_ACTIVE_WORKFLOWS = 1_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 10_000
MAX_STANDALONE_INSTANCES = 1_000

NAME_PATTERN = r'^[A-Za-z0-9]([A-Za-z0-9._-]{0,98}[A-Za-z0-9])?$'
LABEL_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9_./-]{0,99}$'
INSTANCE_LABELS = frozenset({'instance', 'zone', 'rack'})

Name = typing.Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Label = typing.Annotated[str, msgspec.Meta(pattern=LABEL_PATTERN)]
Weight = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
LogLevel = typing.Literal['debug', 'info', 'notice', 'warning', 'error']


class Objective(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Weights of the three objectives; only their ratios matter."""

    tail_latency: Weight = 1.0
    throughput: Weight = 1.0
    evictions: Weight = 1.0


class Zone(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """An availability zone.

    Attributes:
        name: Unique name.
        region: Region that it belongs to.
        delay_ms: One-way network delay to other availability zones, in
            milliseconds.
    """

    name: Name
    region: str = ''
    delay_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_MS)] = (
        0.0
    )


class Capacity(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Capacity limits of an instance."""

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


class WorkflowLimits(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Treatment of workflows under overload, for a control process.

    Attributes:
        admission: Whether workflows are rejected under overload.
        max_active: Number of workflows that haven't ended from which on
            others are rejected.
        max_active_mb: Estimated memory that these may occupy, in MB.
        chooses_claims: Whether work that claims CPU is served in the order
            that costs callers least, instead of by due time.
        chooses_best_effort: The same for best-effort work, instead of by
            remaining work for its value.
        shares: Whether room that is too small is divided by shares of callers'
            availability zones.
        zone_weights: Weights of the zones' shares; 1 for all others.
    """

    admission: bool = True
    max_active: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_ACTIVE_WORKFLOWS)
    ] = 10_000
    max_active_mb: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)
    ] = 64
    chooses_claims: bool = True
    chooses_best_effort: bool = False
    shares: bool = False
    zone_weights: dict[
        str, typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_WEIGHT)]
    ] = {}


class StandaloneOptions(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Options of the standalone role, which runs in one process.

    Attributes:
        instances: Number of stand-in backend servers, spread over the zones.
        instances_per_rack: Number of instances in a rack.
    """

    instances: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_STANDALONE_INSTANCES)
    ] = 11
    instances_per_rack: typing.Annotated[
        int, msgspec.Meta(ge=1, le=MAX_STANDALONE_INSTANCES)
    ] = 3


class InputLimits(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Limits on what peers send to a process, whoever they are.

    Attributes:
        line_bytes: Longest line: a request line, a header, the size of a
            chunk with its extensions, or a trailer.
        head_bytes: Largest request line with headers.
        body_bytes: Largest body of an operator's or another process's
            request.
        caller_body_bytes: Largest body of a request at a listener that
            serves callers only.
        kept_bytes: Largest estimated memory of all requests of the process
            that are being received or served.
        descriptors: Descriptors that the process may use if the operating
            system's limit is higher; two fifths are left for files and
            for its own connections to others.
        request_ms: Longest time from the first byte of a request to its
            last, in milliseconds.
        answer_ms: Longest time for which a peer takes nothing of an answer,
            in milliseconds.
        idle_ms: Longest time between two requests on a connection, in
            milliseconds.
    """

    line_bytes: typing.Annotated[int, msgspec.Meta(ge=256)] = 32 * KIB
    head_bytes: typing.Annotated[int, msgspec.Meta(ge=256)] = 64 * KIB
    body_bytes: typing.Annotated[int, msgspec.Meta(ge=KIB)] = 8 * MIB
    caller_body_bytes: typing.Annotated[int, msgspec.Meta(ge=KIB)] = MIB
    kept_bytes: typing.Annotated[int, msgspec.Meta(ge=64 * KIB)] = 48 * MIB
    descriptors: typing.Annotated[int, msgspec.Meta(ge=64)] = 4_096
    request_ms: typing.Annotated[int, msgspec.Meta(ge=1)] = 5_000
    answer_ms: typing.Annotated[int, msgspec.Meta(ge=1)] = 10_000
    idle_ms: typing.Annotated[int, msgspec.Meta(ge=1)] = 20_000


class Settings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Settings of one process.

    Attributes:
        name: Unique name of the process.
        zone: Availability zone of the process.
        rack: Rack of the process.
        listen: HOST:PORT to listen on.
        advertise: HOST:PORT at which other processes reach it; ``listen`` by
            default.
        data: Data directory.
        control: Addresses of the control instances.
        entries: Addresses of entry processes that relay heartbeats.
        voters: Names and addresses of the initial voters, for a control
            process.
        backend: Address of the backend server, for an agent.
        labels: Labels that an agent announces.
        capacity: Capacity limits of the instance.
        zones: Availability zones of the deployment.
        objective: Weights of the three objectives.
        service_reserve: Slots of each instance that batch work leaves free.
        standalone: Options of the standalone role.
        workflows: Treatment of workflows under overload.
        input: Limits on what peers send.
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
    workflows: WorkflowLimits = WorkflowLimits()
    input: InputLimits = InputLimits()
    log_level: LogLevel = 'info'

    def __post_init__(self):
        util.parse_address(self.listen)
        for address in [*self.control, *self.entries]:
            util.parse_address(address)


def load_settings(path):
    """Return the ``Settings`` loaded from the YAML file at ``path``.

    Raises:
        SettingsError: The file can't be read or has invalid values; the
            message lists all of them.
    """
    documents = yamlfile.load_documents(path)
    if len(documents) > 1:
        raise errors.SettingsError(
            f'{path}: expected one YAML document, found {len(documents)}',
            step='load settings',
        )
    tree = documents[0] if documents else {}
    violations = _check_addresses(tree)
    invalid_keys = {
        violation.path.partition('[')[0].partition('.')[0]
        for violation in violations
    }
    if isinstance(tree, dict):
        tree = {key: tree[key] for key in tree if key not in invalid_keys}
    loaded, field_violations = validation.convert(tree, Settings)
    violations += field_violations
    if loaded is not None:
        violations += _check_references(loaded, invalid_keys)
    if violations:
        lines = '\n'.join(f'{path}: {violation}' for violation in violations)
        raise errors.SettingsError(lines, step='load settings')
    return loaded


def _check_addresses(tree):
    """Return the violations of all addresses that are strings."""
    if not isinstance(tree, dict):
        return []
    addresses = {
        key: tree.get(key) for key in ('listen', 'advertise', 'backend')
    }
    for key in ('control', 'entries'):
        items = tree.get(key)
        if isinstance(items, list):
            addresses |= {f'{key}[{i}]': item for i, item in enumerate(items)}
    voters = tree.get('voters')
    if isinstance(voters, dict):
        addresses |= {f'voters.{name}': voters[name] for name in voters}
    return [
        validation.Violation(path=path, message=message)
        for path, address in addresses.items()
        if isinstance(address, str)
        for message in _check_address(path, address)
    ]


def _check_address(path, address):
    if not address and path in ('advertise', 'backend'):
        return
    try:
        host, port = util.parse_address(address)
        ip = ipaddress.ip_address(host.strip('[]'))
    except (errors.OptionError, ValueError):
        yield (
            f'{address!r} is invalid: expected IP:PORT with a numeric IP '
            'address, such as 127.0.0.1:7000'
        )
        return
    if path == 'listen':
        return
    if port == 0 or ip.is_unspecified:
        yield (
            f'{address!r} is invalid: other processes must be able to reach it'
        )


def _check_references(loaded, invalid_keys):
    """Return the violations of constraints between fields."""
    violations = []

    def add(path, message):
        if path not in invalid_keys:
            violations.append(validation.Violation(path=path, message=message))

    names = [zone.name for zone in loaded.zones]
    for index, name in enumerate(names):
        if name in names[:index]:
            add(f'zones[{index}].name', f'duplicate zone name {name!r}')
    if names and loaded.zone and loaded.zone not in names:
        add('zone', f'{loaded.zone!r} is not one of zones: {", ".join(names)}')
    for key in sorted(INSTANCE_LABELS & set(loaded.labels)):
        add(f'labels.{key}', 'reserved label; it is derived from the instance')
    slots = loaded.capacity.slots
    if loaded.service_reserve > slots:
        add(
            'service_reserve',
            f'{loaded.service_reserve} is invalid: capacity.slots is {slots}',
        )
    objective = loaded.objective
    if not objective.tail_latency + objective.throughput + objective.evictions:
        add('objective', 'at least one weight must be greater than 0')
    return violations
