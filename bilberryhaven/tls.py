"""Disables TLS in a process to reduce its memory usage.

The system's processes communicate over plain TCP by IP address. Some
third-party libraries load TLS only to offer it, which costs a process about
5 MB, including the native library.
"""

import importlib
import sys
import types

__all__ = ['disable_tls']

TLS_MODULES = ('ssl', '_hashlib')


def disable_tls():
    """Prevent the TLS modules from being imported.

    Must be called at the entry point of a process, before other imports. The
    HTTP libraries work without these modules. The log library needs ``ssl``
    to be importable, but does not use it.
    """
    if any(name in sys.modules for name in TLS_MODULES):
        return
    sys.modules['ssl'] = types.ModuleType('ssl')
    sys.modules['_hashlib'] = None
    importlib.import_module('logbook')
    sys.modules['ssl'] = None
