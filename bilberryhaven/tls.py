"""Leaves out modules that a process never uses, to save its memory.

The system's processes talk plain TCP by IP number. TLS, with the library
behind it, costs about 5 MB that some of our libraries load only to offer it.
"""

import importlib
import sys
import types

__all__ = ['disable_tls']

TLS_MODULES = ('ssl', '_hashlib')


def disable_tls():
    """Keep TLS from being loaded.

    To be called at a process's entry point, before other imports. HTTP
    libraries do without it where it is missing; the log library needs only
    that the name can be imported.
    """
    if any(name in sys.modules for name in TLS_MODULES):
        return
    sys.modules['ssl'] = types.ModuleType('ssl')
    sys.modules['_hashlib'] = None
    importlib.import_module('logbook')
    sys.modules['ssl'] = None
