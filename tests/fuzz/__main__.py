"""Runs the fuzzing modules named, or all, with one seed."""

import argparse
import importlib
import pkgutil

from tests import fuzz


def main():
    """Run each module's ``run`` and print its name once it has passed."""
    parser = argparse.ArgumentParser(prog='tests.fuzz')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('modules', nargs='*')
    opts = parser.parse_args()
    found = (module.name for module in pkgutil.iter_modules(fuzz.__path__))
    names = opts.modules or sorted(n for n in found if n != '__main__')
    for name in names:
        module = importlib.import_module(f'tests.fuzz.{name}')
        if hasattr(module, 'run'):
            module.run(opts.seed)
            print(f'{name}: passed with seed {opts.seed}')


if __name__ == '__main__':
    main()
