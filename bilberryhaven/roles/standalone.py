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
# Index in the list of actors: control and entry precede the agents, as they
# start before them and stop after them.
FIRST_AGENT_INDEX = 2

_logger = log.get_logger('standalone')


class RoleActor(pykka.ThreadingActor):
    """Starts and stops one role in a dedicated thread.

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
    """A complete system in one process, with its state in one data folder.

    Args:
        settings: The process's ``Settings``; callers and operators connect
            to ``listen``.
        clock: The ``Clock``.
        service_times_ms: Service times in milliseconds of the stand-in
            backend servers, by workload.
    """

    def __init__(self, *, settings, clock, service_times_ms=None):
        self._settings = settings
        self._clock = clock
        self._service_times_ms = dict(service_times_ms or {})
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
        """Start control, entry, the stand-ins and then their agents."""
        self.control = control.ControlRole(
            settings=self._derive_settings('control', ANY_PORT),
            clock=self._clock,
        )
        self._start_roles([self.control])
        control_addresses = [self.control.address]
        self.entry = entry.EntryRole(
            settings=self._derive_settings(
                'entry', self._settings.listen, control=control_addresses
            ),
            clock=self._clock,
        )
        self._start_roles([self.entry])
        instances = self._list_instances()
        self._start_standins(instances)
        self._start_agents(instances, control_addresses)
        _logger.info(
            'standalone system started',
            extra={'address': self.address, 'instances': len(instances)},
        )

    def stop(self):
        """Stop all roles gracefully, the agents first."""
        self._stop_actors(self._actors[FIRST_AGENT_INDEX:])
        for actor in reversed(self._actors[:FIRST_AGENT_INDEX]):
            self._stop_actors([actor])
        for server in self.standins.values():
            server.stop()

    def _list_instances(self):
        """Return the (name, zone, rack) of each instance."""
        options = self._settings.standalone
        zones = [zone.name for zone in self._settings.zones]
        zones = zones or [DEFAULT_ZONE]
        instances = []
        for index in range(options.instances):
            rack = index // options.instances_per_rack
            zone = zones[rack % len(zones)]
            instances.append((f'{zone}-{index + 1}', zone, f'rack-{rack + 1}'))
        return instances

    def _start_standins(self, instances):
        for name, _, _ in instances:
            self.standins[name] = standin.StandinServer(
                address=ANY_PORT,
                name=name,
                capacity=self._settings.capacity,
                clock=self._clock,
                service_times_ms=self._service_times_ms,
            )
            self.standins[name].start()

    def _start_agents(self, instances, control_addresses):
        for name, zone, rack in instances:
            self.agents[name] = agent.AgentRole(
                settings=self._derive_settings(
                    name,
                    ANY_PORT,
                    zone=zone,
                    rack=rack,
                    backend=self.standins[name].address,
                    control=control_addresses,
                    entries=[self.entry.address],
                ),
                clock=self._clock,
            )
        self._start_roles(list(self.agents.values()))

    def _derive_settings(self, name, listen, **fields):
        return msgspec.structs.replace(
            self._settings, name=name, listen=listen, **fields
        )

    def _stop_actors(self, actors):
        actors = list(actors)
        stopped = [actor.proxy().stop_role() for actor in actors]
        for actor, future in zip(actors, stopped, strict=True):
            future.get()
            actor.stop()

    def _start_roles(self, roles):
        started = []
        for role in roles:
            actor = RoleActor.start(role)
            self._actors.append(actor)
            started.append(actor.proxy().start_role())
        timeout_s = START_TIMEOUT.total_seconds()
        for future in started:
            future.get(timeout=timeout_s)


def run(settings, clock):
    """Run a complete system until a stop signal arrives."""
    return process.run_until_signal(
        Standalone(settings=settings, clock=clock), settings
    )
