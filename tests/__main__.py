"""Runs every test and ends with a line that counts them."""

import sys
import unittest

import testtools


def run():
    suite = unittest.defaultTestLoader.discover('tests', top_level_dir='.')
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = len(result.failures) + len(result.errors)
    bad += len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    good = result.testsRun - bad - skipped
    line = f'{good} passed, {bad} failed'
    if skipped:
        line += f', {skipped} skipped'
    print(line)
    return 0 if result.wasSuccessful() and testtools else 1


sys.exit(run())
