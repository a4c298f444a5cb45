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

    Args:
        memory: What the systems of one leader share; a new one by default.

    Attributes:
        order: Systems with lower numbers run first.
    """

    order = 100

    def __init__(self, *, memory=None):
        self.memory = memory or _build_memory()

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


def _build_memory():
    module = importlib.import_module(f'{__name__}.memory')
    return module.Memory()


def build_systems(*, memory=None):
    """Return one of each registered system, in running order.

    They share ``memory``, which a new leader starts empty and rebuilds from
    the tables.
    """
    _load_modules()
    memory = memory or _build_memory()
    classes = [cls for _, cls in _registry.items()]
    ordered = sorted(classes, key=lambda cls: cls.order)
    return [cls(memory=memory) for cls in ordered]
