"""Runs every module's fuzzing with one seed."""

import argparse
import importlib
import pkgutil

from tests import fuzz


def main():
    parser = argparse.ArgumentParser(prog='tests.fuzz')
    parser.add_argument('--seed', type=int, default=1)
    opts = parser.parse_args()
    for module in pkgutil.iter_modules(fuzz.__path__):
        if module.name.startswith('_'):
            continue
        importlib.import_module(f'tests.fuzz.{module.name}').run(opts.seed)
        print(f'{module.name}: seed {opts.seed} passed')


if __name__ == '__main__':
    main()
