"""Runs the benchmarks given by name, or all, and writes bench/latest.json.

A benchmark is a module of this package with a ``measure()`` function that
returns a flat mapping of keys to numbers.
"""

import importlib
import json
import pathlib
import pkgutil
import sys

import bench

LATEST = pathlib.Path(__file__).with_name('latest.json')


def list_names():
    """Return the names of all benchmark modules."""
    found = (module.name for module in pkgutil.iter_modules(bench.__path__))
    return sorted(name for name in found if not name.startswith('_'))


def run(names):
    """Run the benchmarks and merge their results into ``LATEST``.

    Args:
        names: Names of benchmark modules; if empty, all of them run.
    """
    figures = json.loads(LATEST.read_text()) if LATEST.exists() else {}
    for name in names or list_names():
        module = importlib.import_module(f'bench.{name}')
        if not hasattr(module, 'measure'):
            continue
        figures.update(module.measure())
        text = json.dumps(figures, indent=1, sort_keys=True)
        LATEST.write_text(text + '\n')
    for key in sorted(figures):
        print(f'{key} {figures[key]}')


if __name__ == '__main__':
    run(sys.argv[1:])
