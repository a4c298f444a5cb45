"""Scheduling systems, which read the tables each tick and propose commands.

A system is a class whose ``run(world)`` returns a list of commands. It never
changes a table itself. Systems run in ascending order of ``order``.
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
    """The input of all systems in one tick.

    Attributes:
        state: The replicated tables.
        now: Wall-clock time of the tick, in UTC.
        loads: Latest ``Load`` message by instance name; not replicated.
        usage: ``Usage`` messages received since the last tick, as (instance
            name, message) pairs; not replicated.
        objective: Weights of tail latency, throughput and evictions.
        service_reserve: Slots of an instance that batch jobs must leave free
            for services.
        throttles: Share of full speed by job id. Systems modify it; agents
            receive it in the reply to their next heartbeat.
    """

    state: object
    now: datetime.datetime
    loads: dict
    usage: list
    objective: object
    service_reserve: int = 2
    throttles: dict = dataclasses.field(default_factory=dict)


class System:
    """Base class of all systems.

    Args:
        memory: The ``Memory`` shared by the systems of one leader; a new one
            by default.

    Attributes:
        order: Position in a tick; lower numbers run first.
    """

    order = 100

    def __init__(self, *, memory=None):
        self.memory = memory or _build_memory()

    def run(self, world):
        """Return the list of commands to propose.

        Args:
            world: The ``World`` of this tick.
        """
        raise NotImplementedError


def _load_modules():
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')


def get_system_by_name(name):
    """Return the system class registered as ``name``."""
    _load_modules()
    return _registry.get(name)


def _build_memory():
    module = importlib.import_module(f'{__name__}.memory')
    return module.Memory()


def build_systems(*, memory=None):
    """Return one instance of each registered system, in execution order.

    Args:
        memory: The ``Memory`` that the systems share. A new leader starts
            with an empty one, which is rebuilt from the tables.
    """
    _load_modules()
    memory = memory or _build_memory()
    classes = [cls for _, cls in _registry.items()]
    ordered = sorted(classes, key=lambda cls: cls.order)
    return [cls(memory=memory) for cls in ordered]
