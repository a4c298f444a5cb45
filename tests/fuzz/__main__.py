"""Runs every fuzz test with one seed, for longer than the unit tests do."""

import argparse
import importlib
import pkgutil

from tests import fuzz


def main():
    parser = argparse.ArgumentParser(prog='tests.fuzz')
    parser.add_argument('--seed', type=int, default=1)
    opts = parser.parse_args()
    for module_info in pkgutil.iter_modules(fuzz.__path__):
        if module_info.name.startswith('_'):
            continue
        module = importlib.import_module(f'tests.fuzz.{module_info.name}')
        if hasattr(module, 'run'):
            module.run(opts.seed)
            print(f'{module_info.name}: seed {opts.seed} passed')


if __name__ == '__main__':
    main()
