"""Clocks and links of the rig's processes, set from outside of them.

A process finds them by its environment; see ``rig_process/sitecustomize.py``.
"""

import pathlib
import threading

from soak import proxy

__all__ = ['Hooks']

MODULES = pathlib.Path(__file__).resolve().parent / 'rig_process'
LOOPBACK = '127.0.0.1'


class Hooks:
    """Clocks and links by (machine, role).

    Args:
        folder: A ``pathlib.Path`` for the files that the processes read.
        has_links: Whether connections to control instances go through
            proxies, so that they can be cut.

    Attributes:
        bases: Seconds added to the steady clock of the next process, by key.
    """

    def __init__(self, *, folder, has_links=False):
        self.bases = {}
        self._folder = folder
        self._suspended = {}
        self._has_links = has_links
        self._sources = set()
        self._targets = {}
        self._proxies = {}
        self._lock = threading.Lock()

    def build_clock_environment(self, key):
        """Return the variables for the clocks of a process."""
        return {
            'RIG_CLOCK_BASE_S': str(self.bases.get(key, 0.0)),
            'RIG_CLOCK_STEP': str(self._find_path(key, 'step')),
            'RIG_SUSPENDED': str(self._find_path(key, 'suspended')),
        }

    def build_environment(self, key):
        """Return the variables that a process of the system gets."""
        env = self.build_clock_environment(key)
        if self._has_links:
            with self._lock:
                self._sources.add(key)
                self._add_links(key)
            env['RIG_LINKS'] = str(self._find_path(key, 'links'))
        return env

    def _find_path(self, key, what):
        return self._folder / f'{"-".join(key)}.{what}'

    def step_time(self, key, seconds):
        """Step the time of day of a process; 0 steps it back."""
        path = self._find_path(key, 'step')
        if seconds:
            _write(path, str(seconds))
        else:
            path.unlink(missing_ok=True)

    def add_suspension(self, key, seconds):
        """Let the steady clock of a stopped process not count its stop."""
        self._suspended[key] = self._suspended.get(key, 0.0) + seconds
        path = self._find_path(key, 'suspended')
        _write(path, str(self._suspended[key]))

    def add_target(self, name, address):
        """Add a machine to which links lead, at HOST:PORT."""
        if not self._has_links:
            return
        with self._lock:
            self._targets[name] = address
            for key in self._sources:
                self._add_links(key)

    def _add_links(self, key):
        rows = []
        for name, address in self._targets.items():
            if name == key[0]:
                continue
            if (key, name) not in self._proxies:
                host, _, port = address.partition(':')
                self._proxies[key, name] = proxy.Proxy(
                    listen=(LOOPBACK, 0), target=(host, int(port))
                )
            rows.append(f'{address} {self._proxies[key, name].address}\n')
        _write(self._find_path(key, 'links'), ''.join(rows))

    def list_links(self):
        """Return the links as ((machine, role), machine) pairs."""
        with self._lock:
            return sorted(self._proxies)

    def set_mode(self, links, mode):
        """Set the ``proxy.Mode`` of some links."""
        for link in links:
            self._proxies[link].mode = mode

    def silence(self, links):
        """Silence the open connections of some links for good."""
        for link in links:
            self._proxies[link].silence()

    def close(self):
        """Close all links."""
        with self._lock:
            for item in self._proxies.values():
                item.close()


def _write(path, text):
    draft = path.with_name(f'{path.name}-new')
    draft.write_text(text)
    draft.replace(path)
