"""Real processes whose listeners the clients of ``clients`` call."""

import http.client
import json
import os
import pathlib
import shutil
import sys
import time

from bilberryhaven import registry
from review import deployment
from tests import clients
from tests import processes

# Lowered limits of a process. The pages give entries 200 MB, the instances
# beside backend servers 168 MB, and all of them 4,100 descriptors, of which
# 200 are reserved.
MEMORY_MB = 112
MAX_DESCRIPTORS = 1_024
RESERVED_DESCRIPTORS = 200
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 10
# Much longer than any time-out after which a process frees what it holds.
ORDINARY_TIMEOUT_S = 60
SIDE = 'side'
FRONT = 'front'

_registry = registry.Registry(family='listener')
register = _registry.register
get_listener_by_name = _registry.get


_caller_registry = registry.Registry(family='caller')
register_caller = _caller_registry.register
get_caller_by_name = _caller_registry.get


def list_callers():
    """Return the (name, class) pairs of the processes that call peers."""
    return _caller_registry.items()


def list_listeners():
    """Return the (name, class) pairs of the listeners."""
    return _registry.items()


def limit_command(command):
    """Return ``command`` with the lowered limit of descriptors."""
    script = f'ulimit -n {MAX_DESCRIPTORS} && exec "$@"'
    return ['sh', '-c', script, 'sh', *command]


class Fleet(processes.Fleet):
    """The product's roles; the standalone one is started on demand."""

    def __init__(self):
        super().__init__(controls=1, entries=1, agents=1)
        port = processes.find_ports(1)[0]
        self.addresses['standalone-1'] = f'127.0.0.1:{port}'

    def build_command(self, path, role):
        return limit_command(super().build_command(path, role))

    def _build_settings(self, name, role):
        fields = super()._build_settings(name, role)
        if role == 'standalone':
            fields['data'] = str(self.folder / name)
            fields['standalone'] = {'instances': 1}
        return fields

    def end(self, name):
        """End a process, if it runs."""
        if name in self.processes:
            self.kill(name)

    def restart(self, name):
        """End a process, if it runs, and start it again."""
        self.end(name)
        self.start(name)

    def get_process(self, name):
        """Return the ``Popen`` of a process, None if it was never started."""
        return self.processes.get(name)

    def close(self):
        super().close()
        shutil.rmtree(self.folder, ignore_errors=True)


class _Silence:
    """Takes the record of a deployment that isn't kept."""

    def write(self, text):
        """Discard a line."""


class Platform(deployment.Deployment):
    """The platform's roles by the commands of the deploy file."""

    def __init__(self):
        machines = [
            deployment.Machine(
                name=FRONT,
                host='127.0.0.11',
                zone='pingtung',
                roles=('entry', 'control'),
            ),
            deployment.Machine(
                name=SIDE, host='127.0.0.12', zone='pingtung', roles=('agent',)
            ),
        ]
        super().__init__(machines=machines, seeds=[FRONT], record=_Silence())
        self.start_all()
        if not self.send_config():
            self.close()
            raise RuntimeError('the configuration was not acknowledged')

    def _write_settings(self, name, role):
        path = super()._write_settings(name, role)
        text = path.read_text()
        for field, value in (
            ('limits.memory_mb=300', f'limits.memory_mb={MEMORY_MB}'),
            ('limits.max_fds=4100', f'limits.max_fds={MAX_DESCRIPTORS}'),
        ):
            if field not in text:
                raise RuntimeError(f'no {field} in the settings')
            text = text.replace(field, value)
        path.write_text(text)
        return path

    def _spawn(self, key, command, env):
        # A clone without target/deps has the libraries in its .venv.
        folder = pathlib.Path(sys.executable).parent
        env = {**env, 'PATH': f'{folder}:{env.get("PATH", "")}'}
        super()._spawn(key, limit_command(command), env)

    def end(self, key):
        """End a process, if it runs."""
        if key in self.processes:
            self.kill(*key)

    def restart(self, key):
        """End a process, if it runs, and start it again."""
        self.end(key)
        if key[1] == 'worker':
            self.start_worker(key[0])
        else:
            self.start(*key)

    def get_process(self, key):
        """Return the ``Popen`` of a process."""
        return self.processes.get(key)


