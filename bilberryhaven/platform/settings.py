"""Conversion of the infrastructure's settings file to project settings."""

import dataclasses
import os
import pathlib

import msgspec

from bilberryhaven import border
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import settings
from bilberryhaven.workflow import options

__all__ = ['PATH_VARIABLE', 'Deployment', 'load_deployment']

PATH_VARIABLE = 'BILBERRYHAVEN_BOOT'
DEFAULT_PATH = '/etc/bilberryhaven/local.conf'
MILLISECOND = clocks.seconds(0.001)
MAX_RETENTION_S = 10**6
MAX_TOLERATED_FAILURES = 100
# Upper bound on the lease on a backend server, also where the deployment
# allows a longer one: it limits how long the work of a lost server is stalled.
MAX_LEASE = clocks.seconds(5)
ZONE_PREFIX = 'zones.'
INPUT_PREFIX = 'input.'
# Share of the time allowed for the withdrawal of a zone to take effect in
# which an agent that is cut off may send starts; the rest is for calls that
# take long.
START_VALIDITY_SHARE = 0.5

_log = log.BoundedLog(
    logger=log.get_logger('platform'), clock=clocks.SystemClock()
)


@dataclasses.dataclass(kw_only=True, frozen=True)
class Deployment:
    """A process's configuration as given by the infrastructure.

    Attributes:
        settings: The project's own settings.
        options: Times and limits of workflows.
        caller_address: HOST:PORT to serve callers at, or empty.
        readiness_address: HOST:PORT to serve readiness checks at, or empty.
        control_address: HOST:PORT to serve operators or the backend server
            at, or empty.
        has_disk: Whether the data folder is on persistent storage.
    """

    settings: settings.Settings
    options: options.Options
    caller_address: str
    readiness_address: str
    control_address: str
    has_disk: bool


def find_path():
    """Return the path of the infrastructure's settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE) or DEFAULT_PATH)


def load_deployment(path=None):
    """Return the ``Deployment`` that the settings file describes.

    Raises:
        SettingsError: The file can't be read, or a field is missing or
            invalid.
    """
    path = path or find_path()
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f'{path}: {error.strerror}', step='load settings'
        ) from error
    # Who loads the settings logs the error.
    with border.Guard(
        what=f'settings file {path}',
        step='load settings',
        kind=errors.SettingsError,
        logs=False,
    ):
        return _build_deployment(_parse_lines(data.decode()))


def _parse_lines(text):
    """Return a mapping of dotted names to values."""
    fields = {}
    for line in text.splitlines():
        name, sep, value = line.partition('=')
        if sep and not line.startswith('#'):
            fields[name.strip()] = value.strip()
    return fields


def _build_deployment(fields):
    # Seeds are given as operators' addresses. The members of the quorum use
    # the first internal port of the same hosts among themselves.
    port = fields['internal_port_range'].split(',')[0]
    seeds = _list_seeds(fields, port)
    own_address = f'{fields["ip"]}:{port}'
    border.parse_peer(own_address)
    is_bootstrapping = (
        fields.get('bootstrap') == 'true' and own_address in seeds
    )
    loaded = settings.Settings(
        name=fields['node_name'],
        zone=fields.get('zone', ''),
        listen=own_address,
        advertise=own_address,
        data=fields.get('data_dir') or 'data',
        control=seeds,
        voters={_build_replica_name(seed): seed for seed in seeds}
        if is_bootstrapping
        else {},
        # The settings file calls the backend server beside an agent "app".
        backend=fields.get('app', ''),
        zones=_list_zones(fields),
        input=_build_input(fields),
    )
    return Deployment(
        settings=loaded,
        options=_build_options(fields),
        caller_address=fields.get('listen.frontend', ''),
        readiness_address=fields.get('listen.ready', ''),
        control_address=fields.get('listen.control', ''),
        has_disk=bool(fields.get('data_dir')),
    )


def _build_replica_name(address):
    # The instance that bootstraps the quorum knows only the addresses of the
    # other voters, so names are derived from them.
    return 'r' + address.replace(':', '-')


def build_replica_name(deployment):
    """Return the name of this process's replica."""
    return _build_replica_name(deployment.settings.listen)


def _list_zones(fields):
    return [
        settings.Zone(name=name.removeprefix(ZONE_PREFIX), region=region)
        for name, region in fields.items()
        if name.startswith(ZONE_PREFIX)
    ]


def _build_input(fields):
    """Return the ``InputLimits``, which the settings file may lower."""
    given = {
        name.removeprefix(INPUT_PREFIX): value
        for name, value in fields.items()
        if name.startswith(INPUT_PREFIX)
    }
    if fields.get('limits.max_fds'):
        given.setdefault('descriptors', fields['limits.max_fds'])
    return msgspec.convert(given, type=settings.InputLimits, strict=False)


def _build_options(fields):
    defaults = options.Options()
    max_lease = _read_duration(fields, 'bounds.max_lease_ms')
    withdrawal = _read_duration(fields, 'bounds.evacuate_ms')
    tolerated_failures = _read_number(
        fields,
        'fault_tolerance.machines',
        1,
        maximum=MAX_TOLERATED_FAILURES,
        kind=int,
    )
    return dataclasses.replace(
        defaults,
        lease=min(max_lease, MAX_LEASE) if max_lease else defaults.lease,
        ended_retention=clocks.seconds(
            1.5
            * _read_number(
                fields, 'bounds.status_s', 120, maximum=MAX_RETENTION_S
            )
        ),
        voters=2 * tolerated_failures + 1,
        start_validity=withdrawal * START_VALIDITY_SHARE or None,
    )


def _read_number(fields, name, default, *, maximum, kind=float):
    """Return the number in a field.

    Raises:
        ValueError: It is no number from 0 to ``maximum``.
    """
    text = fields.get(name) or str(default)
    number = kind(text)
    if not 0 <= number <= maximum:
        raise ValueError(f'{name}={text} is not from 0 to {maximum}')
    return number


def _read_duration(fields, name):
    number = _read_number(
        fields, name, 0, maximum=border.MAX_MILLISECONDS, kind=int
    )
    return number * MILLISECOND


def _list_seeds(fields, port):
    """Return the seeds' internal addresses; odd seeds are left out."""
    seeds = []
    for seed in _split(fields.get('seeds')):
        try:
            border.parse_peer(seed)
        except errors.OptionError as error:
            _log.warning('seed', f'a seed is not used: {error.message}')
            continue
        seeds.append(_replace_port(seed, port))
    return seeds


def _split(value):
    return [item for item in (value or '').split(',') if item]


def _replace_port(address, port):
    host, _, _ = address.rpartition(':')
    return f'{host}:{port}'
