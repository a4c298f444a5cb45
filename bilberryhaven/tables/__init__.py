"""Entity tables: the replicated state, one module an entity."""

import importlib
import pkgutil

import msgspec

from bilberryhaven import registry

__all__ = ['State', 'get_table_by_name', 'register']

_registry = registry.Registry(family='table')
register = _registry.register


def get_table_by_name(name):
    """Return the table class called ``name``."""
    _load_modules()
    return _registry.get(name)


def _load_modules():
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')


class State:
    """One table of each registered class, as attributes by their names.

    Attributes:
        revision: Number of the newest accepted label, selector or workload
            change.
        session_floor: Newest session epoch of an instance that was
            forgotten; a new instance's epochs begin beyond it.
    """

    def __init__(self):
        _load_modules()
        self.revision = 0
        self.session_floor = 0
        self._names = []
        for name, cls in _registry.items():
            setattr(self, name, cls())
            self._names.append(name)

    def dump(self):
        """Return the whole state as bytes; equal states give equal bytes."""
        parts = {name: getattr(self, name).dump() for name in self._names}
        head = [self.revision, self.session_floor]
        return msgspec.msgpack.encode([*head, parts])

    def load(self, data):
        """Replace the whole state by that of ``dump``'s bytes."""
        kind = tuple[int, int, dict[str, bytes]]
        self.revision, self.session_floor, parts = msgspec.msgpack.decode(
            data, type=kind
        )
        for name in self._names:
            if name in parts:
                getattr(self, name).load(parts[name])
