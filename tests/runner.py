"""Runs every test module in a process of its own and counts the results.

``python -m tests [--jobs N] [NAME ...]`` runs all modules or those named.
Failures listed in KNOWN-RED.txt (``test: DOTTED.NAME``) are printed and
passed over; a listed test that passes fails the run, so the list stays true.
"""

import argparse
import concurrent.futures
import io
import multiprocessing
import os
import pathlib
import re
import time
import unittest

ROOT = pathlib.Path(__file__).parent.parent
RED = ROOT / 'KNOWN-RED.txt'
# The longest modules start first, so that none is left running alone.
SLOW_FIRST = ('test_consensus', 'test_processes', 'test_cmdline', 'test_fuzz')


def list_modules():
    names = sorted(path.stem for path in ROOT.glob('tests/test_*.py'))

    def rank(name):
        places = [i for i, s in enumerate(SLOW_FIRST) if name.startswith(s)]
        return (places or [len(SLOW_FIRST)], name)

    return sorted(names, key=rank)


def read_known_red():
    text = RED.read_text() if RED.exists() else ''
    return set(re.findall(r'^test: (\S+)', text, re.MULTILINE))


def run_module(name):
    """Return (module, run, skipped, [(test, traceback)], output, seconds)."""
    start = time.monotonic()
    suite = unittest.defaultTestLoader.loadTestsFromName(f'tests.{name}')
    stream = io.StringIO()
    runner = unittest.TextTestRunner(stream=stream, verbosity=1)
    result = runner.run(suite)
    bad = [*result.failures, *result.errors]
    bad += [(test, 'passed') for test in result.unexpectedSuccesses]
    bad = [(test.id(), text) for test, text in bad]
    taken = time.monotonic() - start
    skipped = len(result.skipped)
    return name, result.testsRun, skipped, bad, stream.getvalue(), taken


def report(done, known):
    total = skipped = 0
    failed, red = [], []
    for name, count, left_out, bad, output, taken in done:
        total += count
        skipped += left_out
        fresh = [pair for pair in bad if pair[0] not in known]
        red += [pair for pair in bad if pair[0] in known]
        failed += fresh
        print(f'{name}: {count} tests in {taken:.1f} s', flush=True)
        if fresh:
            print(output)
    for test, text in red:
        print(f'KNOWN RED {test}\n{text}')
    mended = known - {test for test, _ in red}
    for test in sorted(mended):
        print(f'{test} is listed in KNOWN-RED.txt but does not fail')
    bad = len(failed) + len(mended)
    line = f'{total - len(failed) - len(red) - skipped} passed, {bad} failed'
    if skipped:
        line += f', {skipped} skipped'
    print(line)
    return 1 if bad or not total else 0


def run(args):
    parser = argparse.ArgumentParser(prog='python -m tests')
    parser.add_argument('--jobs', type=int, default=os.cpu_count() or 1)
    parser.add_argument('modules', nargs='*')
    opts = parser.parse_args(args)
    names = opts.modules or list_modules()
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=min(opts.jobs, len(names)), mp_context=context
    ) as pool:
        done = list(pool.map(run_module, names))
    known = set() if opts.modules else read_known_red()
    return report(done, known)
