"""Entity tables: the replicated state, one module per entity."""

import importlib
import pkgutil

import msgspec

from bilberryhaven import registry

__all__ = ['State', 'get_table_by_name', 'register']

_registry = registry.Registry(family='table')
register = _registry.register


def get_table_by_name(name):
    """Return the table class registered as ``name``."""
    _load_modules()
    return _registry.get(name)


def _load_modules():
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')


class State:
    """Replicated state: a table of each registered class, as attributes.

    Attributes:
        revision: Number of the latest accepted operator change, such as one
            of labels, selectors or workloads.
        session_floor: Highest session epoch of the removed instances; the
            epochs of a new instance start above it.
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
        """Replace the whole state with the one encoded by ``dump``."""
        kind = tuple[int, int, dict[str, bytes]]
        self.revision, self.session_floor, parts = msgspec.msgpack.decode(
            data, type=kind
        )
        for name in self._names:
            if name in parts:
                getattr(self, name).load(parts[name])
