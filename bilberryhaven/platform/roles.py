"""Roles on the users' infrastructure, wired from settings."""

import importlib
import threading

from bilberryhaven import clock as clocks
from bilberryhaven import clock_watch
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.platform import handlers
from bilberryhaven.platform import settings as platform_settings
from bilberryhaven.platform import workers
from bilberryhaven import registry
from bilberryhaven.roles import process
from bilberryhaven import ticker
from bilberryhaven.wire import client
from bilberryhaven.wire import directory
from bilberryhaven.wire import discovery
from bilberryhaven.wire import leader
from bilberryhaven.wire import server
from bilberryhaven.workflow import agent
from bilberryhaven.workflow import gateway

__all__ = ['Role', 'get_role_by_name', 'register', 'run']

SEED_INTERVAL = clocks.seconds(1)
# Longer than a leader holds a long poll. A leader that is frozen delays a
# call by this much once.
ATTEMPT_TIMEOUT = clocks.seconds(0.8)
CALLER_THREADS = 48
WORKER_THREADS = 4
READY_THREADS = 2
# How long a stopping entry keeps answering while it reports not ready: the
# load balancer removes it after two failed checks, one second apart.
DRAIN_NOTICE = clocks.seconds(3)

_registry = registry.Registry(family='role')
register = _registry.register
_logger = log.get_logger('platform')


class Role:
    """Base of the roles: a client of the leader, and HTTP servers.

    Args:
        deployment: The ``Deployment``.
        clock: The ``Clock``.
    """

    def __init__(self, *, deployment, clock):
        self._deployment = deployment
        self._clock = clock
        self._client = client.Client()
        self._discovery = None
        self._directory = self._build_directory()
        self._leader = leader.LeaderClient(
            list_addresses=self._directory.list_addresses,
            client=self._client,
            clock=clock,
            attempt_timeout=ATTEMPT_TIMEOUT,
        )
        self._gateway = gateway.Gateway(leader=self._leader)
        self._servers = []
        self._stop_tickers = []

    def _build_directory(self):
        """Return the ``MemberDirectory``, which discovery keeps up to date."""
        settings = self._deployment.settings
        members = directory.MemberDirectory(
            clock=self._clock, seeds=settings.control, local=settings.listen
        )
        self._discovery = discovery.Discovery(
            directory=members, client=self._client, clock=self._clock
        )
        return members

    @property
    def address(self):
        """The first address that it listens on."""
        return self._servers[0].address if self._servers else ''

    def _serve(self, address, handle, threads, *, is_for_callers=True):
        new_server = server.Server(
            address=address,
            handlers={},
            fallback=handle,
            threads=threads,
            is_for_callers=is_for_callers,
        )
        self._servers.append(new_server)

    def start(self):
        """Start listening and reload the seeds periodically."""
        for item in self._servers:
            item.start()
        watch = clock_watch.ClockWatch(clock=self._clock)
        tickers = [
            ('seeds', self.reload, SEED_INTERVAL),
            ('clocks', watch.tick, clock_watch.INTERVAL),
        ]
        if self._discovery is not None:
            tickers.append(
                ('discovery', self._discovery.tick, discovery.INTERVAL)
            )
        self._stop_tickers = [
            ticker.Ticker.launch(
                name=name, func=func, interval=interval, clock=self._clock
            )
            for name, func, interval in tickers
        ]

    def stop(self):
        """Stop listening and wait for requests in progress."""
        for stop in self._stop_tickers:
            stop()
        for item in self._servers:
            item.stop()
        self._leader.close()
        self._client.close()

    def reload(self):
        """Reload the settings, whose seeds may have changed."""
        try:
            deployment = platform_settings.load_deployment()
        except errors.SettingsError as error:
            _logger.warning('could not reload the settings: {}', error)
            return
        self._directory.set_seeds(deployment.settings.control)


@register('entry')
class EntryRole(Role):
    """Accepts callers' jobs."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._draining = threading.Event()
        self._serve(
            self._deployment.caller_address,
            handlers.build_caller_handler(
                self._gateway,
                self._draining.is_set,
                self._deployment.settings.zone,
            ),
            CALLER_THREADS,
        )
        self._serve(
            self._deployment.readiness_address,
            self._report_ready,
            READY_THREADS,
        )

    def stop(self):
        """Report not ready, answer for ``DRAIN_NOTICE``, then stop."""
        self._draining.set()
        threading.Event().wait(DRAIN_NOTICE.total_seconds())
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
            client=workers.WorkerClient(clock=self._clock),
            clock=self._clock,
            options=self._deployment.options,
        )
        self._serve(
            self._deployment.control_address,
            handlers.build_worker_handler(self._agent),
            WORKER_THREADS,
        )

    def start(self):
        """Accept the worker's heartbeats and poll the leader."""
        super().start()
        self._agent.start()

    def stop(self):
        """Stop; the worker's runs continue until their lease expires."""
        self._agent.stop()
        super().stop()


def get_role_by_name(name):
    """Return the role class called ``name``.

    The control role imports the most modules, so its module is imported only
    on demand.
    """
    if name not in _registry.names():
        importlib.import_module(f'{__package__}.{name}')
    return _registry.get(name)


def run(name, clock):
    """Run a role until a stop signal arrives; return the exit status."""
    deployment = platform_settings.load_deployment()
    role = get_role_by_name(name)(deployment=deployment, clock=clock)
    return process.run_until_signal(role, deployment.settings)
