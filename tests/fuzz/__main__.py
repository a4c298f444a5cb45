"""Runs the fuzzing of every module, longer than the tests do."""

import argparse
import importlib
import pkgutil

from tests import fuzz


def run():
    parser = argparse.ArgumentParser(prog='tests.fuzz')
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    for found in sorted(pkgutil.iter_modules(fuzz.__path__)):
        if found.name.startswith('_'):
            continue
        module = importlib.import_module(f'tests.fuzz.{found.name}')
        if hasattr(module, 'run'):
            module.run(seed)
            print(f'{found.name}: passed with seed {seed}')


run()