class Listener:
    """Base of the listeners.

    Attributes:
        rig: ``Fleet`` or ``Platform``.
        process: Key of the process in the rig.
        method: Method of a request with a body.
        path: Its path.
        body: Its body, any value of JSON.
        read_path: Path of a GET request that is answered.
        ordinary: Path of the ordinary request, a GET.

    Args:
        rig: The rig.
    """

    rig = Fleet
    process = ''
    method = 'POST'
    path = ''
    body = {}
    read_path = '/readyz'
    ordinary = '/readyz'

    def __init__(self, rig):
        self._rig = rig

    def find_address(self):
        """Return HOST:PORT."""
        return self._rig.addresses[self.process]

    def build_target(self):
        """Return the ``Target`` of the clients."""
        return clients.Target(
            address=self.find_address(),
            method=self.method,
            path=self.path,
            body=json.dumps(self.body).encode(),
            read_path=self.read_path,
        )

    def get_process(self):
        """Return the ``Popen`` of the process."""
        return self._rig.get_process(self.process)

    def restart(self):
        """Start the process again, and wait until it answers."""
        self._rig.restart(self.process)
        if not self.wait_ordinary():
            raise RuntimeError(f'{self.process} did not start')

    def send_ordinary(self):
        """Return the status of an ordinary request, None without answer."""
        status, _ = deployment.call(
            self.find_address(), 'GET', self.ordinary, timeout=CALL_TIMEOUT_S
        )
        return status

    def wait_ordinary(self):
        """Send the ordinary request until it is answered with success."""
        end = time.monotonic() + ORDINARY_TIMEOUT_S
        while time.monotonic() < end:
            if self.send_ordinary() == http.client.OK:
                return True
            if self.get_process().poll() is not None:
                return False
            time.sleep(POLL_INTERVAL_S)
        return False


@register('entry_callers')
class EntryCallers(Listener):
    """Callers' requests at an entry."""

    process = 'entry-1'
    path = '/v1/requests'
    body = {'workload': 'quote'}
    ordinary = '/v1/workloads'


@register('entry_messages')
class EntryMessages(Listener):
    """Messages of other processes at an entry."""

    process = 'entry-1'
    path = '/wire'


@register('entry_metrics')
class EntryMetrics(Listener):
    """Metrics of an entry."""

    process = 'entry-1'
    path = read_path = ordinary = '/metrics'


@register('control_operators')
class ControlOperators(Listener):
    """Operators' calls at a control instance."""

    process = 'control-1'
    method = 'PUT'
    path = '/v1/workloads/quote'
    body = {'kind': 'service'}
    ordinary = '/v1/workloads'


@register('control_messages')
class ControlMessages(Listener):
    """Messages of other processes at a control instance."""

    process = 'control-1'
    path = '/wire'


@register('agent_messages')
class AgentMessages(Listener):
    """Messages of the entries at an agent."""

    process = 'agent-1'
    path = '/wire'


@register('standin')
class Standin(Listener):
    """Calls of an agent at a stand-in backend server."""

    process = 'backend-1'
    path = '/v1/attach'
    body = {'owner': 'x'}
    read_path = ordinary = '/v1/status'


@register('standalone')
class Standalone(EntryCallers):
    """Callers' requests at a complete system in one process."""

    process = 'standalone-1'


class PlatformListener(Listener):
    """Base of the listeners of the platform's roles.

    Attributes:
        port: Name of the port in the rig.
    """

    rig = Platform
    port = ''

    def find_address(self):
        return self._rig.find_address(self.process[0], self.port)


@register('platform_callers')
class PlatformCallers(PlatformListener):
    """Callers' jobs at the platform's entry."""

    process = (FRONT, 'entry')
    port = 'frontend'
    path = f'{deployment.PREFIX}5c0e7a21d94b36f8'
    read_path = deployment.PREFIX
    body = {
        'spec': 'quick',
        'steps': [{'task_count': 1, 'cpu': 100, 'mem_mb': 64}],
    }

    def send_ordinary(self):
        status, _ = deployment.call(
            self.find_address(),
            'POST',
            f'{deployment.PREFIX}{os.urandom(8).hex()}',
            self.body,
            timeout=CALL_TIMEOUT_S,
            headers={'Host': deployment.HOST, 'X-Deadline-Ms': '3000'},
        )
        return status


