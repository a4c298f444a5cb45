"""Routing and placement policies, registered by decorator."""

import importlib
import pkgutil

from bilberryhaven import registry

__all__ = ['get_policy_by_name', 'list_policies', 'register']

_registry = registry.Registry(family='policy')
register = _registry.register


def _load_modules():
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')


def get_policy_by_name(name):
    """Return the policy class registered as ``name``."""
    _load_modules()
    return _registry.get(name)


def list_policies():
    """Return the names of all registered policies."""
    _load_modules()
    return _registry.names()
