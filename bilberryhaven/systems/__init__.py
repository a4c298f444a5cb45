"""Systems: read the tables each tick and propose commands.

A system is a class with ``run(world)`` that returns a list of commands. It
changes no table itself. Systems run in the order of their ``order`` field.
"""

import dataclasses
import datetime
import importlib
import pkgutil

from bilberryhaven import registry

__all__ = ['System', 'World', 'build_systems', 'get_system_by_name']

_registry = registry.Registry(family='system')
register = _registry.register


@dataclasses.dataclass(kw_only=True, slots=True)
class World:
    """What a system may read in one tick.

    Attributes:
        state: The replicated tables.
        now: Wall time of the tick, UTC.
        loads: Newest ``Load`` message by instance name; not replicated.
        usage: ``Usage`` messages that arrived since the last tick, as
            (instance name, message) pairs; not replicated.
        objective: Weights of the three measures.
        service_reserve: Slots of an instance that batch work leaves free.
        throttles: Share of full speed by job id; systems edit it, agents
            get it with their next heartbeat.
    """

    state: object
    now: datetime.datetime
    loads: dict
    usage: list
    objective: object
    service_reserve: int = 2
    throttles: dict = dataclasses.field(default_factory=dict)


class System:
    """Base of all systems.

    Attributes:
        order: Systems with lower numbers run first.
    """

    order = 100

    def run(self, world):
        """Return the commands to propose."""
        raise NotImplementedError


def _load_modules():
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')


def get_system_by_name(name):
    """Return the system class called ``name``."""
    _load_modules()
    return _registry.get(name)


def build_systems():
    """Return one of each registered system, in running order."""
    _load_modules()
    classes = [cls for _, cls in _registry.items()]
    return [cls() for cls in sorted(classes, key=lambda cls: cls.order)]
