"""The standalone role: all roles and stand-in servers in one process."""

import msgspec
import pykka

from bilberryhaven import clock as clocks
from bilberryhaven import log
from bilberryhaven.roles import agent
from bilberryhaven.roles import control
from bilberryhaven.roles import entry
from bilberryhaven.roles import process
from bilberryhaven.standin import server as standin

__all__ = ['Standalone', 'run']

ANY_PORT = '127.0.0.1:0'
START_TIMEOUT = clocks.seconds(30)
DEFAULT_ZONE = 'local'
# Control and entry start before the agents and stop after them.
FIRST_AGENT = 2

_logger = log.get_logger('standalone')


class RoleActor(pykka.ThreadingActor):
    """Starts and stops one role on a thread of its own.

    Args:
        role: An object with ``start``, ``stop`` and ``kill``.
    """

    use_daemon_thread = True

    def __init__(self, role):
        super().__init__()
        self._role = role

    def start_role(self):
        """Start the role and return its address."""
        self._role.start()
        return self._role.address

    def stop_role(self):
        """Stop the role gracefully."""
        self._role.stop()


class Standalone:
    """A whole system in one process, its state under one data folder.

    Args:
        settings: The process's ``Settings``; callers and operators reach it
            at ``listen``.
        clock: The ``Clock``.
        services: Service times in milliseconds of the stand-in backend
            servers, by workload.
    """

    def __init__(self, *, settings, clock, service_times_ms=None):
        self._settings = settings
        self._clock = clock
        self._services = dict(service_times_ms or {})
        self._actors = []
        self.control = None
        self.entry = None
        self.agents = {}
        self.standins = {}

    @property
    def address(self):
        """The HOST:PORT for callers and operators."""
        return self.entry.address

    def start(self):
        """Start control, entry, then each stand-in with its agent."""
        self.control = control.ControlRole(
            settings=self._derive('control', ANY_PORT), clock=self._clock
        )
        self._launch([self.control])
        reach = [self.control.address]
        self.entry = entry.EntryRole(
            settings=self._derive(
                'entry', self._settings.listen, control=reach
            ),
            clock=self._clock,
        )
        self._launch([self.entry])
        names = self._list_instances()
        self._start_standins(names)
        self._start_agents(names, reach)
        _logger.info(
            'standalone is up',
            extra={'address': self.address, 'instances': len(names)},
        )

    def stop(self):
        """Stop all roles gracefully, agents first."""
        self._halt(self._actors[FIRST_AGENT:])
        for actor in reversed(self._actors[:FIRST_AGENT]):
            self._halt([actor])
        for server in self.standins.values():
            server.stop()

    def _list_instances(self):
        """Return (name, zone, rack) of each instance."""
        options = self._settings.standalone
        zones = [zone.name for zone in self._settings.zones]
        zones = zones or [DEFAULT_ZONE]
        found = []
        for index in range(options.instances):
            rack = index // options.instances_per_rack
            zone = zones[rack % len(zones)]
            found.append((f'{zone}-{index + 1}', zone, f'rack-{rack + 1}'))
        return found

    def _start_standins(self, names):
        for name, _, _ in names:
            self.standins[name] = standin.StandinServer(
                address=ANY_PORT,
                name=name,
                capacity=self._settings.capacity,
                clock=self._clock,
                service_times_ms=self._services,
            )
            self.standins[name].start()

    def _start_agents(self, names, reach):
        for name, zone, rack in names:
            self.agents[name] = agent.AgentRole(
                settings=self._derive(
                    name,
                    ANY_PORT,
                    zone=zone,
                    rack=rack,
                    backend=self.standins[name].address,
                    control=reach,
                    entries=[self.entry.address],
                ),
                clock=self._clock,
            )
        self._launch(list(self.agents.values()))

    def _derive(self, name, listen, **fields):
        return msgspec.structs.replace(
            self._settings, name=name, listen=listen, **fields
        )

    def _halt(self, actors):
        actors = list(actors)
        stopped = [actor.proxy().stop_role() for actor in actors]
        for actor, future in zip(actors, stopped, strict=True):
            future.get()
            actor.stop()

    def _launch(self, roles):
        started = []
        for role in roles:
            actor = RoleActor.start(role)
            self._actors.append(actor)
            started.append(actor.proxy().start_role())
        limit = START_TIMEOUT.total_seconds()
        for future in started:
            future.get(timeout=limit)


def run(settings, clock):
    """Run a whole system until it is told to stop."""
    return process.run_until_signal(
        Standalone(settings=settings, clock=clock), settings
    )
