"""Runs every module's fuzzing with one seed, longer than the tests do."""

import argparse
import importlib
import pkgutil

from tests import fuzz


def main():
    parser = argparse.ArgumentParser(prog='tests.fuzz')
    parser.add_argument('--seed', type=int, default=1)
    opts = parser.parse_args()
    for found in pkgutil.iter_modules(fuzz.__path__):
        if found.name.startswith('_'):
            continue
        module = importlib.import_module(f'tests.fuzz.{found.name}')
        if hasattr(module, 'run'):
            module.run(opts.seed)
            print(f'{found.name}: seed {opts.seed} passed')


if __name__ == '__main__':
    main()
