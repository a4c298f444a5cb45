"""The infrastructure's settings file, as the project's own settings."""

import dataclasses
import os
import pathlib

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import settings
from bilberryhaven.workflow import options

__all__ = ['PATH_VARIABLE', 'Deployment', 'load_deployment']

PATH_VARIABLE = 'BILBERRYHAVEN_BOOT'
DEFAULT_PATH = '/etc/bilberryhaven/local.conf'
MS = clocks.seconds(0.001)
# Longest lease on a backend server that is asked for, where the deployment
# allows longer ones: it bounds how long the work of a lost one stays undone.
MAX_LEASE = clocks.seconds(5)


@dataclasses.dataclass(kw_only=True, frozen=True)
class Deployment:
    """What a process learns from the infrastructure.

    Attributes:
        settings: The project's own settings.
        options: Times and limits of workflows.
        callers: Address to serve callers at, or empty.
        ready: Address to serve readiness checks at, or empty.
        orders: Address to serve operators or the backend server at, or
            empty.
        has_disk: Whether what is written to the data folder lasts.
    """

    settings: settings.Settings
    options: options.Options
    callers: str
    ready: str
    orders: str
    has_disk: bool


def find_path():
    """Return the path of the infrastructure's settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE) or DEFAULT_PATH)


def load_deployment(path=None):
    """Return the ``Deployment`` that the settings file describes.

    Raises:
        SettingsError: The file can't be read or lacks a field.
    """
    path = path or find_path()
    try:
        text = path.read_text()
    except OSError as error:
        raise errors.SettingsError(
            f'{path}: {error.strerror}', step='load settings'
        ) from error
    fields = _parse_lines(text)
    try:
        return _build_deployment(fields)
    except (KeyError, ValueError) as error:
        raise errors.SettingsError(
            f'{path}: missing or unreadable: {error}', step='load settings'
        ) from error


def _parse_lines(text):
    """Return the values by dotted name."""
    fields = {}
    for line in text.splitlines():
        name, sep, value = line.partition('=')
        if sep and not line.startswith('#'):
            fields[name.strip()] = value.strip()
    return fields


def _build_deployment(fields):
    # Seeds are given as operators' addresses; the members of the quorum
    # talk to each other at the first internal port of the same hosts.
    port = fields['internal_port_range'].split(',')[0]
    seeds = [_at_port(seed, port) for seed in _split(fields.get('seeds'))]
    own = f'{fields["ip"]}:{port}'
    founding = fields.get('bootstrap') == 'true' and own in seeds
    made = settings.Settings(
        name=fields['node_name'],
        zone=fields.get('zone', ''),
        listen=own,
        advertise=own,
        data=fields.get('data_dir') or 'data',
        control=seeds,
        voters={_name_replica(seed): seed for seed in seeds}
        if founding
        else {},
        # The backend server beside an agent is called app.
        backend=fields.get('app', ''),
    )
    return Deployment(
        settings=made,
        options=_build_options(fields),
        callers=fields.get('listen.frontend', ''),
        ready=fields.get('listen.ready', ''),
        orders=fields.get('listen.control', ''),
        has_disk=bool(fields.get('data_dir')),
    )


def _name_replica(address):
    # A founder knows the others by their addresses alone.
    return 'r' + address.replace(':', '-')


def name_replica(deployment):
    """Return the name of this process's replica."""
    return _name_replica(deployment.settings.listen)


def _build_options(fields):
    defaults = options.Options()
    longest = int(fields.get('bounds.max_lease_ms', 0)) * MS
    losses = int(fields.get('fault_tolerance.machines', 1))
    return dataclasses.replace(
        defaults,
        lease=min(longest, MAX_LEASE) if longest else defaults.lease,
        ended_retention=clocks.seconds(
            1.5 * float(fields.get('bounds.status_s', 120))
        ),
        voters=2 * losses + 1,
    )


def _split(value):
    return [item for item in (value or '').split(',') if item]


def _at_port(address, port):
    host, _, _ = address.rpartition(':')
    return f'{host}:{port}'
