"""Clocks of the rig's processes, set from outside of them.

A process finds them by its environment; see ``rig_process/sitecustomize.py``.
"""

import pathlib

__all__ = ['Hooks']

MODULES = pathlib.Path(__file__).resolve().parent / 'rig_process'


class Hooks:
    """Clocks by (machine, role).

    Args:
        folder: A ``pathlib.Path`` for the files that the processes read.

    Attributes:
        bases: Seconds added to the steady clock of the next process, by key.
    """

    def __init__(self, *, folder):
        self.bases = {}
        self._folder = folder

    def build_environment(self, key):
        """Return the variables that a process gets."""
        env = {
            'RIG_CLOCK_BASE_S': str(self.bases.get(key, 0.0)),
            'RIG_CLOCK_STEP': str(self._find_path(key, 'step')),
        }
        return env

    def _find_path(self, key, what):
        return self._folder / f'{"-".join(key)}.{what}'

    def step_time(self, key, seconds):
        """Step the time of day of a process; 0 steps it back."""
        path = self._find_path(key, 'step')
        if not seconds:
            path.unlink(missing_ok=True)
            return
        draft = path.with_suffix('.step-new')
        draft.write_text(str(seconds))
        draft.replace(path)
