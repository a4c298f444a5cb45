"""Roles as the infrastructure runs them: wiring only."""

import importlib
import threading

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.platform import handlers
from bilberryhaven.platform import settings as platform_settings
from bilberryhaven.platform import workers
from bilberryhaven import registry
from bilberryhaven.roles import process
from bilberryhaven import ticker
from bilberryhaven.wire import client
from bilberryhaven.wire import leader
from bilberryhaven.wire import server
from bilberryhaven.workflow import agent
from bilberryhaven.workflow import gateway

__all__ = ['Role', 'get_role_by_name', 'register', 'run']

SEED_INTERVAL = clocks.seconds(1)
# Above the time for which a poll is held; a frozen leader costs this once.
ATTEMPT_TIMEOUT = clocks.seconds(0.8)
CALLER_THREADS = 48
WORKER_THREADS = 4
READY_THREADS = 2
# How long a stopping entry answers, refusing readiness: the balancer leaves
# it out after two misses, a second apart.
NOTICE = clocks.seconds(3)

_registry = registry.Registry(family='role')
register = _registry.register
_logger = log.get_logger('platform')


class Role:
    """Base of the roles: a way to the leader, and the handlers served.

    Args:
        deployment: The ``Deployment``.
        clock: The ``Clock``.

    Attributes:
        seeds: Addresses of control instances, as the settings name them now.
    """

    def __init__(self, *, deployment, clock):
        self._deployment = deployment
        self._clock = clock
        self.seeds = deployment.settings.control
        self._client = client.Client()
        self._leader = leader.LeaderClient(
            addresses=deployment.settings.control,
            client=self._client,
            clock=clock,
            attempt_timeout=ATTEMPT_TIMEOUT,
        )
        self._gateway = gateway.Gateway(leader=self._leader)
        self._servers = []
        self._stop_ticker = None

    @property
    def address(self):
        """The first address that it listens on."""
        return self._servers[0].address if self._servers else ''

    def _serve(self, address, handle, threads):
        made = server.Server(
            address=address, handlers={}, fallback=handle, threads=threads
        )
        self._servers.append(made)

    def start(self):
        """Listen, and follow changes of the seeds."""
        for item in self._servers:
            item.start()
        self._stop_ticker = ticker.Ticker.launch(
            name='seeds',
            func=self.reload,
            interval=SEED_INTERVAL,
            clock=self._clock,
        )

    def stop(self):
        """Stop listening and wait for the requests in progress."""
        if self._stop_ticker is not None:
            self._stop_ticker()
        for item in self._servers:
            item.stop()
        self._leader.close()
        self._client.close()

    def reload(self):
        """Read the settings again; the seeds may have changed."""
        try:
            read = platform_settings.load_deployment()
        except errors.SettingsError as error:
            _logger.warning('settings not read again: {}', error)
            return
        self.seeds = read.settings.control
        self._learn(self.seeds)

    def _learn(self, addresses):
        seeds = self._deployment.settings.control
        self._leader.set_addresses([*dict.fromkeys([*addresses, *seeds])])


@register('entry')
class EntryRole(Role):
    """Takes callers' jobs."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._draining = threading.Event()
        self._serve(
            self._deployment.callers,
            handlers.build_caller_handler(
                self._gateway, self._draining.is_set
            ),
            CALLER_THREADS,
        )
        self._serve(self._deployment.ready, self._report_ready, READY_THREADS)

    def stop(self):
        """Refuse readiness, go on answering for a notice, then stop."""
        self._draining.set()
        threading.Event().wait(NOTICE.total_seconds())
        super().stop()

    def _report_ready(self, environ, body):
        ready = not self._draining.is_set()
        return server.Response(status=200 if ready else 503, body=b'{}')


@register('agent')
class AgentRole(Role):
    """Runs beside a worker."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._agent = agent.WorkflowAgent(
            name=self._deployment.settings.name,
            gateway=self._gateway,
            client=workers.WorkerClient(),
            clock=self._clock,
            options=self._deployment.options,
            on_control_addresses=self._learn,
        )
        self._serve(
            self._deployment.orders,
            handlers.build_worker_handler(self._agent),
            WORKER_THREADS,
        )

    def start(self):
        """Listen to the worker and follow the leader."""
        super().start()
        self._agent.start()

    def stop(self):
        """Stop; the worker's runs go on until their lease ends."""
        self._agent.stop()
        super().stop()


def get_role_by_name(name):
    """Return the role class called ``name``.

    The control role's imports are the largest; the others do without.
    """
    if name not in _registry.names():
        importlib.import_module(f'{__package__}.{name}')
    return _registry.get(name)


def run(name, clock):
    """Run a role until it is told to stop; return the exit status."""
    deployment = platform_settings.load_deployment()
    role = get_role_by_name(name)(deployment=deployment, clock=clock)
    return process.run_until_signal(role, deployment.settings)