@register('platform_readiness')
class PlatformReadiness(PlatformListener):
    """Checks of the load balancer at the platform's entry."""

    process = (FRONT, 'entry')
    port = 'ready'
    path = '/readyz'


@register('platform_operators')
class PlatformOperators(PlatformListener):
    """Operators' calls at the platform's control instance."""

    process = (FRONT, 'control')
    port = 'control'
    path = '/Config.Replace'
    body = deployment.build_config(1)
    read_path = ordinary = '/Config.Get'


@register('platform_messages')
class PlatformMessages(PlatformListener):
    """Messages of other processes at the platform's control instance."""

    process = (FRONT, 'control')
    port = 'internal'
    path = '/wire'


@register('platform_heartbeats')
class PlatformHeartbeats(PlatformListener):
    """Heartbeats of the backend server at the platform's agent."""

    process = (SIDE, 'agent')
    port = 'control'
    path = '/Instances.Heartbeat/i-other'
    body = {
        'service': deployment.SERVICE,
        'address': '127.0.0.13:8080',
        'state': 'ready',
        'sequence': 1,
        'capacity': {'cpu': 1000, 'mem_mb': 1024},
    }

    def send_ordinary(self):
        status, _ = deployment.call(
            self.find_address(),
            'POST',
            self.path,
            self.body,
            timeout=CALL_TIMEOUT_S,
        )
        return status


class Caller(Listener):
    """Base of processes that call a peer; the peer is replaced.

    Attributes:
        peer: Key of the peer's process in the rig.
    """

    ordinary = '/healthz'
    peer = ''

    def find_peer(self):
        """Return HOST:PORT of the peer."""
        return self._rig.addresses[self.peer]

    def end_peer(self):
        """End the peer's process."""
        self._rig.end(self.peer)

    def restore_peer(self):
        """Start the peer's process again."""
        self._rig.restart(self.peer)

    def provoke(self):
        """Cause a call, if the process sends none by itself."""


@register_caller('entry_to_control')
class EntryToControl(Caller):
    """An entry whose control instance answers without end."""

    process = 'entry-1'
    peer = 'control-1'


@register_caller('agent_to_control')
class AgentToControl(Caller):
    """An agent whose control instance answers without end."""

    process = 'agent-1'
    peer = 'control-1'


@register_caller('agent_to_backend')
class AgentToBackend(Caller):
    """An agent whose backend server answers without end."""

    process = 'agent-1'
    peer = 'backend-1'


class PlatformCaller(Caller, PlatformListener):
    """Base of the platform's processes that call a peer.

    Attributes:
        peer_port: Name of the peer's port in the rig.
    """

    rig = Platform
    peer_port = 'internal'

    def find_address(self):
        return PlatformListener.find_address(self)

    def find_peer(self):
        return self._rig.find_address(self.peer[0], self.peer_port)


@register_caller('platform_entry_to_control')
class PlatformEntryToControl(PlatformCaller):
    """The platform's entry whose control instance answers without end."""

    process = (FRONT, 'entry')
    peer = (FRONT, 'control')
    port = 'ready'
    ordinary = '/readyz'


@register_caller('platform_agent_to_server')
class PlatformAgentToServer(PlatformCaller, PlatformHeartbeats):
    """The platform's agent whose backend server answers without end."""

    process = (SIDE, 'agent')
    peer = (SIDE, 'worker')
    peer_port = 'app'
    port = 'control'

    def send_ordinary(self):
        return PlatformHeartbeats.send_ordinary(self)

    def provoke(self):
        # Nobody else sends a heartbeat for the peer.
        deployment.call(
            self.find_address(),
            'POST',
            '/Instances.Heartbeat/i-peer',
            {**self.body, 'address': self.find_peer()},
            timeout=CALL_TIMEOUT_S,
        )
